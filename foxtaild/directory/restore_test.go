package directory_test

import (
	"flag"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"foxtaillug.org/foxtaild/directory"
	"foxtaillug.org/scheduler/registrar"
	"foxtaillug.org/scheduler/router"
)

// TestMain fixes the seed of the property tests unless one is given.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		_ = f.Value.Set("1")
	}
	os.Exit(m.Run())
}

// content is what a simulated store holds.
type content struct {
	revision  uint64
	entries   map[string]registrar.Entry
	evacuated map[string]bool
	document  router.Document
}

// clone returns a copy.
func (c content) clone() content {
	c.entries, c.evacuated = maps.Clone(c.entries), maps.Clone(c.evacuated)
	return c
}

// change is one change of the store.
type change struct {
	revision uint64
	document *router.Document
	apply    func(*registrar.Registrar, time.Time)
}

// simStore is a store that can be restored from an older copy.
type simStore struct {
	content
	era     uint64
	changes []change
	copies  []content
}

// write appends a change.
func (s *simStore) write(document *router.Document, apply func(*registrar.Registrar, time.Time)) {
	s.revision++
	s.changes = append(s.changes, change{s.revision, document, apply})
}

func (s *simStore) put(e registrar.Entry) {
	s.entries[e.ID] = e
	s.write(nil, func(r *registrar.Registrar, _ time.Time) { r.Put(e) })
}

func (s *simStore) remove(id string) {
	delete(s.entries, id)
	s.write(nil, func(r *registrar.Registrar, now time.Time) { r.Remove(id, now) })
}

func (s *simStore) evacuate(domain string, on bool) {
	delete(s.evacuated, domain)
	if on {
		s.evacuated[domain] = true
	}
	s.write(nil, func(r *registrar.Registrar, _ time.Time) { r.Evacuate(domain, on) })
}

func (s *simStore) configure(d router.Document) {
	s.document = d
	s.write(&d, func(*registrar.Registrar, time.Time) {})
}

// restore replaces the content by an older copy.
func (s *simStore) restore(c content) {
	s.content = c.clone()
	s.changes = nil
	s.era++
}

// restoreHost is a simulated host with the state that must survive a restore.
type restoreHost struct {
	*directory.Directory
	cursor map[*restoreHost]directory.Cursor
	// left holds the processes that the host has seen leaving.
	left map[string]bool
	// version is the version of the configuration in force.
	version uint64
}

// restoreFleet simulates upstreams, operators, a store, and hosts that read it or
// receive it from others.
type restoreFleet struct {
	rand  *rand.Rand
	now   time.Time
	store *simStore
	hosts []*restoreHost
	// upstreams is the state of the live upstreams, evacuated what the operators want.
	upstreams map[string]registrar.Entry
	evacuated map[string]bool
	document  router.Document
	// maxVersion is the highest version number ever used.
	maxVersion uint64
	// rewriteAt is when the operators notice a restore; zero if there was none. reuse
	// says that they go on from the restored version.
	rewriteAt time.Time
	reuse     bool
	started   int
}

// readers is the number of hosts that read the store.
const readers = 3

// newRestoreFleet returns a fleet with some upstreams.
func newRestoreFleet(seed uint64) *restoreFleet {
	f := &restoreFleet{
		rand: rand.New(rand.NewPCG(seed, 1)), now: now, upstreams: make(map[string]registrar.Entry), evacuated: make(map[string]bool),
		store: &simStore{era: 1, content: content{entries: make(map[string]registrar.Entry), evacuated: make(map[string]bool)}},
	}
	for range 6 {
		f.startUpstream()
	}
	f.publish(1)
	for range 6 {
		f.hosts = append(f.hosts, &restoreHost{Directory: directory.New(slog.New(slog.DiscardHandler)), cursor: make(map[*restoreHost]directory.Cursor), left: make(map[string]bool)})
	}
	return f
}

func (f *restoreFleet) startUpstream() {
	f.started++
	e := registrar.Entry{ID: fmt.Sprint("u", f.started), Domain: fmt.Sprint("d", f.started%3), Born: int64(f.started)}
	f.upstreams[e.ID] = e
	f.store.put(e)
}

// publish publishes a configuration.
func (f *restoreFleet) publish(version uint64) {
	f.document = router.Document{Version: version, Pools: []router.Pool{{Name: fmt.Sprintf("v%d of era %d", version, f.store.era)}}}
	f.maxVersion = max(f.maxVersion, version)
	f.store.configure(f.document)
}

// act makes a random change: of an upstream, an evacuation, the configuration, or a
// restore.
func (f *restoreFleet) act(restores bool) {
	ids := slices.Sorted(maps.Keys(f.upstreams))
	if len(ids) == 0 {
		f.startUpstream()
		return
	}
	id := ids[f.rand.IntN(len(ids))]
	domain := fmt.Sprint("d", f.rand.IntN(3))
	switch f.rand.IntN(12) {
	case 0:
		f.startUpstream()
	case 1, 2:
		if e := f.upstreams[id]; len(ids) > 3 && !e.Leaving {
			e.Leaving = true
			f.upstreams[id] = e
			f.store.put(e)
		}
	case 3:
		if f.upstreams[id].Leaving || len(ids) > 5 {
			delete(f.upstreams, id)
			if _, ok := f.store.entries[id]; ok {
				f.store.remove(id)
			}
		}
	case 4:
		on := !f.evacuated[domain]
		f.evacuated[domain] = on
		f.store.evacuate(domain, on)
	case 5, 6:
		if f.rewriteAt.IsZero() {
			f.publish(f.store.document.Version + 1 + uint64(f.rand.IntN(2)))
		}
	case 7, 8:
		f.store.copies = append(f.store.copies, f.store.clone())
	case 9:
		if n := len(f.store.copies); restores && n > 0 {
			f.store.restore(f.store.copies[max(0, n-1-f.rand.IntN(3))])
			f.rewriteAt, f.reuse = f.now.Add(time.Duration(f.rand.IntN(5000))*time.Millisecond), f.rand.IntN(2) == 0
		}
	}
}

// rewrite lets upstreams and operators write again what a restored store has lost.
func (f *restoreFleet) rewrite() {
	for _, id := range slices.Sorted(maps.Keys(f.upstreams)) {
		if e := f.upstreams[id]; f.store.entries[id] != e && f.rand.IntN(4) == 0 {
			f.store.put(e)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(f.store.entries)) {
		if _, ok := f.upstreams[id]; !ok && f.rand.IntN(15) == 0 {
			f.store.remove(id)
		}
	}
	if f.rewriteAt.IsZero() || f.now.Before(f.rewriteAt) {
		return
	}
	f.rewriteAt = time.Time{}
	for _, domain := range []string{"d0", "d1", "d2"} {
		if f.evacuated[domain] != f.store.evacuated[domain] {
			f.store.evacuate(domain, f.evacuated[domain])
		}
	}
	if f.store.document.Version == f.document.Version {
		return
	}
	if f.reuse {
		f.publish(f.store.document.Version + 1)
		return
	}
	f.store.configure(f.document)
}

// read lets a host read the store as a reader does.
func (f *restoreFleet) read(h *restoreHost) {
	s, at := f.store, h.Position()
	if at.Era != s.era || at.Revision > s.revision || !h.Loaded() {
		l := directory.Listing{Position: registrar.Position{Era: s.era, Revision: s.revision}}
		for _, e := range s.entries {
			l.Upstreams = append(l.Upstreams, e)
		}
		for d := range s.evacuated {
			l.Evacuated = append(l.Evacuated, d)
		}
		_ = h.Configure(s.document)
		h.Replace(l, f.now)
	} else {
		for _, c := range s.changes {
			if c.revision <= at.Revision {
				continue
			}
			if c.document != nil {
				_ = h.Configure(*c.document)
			}
			h.Update(registrar.Position{Era: s.era, Revision: c.revision}, func(r *registrar.Registrar) { c.apply(r, f.now) })
		}
	}
	h.RecordStoreResponse(f.now)
}

// follow lets a host adopt the changes of another one.
func (f *restoreFleet) follow(h, from *restoreHost) {
	s, next, ok := from.Snapshot(h.cursor[from], f.now)
	if ok && h.Adopt(s, f.now) == nil {
		h.cursor[from] = next
	}
	h.RecordStoreResponse(f.now)
}

// step advances the time and lets the hosts read and receive.
func (f *restoreFleet) step(t *rapid.T, reach float64) {
	f.now = f.now.Add(200 * time.Millisecond)
	f.rewrite()
	for i, h := range f.hosts {
		if f.rand.Float64() >= reach {
			continue
		}
		if i < readers {
			f.read(h)
		} else {
			// A host that changes its reader gets a full snapshot.
			from := f.hosts[f.rand.IntN(readers)]
			if f.rand.IntN(10) == 0 {
				delete(h.cursor, from)
			}
			f.follow(h, from)
		}
		f.check(t, i, h)
	}
}

// check checks the state that must survive a restore.
func (f *restoreFleet) check(t *rapid.T, i int, h *restoreHost) {
	for id := range f.upstreams {
		if e, _ := h.Usable(id, f.now); e.Leaving {
			h.left[fmt.Sprint(id, e.Born)] = true
		}
	}
	for _, e := range h.UsableUpstreams(f.now) {
		if h.left[fmt.Sprint(e.ID, e.Born)] {
			t.Fatalf("host %d uses %s, which it has seen leaving", i, e.ID)
		}
	}
	if h.Table() == nil {
		return
	}
	if v := h.Table().Version(); v < h.version {
		t.Fatalf("host %d goes back from configuration %d to %d", i, h.version, v)
	}
	h.version = h.Table().Version()
}

// TestHostsFollowARestoredStore makes random changes and restores the store from older
// copies, sometimes twice in a row, while hosts read it, receive it from others, or are
// cut off. All hosts converge to the state of the upstreams and the operators.
func TestHostsFollowARestoredStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newRestoreFleet(rapid.Uint64().Draw(t, "seed"))
		reach := rapid.SampledFrom([]float64{0.3, 0.9}).Draw(t, "reach")
		for range 150 {
			if f.rand.IntN(2) == 0 {
				f.act(true)
			}
			f.step(t, reach)
		}
		// Evacuations that the store has lost last another 30 s.
		for range 40 {
			f.step(t, 0.9)
		}
		f.publish(f.maxVersion + 1)
		for range 200 {
			f.step(t, 0.9)
		}
		var want []string
		for id, e := range f.upstreams {
			if !e.Leaving && !f.evacuated[e.Domain] {
				want = append(want, id)
			}
		}
		slices.Sort(want)
		for i, h := range f.hosts {
			var got []string
			for _, e := range h.UsableUpstreams(f.now) {
				got = append(got, e.ID)
			}
			if !slices.Equal(got, want) {
				t.Errorf("host %d uses %v, want %v", i, got, want)
			}
			if got := h.Table().Pools()[0].Name; got != f.document.Pools[0].Name {
				t.Errorf("host %d has configuration %q, want %q", i, got, f.document.Pools[0].Name)
			}
		}
	})
}
