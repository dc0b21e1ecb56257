package linker

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"foxtaillug.org/foxtaild/forwarder"
	"foxtaillug.org/scheduler/pinner"
)

const (
	// findTimeout bounds the time in which other hosts are asked for an origin. Their
	// answers take one round trip, also between regions, and hosts under load some more.
	findTimeout = 300 * time.Millisecond
	// askAgainAfter is when hosts that have not answered are asked again. If all have and
	// none knows the origin, all are: a copy of its record may just have been sent.
	askAgainAfter = shareInterval + 10*time.Millisecond
)

// inquiry is a question to several hosts.
type inquiry struct {
	*pinner.Inquiry
	stream forwarder.StreamID
	// questions are the addresses of the hosts that have not answered, by the number of
	// the question. answers has room for all of them.
	questions map[uint64]string
	answers   chan numberedAnswer
	// knowledge is the best that this host or another has, and answered the number of
	// those that have answered.
	knowledge       pinner.Knowledge
	asked, answered int
}

// numberedAnswer is the answer to the question with a number. witness reports whether the
// host that answers has run since before the stream began.
type numberedAnswer struct {
	number uint64
	pinner.Answer
	witness bool
}

// Find returns the origin of a stream that a caller takes up again. It returns false if
// neither this host nor those that answer in time know it.
func (o *Origins) Find(ctx context.Context, s forwarder.StreamID) (origin pinner.Origin, ok bool) {
	if s.Key == 0 {
		return origin, false
	}
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	again := time.NewTimer(askAgainAfter)
	defer again.Stop()
	i := o.inquire(s)
	o.collect(ctx, i, again.C)
	if origin, ok = i.Origin(); !ok && i.asked > 0 && wait(ctx, began.Add(askAgainAfter)) {
		i = o.inquire(s)
		o.collect(ctx, i, nil)
		origin, ok = i.Origin()
	}
	o.mu.Lock()
	if ok {
		o.found++
	} else {
		o.unknown++
	}
	o.mu.Unlock()
	o.linker.log.Info("origin", "stream", strconv.FormatUint(uint64(s.Key), 16), "route", s.Route, "found", ok,
		"by", i.knowledge.String(), "pool", origin.Pool, "upstreamVersion", origin.Version,
		"asked", i.asked, "answered", i.answered, "ms", time.Since(began).Milliseconds())
	return origin, ok
}

// wait waits until a time. It returns false if ctx is done by then.
func wait(ctx context.Context, until time.Time) bool {
	t := time.NewTimer(time.Until(until))
	defer t.Stop()
	select {
	case <-t.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// inquire begins an inquiry. If this host has a record of the stream itself, nobody is asked.
func (o *Origins) inquire(s forwarder.StreamID) *inquiry {
	v := o.linker.view.Load()
	var hosts []pinner.Host
	o.mu.Lock()
	own, witness := o.answer(s.Key, s.Route, time.Now())
	o.mu.Unlock()
	if own.Knowledge != pinner.Recorded || s.Key.IsContent() {
		hosts = pinner.Sources(s.Key, pinnerHosts(v.members, isSource))
	}
	var opts []pinner.InquiryOption
	if s.Key.IsContent() {
		opts = append(opts, pinner.ByContent())
	}
	i := &inquiry{
		Inquiry: pinner.NewInquiry(own, len(hosts), v.alone, opts...), stream: s, knowledge: own.Knowledge, asked: len(hosts),
		questions: make(map[uint64]string, len(hosts)), answers: make(chan numberedAnswer, len(hosts)),
	}
	if witness {
		i.Witness()
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, h := range hosts {
		n := rand.Uint64()
		i.questions[n], o.inquiries[n] = h.Address, i
	}
	return i
}

// collect asks the hosts of an inquiry, again when a value arrives on again, and adds
// their answers until no more are needed or ctx is done.
func (o *Origins) collect(ctx context.Context, i *inquiry, again <-chan time.Time) {
	defer o.forget(i)
	o.ask(i)
	for !i.Done() {
		select {
		case a := <-i.answers:
			i.add(a)
		case <-again:
			o.ask(i)
		case <-ctx.Done():
			return
		}
	}
}

// ask sends the questions that have no answer.
func (o *Origins) ask(i *inquiry) {
	for n, address := range i.questions {
		o.send(originsMessage{Question: &originQuestion{Number: n, Key: uint64(i.stream.Key), Route: i.stream.Route}}, address)
	}
}

// add adds an answer.
func (i *inquiry) add(a numberedAnswer) {
	delete(i.questions, a.number)
	i.answered++
	i.Add(a.Answer)
	if a.witness {
		i.Witness()
	}
	switch {
	case i.knowledge == pinner.Recorded:
	case a.Knowledge == pinner.Recorded, a.Knowledge > i.knowledge:
		i.knowledge = a.Knowledge
	}
}

// forget ends an inquiry, so that later answers have no effect.
func (o *Origins) forget(i *inquiry) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for n := range i.questions {
		delete(o.inquiries, n)
	}
}
