package linker_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	"foxtaillug.org/foxtaild/directory"
	"foxtaillug.org/foxtaild/linker"
	"foxtaillug.org/scheduler/coordinator"
	"foxtaillug.org/scheduler/registrar"
	"foxtaillug.org/scheduler/router"
)

// patience bounds every wait of these tests, which check order and not speed.
const patience = 30 * time.Second

// host is one host of a test's fleet.
type host struct {
	*linker.Linker
	dir     *directory.Directory
	address string
	stop    func()
}

// freeAddress returns a loopback address that is free for TCP and UDP.
func freeAddress(t *testing.T) string {
	t.Helper()
	for range 50 {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		address := l.Addr().String()
		u, err := net.ListenPacket("udp4", address)
		_ = l.Close()
		if err == nil {
			_ = u.Close()
			return address
		}
	}
	t.Fatal("no free port")
	return ""
}

// startHost starts a host of failure domain "a" and stops it with the test.
func startHost(t *testing.T, name, address string, contacts ...string) *host {
	t.Helper()
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	dir := directory.New(log)
	l, err := linker.New(linker.Settings{
		Host: name, Process: name, Domain: "a", Region: "r", Address: address, Seeds: contacts,
		Regions:        map[string]string{"a": "r"},
		UpdateDeadline: 2500 * time.Millisecond,
		Bounds:         coordinator.Bounds{RetryRatio: 0.2, RetryAllowance: 50, RetryWindow: 10 * time.Second},
	}, dir, log)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { l.Run(ctx) })
	h := &host{Linker: l, dir: dir, address: address, stop: sync.OnceFunc(func() {
		cancel()
		wg.Wait()
	})}
	t.Cleanup(h.stop)
	return h
}

// teach gives a host a configuration and one engine of six slots.
func (h *host) teach(t *testing.T, version uint64) {
	t.Helper()
	doc := router.Document{Version: version, Pools: []router.Pool{{Name: "engines"}}}
	if err := h.dir.Configure(doc); err != nil {
		t.Fatal(err)
	}
	h.dir.Update(version, func(r *registrar.Registrar) {
		r.Put(registrar.Entry{ID: "engine", Pool: "engines", Domain: "a", Slots: 6, Address: "127.0.0.1:1"})
	})
	h.dir.MarkListed()
	h.dir.RecordStoreAnswer(time.Now())
}

// eventually waits for a condition.
func eventually(t *testing.T, what string, is func() bool) {
	t.Helper()
	for until := time.Now().Add(patience); !is(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("never: %s", what)
		}
	}
}

// demand returns an ask for an engine.
func demand() coordinator.Request {
	return coordinator.Request{Pool: "engines", Prompt: 10, Output: 10, Objective: time.Second, Left: 20 * time.Second}
}

// get asks until an engine is granted.
func (h *host) get(t *testing.T) (finish func()) {
	t.Helper()
	eventually(t, "an engine is granted", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		g, err := h.Admit(ctx, demand())
		if err != nil || g.Upstream == "" {
			return false
		}
		finish = func() { g.ReportFinish(coordinator.Finish{}) }
		return true
	})
	return finish
}

// refused reports whether an ask is refused for want of a slot.
func (h *host) refused() bool {
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	g, err := h.Admit(ctx, demand())
	if err == nil && g.Upstream != "" {
		g.ReportFinish(coordinator.Finish{Ending: coordinator.Unused})
		return false
	}
	return true
}

func TestAHostWithoutOthersDecidesAlone(t *testing.T) {
	h := startHost(t, "one", freeAddress(t), "127.0.0.1:1")
	h.teach(t, 1)
	h.get(t)()
}

// TestHostsShareSlots lets two hosts use up one engine's slots together.
func TestHostsShareSlots(t *testing.T) {
	first := startHost(t, "one", freeAddress(t))
	second := startHost(t, "two", freeAddress(t), first.address)
	eventually(t, "they know each other", func() bool { return len(first.Members()) == 1 && len(second.Members()) == 1 })
	first.teach(t, 1)
	second.teach(t, 1)
	// The youngest host links to the oldest before the count matters.
	eventually(t, "the slots are used up together", func() bool {
		var ends []func()
		for range 3 {
			ends = append(ends, first.get(t), second.get(t))
		}
		full := first.refused() && second.refused()
		for _, end := range ends {
			end()
		}
		return full
	})
}

// TestSlotsAreFreeAfterAChangeOfCoordinator is the leak that halved a fleet's
// capacity: a new coordinator was told of running requests, but not of their
// end.
func TestSlotsAreFreeAfterAChangeOfCoordinator(t *testing.T) {
	first := startHost(t, "one", freeAddress(t))
	second := startHost(t, "two", freeAddress(t), first.address)
	third := startHost(t, "three", freeAddress(t), first.address)
	fleet := []*host{first, second, third}
	for _, h := range fleet {
		eventually(t, "all know each other", func() bool { return len(h.Members()) == 2 })
		h.teach(t, 1)
	}
	var ends []func()
	for range 4 {
		ends = append(ends, third.get(t))
	}
	first.Leave()
	eventually(t, "the others know that it leaves", func() bool {
		for _, h := range fleet[1:] {
			for _, m := range h.Members() {
				if m.ID == "one" && !m.Leaving {
					return false
				}
			}
		}
		return true
	})
	// The third host now asks the second one, which adopts the four.
	third.get(t)()
	for _, end := range ends {
		end()
	}
	eventually(t, "all six slots are free", func() bool {
		var ends []func()
		for range 6 {
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			g, err := third.Admit(ctx, demand())
			cancel()
			if err == nil && g.Upstream != "" {
				ends = append(ends, func() { g.ReportFinish(coordinator.Finish{}) })
			}
		}
		for _, end := range ends {
			end()
		}
		return len(ends) == 6
	})
}

// TestADeadCoordinatorCostsNoRequest stops the coordinator and asks on.
func TestADeadCoordinatorCostsNoRequest(t *testing.T) {
	first := startHost(t, "one", freeAddress(t))
	second := startHost(t, "two", freeAddress(t), first.address)
	eventually(t, "they know each other", func() bool { return len(first.Members()) == 1 && len(second.Members()) == 1 })
	first.teach(t, 1)
	second.teach(t, 1)
	second.get(t)()
	first.stop()
	for range 20 {
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		g, err := second.Admit(ctx, demand())
		cancel()
		if err != nil || g.Upstream == "" {
			t.Fatalf("an ask was lost with the coordinator: %+v, %v", g, err)
		}
		g.ReportFinish(coordinator.Finish{})
	}
}

// TestHostsThatDoNotReadTheStoreAreTold changes what the two oldest hosts know.
func TestHostsThatDoNotReadTheStoreAreTold(t *testing.T) {
	first := startHost(t, "one", freeAddress(t))
	hosts := []*host{first}
	for i := range 3 {
		time.Sleep(5 * time.Millisecond) // The start times order the hosts.
		hosts = append(hosts, startHost(t, fmt.Sprint("more-", i), freeAddress(t), first.address))
	}
	for _, h := range hosts {
		eventually(t, "all know each other", func() bool { return len(h.Members()) == 3 })
	}
	hosts[0].teach(t, 5)
	hosts[1].teach(t, 5)
	for _, h := range hosts[2:] {
		eventually(t, "a host is told of the configuration", func() bool {
			return h.dir.Loaded() && h.dir.Table().Version() == 5
		})
	}
	hosts[0].dir.Update(6, func(r *registrar.Registrar) { r.Remove("engine", time.Now()) })
	eventually(t, "a host is told of a removal", func() bool {
		_, usable := hosts[3].dir.Usable("engine", time.Now())
		return !usable
	})
}
