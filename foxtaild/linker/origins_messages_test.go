package linker

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"foxtaillug.org/foxtaild/directory"
	"foxtaillug.org/foxtaild/forwarder"
	"foxtaillug.org/scheduler/detector"
	"foxtaillug.org/scheduler/pinner"
)

// TestOlderBuildsIgnoreMessagesOnOrigins decodes them as membership messages, and the
// reverse.
func TestOlderBuildsIgnoreMessagesOnOrigins(t *testing.T) {
	tests := map[string]any{
		"copies":   originsMessage{Copies: []originCopies{{Pool: "p", Version: "v", Records: []originRecord{{Key: 1, LeftMs: 2}}}}},
		"question": originsMessage{Question: &originQuestion{Number: 1, Key: 2, Route: "r"}},
		"answer":   originsMessage{Answer: &originAnswer{Number: 1, Knowledge: pinner.Sole, Pool: "p", Version: "v"}},
		"empty":    originsMessage{},
	}
	for name, m := range tests {
		t.Run(name, func(t *testing.T) {
			b, err := cbor.Marshal(m)
			if err != nil {
				t.Fatal(err)
			}
			var old gossipMessage
			if err := cbor.Unmarshal(b, &old); err == nil {
				t.Errorf("an older build reads %+v", old)
			}
			if !isOriginsMessage(b) {
				t.Error("this build does not recognise it")
			}
			if _, err := decodeOrigins(b); err != nil {
				t.Error(err)
			}
		})
	}
	b, err := cbor.Marshal(gossipMessage{Message: detector.Message{From: detector.Member{ID: "h"}}})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := decodeOrigins(b); err == nil || isOriginsMessage(b) {
		t.Error("a membership message is read as one on origins")
	}
}

// TestCopiesFitDatagrams packs copies until none is left.
func TestCopiesFitDatagrams(t *testing.T) {
	now := time.Now()
	copies := func(n, origins int, name string, left time.Duration) (queue []queuedCopy) {
		for i := range n {
			queue = append(queue, queuedCopy{math.MaxUint64 - pinner.Key(i+len(name)<<32), pinner.Origin{Pool: name, Version: fmt.Sprint(name, i%origins)}, now.Add(left)})
		}
		return queue
	}
	tests := map[string]struct {
		queue               []queuedCopy
		want, wantDatagrams int
	}{
		"none":           {nil, 0, 0},
		"one":            {copies(1, 1, "v", time.Second), 1, 1},
		"one origin":     {copies(5000, 1, "v", maxRecordLife), 5000, 10},
		"two origins":    {copies(1000, 2, "v", maxRecordLife), 1000, 2},
		"many origins":   {copies(1000, 1000, "v", maxRecordLife), 1000, 4},
		"long names":     {copies(300, 300, strings.Repeat("v", 400), time.Second), 300, 34},
		"names too long": {append(copies(2, 1, strings.Repeat("v", 5000), time.Second), copies(3, 1, "v", time.Second)...), 3, 1},
		"streams ended":  {append(copies(2, 1, "v", 0), copies(3, 1, "v", time.Second)...), 3, 1},
		"hours left":     {copies(3, 1, "v", 1<<62), 3, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got := make(map[pinner.Key]pinner.Origin)
			datagrams := 0
			for queue := tt.queue; len(queue) > 0; datagrams++ {
				m, n, rest := packCopies(queue, now)
				queue = rest
				b, err := cbor.Marshal(m)
				if err != nil || len(b) > maxDatagramBytes {
					t.Fatalf("datagram of %d bytes, %v", len(b), err)
				}
				read, err := decodeOrigins(b)
				if err != nil {
					t.Fatal(err)
				}
				for _, c := range read.Copies {
					for _, r := range c.Records {
						got[pinner.Key(r.Key)] = pinner.Origin{Pool: c.Pool, Version: c.Version}
						n--
					}
				}
				if n != 0 {
					t.Fatalf("%d records more are counted than sent", n)
				}
			}
			if len(got) != tt.want || datagrams != tt.wantDatagrams {
				t.Errorf("%d records in %d datagrams, want %d in %d", len(got), datagrams, tt.want, tt.wantDatagrams)
			}
			for _, c := range tt.queue {
				if o, ok := got[c.key]; ok && o != c.origin {
					t.Errorf("stream %d has another origin", c.key)
				}
			}
		})
	}
}

// originPeer is a socket in place of another host.
type originPeer struct {
	*net.UDPConn
	domain string
}

// newOriginPeer returns a peer of a failure domain.
func newOriginPeer(t *testing.T, domain string) originPeer {
	t.Helper()
	c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return originPeer{c, domain}
}

// newOriginsWith returns the origins of a host with some peers.
func newOriginsWith(t *testing.T, peers ...originPeer) *Origins {
	t.Helper()
	l := &Linker{settings: Settings{Host: "h", Domain: "a"}, log: slog.New(slog.DiscardHandler), udpConn: newOriginPeer(t, "a").UDPConn}
	l.directory = directory.New(l.log)
	v := &view{}
	for i, p := range peers {
		v.members = append(v.members, detector.Member{ID: fmt.Sprint(i), Domain: p.domain, Address: p.LocalAddr().String()})
	}
	l.view.Store(v)
	l.origins = newOrigins(l)
	return l.origins
}

// question reads the next question that a peer receives.
func (p originPeer) question(t *testing.T) *originQuestion {
	buf := make([]byte, maxDatagramBytes)
	_ = p.SetReadDeadline(time.Now().Add(30 * time.Second))
	n, err := p.Read(buf)
	if err != nil {
		t.Error(err)
		return &originQuestion{}
	}
	m, err := decodeOrigins(buf[:n])
	if err != nil || m.Question == nil {
		t.Errorf("received %+v, %v, want a question", m, err)
		return &originQuestion{}
	}
	return m.Question
}

// TestAnswersCountOnce has two peers answer the question of a host that knows nothing.
func TestAnswersCountOnce(t *testing.T) {
	const sole, recorded, mixed = pinner.Sole, pinner.Recorded, pinner.Mixed
	answer := func(q *originQuestion, k pinner.Knowledge) *originAnswer {
		return &originAnswer{Number: q.Number, Knowledge: k, Pool: "p", Version: "v"}
	}
	other := func(a *originAnswer) *originAnswer {
		a.Version = "v2"
		return a
	}
	tests := map[string]struct {
		answers func(first, second *originQuestion) []*originAnswer
		want    bool
	}{
		"none": {func(_, _ *originQuestion) []*originAnswer { return nil }, false},
		"recorded at one": {func(q, _ *originQuestion) []*originAnswer {
			return []*originAnswer{answer(q, recorded)}
		}, true},
		"sole at both": {func(q, r *originQuestion) []*originAnswer {
			return []*originAnswer{answer(q, sole), answer(r, sole)}
		}, true},
		"sole, of one twice and mixed": {func(q, r *originQuestion) []*originAnswer {
			return []*originAnswer{answer(q, sole), answer(q, sole), answer(r, mixed)}
		}, false},
		"sole, two versions": {func(q, r *originQuestion) []*originAnswer {
			return []*originAnswer{answer(q, sole), other(answer(r, sole))}
		}, false},
		"sole without a version": {func(q, r *originQuestion) []*originAnswer {
			a, b := answer(q, sole), answer(r, sole)
			a.Version, b.Version = "", ""
			return []*originAnswer{a, b}
		}, false},
		"a number that was not sent": {func(q, r *originQuestion) []*originAnswer {
			a := answer(q, recorded)
			for a.Number == q.Number || a.Number == r.Number {
				a.Number++
			}
			return []*originAnswer{a}
		}, false},
		"changed after the answer": {func(q, r *originQuestion) []*originAnswer {
			return []*originAnswer{answer(q, mixed), answer(q, recorded), answer(r, mixed)}
		}, false},
		"knowledge of a later build": {func(q, r *originQuestion) []*originAnswer {
			return []*originAnswer{answer(q, 200), answer(r, recorded)}
		}, true},
		"a record that two streams claim": {func(q, _ *originQuestion) []*originAnswer {
			a := answer(q, recorded)
			a.Pool, a.Version = "", ""
			return []*originAnswer{a}
		}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			peers := []originPeer{newOriginPeer(t, "a"), newOriginPeer(t, "b")}
			o := newOriginsWith(t, peers...)
			i := o.inquire(forwarder.StreamID{Key: 7, Route: "r"})
			o.ask(i)
			first, second := peers[0].question(t), peers[1].question(t)
			if first.Key != 7 || second.Route != "r" || first.Number == second.Number {
				t.Fatalf("questions are %+v and %+v", first, second)
			}
			for _, a := range tt.answers(first, second) {
				o.receiveMessage(t, originsMessage{Answer: a})
			}
			for len(i.answers) > 0 {
				i.add(<-i.answers)
			}
			if _, ok := i.Origin(); ok != tt.want {
				t.Errorf("found is %v, want %v", ok, tt.want)
			}
			o.forget(i)
			o.receiveMessage(t, originsMessage{Answer: answer(first, recorded)})
			o.receiveMessage(t, originsMessage{Answer: answer(second, recorded)})
			if len(i.answers) > 0 || len(o.inquiries) > 0 {
				t.Error("a late answer has an effect")
			}
		})
	}
}

// receiveMessage receives an encoded message.
func (o *Origins) receiveMessage(t *testing.T, m originsMessage) {
	t.Helper()
	b, err := cbor.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	o.receive(b, "127.0.0.1:1")
}

// TestQuestionsAreRepeated has a peer whose first answer in each inquiry is lost, or comes
// before it has received the record.
func TestQuestionsAreRepeated(t *testing.T) {
	tests := map[string]bool{"answer is lost": true, "record comes later": false}
	for name, lost := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newOriginPeer(t, "b")
			o := newOriginsWith(t, p)
			var first atomic.Bool
			ctx, cancel := context.WithCancel(t.Context())
			var wg sync.WaitGroup
			wg.Go(func() {
				for ctx.Err() == nil {
					q := p.question(t)
					a := &originAnswer{Number: q.Number, Knowledge: pinner.Recorded, Pool: "p", Version: "v"}
					if first.Swap(false) {
						if lost {
							continue
						}
						a = &originAnswer{Number: q.Number, Knowledge: pinner.Mixed}
					}
					o.receiveMessage(t, originsMessage{Answer: a})
				}
			})
			want, s := pinner.Origin{Pool: "p", Version: "v"}, forwarder.StreamID{Key: 7, Route: "r"}
			// On a slow machine the second answer may be late as well.
			for until := time.Now().Add(30 * time.Second); ; {
				first.Store(true)
				got, ok := o.Find(t.Context(), s)
				if ok && got == want && !first.Load() {
					break
				}
				if time.Now().After(until) {
					t.Fatalf("found %v, %v, want %v", got, ok, want)
				}
			}
			cancel()
			o.send(originsMessage{Question: &originQuestion{}}, p.LocalAddr().String())
			wg.Wait()
		})
	}
}

// TestInquiryEnds asks a peer that never answers, and has it answer afterwards.
func TestInquiryEnds(t *testing.T) {
	p := newOriginPeer(t, "b")
	o := newOriginsWith(t, p)
	if got, ok := o.Find(t.Context(), forwarder.StreamID{Key: 7, Route: "r"}); ok {
		t.Errorf("found %v", got)
	}
	if len(o.inquiries) > 0 {
		t.Errorf("%d questions still wait for an answer", len(o.inquiries))
	}
	o.receiveMessage(t, originsMessage{Answer: &originAnswer{Number: p.question(t).Number, Knowledge: pinner.Recorded, Pool: "p", Version: "v"}})
}

// TestTimeLeftIsCapped receives a copy that claims to be valid for weeks.
func TestTimeLeftIsCapped(t *testing.T) {
	o := newOriginsWith(t)
	o.receiveMessage(t, originsMessage{Copies: []originCopies{{Pool: "p", Version: "v", Records: []originRecord{{Key: 1, LeftMs: math.MaxUint32}}}}})
	after := time.Now()
	if a := o.pinner.Answer(1, "r", after); a.Knowledge != pinner.Recorded {
		t.Fatalf("answer is %v", a)
	}
	if a := o.pinner.Answer(1, "r", after.Add(maxRecordLife)); a.Knowledge == pinner.Recorded {
		t.Error("the record is kept for longer than records are")
	}
}

// TestSourcesAndHolders selects members by their state.
func TestSourcesAndHolders(t *testing.T) {
	list := []detector.Member{
		{ID: "alive"}, {ID: "leaving", Leaving: true}, {ID: "suspect", Status: detector.Suspect}, {ID: "dead", Status: detector.Dead},
	}
	ids := func(hosts []pinner.Host) (ids []string) {
		for _, h := range hosts {
			ids = append(ids, h.ID)
		}
		return ids
	}
	if got, want := ids(pinnerHosts(list, isHolder)), []string{"alive"}; !slices.Equal(got, want) {
		t.Errorf("holders %v, want %v", got, want)
	}
	if got, want := ids(pinnerHosts(list, isSource)), []string{"alive", "leaving", "suspect"}; !slices.Equal(got, want) {
		t.Errorf("sources %v, want %v", got, want)
	}
}
