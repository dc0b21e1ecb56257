package balancer

import (
	"math"
	"time"

	"foxtaillug.org/scheduler/estimator"
)

const (
	// speedWindow is the time over which speeds are averaged. Spells of slowness of
	// 0.6 s that take 15% of the time recur every 4 s, so that the average holds them
	// in their proportion.
	speedWindow = 4 * time.Second
	// priorTime is the slot time, in seconds, for which an upstream counts as typical
	// before anything is known of it: that of about one short request.
	priorTime = 0.25
)

// Work returns the time that a typical upstream takes to the first event of a request
// and in total. Both token counts are 0 for a call of a plain service.
func Work(prompt, output int) (first, total time.Duration) {
	typical := estimator.New()
	if prompt == 0 && output == 0 {
		return typical.CallTime(), typical.CallTime()
	}
	first = typical.FirstTokenTime(prompt)
	return first, first + typical.GenerationTime(output)
}

// Speed learns how much work an upstream does in a second of slot time. 1 is a typical
// upstream. The zero value knows nothing. It is not safe for concurrent use.
type Speed struct {
	// work and held are decaying sums of the work done and of the slot time that it
	// took, in seconds; squares is that of the squared speeds, weighted by slot time.
	work, held, squares float64
	at                  time.Time
}

// Observe records work that took a time in one slot.
func (s *Speed) Observe(work, held time.Duration, now time.Time) {
	if work <= 0 || held <= 0 {
		return
	}
	if s.at.IsZero() {
		s.work, s.held, s.squares = priorTime, priorTime, priorTime
	} else if keep := max(math.Exp(-now.Sub(s.at).Seconds()/speedWindow.Seconds()), priorTime/s.held); keep < 1 {
		// What was learned last stays until something else is: an idle upstream is not
		// forgotten.
		s.work, s.held, s.squares = s.work*keep, s.held*keep, s.squares*keep
	}
	s.at = now
	s.work += work.Seconds()
	s.held += held.Seconds()
	s.squares += work.Seconds() * work.Seconds() / held.Seconds()
}

// Mean returns the work done in a second of slot time.
func (s *Speed) Mean() float64 {
	if s.held <= 0 {
		return 1
	}
	return s.work / s.held
}

// Spread returns the standard deviation of the speed.
func (s *Speed) Spread() float64 {
	if s.held <= 0 {
		return 0
	}
	return math.Sqrt(max(0, s.squares/s.held-s.Mean()*s.Mean()))
}
