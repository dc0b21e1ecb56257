package linker_test

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"foxtaillug.org/foxtaild/forwarder"
	"foxtaillug.org/scheduler/detector"
	"foxtaillug.org/scheduler/pinner"
	"foxtaillug.org/scheduler/registrar"
	"foxtaillug.org/scheduler/router"
)

// streams is the route of the streams of these tests.
const streams = "streams"

// streamTimeout is short, so that a sole origin is soon known.
const streamTimeout = 50 * time.Millisecond

// stream returns the ID of a stream.
func stream(k pinner.Key) forwarder.StreamID {
	return forwarder.StreamID{Key: pinner.StreamKey(uint64(k) << 1), Route: streams}
}

// origin returns the origin of the streams of a version.
func origin(version string) pinner.Origin { return pinner.Origin{Pool: "engines", Version: version} }

// startOriginHost starts a host of a failure domain whose directory is up to date and has
// one upstream of each version.
func startOriginHost(t *testing.T, name, domain string, versions []string, seeds ...string) *host {
	t.Helper()
	h := startHostIn(t, name, domain, freeAddress(t), seeds...)
	doc := router.Document{
		Version: 1, Pools: []router.Pool{{Name: "engines"}},
		Routes: []router.Route{{
			Name: streams, Prefix: "/", Kind: router.Streaming, Resumable: true, Timeout: streamTimeout,
			Targets: []router.Target{{Pool: "engines", Weight: 1}},
		}},
	}
	if err := h.dir.Configure(doc); err != nil {
		t.Fatal(err)
	}
	h.setVersions(1, versions...)
	h.dir.MarkListed()
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() {
		for ctx.Err() == nil {
			h.dir.RecordStoreResponse(time.Now())
			time.Sleep(20 * time.Millisecond)
		}
	})
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	return h
}

// setVersions puts one upstream of each version into the directory.
func (h *host) setVersions(revision uint64, versions ...string) {
	h.dir.Update(registrar.Position{Revision: revision}, func(r *registrar.Registrar) {
		for _, v := range versions {
			r.Put(registrar.Entry{ID: "engine-" + v, Pool: "engines", Domain: "a", Version: v})
		}
	})
}

// startOriginHosts starts hosts of some failure domains that know each other.
func startOriginHosts(t *testing.T, versions []string, domains ...string) (hosts []*host) {
	t.Helper()
	var seeds []string
	for i, d := range domains {
		h := startOriginHost(t, fmt.Sprint(d, "-", i), d, versions, seeds...)
		hosts = append(hosts, h)
		seeds = []string{hosts[0].address}
	}
	for _, h := range hosts {
		eventually(t, "the hosts know each other", func() bool { return len(h.Members()) == len(hosts)-1 })
	}
	return hosts
}

// gauge returns the value of a gauge, with a tag if it is not empty.
func (h *host) gauge(name, tag string) int {
	for _, g := range h.Gauges() {
		if g.Name == name && (tag == "" || g.Tags["result"] == tag) {
			return int(g.Value)
		}
	}
	return -1
}

// find returns what a host finds for a stream, "" for nothing.
func (h *host) find(k pinner.Key) string {
	o, ok := h.Origins().Find(context.Background(), stream(k))
	if !ok {
		return ""
	}
	return o.Pool + " " + o.Version
}

// mustFind waits until hosts find that a stream began at a version.
func mustFind(t *testing.T, hosts []*host, k pinner.Key, version string) {
	t.Helper()
	for _, h := range hosts {
		eventually(t, fmt.Sprintf("stream %d is found", k), func() bool { return h.find(k) == "engines "+version })
	}
}

// record records a stream for a minute.
func (h *host) record(k pinner.Key, version string) {
	h.Origins().Record(stream(k), origin(version), time.Now().Add(time.Minute))
}

// TestRecordsOutliveTheirHost ends the host that recorded streams without notice.
func TestRecordsOutliveTheirHost(t *testing.T) {
	hosts := startOriginHosts(t, []string{"v1", "v2"}, "a", "a", "b", "c")
	hosts[0].record(1, "v1")
	hosts[0].record(2, "v2")
	for _, h := range hosts[1:] {
		eventually(t, "the copies have arrived", func() bool { return h.gauge("origins_recorded", "") == 2 })
	}
	hosts[0].stop()
	mustFind(t, hosts[1:], 1, "v1")
	mustFind(t, hosts[1:], 2, "v2")
	if got := hosts[0].gauge("origin_copies_sent", ""); got != 6 {
		t.Errorf("%d copies were sent, want 6", got)
	}
}

// TestHostsThatHoldNoCopyAsk has many hosts in one failure domain, so that some hold none.
func TestHostsThatHoldNoCopyAsk(t *testing.T) {
	hosts := startOriginHosts(t, []string{"v1", "v2"}, "a", "a", "a", "a", "a", "a", "b", "b")
	for k := range pinner.Key(20) {
		hosts[0].record(k+1, "v2")
	}
	var wg sync.WaitGroup
	for _, h := range hosts {
		for k := pinner.Key(1); k <= 20; k++ {
			wg.Go(func() {
				for until := time.Now().Add(testTimeout); h.find(k) != "engines v2"; {
					if time.Now().After(until) {
						t.Errorf("stream %d is not found", k)
						return
					}
				}
			})
		}
	}
	wg.Wait()
	held := 0
	for _, h := range hosts[1:] {
		held += h.gauge("origins_recorded", "")
	}
	if held != 60 {
		t.Errorf("the hosts hold %d copies, want 60", held)
	}
}

// TestRecordsOutliveHostsThatLeaveInTurn stops all hosts but the last in order, each right
// after it has handed over.
func TestRecordsOutliveHostsThatLeaveInTurn(t *testing.T) {
	hosts := startOriginHosts(t, []string{"v1", "v2"}, "a", "a", "b", "b", "c", "c")
	hosts[0].record(1, "v1")
	for i, h := range hosts[:len(hosts)-1] {
		others := hosts[i+1:]
		eventually(t, "the others know who has left", func() bool {
			for _, o := range others {
				alive := 0
				for _, m := range o.Members() {
					if m.Status == detector.Alive && !m.Leaving {
						alive++
					}
				}
				if alive != len(others) {
					return false
				}
			}
			return true
		})
		before, held := h.gauge("origin_copies_sent", ""), h.gauge("origins_recorded", "")
		h.Leave()
		eventually(t, "the records are handed over", func() bool {
			return h.gauge("origin_copies_sent", "")-before >= held*min(3, len(others))
		})
		h.stop()
	}
	mustFind(t, hosts[len(hosts)-1:], 1, "v1")
}

// TestHostThatHasJustStartedAsks starts a host while versions are mixed.
func TestHostThatHasJustStartedAsks(t *testing.T) {
	hosts := startOriginHosts(t, []string{"v1", "v2"}, "a", "b")
	hosts[0].record(1, "v1")
	last := startOriginHost(t, "last", "c", []string{"v1", "v2"}, hosts[0].address)
	mustFind(t, []*host{last}, 1, "v1")
}

// copiesOf records streams and returns the number of copies that the host sends.
func (h *host) copiesOf(t *testing.T, keys ...pinner.Key) int {
	t.Helper()
	sent, recorded := h.gauge("origin_copies_sent", ""), h.gauge("origins_recorded", "")+len(keys)
	for _, k := range keys {
		h.record(k, "v1")
	}
	// When a record that ends at once is removed, the others were due to be sent before.
	h.Origins().Record(stream(1<<40), origin("v1"), time.Now().Add(time.Millisecond))
	eventually(t, "the short record is removed", func() bool { return h.gauge("origins_recorded", "") == recorded })
	return h.gauge("origin_copies_sent", "") - sent
}

// TestSoleVersionNeedsNoCopies runs streams at the only version, and then starts another.
func TestSoleVersionNeedsNoCopies(t *testing.T) {
	hosts := startOriginHosts(t, []string{"v1"}, "a", "b", "c")
	mustFind(t, hosts, 99, "v1")
	settling := pinner.Key(100)
	eventually(t, "the hosts rely on one version", func() bool {
		settling++
		return hosts[0].copiesOf(t, settling) == 0
	})
	if got := hosts[0].copiesOf(t, 1, 2, 3, 4, 5); got != 0 {
		t.Fatalf("%d copies were sent while there was one version", got)
	}
	mustFind(t, hosts, 1, "v1")
	held := make(map[*host]int)
	for _, h := range hosts[1:] {
		held[h] = h.gauge("origins_recorded", "")
	}
	for _, h := range hosts {
		h.setVersions(2, "v2")
	}
	for _, h := range hosts[1:] {
		eventually(t, "the copies have arrived", func() bool { return h.gauge("origins_recorded", "") == held[h]+6 })
	}
	hosts[0].stop()
	mustFind(t, hosts[1:], 1, "v1")
	for _, h := range hosts[1:] {
		if got := h.find(99); got != "" {
			t.Errorf("a stream without a record is found at %q", got)
		}
	}
}

// TestHostCutOffFindsNothing has hosts of a single version that reach no other.
func TestHostCutOffFindsNothing(t *testing.T) {
	tests := map[string]struct {
		seeds []string
		peer  bool
		want  string
	}{
		"the others were never reached": {[]string{"127.0.0.1:1"}, false, ""},
		"the other has ended":           {nil, true, ""},
		"there is no other":             {nil, false, "engines v1"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := startOriginHost(t, "one", "a", []string{"v1"}, tt.seeds...)
			if tt.peer {
				p := startOriginHost(t, "two", "b", []string{"v1"}, h.address)
				mustFind(t, []*host{h, p}, 1, "v1")
				p.stop()
			}
			eventually(t, "the host itself knows the origin", func() bool { return ask(t, h, 1) == fmt.Sprint(pinner.Sole, " engines v1") })
			if got := h.find(1); got != tt.want {
				t.Errorf("found %q, want %q", got, tt.want)
			}
		})
	}
}

// TestUnknownStreamIsNotFound asks for a stream that no host has served.
func TestUnknownStreamIsNotFound(t *testing.T) {
	hosts := startOriginHosts(t, []string{"v1", "v2"}, "a", "b")
	if got := hosts[0].find(1); got != "" {
		t.Errorf("found %q", got)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if o, ok := hosts[0].Origins().Find(ctx, stream(1)); ok {
		t.Errorf("found %v after the request has ended", o)
	}
	if got := hosts[0].gauge("origin_inquiries", "unknown"); got != 2 {
		t.Errorf("%d inquiries without result are counted, want 2", got)
	}
}

// send sends a datagram to a host.
func send(t *testing.T, h *host, b []byte) net.Conn {
	t.Helper()
	c, err := net.Dial("udp4", h.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if _, err := c.Write(b); err != nil {
		t.Fatal(err)
	}
	return c
}

// mustEncode encodes a value in CBOR.
func mustEncode(t *testing.T, v any) []byte {
	t.Helper()
	b, err := cbor.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// ask asks a host for a stream as another host does and returns the answer.
func ask(t *testing.T, h *host, k pinner.Key) string {
	t.Helper()
	c := send(t, h, mustEncode(t, []any{nil, []any{uint64(7), uint64(stream(k).Key), streams}, nil}))
	buf := make([]byte, 1<<10)
	_ = c.SetReadDeadline(time.Now().Add(testTimeout))
	n, err := c.Read(buf)
	if err != nil {
		t.Fatal(err)
	}
	var m []any
	if err := cbor.Unmarshal(buf[:n], &m); err != nil {
		t.Fatal(err)
	}
	a, _ := m[2].([]any)
	if len(a) != 4 || a[0] != uint64(7) {
		t.Fatalf("answer is %v", m)
	}
	knowledge, _ := a[1].(uint64)
	return fmt.Sprintf("%v %v %v", pinner.Knowledge(knowledge), a[2], a[3])
}

// TestInvalidDatagramsHaveNoEffect sends datagrams that no host of this build sends.
func TestInvalidDatagramsHaveNoEffect(t *testing.T) {
	record := []any{uint64(1), uint64(60_000)}
	copies := []any{"engines", "v1", []any{record}}
	deep := any(uint64(1))
	for range 100 {
		deep = []any{deep}
	}
	valid := mustEncode(t, []any{[]any{copies}, nil, nil})
	tests := map[string][]byte{
		"bytes":              {0xff, 0x00, 0x13},
		"nothing":            {},
		"truncated":          valid[:20],
		"more than one":      append(slices.Clone(valid), 0x00),
		"empty array":        mustEncode(t, []any{}),
		"empty map":          mustEncode(t, map[int]any{}),
		"copies in a map":    mustEncode(t, map[int]any{0: []any{copies}, 1: nil, 2: nil}),
		"records in a map":   mustEncode(t, []any{[]any{map[int]any{0: "engines", 1: "v1", 2: []any{record}}}, nil, nil}),
		"array of members":   mustEncode(t, []any{0, 1, []any{"id", "127.0.0.1:1", "a", "r", 1}}),
		"longer array":       mustEncode(t, []any{[]any{copies}, nil, nil, nil}),
		"key is a string":    mustEncode(t, []any{[]any{[]any{"engines", "v1", []any{[]any{"1", 60_000}}}}, nil, nil}),
		"time left negative": mustEncode(t, []any{[]any{[]any{"engines", "v1", []any{[]any{1, -1}}}}, nil, nil}),
		"time left too long": mustEncode(t, []any{[]any{[]any{"engines", "v1", []any{[]any{1, uint64(1) << 40}}}}, nil, nil}),
		"unknown answer":     mustEncode(t, []any{nil, nil, []any{uint64(7), 1, "engines", "v1"}}),
		"deep":               mustEncode(t, deep),
		"many elements":      mustEncode(t, []any{make([]any, 3000), nil, nil}),
	}
	h := startOriginHost(t, "one", "a", []string{"v1", "v2"}, "127.0.0.1:1")
	for name, datagram := range tests {
		t.Run(name, func(t *testing.T) {
			send(t, h, datagram)
			// The answer comes after the datagram has been processed.
			if got, want := ask(t, h, 1), "mixed  "; got != want {
				eventually(t, "the host answers", func() bool { return ask(t, h, 1) == want })
			}
			if n := h.gauge("origins_recorded", ""); n != 0 || len(h.Members()) != 0 {
				t.Errorf("%d records and the members %v, want none", n, h.Members())
			}
		})
	}
	send(t, h, valid)
	eventually(t, "a valid datagram is received", func() bool { return h.gauge("origins_recorded", "") == 1 })
}
