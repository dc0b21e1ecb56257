// Package balancer chooses the failure domain in which a request runs.
//
// Upstreams differ in speed and requests in size, so room is measured in work: the slot
// time that requests take on a typical upstream. Every coordinator sends the others a
// Room for each of its pools. Choose compares the forecast of a request at home with that
// in the rooms of the others. It is a pure function: what was sent since a room was
// reported, the age of the report and the budget of the link are arguments.
//
// Several coordinators see the same room. Each uses a part of the free slots, dealt by the
// number of the report, and assumes for the rest that all others send as much work as it
// does itself.
package balancer

import (
	"math"
	"time"
)

const (
	// NearWay and FarWay are the times that a message takes to a failure domain of the
	// same region and of another one, as the operators state them.
	NearWay, FarWay = time.Millisecond, 12 * time.Millisecond
	// LinkRate is the bandwidth between regions for all traffic, in bytes per second:
	// the 60 Mbit/s that the operators state. OverflowShare is the fraction of it that
	// redirected requests may use.
	LinkRate, OverflowShare = 60e6 / 8, 0.25
	// promptBytes is the size of a prompt token in a request, outputBytes that of an
	// output token in a response: text has about four bytes a token, and an event of
	// five tokens or more has a frame of less than 200 bytes.
	promptBytes, outputBytes = 4, 40
	// freshAge is the age up to which a room counts in full: two intervals between
	// summaries, so that one may be lost.
	freshAge = 300 * time.Millisecond
	// maxAge is the age from which a room is no target.
	maxAge = time.Second
	// forecastError is the factor by which forecasts of waits are off.
	forecastError = 1.5
	// minRateShare is the fraction of the work rate that every rank is assumed to get,
	// because the requests ahead of it arrive in waves.
	minRateShare = 0.2
)

// Bytes estimates the size of a request with its response from their tokens.
func Bytes(prompt, output int) float64 {
	return promptBytes*float64(prompt) + outputBytes*float64(output)
}

// Room is the capacity of a pool in a failure domain and how much of it is taken, as
// coordinators report it to each other. Work is given as time on a typical upstream.
type Room struct {
	// Rate is the work done per second with all slots in use, Spread the standard
	// deviation of it.
	Rate, Spread float64
	// Queued is the work of the queued requests by tier, and Running what is left of
	// that of the running ones, both in milliseconds.
	Queued  []int
	Running int
	// Free is the number of free slots less the queued requests.
	Free int
	// Waits is the time that a new request is expected to wait for a slot, by rank, in
	// milliseconds. Ranks below the last wait as long as that one.
	Waits []int
	// FirstToken is the factor of time to the first event relative to a typical upstream.
	FirstToken float64
	// Round is the number of the report.
	Round uint64
}

// wait returns the wait of a rank.
func (r *Room) wait(rank int) time.Duration {
	if len(r.Waits) == 0 {
		return 0
	}
	return time.Duration(r.Waits[min(rank, len(r.Waits)-1)]) * time.Millisecond
}

// Backlog is the work ahead of a queue's requests, by rank, in seconds.
type Backlog struct {
	// InTime and Late are the work of queued requests that can still meet their
	// objective and of those that cannot; the latter are served after the former.
	InTime, Late []float64
	// Arriving is the work that arrives per second.
	Arriving []float64
	// Mean is the work of one request.
	Mean float64
}

// Wait returns how long a request of a rank waits for a slot behind a given work of its
// rank, at a rate of work per second.
func (b *Backlog) Wait(rank int, behind, rate float64) time.Duration {
	left, ahead := rate, behind+b.Mean
	for r := range rank {
		left -= b.Arriving[r]
		ahead += b.InTime[r] + b.Late[r]
	}
	s := ahead / max(left, minRateShare*rate, math.SmallestNonzeroFloat32)
	return time.Duration(min(s, time.Hour.Seconds()) * float64(time.Second))
}

// Waits returns Room.Waits of a queue.
func (b *Backlog) Waits(rate float64) []int {
	waits := make([]int, len(b.InTime))
	for r := range waits {
		waits[r] = int(b.Wait(r, b.InTime[r], rate) / time.Millisecond)
	}
	for len(waits) > 1 && waits[len(waits)-1] == waits[len(waits)-2] {
		waits = waits[:len(waits)-1]
	}
	return waits
}

// Request is a queued request.
type Request struct {
	Rank int
	// Left is the time until its objective; it may be negative.
	Left time.Duration
	// FirstToken is the time to the first event and Work the total time on a typical
	// upstream.
	FirstToken, Work time.Duration
	// Bytes is what crosses the link if it runs in another region.
	Bytes float64
}

// Home is the forecast of a request in its own failure domain, where it has found no free
// slot.
type Home struct {
	// Unable is set if no upstream there may serve it.
	Unable bool
	// InTime is set if it is expected to meet its objective after Wait.
	InTime bool
	Wait   time.Duration
}

// Peer is another failure domain that may serve a request.
type Peer struct {
	Domain string
	// Far is set for a domain of another region.
	Far bool
	// Room is the last report, Age its age. Known is false for a coordinator of an
	// earlier build, of which only Room.Free is known.
	Room  Room
	Age   time.Duration
	Known bool
	// Sent is the number of requests that this coordinator has sent there and that the
	// report does not contain, SentWork their work.
	Sent     int
	SentWork time.Duration
	// Senders is the number of coordinators that may send requests there, this one
	// included, Sender the index of this one in the order of their domains.
	Senders, Sender int
}

// way returns the time that a message to the domain takes.
func (p *Peer) way() time.Duration {
	if p.Far {
		return FarWay
	}
	return NearWay
}

// part returns the number of free slots that this sender may use. The slots of a report
// are dealt to the senders in turn, beginning with another one in each report.
func (p *Peer) part() int {
	free := max(p.Room.Free, 0)
	if p.Age > freshAge {
		free = int(float64(free) * float64(maxAge-p.Age) / float64(maxAge-freshAge))
	}
	n := max(p.Senders, 1)
	part := free / n
	if (p.Sender+int(p.Room.Round%uint64(n)))%n < free%n {
		part++
	}
	return part
}

// wait returns how long a request is expected to wait for a slot there if no free one is
// left: what all senders have sent since the report waits, too, and a queue may have grown
// since then by as much as the report is old.
func (p *Peer) wait(r Request) time.Duration {
	rate := max(p.Room.Rate-p.Room.Spread, minRateShare*p.Room.Rate)
	if !p.Known || rate <= 0 {
		return math.MaxInt64
	}
	sent := float64(max(p.Senders, 1)) * float64(p.SentWork) / rate
	wait := float64(p.Room.wait(r.Rank)) + sent + float64(max(0, p.Age-freshAge))
	return time.Duration(min(wait, float64(time.Hour)))
}

// Choose returns the domain that a request goes to, and false if it stays at home. Domains
// of another region are used within a budget of bytes.
//
// A request that home can't serve goes where it waits least. Any other goes to the nearest
// domain that meets its objective while home does not, or that has a free slot now; between
// regions it goes only if home does not meet the objective. Of two at the same distance it
// goes to the one with the shorter wait.
func Choose(r Request, h Home, peers []Peer, budget float64) (domain string, ok bool) {
	var best *Peer
	var bestWait time.Duration
	bestFree := false
	for i := range peers {
		p := &peers[i]
		free := p.part() > p.Sent
		wait := time.Duration(0)
		if !free {
			wait = p.wait(r)
		}
		if !h.Unable && !p.accepts(r, h, free, wait, budget) {
			continue
		}
		if best != nil && !p.before(best, h, free, bestFree, wait, bestWait) {
			continue
		}
		best, bestWait, bestFree = p, wait, free
	}
	if best == nil {
		return "", false
	}
	return best.Domain, true
}

// accepts reports whether a request that home can serve goes to the domain, which has a
// free slot or lets it wait.
func (p *Peer) accepts(r Request, h Home, free bool, wait time.Duration, budget float64) bool {
	if p.Age >= maxAge || p.Far && (h.InTime || r.Bytes > budget) {
		return false
	}
	if free {
		return true
	}
	if h.InTime || wait >= h.Wait || wait == math.MaxInt64 {
		return false
	}
	first := time.Duration(p.Room.FirstToken*float64(r.FirstToken)) + 2*p.way()
	return time.Duration(forecastError*float64(wait))+first <= r.Left
}

// before reports whether the domain is preferred to another one. A request that home can't
// serve goes to a distant domain with a free slot before it waits in a near one.
func (p *Peer) before(o *Peer, h Home, free, otherFree bool, wait, otherWait time.Duration) bool {
	if h.Unable && free != otherFree {
		return free
	}
	if p.Far != o.Far && (!h.Unable || free) {
		return !p.Far
	}
	if wait != otherWait {
		return wait < otherWait
	}
	if !free && wait == math.MaxInt64 {
		return p.Room.Free-p.Sent > o.Room.Free-o.Sent
	}
	return false
}
