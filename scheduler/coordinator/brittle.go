package coordinator

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// brittlePause is how long a brittle upstream that has rejected a request gets none.
	brittlePause = time.Second
	// brittleDecrease is the factor by which its room shrinks then, and brittleIncrease the
	// number by which it grows with each round of requests that complete.
	brittleDecrease = 0.75
	brittleIncrease = 0.25
	// takeoverTime is how long after a change of the fleet requests of a former coordinator
	// may still run, of which this one does not know.
	takeoverTime = 2 * time.Second
	// brittleHeadroom is the number of a brittle upstream's slots that are left for requests
	// that its coordinator does not know of.
	brittleHeadroom = 1
)

// setBrittle records whether an upstream is brittle. Its room then follows from what it
// accepts; a coordinator that has just taken it over does not know what it runs.
func (c *Coordinator) setBrittle(u *upstream, brittle bool, now time.Time) {
	switch {
	case !brittle || u.brittle:
	case now.Sub(c.tookOverAt) < takeoverTime:
		u.resetRoom()
	default:
		u.room = u.maxRoom()
	}
	u.brittle = brittle
}

// resetRoom starts over with the room of a brittle upstream, as this coordinator does not know
// what it runs.
func (u *upstream) resetRoom() { u.room = 1 }

// maxRoom returns the largest number of requests that this coordinator runs at a brittle
// upstream.
func (u *upstream) maxRoom() float64 { return float64(max(1, u.fullSlots()-brittleHeadroom)) }

// adjustRoom changes the room of a brittle upstream after a request: it grows slowly with
// requests that complete, and shrinks with a rejection.
func (u *upstream) adjustRoom(accepted bool) {
	if accepted {
		u.room = min(u.room+brittleIncrease/max(u.room, 1), u.maxRoom())
		return
	}
	u.room = max(1, brittleDecrease*min(u.room, float64(len(u.running)+1)))
}

// mayUseBrittle reports whether this host, which decides for itself, may use a brittle
// upstream: about one of the hosts of a failure domain may use each, as they do not know of
// each other.
func (c *Coordinator) mayUseBrittle(u *upstream) bool {
	hosts := max(1, c.fleet.Hosts/max(1, len(c.fleet.Regions)))
	return xxhash.Sum64String(c.process+"@"+u.ID)%uint64(hosts) == 0
}
