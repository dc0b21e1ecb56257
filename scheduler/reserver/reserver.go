// Package reserver decides whether an upstream has room for the tokens of a request.
//
// A Room holds what the requests that run on one upstream need: tokens in memory, and the
// prompt tokens that the upstream reads before it goes on with the tokens of the others.
// Output lengths are known as an estimate that is right at the median only, so a reserve
// is kept for them. A Room takes the time and the upstream's speed with every call.
package reserver

import (
	"math"
	"slices"
	"time"
)

const (
	// outputMean and outputDeviation are the mean and the standard deviation of an output
	// length whose median is 1, if it is log-normal with a spread of a factor of 2.
	outputMean, outputDeviation = 1.27, 1.0
	// reservedDeviations is the number of standard deviations of the sum of the output
	// lengths that is kept free. At 2, about one upstream in fifty that is filled to the
	// limit runs out of memory.
	reservedDeviations = 2
	// overdueFactor is the ratio of the time since an upstream began to read to the time
	// that its prompts take, above which they count as read. The end of reading is seen by
	// the first event of a stream only; other responses arrive when their request ends.
	overdueFactor = 2
	// overdueAllowance is added to that time: a first event also takes a step of the
	// upstream and the way of the message.
	overdueAllowance = 100 * time.Millisecond
)

const (
	// speedGain is the weight of a new observation of the reading speed from a prompt that is
	// much longer than typicalPrompt tokens. Shorter ones have less weight, as most of the
	// time to their first event is not spent on reading.
	speedGain     = 0.5
	typicalPrompt = 2000
)

// Demand is what one request needs.
type Demand struct {
	// Prompt is the number of prompt tokens, Output the median of the number of generated
	// ones.
	Prompt, Output int
	// MaxPause is the target for the longest pause between two events, and Objective that
	// for the time to the first one; 0 means unknown.
	MaxPause, Objective time.Duration
}

// pause returns how long the upstream may read without an event of the request.
func (d Demand) pause() time.Duration {
	if d.MaxPause > 0 {
		return d.MaxPause
	}
	return d.Objective
}

// Covers reports whether an upstream that has room for d has room for o.
func (d Demand) Covers(o Demand) bool {
	return o.Prompt <= d.Prompt && o.Output <= d.Output && (o.pause() == 0 || d.pause() > 0 && o.pause() >= d.pause())
}

// Outsizes reports whether a request needs at least the memory of two others.
func (d Demand) Outsizes(o Demand) bool { return d.Prompt+d.Output >= 2*(o.Prompt+o.Output) }

// FitsAlone reports whether a request fits into a memory, in tokens, in which nothing else is
// kept.
func (d Demand) FitsAlone(memory int) bool { return d.Prompt+d.Output <= memory }

// ReadingTime returns the time in which an upstream reads a number of prompt tokens.
type ReadingTime func(tokens int) time.Duration

// Room is the room for tokens on one upstream. It is not safe for concurrent use.
type Room struct {
	// memory is the number of tokens that the upstream holds.
	memory int
	// running is the number of requests that run. prompt and output are the sums of their
	// tokens, squares is that of the squared outputs.
	running, prompt, output, squares float64
	// pauses lists the MaxPause of the running requests that have one, shortest is the
	// lowest of them, 0 if there is none.
	pauses   []time.Duration
	shortest time.Duration
	// period is the number of prompt tokens admitted since the upstream last had none to
	// read, at periodStart.
	period      int
	periodStart time.Time
	// perToken is the time in which the upstream reads a prompt token, in nanoseconds, 0
	// if it is not known.
	perToken float64
}

// ObserveReading records the time to the first event of a prompt, whose length is given in
// tokens. No other prompt may have been read at the same time.
func (r *Room) ObserveReading(prompt int, took time.Duration) {
	if prompt <= 0 || took <= 0 {
		return
	}
	n := float64(prompt)
	observed := float64(took) / n
	weight := n / (n + typicalPrompt)
	if r.perToken == 0 {
		if weight < 0.25 {
			return
		}
		r.perToken = observed
		return
	}
	r.perToken += speedGain * weight * (observed - r.perToken)
}

// ReadingTime returns the time in which the upstream reads a number of prompt tokens, as
// observed, or else as estimated by read.
func (r *Room) ReadingTime(tokens int, read ReadingTime) time.Duration {
	if r.perToken == 0 {
		return read(tokens)
	}
	return time.Duration(r.perToken * float64(tokens))
}

// New returns the room on an upstream that runs no requests and whose memory holds a number
// of tokens.
func New(memory int) *Room { return &Room{memory: memory} }

// SetMemory changes the number of tokens that the upstream holds.
func (r *Room) SetMemory(tokens int) { r.memory = tokens }

// Add adds a request that runs on the upstream. Unread is the number of prompt tokens of the
// other requests that have no first event.
func (r *Room) Add(d Demand, unread int, read ReadingTime, now time.Time) {
	r.hold(d, 1)
	if !r.Reads(unread, read, now) {
		r.period, r.periodStart = 0, now
	}
	r.period += d.Prompt
	if d.MaxPause > 0 {
		r.pauses = append(r.pauses, d.MaxPause)
		r.shortest = slices.Min(r.pauses)
	}
}

// Remove removes a request that has ended.
func (r *Room) Remove(d Demand) {
	r.hold(d, -1)
	i := slices.Index(r.pauses, d.MaxPause)
	if i < 0 {
		return
	}
	r.pauses = slices.Delete(r.pauses, i, i+1)
	r.shortest = 0
	if len(r.pauses) > 0 {
		r.shortest = slices.Min(r.pauses)
	}
}

// hold adds a request's tokens n times.
func (r *Room) hold(d Demand, n float64) {
	output := float64(d.Output)
	r.running += n
	r.prompt += n * float64(d.Prompt)
	r.output += n * output
	r.squares += n * output * output
}

// Fits reports whether a request fits into memory beside those that run. An upstream that
// runs none takes what fits without a reserve.
func (r *Room) Fits(d Demand) bool {
	if r.running == 0 {
		return d.FitsAlone(r.memory)
	}
	return r.Shortage(d) <= 0
}

// Shortage returns the number of tokens by which the memory is too small for a request beside
// those that run, with the reserve.
func (r *Room) Shortage(d Demand) float64 {
	output := float64(d.Output)
	reserve := reservedDeviations * outputDeviation * math.Sqrt(max(0, r.squares+output*output))
	return r.prompt + float64(d.Prompt) + outputMean*(r.output+output) + reserve - float64(r.memory)
}

// Outsizes reports whether a request needs at least as much memory as two of those that run
// leave on average, so that one that ends makes no room for it.
func (r *Room) Outsizes(d Demand) bool {
	return float64(d.Prompt+d.Output)*r.running >= 2*(r.prompt+r.output)
}

// Reads reports whether the upstream still reads prompts. Unread is the number of prompt
// tokens of the requests that have no first event.
func (r *Room) Reads(unread int, read ReadingTime, now time.Time) bool {
	return unread > 0 && now.Sub(r.periodStart) <= overdueFactor*read(r.period)+overdueAllowance
}

// Admits reports whether the upstream reads the prompt of a request soon enough after those
// that it has been reading without a break: within the longest pause that any stream there
// or the request allows. The whole period counts, not just what is unread, because the
// streams may get no event before its end.
func (r *Room) Admits(d Demand, unread int, read ReadingTime, now time.Time) bool {
	limit := d.pause()
	if r.shortest > 0 && (limit == 0 || r.shortest < limit) {
		limit = r.shortest
	}
	return limit == 0 || !r.Reads(unread, read, now) || read(r.period+d.Prompt) <= limit
}

// Closed reports whether the upstream admits no prompt, however short.
func (r *Room) Closed(unread int, read ReadingTime, now time.Time) bool {
	return unread > 0 && r.shortest > 0 && read(r.period) >= r.shortest && r.Reads(unread, read, now)
}

// Delay returns the time by which the running streams are delayed beyond their longest pause,
// summed over them, if the upstream reads a prompt next. Unread is the number of prompt tokens
// of the requests that have no first event.
func (r *Room) Delay(prompt, unread int, read ReadingTime, now time.Time) time.Duration {
	if r.shortest == 0 {
		return 0
	}
	if r.Reads(unread, read, now) {
		prompt += r.period
	}
	return max(0, read(prompt)-r.shortest) * time.Duration(len(r.pauses))
}
