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
	ttl      = 2 * time.Second
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
// times, exchange leases over delayed messages, and restart without their
// state. At no time may the slots of all hosts together exceed the limit. Each
// host list lasts longer than the lag, as docs/PROMISES.md states.
func TestSlotsNeverExceedLimit(t *testing.T) {
	held := 0
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(rapid.IntRange(1, 6).Draw(t, "hosts"))
		steps := rapid.IntRange(50, 250).Draw(t, "steps")
		for range steps {
			s.step(t)
			n := s.slots()
			held += n
			if n > limit {
				t.Fatalf("%v: %d slots in use of %d", s.now.Sub(s.start), n, limit)
			}
		}
	})
	if held == 0 {
		t.Error("no host ever held a slot, so nothing was tested")
	}
}

// simulation is a set of leasers and the messages in flight between them.
type simulation struct {
	now, start time.Time
	ids        []scheduler.HostID
	listed     map[scheduler.HostID]bool
	changed    time.Time
	leasers    map[scheduler.HostID]*leaser.Leaser
	seen       map[scheduler.HostID]time.Time
	replies    []func()
}

func newSimulation(n int) *simulation {
	start := time.Unix(1000, 0)
	s := &simulation{
		now: start, start: start, changed: start,
		listed:  make(map[scheduler.HostID]bool),
		leasers: make(map[scheduler.HostID]*leaser.Leaser),
		seen:    make(map[scheduler.HostID]time.Time),
	}
	for i := range n {
		id := scheduler.HostID(fmt.Sprintf("h%d", i))
		s.ids = append(s.ids, id)
		s.listed[id] = true
	}
	for _, id := range s.ids {
		s.boot(id)
	}
	return s
}

// boot starts a host without any state.
func (s *simulation) boot(id scheduler.HostID) {
	s.leasers[id] = leaser.New(id, s.now, leaser.WithLag(lag), leaser.WithTTL(ttl))
	s.refreshShardMap(id)
}

// refreshShardMap lets a host see the newest host list.
func (s *simulation) refreshShardMap(id scheduler.HostID) {
	var hosts []scheduler.HostID
	for _, h := range s.ids {
		if s.listed[h] {
			hosts = append(hosts, h)
		}
	}
	s.leasers[id].SetShardMap(placer.NewShardMap(hosts, 1), s.now)
	s.seen[id] = s.now
}

// step performs one random event and advances the clock.
func (s *simulation) step(t *rapid.T) {
	id := rapid.SampledFrom(s.ids).Draw(t, "host")
	switch what := rapid.IntRange(0, 99).Draw(t, "what"); {
	case what < 2:
		if s.now.Sub(s.changed) > lag {
			s.listed[id] = !s.listed[id]
			s.changed = s.now
		}
	case what < 4:
		s.boot(id)
	case what < 70:
		s.requestLeases(t, id)
	case what < 80:
		if len(s.replies) > 0 {
			s.replies[0]()
			s.replies = s.replies[1:]
		}
	default:
		s.refreshShardMap(id)
	}
	s.now = s.now.Add(time.Duration(rapid.IntRange(0, 600).Draw(t, "ms")) * time.Millisecond)
	for _, h := range s.ids {
		if s.seen[h].Before(s.changed) && s.now.Sub(s.changed) > lag-time.Second {
			s.refreshShardMap(h)
		}
	}
}

// requestLeases has a host request all shares; replies arrive later or get
// lost.
func (s *simulation) requestLeases(t *rapid.T, id scheduler.HostID) {
	sent := s.now
	l := s.leasers[id]
	for _, lessor := range l.Lessors(upstream, s.now) {
		shares, leased := s.leasers[lessor].Lease(upstream, id, s.now)
		if !leased || rapid.IntRange(0, 4).Draw(t, "lost") == 0 {
			continue
		}
		s.replies = append(s.replies, func() { l.RecordLease(upstream, lessor, shares, sent, s.now) })
	}
	if rapid.Bool().Draw(t, "atOnce") {
		for _, r := range s.replies {
			r()
		}
		s.replies = nil
	}
}

// slots returns the sum of the slots of all hosts.
func (s *simulation) slots() (sum int) {
	for _, id := range s.ids {
		n, _ := s.leasers[id].Slots(upstream, limit, s.now, s.now)
		sum += n
	}
	return sum
}

func TestLeaseExpiresAtLesseeFirst(t *testing.T) {
	now := time.Unix(1000, 0)
	m := placer.NewShardMap([]scheduler.HostID{"a", "b"}, 1)
	replicas := m.Replicas(upstream)
	lessee, lessor := leaser.New(replicas[0], now), leaser.New(replicas[1], now)
	lessee.SetShardMap(m, now)
	lessor.SetShardMap(m, now)
	now = now.Add(time.Minute)
	sent := now
	now = now.Add(500 * time.Millisecond)
	shares, leased := lessor.Lease(upstream, replicas[0], now)
	if !leased {
		t.Fatal("the second replica did not lease its share to the first")
	}
	lessee.RecordLease(upstream, replicas[1], shares, sent, now)
	for range 60 {
		now = now.Add(50 * time.Millisecond)
		a, _ := lessee.Slots(upstream, 2, now, now)
		b, _ := lessor.Slots(upstream, 2, now, now)
		if a+b > 2 {
			t.Fatalf("%v after the request, lessor and lessee both use the share", now.Sub(sent))
		}
	}
	if n, _ := lessor.Slots(upstream, 2, now, now); n != 1 {
		t.Errorf("the lessor has %d slots after the lease, want its own 1", n)
	}
}

func TestRestartedHostHasNoShareUntilSettled(t *testing.T) {
	now := time.Unix(1000, 0)
	l := leaser.New("a", now)
	l.SetShardMap(placer.NewShardMap([]scheduler.HostID{"a"}, 1), now)
	almost := now.Add(l.SettlingTime() - time.Millisecond)
	if n, _ := l.Slots(upstream, 4, almost, almost); n != 0 {
		t.Errorf("%d slots before the settling time, want 0", n)
	}
	settled := now.Add(l.SettlingTime() + time.Millisecond)
	if n, _ := l.Slots(upstream, 4, settled, settled); n != 4 {
		t.Errorf("%d slots after the settling time, want 4", n)
	}
}
