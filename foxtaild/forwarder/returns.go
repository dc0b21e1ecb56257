package forwarder

import (
	"maps"
	"sync"
	"time"

	"foxtaillug.org/scheduler/registrar"
)

const (
	// entryDelay is how long after an upstream accepts connections again its entry may be
	// that of the process before: upstreams publish within 2 s, and changes reach all
	// hosts within a second.
	entryDelay = 3 * time.Second
	// goneRetention is how long it is remembered that an upstream refused a connection.
	goneRetention = time.Minute
)

// gone is an upstream that has refused a connection, so that it is likely to return as
// another process.
type gone struct {
	// entry is that of the process that has ended.
	entry registrar.Entry
	at    time.Time
	// backAt is when the upstream accepted a connection again, zero before that.
	backAt time.Time
}

// returns tells whether an upstream may have started again under an entry of the process
// before. It is safe for concurrent use.
type returns struct {
	mu   sync.Mutex
	gone map[string]gone
}

// recordRefused records that an upstream refused a connection.
func (r *returns) recordRefused(e registrar.Entry, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.gone, func(_ string, g gone) bool { return now.Sub(g.at) > goneRetention })
	r.gone[e.ID] = gone{entry: e, at: now}
}

// mayHaveReturned reports whether the upstream of an entry, which has just accepted a
// connection, may be another process than the entry says.
func (r *returns) mayHaveReturned(e registrar.Entry, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	g, ok := r.gone[e.ID]
	if !ok {
		return false
	}
	if g.backAt.IsZero() {
		g.backAt = now
		r.gone[e.ID] = g
	}
	if g.entry.Born != e.Born || g.entry.Version != e.Version || now.Sub(g.backAt) > entryDelay {
		delete(r.gone, e.ID)
		return false
	}
	return true
}
