package admitter

import (
	"time"

	"foxtaillug.org/scheduler"
)

// prefixMemory is how many prompt prefixes are remembered per upstream.
const prefixMemory = 256

// smoothing is the weight of the newest sample in moving averages.
const smoothing = 0.1

// running is a granted request.
type running struct {
	ask      Request
	upstream *upstream
	granted  time.Time
}

// upstream is one back end of the pool as its owner sees it.
type upstream struct {
	id       scheduler.UpstreamID
	slots    int
	until    time.Time
	closed   bool
	foreign  int
	running  map[scheduler.RequestID]*running
	suspects int
	prefixes map[uint64]int
	ring     [prefixMemory]uint64
	ringAt   int
	perToken time.Duration
	first    time.Duration
}

// newUpstream returns an upstream with no slots.
func newUpstream(id scheduler.UpstreamID) *upstream {
	return &upstream{
		id:       id,
		running:  make(map[scheduler.RequestID]*running),
		prefixes: make(map[uint64]int),
	}
}

// free returns how many requests more the upstream may get now.
func (u *upstream) free(now time.Time) int {
	if u.closed || !now.Before(u.until) {
		return 0
	}
	return u.slots - len(u.running) - u.foreign
}

// takes reports whether the upstream may get the ask now.
func (u *upstream) takes(a Request, now time.Time) bool {
	return u.free(now) > 0 && !(a.suspect && u.suspects > 0)
}

// estimate returns how long the upstream will take for an output of some
// tokens.
func (u *upstream) estimate(tokens int) time.Duration {
	return u.first + time.Duration(tokens)*u.perToken
}

// inTime reports whether an ask that starts now would end before its deadline
// with an output of some tokens.
func (u *upstream) inTime(a Request, tokens int, now time.Time) bool {
	return !now.Add(u.estimate(tokens)).After(a.deadline)
}

// cached reports whether the upstream has lately seen a prompt prefix.
func (u *upstream) cached(prefix uint64) bool {
	return prefix != 0 && u.prefixes[prefix] > 0
}

// remember notes a prompt prefix and forgets the oldest one.
func (u *upstream) remember(prefix uint64) {
	if prefix == 0 {
		return
	}
	if old := u.ring[u.ringAt]; old != 0 {
		u.prefixes[old]--
		if u.prefixes[old] == 0 {
			delete(u.prefixes, old)
		}
	}
	u.ring[u.ringAt] = prefix
	u.ringAt = (u.ringAt + 1) % prefixMemory
	u.prefixes[prefix]++
}

// forgetPrefixes empties the record of prompt prefixes.
func (u *upstream) forgetPrefixes() {
	clear(u.prefixes)
	u.ring = [prefixMemory]uint64{}
}

// learn takes a sample of the upstream's speed.
func (u *upstream) learn(g Usage) {
	if g.tokens == 0 {
		return
	}
	u.first = smooth(u.first, g.firstToken)
	u.perToken = smooth(u.perToken, g.PerToken())
}

// smooth moves an average towards a sample; the first sample is taken whole.
func smooth(average, sample time.Duration) time.Duration {
	if average == 0 {
		return sample
	}
	return average + time.Duration(smoothing*float64(sample-average))
}

// better reports whether u is to be preferred to v for an ask: in time, with
// the prompt cached, then by the time per token that one more request leaves,
// then by the share of slots in use.
func (u *upstream) better(v *upstream, a Request, now time.Time) bool {
	if fu, fv := u.inTime(a, a.output, now), v.inTime(a, a.output, now); fu != fv {
		return fu
	}
	if cu, cv := u.cached(a.prefix), v.cached(a.prefix); cu != cv {
		return cu
	}
	lu, lv := u.load(), v.load()
	if lu != lv {
		return lu < lv
	}
	return u.id < v.id
}

// load returns the time an output token takes, weighted by the slots in use.
func (u *upstream) load() float64 {
	used := float64(len(u.running)+u.foreign+1) / float64(max(u.slots, 1))
	return used * float64(max(u.perToken, time.Millisecond))
}
