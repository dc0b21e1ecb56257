package leaser_test

import (
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"foxtaillug.org/scheduler"
	"foxtaillug.org/scheduler/internal/rapidseed"
	"foxtaillug.org/scheduler/leaser"
	"foxtaillug.org/scheduler/placer"
)

func TestMain(m *testing.M) {
	rapidseed.Fix()
	os.Exit(m.Run())
}

const (
	upstream = scheduler.UpstreamID("u")
	lag      = 3 * time.Second
	loan     = 2 * time.Second
	limit    = 7
)

func TestShareSlotsSumToLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		parts := rapid.IntRange(1, 9).Draw(t, "parts")
		limit := rapid.IntRange(0, 100).Draw(t, "limit")
		sum := 0
		for rank := range parts {
			sum += leaser.NewShare(rank, parts).Slots(limit)
		}
		if sum != limit {
			t.Fatalf("%d parts of %d sum to %d", parts, limit, sum)
		}
	})
}

// TestSlotsNeverExceedLimit has hosts see a changing host list at different
// times, lend and borrow with delayed messages, restart and forget. At no time
// may the slots that all hold together exceed the limit. Each list lasts
// longer than the lag, as docs/PROMISES.md states.
func TestSlotsNeverExceedLimit(t *testing.T) {
	held := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.IntRange(1, 6).Draw(t, "hosts"))
		steps := rapid.IntRange(50, 250).Draw(t, "steps")
		for range steps {
			w.step(t)
			n := w.slots()
			held += n
			if n > limit {
				t.Fatalf("%v: %d slots in use of %d", w.now.Sub(w.start), n, limit)
			}
		}
	})
	if held == 0 {
		t.Error("no host ever held a slot, so nothing was tested")
	}
}

// world is a few leasers and the messages between them.
type world struct {
	now, start time.Time
	ids        []scheduler.HostID
	listed     map[scheduler.HostID]bool
	changed    time.Time
	leasers    map[scheduler.HostID]*leaser.Leaser
	seen       map[scheduler.HostID]time.Time
	replies    []func()
}

func newWorld(n int) *world {
	start := time.Unix(1000, 0)
	w := &world{
		now: start, start: start, changed: start,
		listed:  make(map[scheduler.HostID]bool),
		leasers: make(map[scheduler.HostID]*leaser.Leaser),
		seen:    make(map[scheduler.HostID]time.Time),
	}
	for i := range n {
		id := scheduler.HostID(fmt.Sprintf("h%d", i))
		w.ids = append(w.ids, id)
		w.listed[id] = true
	}
	for _, id := range w.ids {
		w.boot(id)
	}
	return w
}

// boot starts a host, which forgets everything.
func (w *world) boot(id scheduler.HostID) {
	w.leasers[id] = leaser.New(id, w.now, leaser.WithLag(lag), leaser.WithTTL(loan))
	w.look(id)
}

// look has a host see the newest list.
func (w *world) look(id scheduler.HostID) {
	var hosts []scheduler.HostID
	for _, h := range w.ids {
		if w.listed[h] {
			hosts = append(hosts, h)
		}
	}
	w.leasers[id].SetTerritory(placer.NewShardMap(hosts, 1), w.now)
	w.seen[id] = w.now
}

// step does one random thing and lets some time pass.
func (w *world) step(t *rapid.T) {
	id := rapid.SampledFrom(w.ids).Draw(t, "host")
	switch what := rapid.IntRange(0, 99).Draw(t, "what"); {
	case what < 2:
		if w.now.Sub(w.changed) > lag {
			w.listed[id] = !w.listed[id]
			w.changed = w.now
		}
	case what < 4:
		w.boot(id)
	case what < 70:
		w.borrow(t, id)
	case what < 80:
		if len(w.replies) > 0 {
			w.replies[0]()
			w.replies = w.replies[1:]
		}
	default:
		w.look(id)
	}
	w.now = w.now.Add(time.Duration(rapid.IntRange(0, 600).Draw(t, "ms")) * time.Millisecond)
	for _, h := range w.ids {
		if w.seen[h].Before(w.changed) && w.now.Sub(w.changed) > lag-time.Second {
			w.look(h)
		}
	}
}

// borrow has a host ask for all shares; answers come later or never.
func (w *world) borrow(t *rapid.T, id scheduler.HostID) {
	asked := w.now
	l := w.leasers[id]
	for _, lender := range l.Lenders(upstream, w.now) {
		shares, lent := w.leasers[lender].Lend(upstream, id, w.now)
		if !lent || rapid.IntRange(0, 4).Draw(t, "lost") == 0 {
			continue
		}
		w.replies = append(w.replies, func() { l.Borrowed(upstream, lender, shares, asked, w.now) })
	}
	if rapid.Bool().Draw(t, "atOnce") {
		for _, r := range w.replies {
			r()
		}
		w.replies = nil
	}
}

// slots sums what all hosts hold.
func (w *world) slots() (sum int) {
	for _, id := range w.ids {
		n, _ := w.leasers[id].Slots(upstream, limit, w.now, w.now)
		sum += n
	}
	return sum
}

func TestLoanEndsAtTheBorrowerFirst(t *testing.T) {
	now := time.Unix(1000, 0)
	hosts := placer.NewShardMap([]scheduler.HostID{"a", "b"}, 1)
	g := hosts.Replicas(upstream)
	borrower, lender := leaser.New(g[0], now), leaser.New(g[1], now)
	borrower.SetTerritory(hosts, now)
	lender.SetTerritory(hosts, now)
	now = now.Add(time.Minute)
	asked := now
	now = now.Add(500 * time.Millisecond)
	shares, lent := lender.Lend(upstream, g[0], now)
	if !lent {
		t.Fatal("the second guardian does not lend to the first")
	}
	borrower.Borrowed(upstream, g[1], shares, asked, now)
	for range 60 {
		now = now.Add(50 * time.Millisecond)
		b, _ := borrower.Slots(upstream, 2, now, now)
		l, _ := lender.Slots(upstream, 2, now, now)
		if b+l > 2 {
			t.Fatalf("%v after it was asked, both use the share", now.Sub(asked))
		}
	}
	if n, _ := lender.Slots(upstream, 2, now, now); n != 1 {
		t.Errorf("the lender has %d slots after the loan, want its own 1", n)
	}
}

func TestRestartedHostHasNoShareUntilSettled(t *testing.T) {
	now := time.Unix(1000, 0)
	l := leaser.New("a", now)
	l.SetTerritory(placer.NewShardMap([]scheduler.HostID{"a"}, 1), now)
	almost := now.Add(l.Settling() - time.Millisecond)
	if n, _ := l.Slots(upstream, 4, almost, almost); n != 0 {
		t.Errorf("%d slots before the settling time", n)
	}
	settled := now.Add(l.Settling() + time.Millisecond)
	if n, _ := l.Slots(upstream, 4, settled, settled); n != 4 {
		t.Errorf("%d slots after the settling time, want 4", n)
	}
}
