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
	"foxtaillug.org/foxtaild/inspector"
	"foxtaillug.org/foxtaild/linker"
	"foxtaillug.org/scheduler/coordinator"
	"foxtaillug.org/scheduler/pinner"
	"foxtaillug.org/scheduler/registrar"
	"foxtaillug.org/scheduler/router"
)

// testTimeout bounds every wait of these tests, which check order and not speed.
const testTimeout = 30 * time.Second

// host is one host of a test fleet.
type host struct {
	*linker.Linker
	inspector *inspector.Inspector
	dir       *directory.Directory
	address   string
	stop      func()
}

// freeAddress returns a loopback address whose port is free for TCP and UDP.
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

// startHost starts a host of failure domain "a" and stops it when the test ends.
func startHost(t *testing.T, name, address string, seeds ...string) *host {
	t.Helper()
	return startHostIn(t, name, "a", address, seeds...)
}

// startHostIn starts a host of a failure domain and stops it when the test ends.
func startHostIn(t *testing.T, name, domain, address string, seeds ...string) *host {
	t.Helper()
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	dir := directory.New(log)
	ins := inspector.New(log, inspector.WithHealthPath(func(string) string { return "/health" }))
	l, err := linker.New(linker.Settings{
		Host: name, Process: name, Domain: domain, Region: "r", Address: address, Seeds: seeds,
		Regions:        map[string]string{domain: "r"},
		UpdateDeadline: 2500 * time.Millisecond,
		Bounds:         coordinator.Bounds{RetryRatio: 0.2, RetryAllowance: 50, RetryWindow: 10 * time.Second},
	}, dir, log, linker.WithCrashReports(ins.Requests(), ins.Parts()), linker.WithOriginOptions(pinner.WithStaleness(0)))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { l.Run(ctx) })
	wg.Go(func() { ins.Run(ctx) })
	h := &host{Linker: l, inspector: ins, dir: dir, address: address, stop: sync.OnceFunc(func() {
		cancel()
		wg.Wait()
	})}
	t.Cleanup(h.stop)
	return h
}

// configure gives a host a configuration and one engine with six slots.
func (h *host) configure(t *testing.T, version uint64) {
	t.Helper()
	h.configureWith(t, version, registrar.Entry{ID: "engine", Pool: "engines", Domain: "a", Slots: 6, Address: "127.0.0.1:1"})
}

// configureWith gives a host a configuration and some engines.
func (h *host) configureWith(t *testing.T, version uint64, engines ...registrar.Entry) {
	t.Helper()
	doc := router.Document{Version: version, Pools: []router.Pool{{Name: "engines"}}}
	if err := h.dir.Configure(doc); err != nil {
		t.Fatal(err)
	}
	h.dir.Update(registrar.Position{Revision: version}, func(r *registrar.Registrar) {
		for _, e := range engines {
			r.Put(e)
		}
	})
	h.dir.MarkListed()
	h.dir.RecordStoreResponse(time.Now())
}

// eventually fails the test if a condition does not become true in time.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for until := time.Now().Add(testTimeout); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("timed out waiting until %s", what)
		}
	}
}

// newRequest returns an admission request for an engine.
func newRequest() coordinator.Request {
	return coordinator.Request{Pool: "engines", Prompt: 10, Output: 10, Objective: time.Second, Left: 20 * time.Second}
}

// mustAdmit retries until an engine is granted.
func (h *host) mustAdmit(t *testing.T) (finish func()) {
	t.Helper()
	eventually(t, "an engine is granted", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		g, err := h.Admit(ctx, newRequest())
		if err != nil || g.Upstream == "" {
			return false
		}
		finish = func() { g.ReportFinish(coordinator.Finish{}) }
		return true
	})
	return finish
}

// isRefused reports whether an admission request is refused because no slot is
// free.
func (h *host) isRefused() bool {
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	g, err := h.Admit(ctx, newRequest())
	if err == nil && g.Upstream != "" {
		g.ReportFinish(coordinator.Finish{Ending: coordinator.Unused})
		return false
	}
	return true
}

func TestHostWithoutPeersDecidesAlone(t *testing.T) {
	h := startHost(t, "one", freeAddress(t), "127.0.0.1:1")
	h.configure(t, 1)
	h.mustAdmit(t)()
}

// TestHostsShareSlots checks that two hosts together use up one engine's slots and
// no more.
func TestHostsShareSlots(t *testing.T) {
	first := startHost(t, "one", freeAddress(t))
	second := startHost(t, "two", freeAddress(t), first.address)
	eventually(t, "the hosts know each other", func() bool { return len(first.Members()) == 1 && len(second.Members()) == 1 })
	first.configure(t, 1)
	second.configure(t, 1)
	// The younger host may decide without the older one until it is linked to it.
	eventually(t, "six requests use up the slots", func() bool {
		var ends []func()
		for range 3 {
			ends = append(ends, first.mustAdmit(t), second.mustAdmit(t))
		}
		full := first.isRefused() && second.isRefused()
		for _, end := range ends {
			end()
		}
		return full
	})
}

// TestSlotsAreFreeAfterAChangeOfCoordinator guards against a slot leak that
// halved a fleet's capacity: a new coordinator was notified of running requests,
// but not of their end.
func TestSlotsAreFreeAfterAChangeOfCoordinator(t *testing.T) {
	first := startHost(t, "one", freeAddress(t))
	second := startHost(t, "two", freeAddress(t), first.address)
	third := startHost(t, "three", freeAddress(t), first.address)
	hosts := []*host{first, second, third}
	for _, h := range hosts {
		eventually(t, "all hosts know each other", func() bool { return len(h.Members()) == 2 })
		h.configure(t, 1)
	}
	var ends []func()
	for range 4 {
		ends = append(ends, third.mustAdmit(t))
	}
	first.Leave()
	eventually(t, "the others know that the first host is leaving", func() bool {
		for _, h := range hosts[1:] {
			for _, m := range h.Members() {
				if m.ID == "one" && !m.Leaving {
					return false
				}
			}
		}
		return true
	})
	// The third host now sends its admission requests to the second one, which
	// adopts the four running requests.
	third.mustAdmit(t)()
	for _, end := range ends {
		end()
	}
	eventually(t, "all six slots are free", func() bool {
		var ends []func()
		for range 6 {
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			g, err := third.Admit(ctx, newRequest())
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

// TestDeadCoordinatorLosesNoRequest stops the coordinator and checks that every
// admission request of the other host is still granted.
func TestDeadCoordinatorLosesNoRequest(t *testing.T) {
	first := startHost(t, "one", freeAddress(t))
	second := startHost(t, "two", freeAddress(t), first.address)
	eventually(t, "the hosts know each other", func() bool { return len(first.Members()) == 1 && len(second.Members()) == 1 })
	first.configure(t, 1)
	second.configure(t, 1)
	second.mustAdmit(t)()
	first.stop()
	for range 20 {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		g, err := second.Admit(ctx, newRequest())
		cancel()
		if err != nil || g.Upstream == "" {
			t.Fatalf("admission request was lost with the coordinator: %+v, %v", g, err)
		}
		g.ReportFinish(coordinator.Finish{})
	}
}

// TestHostsThatDoNotReadTheStoreGetUpdates changes the directories of the two
// oldest hosts and checks that the others follow.
func TestHostsThatDoNotReadTheStoreGetUpdates(t *testing.T) {
	first := startHost(t, "one", freeAddress(t))
	hosts := []*host{first}
	for i := range 3 {
		time.Sleep(5 * time.Millisecond) // The start times determine the order of age.
		hosts = append(hosts, startHost(t, fmt.Sprint("more-", i), freeAddress(t), first.address))
	}
	for _, h := range hosts {
		eventually(t, "all hosts know each other", func() bool { return len(h.Members()) == 3 })
	}
	hosts[0].configure(t, 5)
	hosts[1].configure(t, 5)
	for _, h := range hosts[2:] {
		eventually(t, "a follower has the configuration", func() bool {
			return h.dir.Loaded() && h.dir.Table().Version() == 5
		})
	}
	hosts[0].dir.Update(registrar.Position{Revision: 6}, func(r *registrar.Registrar) { r.Remove("engine", time.Now()) })
	eventually(t, "a follower has seen the removal", func() bool {
		_, usable := hosts[3].dir.Usable("engine", time.Now())
		return !usable
	})
}
