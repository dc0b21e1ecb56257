package contract

import (
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// clockLayout is the layout of a time of day in a document.
const clockLayout = "15:04"

// searchDays is how many days, today included, are searched for the next
// attended hours. Eight reach the same weekday of next week.
const searchDays = 8

// schedule is the attended hours of a week. Without days, all hours are
// attended.
type schedule struct {
	zone   *time.Location
	days   map[time.Weekday]bool
	opens  time.Duration
	closes time.Duration
}

// weekdays maps the day names of documents to weekdays.
var weekdays = map[string]time.Weekday{
	"sun": time.Sunday, "mon": time.Monday, "tue": time.Tuesday,
	"wed": time.Wednesday, "thu": time.Thursday, "fri": time.Friday,
	"sat": time.Saturday,
}

// newSchedule parses the attended hours of a document.
func newSchedule(a Attended) (s *schedule, err error) {
	defer func() {
		if err != nil {
			err = eris.Wrap(err, "attended")
		}
	}()
	s = &schedule{zone: time.UTC, days: make(map[time.Weekday]bool)}
	if len(a.Days) == 0 {
		return s, nil
	}
	if s.zone, err = time.LoadLocation(a.TimeZone); err != nil {
		return nil, err
	}
	for _, name := range a.Days {
		day, ok := weekdays[strings.ToLower(name)]
		if !ok {
			return nil, eris.Errorf("unknown day %q; use sun, mon, tue, wed, thu, fri or sat", name)
		}
		s.days[day] = true
	}
	if s.opens, err = timeOfDay(a.Opens); err != nil {
		return nil, err
	}
	if s.closes, err = timeOfDay(a.Closes); err != nil {
		return nil, err
	}
	if s.closes <= s.opens {
		return nil, eris.Errorf("closes %q is not after opens %q", a.Closes, a.Opens)
	}
	return s, nil
}

// timeOfDay parses a time such as 08:30 and returns the duration since
// midnight.
func timeOfDay(text string) (time.Duration, error) {
	t, err := time.Parse(clockLayout, text)
	if err != nil {
		return 0, eris.Errorf("time %q is not of the form 15:04", text)
	}
	return time.Duration(t.Hour())*time.Hour + time.Duration(t.Minute())*time.Minute, nil
}

// next returns now if now is attended, or else the start of the next attended
// hours.
func (s *schedule) next(now time.Time) time.Time {
	if len(s.days) == 0 {
		return now
	}
	local := now.In(s.zone)
	for i := range searchDays {
		day := time.Date(local.Year(), local.Month(), local.Day()+i, 0, 0, 0, 0, s.zone)
		if !s.days[day.Weekday()] {
			continue
		}
		opens := at(day, s.opens)
		if local.Before(opens) {
			return opens
		}
		if local.Before(at(day, s.closes)) {
			return now
		}
	}
	return now
}

// at returns a time of day on a given day, also on days with a daylight-saving
// change.
func at(day time.Time, since time.Duration) time.Time {
	hour := int(since / time.Hour)
	minute := int(since % time.Hour / time.Minute)
	return time.Date(day.Year(), day.Month(), day.Day(), hour, minute, 0, 0, day.Location())
}
