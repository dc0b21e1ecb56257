package coordinator

import (
	"slices"
	"time"

	"foxtaillug.org/scheduler/reserver"
)

const (
	// reservedFraction is the part of a pool's upstreams above which queued requests reserve
	// no more: the others stay open to smaller requests.
	reservedFraction = 0.5
	// reservationAge is the fraction of its objective after which a request reserves: most
	// find room before, and an upstream that is held has free slots that nothing uses.
	reservationAge = 0.5
	// reservationTime is how long an upstream stays reserved after the request was last tried.
	// It bounds the time that an upstream is held for one that has left the queue, and covers
	// that in which all slots are taken.
	reservationTime = 250 * time.Millisecond
)

// tokenRoom is the room for tokens on an upstream.
type tokenRoom struct {
	*reserver.Room
	// reservedFor is the queued request, of a rank, that has reserved the upstream until a
	// time.
	reservedFor   key
	reservedRank  rank
	reservedUntil time.Time
}

// isReserved reports whether a queued request has reserved the upstream.
func (t *tokenRoom) isReserved(now time.Time) bool { return now.Before(t.reservedUntil) }

// tokenSearch is what a round of serve has found of the room for tokens in a pool.
type tokenSearch struct {
	// full lists what requests needed for which no upstream had room.
	full []reserver.Demand
	// reservable is set if such a request may reserve an upstream.
	reservable bool
	round      uint64
}

// demand returns what a request needs.
func (r *Request) demand() reserver.Demand {
	return reserver.Demand{Prompt: r.Prompt, Output: r.Output, MaxPause: r.MaxPause, Objective: r.Objective}
}

// setMemory applies the memory that the configuration states for an upstream's pool. Without
// it, or with TokenRoom off, tokens are not counted.
func (c *Coordinator) setMemory(u *upstream, now time.Time) {
	p := c.pools[u.Pool]
	switch {
	case !c.features.TokenRoom || p == nil || p.Memory <= 0:
		u.tokens = nil
	case u.tokens != nil:
		u.tokens.SetMemory(p.Memory)
	default:
		u.tokens = &tokenRoom{Room: reserver.New(p.Memory)}
		for _, g := range u.running {
			u.tokens.Add(g.req.demand(), 0, u.readingTime, now)
		}
	}
}

// readingTime estimates the time in which the upstream reads a number of prompt tokens.
func (u *upstream) readingTime(tokens int) time.Duration {
	return u.tokens.ReadingTime(tokens, func(n int) time.Duration { return u.speed.FirstTokenTime(n) - u.speed.FirstTokenTime(0) })
}

// holdTokens counts the tokens of a request that the upstream is granted to. It must be called
// before they are added to pendingPrompt.
func (u *upstream) holdTokens(r Request, now time.Time) {
	if u.tokens != nil {
		u.tokens.Add(r.demand(), u.pendingPrompt, u.readingTime, now)
	}
}

// observeReading records the time to the first event of a request, if its prompt was the only
// one that the upstream was reading.
func (u *upstream) observeReading(g *grant, took time.Duration) {
	if u.tokens != nil && g.onlyPrompt {
		u.tokens.ObserveReading(g.req.Prompt, took)
	}
}

// returnTokens undoes holdTokens.
func (u *upstream) returnTokens(r Request) {
	if u.tokens != nil {
		u.tokens.Remove(r.demand())
	}
}

// isClosed reports whether the upstream has so many prompt tokens to read that it accepts no
// request.
func (u *upstream) isClosed(now time.Time) bool {
	return u.tokens != nil && u.pendingPrompt > 0 && u.tokens.Closed(u.pendingPrompt, u.readingTime, now)
}

// hasRoom reports whether the upstream has room for the tokens of a request of a rank, which
// no other request of that rank or a higher one has reserved.
func (u *upstream) hasRoom(k key, r Request, of rank, now time.Time) bool {
	t := u.tokens
	if t == nil {
		return true
	}
	if t.isReserved(now) && t.reservedFor != k && of >= t.reservedRank {
		return false
	}
	d := r.demand()
	return t.Fits(d) && (u.pendingPrompt == 0 || t.Admits(d, u.pendingPrompt, u.readingTime, now))
}

// pauseCost returns the time by which a request's prompt delays the streams that run on the
// upstream beyond their longest pause.
func (u *upstream) pauseCost(r Request, now time.Time) time.Duration {
	if u.tokens == nil {
		return 0
	}
	return u.tokens.Delay(r.Prompt, u.pendingPrompt, u.readingTime, now)
}

// refuseTooLarge refuses a request of an entry host that fits into the memory of no upstream of
// a pool, even if nothing else runs there, and reports whether it did.
func (c *Coordinator) refuseTooLarge(p *pool, entry string, r Request, now time.Time) bool {
	if !c.features.TokenRoom || p.Memory <= 0 || r.demand().FitsAlone(p.Memory) {
		return false
	}
	c.decide(entry, Decision{ID: r.ID, Reason: NoCapacity, TooLarge: true, RetryAfter: maxRetryAfter, Explanation: c.explain(p, 0, now)})
	return true
}

// reserve reserves the upstream that lacks the least memory for a large queued request that
// has waited and fits nowhere, so that smaller ones do not keep the memory full: late requests, as large ones
// often are, come after those in time. It reserves none where only unread prompts are in the
// way, as they end by themselves. It also records the request for this round of serve, so that
// others that need as much are not tried one by one.
func (c *Coordinator) reserve(p *pool, w *waiter, now time.Time) {
	if !c.features.TokenRoom || p.Memory <= 0 {
		return
	}
	if p.tokens.round != p.round {
		p.tokens.round, p.tokens.full = p.round, p.tokens.full[:0]
	}
	k, d := key{w.entry, w.ID}, w.demand()
	var best *upstream
	least, reserved, allReserved, full := 0.0, 0, true, true
	for _, u := range p.members {
		if u.tokens.isReserved(now) {
			own := u.tokens.reservedFor == k
			if own && u.eligible(now) {
				u.tokens.reservedRank, u.tokens.reservedUntil = w.rank(), now.Add(reservationTime)
				return
			}
			if own {
				// The upstream is out of service, so another one has room first.
				u.tokens.reservedUntil = now
				continue
			}
			reserved++
		}
		if !u.canAccept(now) {
			continue
		}
		full = full && !u.hasRoom(k, w.Request, w.rank(), now)
		if u.tokens.isReserved(now) {
			continue
		}
		allReserved = false
		if shortage := u.tokens.Shortage(d); shortage > 0 && (best == nil || shortage < least) && c.allowed(u, w.entry, w.Request, now) {
			best, least = u, shortage
		}
	}
	if full && allReserved {
		p.tokens.full = append(p.tokens.full, reserver.Demand{})
	} else if full {
		p.tokens.full = append(p.tokens.full, d)
	}
	p.tokens.reservable = best != nil && float64(reserved) < reservedFraction*float64(len(p.members))
	if full && p.tokens.reservable && w.mayReserve(now) && best.tokens.Outsizes(d) {
		best.tokens.reservedFor, best.tokens.reservedRank, best.tokens.reservedUntil = k, w.rank(), now.Add(reservationTime)
		w.reserving = true
	}
}

// mayReserve reports whether a request has waited so long that it reserves room.
func (w *waiter) mayReserve(now time.Time) bool {
	return w.age(now) > time.Duration(reservationAge*float64(w.Objective))
}

// noRoomFor reports whether no upstream of a pool has room for the tokens of a request, as
// found in the current round of serve. It does not say so of one that has reserved an upstream,
// or may, being much larger than those that were tried.
func (p *pool) noRoomFor(w *waiter, now time.Time) bool {
	if p.tokens.round != p.round || len(p.tokens.full) == 0 || w.reserving {
		return false
	}
	d := w.demand()
	return slices.ContainsFunc(p.tokens.full, func(o reserver.Demand) bool {
		return d.Covers(o) && (!p.tokens.reservable || !d.Outsizes(o) || !w.mayReserve(now))
	})
}
