package admitter

import (
	"time"

	"foxtaillug.org/scheduler"
)

// maxPrefixes is how many recent prompt prefixes are remembered per upstream.
const maxPrefixes = 256

// smoothingFactor is the weight of the newest sample in moving averages.
const smoothingFactor = 0.1

// running is a granted request.
type running struct {
	req      Request
	upstream *upstream
	granted  time.Time
}

// upstream is the state of one upstream of the pool. Its slots may be used until
// slotsUntil. Field ring holds the most recent prompt prefixes, and prefixes
// counts how often each occurs in it.
type upstream struct {
	id         scheduler.UpstreamID
	slots      int
	slotsUntil time.Time
	closed     bool
	foreign    int
	running    map[scheduler.RequestID]*running
	suspects   int
	prefixes   map[uint64]int
	ring       [maxPrefixes]uint64
	ringNext   int
	perToken   time.Duration
	firstToken time.Duration
}

// newUpstream returns an upstream with no slots.
func newUpstream(id scheduler.UpstreamID) *upstream {
	return &upstream{
		id:       id,
		running:  make(map[scheduler.RequestID]*running),
		prefixes: make(map[uint64]int),
	}
}

// free returns how many more requests may be granted on the upstream now. It is
// negative if more are running than the slots allow.
func (u *upstream) free(now time.Time) int {
	if u.closed || !now.Before(u.slotsUntil) {
		return 0
	}
	return u.slots - len(u.running) - u.foreign
}

// canAccept reports whether the request may be granted a slot on the upstream
// now. An upstream runs at most one suspect request at a time.
func (u *upstream) canAccept(r Request, now time.Time) bool {
	return u.free(now) > 0 && !(r.suspect && u.suspects > 0)
}

// estimate returns the expected time to generate the given number of tokens.
func (u *upstream) estimate(tokens int) time.Duration {
	return u.firstToken + time.Duration(tokens)*u.perToken
}

// inTime reports whether a request with the given number of output tokens would
// finish before its deadline if it started now.
func (u *upstream) inTime(r Request, tokens int, now time.Time) bool {
	return !now.Add(u.estimate(tokens)).After(r.deadline)
}

// cached reports whether the upstream recently ran a prompt with the prefix.
func (u *upstream) cached(prefix uint64) bool {
	return prefix != 0 && u.prefixes[prefix] > 0
}

// remember records a prompt prefix, replacing the oldest one.
func (u *upstream) remember(prefix uint64) {
	if prefix == 0 {
		return
	}
	if old := u.ring[u.ringNext]; old != 0 {
		u.prefixes[old]--
		if u.prefixes[old] == 0 {
			delete(u.prefixes, old)
		}
	}
	u.ring[u.ringNext] = prefix
	u.ringNext = (u.ringNext + 1) % maxPrefixes
	u.prefixes[prefix]++
}

// forgetPrefixes clears the recorded prompt prefixes.
func (u *upstream) forgetPrefixes() {
	clear(u.prefixes)
	u.ring = [maxPrefixes]uint64{}
}

// observe updates the estimates of the upstream's speed.
func (u *upstream) observe(usage Usage) {
	if usage.tokens == 0 {
		return
	}
	u.firstToken = smooth(u.firstToken, usage.firstToken)
	u.perToken = smooth(u.perToken, usage.PerToken())
}

// smooth moves an average towards a sample. The first sample becomes the
// average.
func smooth(average, sample time.Duration) time.Duration {
	if average == 0 {
		return sample
	}
	return average + time.Duration(smoothingFactor*float64(sample-average))
}

// preferredTo reports whether u is a better choice than v for a request: it
// finishes even a long output in time, then it has the prompt prefix cached,
// then it has the lower load.
func (u *upstream) preferredTo(v *upstream, r Request, now time.Time) bool {
	if fu, fv := u.inTime(r, r.output, now), v.inTime(r, r.output, now); fu != fv {
		return fu
	}
	if cu, cv := u.cached(r.prefix), v.cached(r.prefix); cu != cv {
		return cu
	}
	lu, lv := u.load(), v.load()
	if lu != lv {
		return lu < lv
	}
	return u.id < v.id
}

// load returns the mean time per output token, in nanoseconds, multiplied by the
// fraction of slots that would be in use with one more request.
func (u *upstream) load() float64 {
	used := float64(len(u.running)+u.foreign+1) / float64(max(u.slots, 1))
	return used * float64(max(u.perToken, time.Millisecond))
}
