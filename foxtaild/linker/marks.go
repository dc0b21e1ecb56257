package linker

import (
	"sync"
	"time"
)

// markInterval is the minimum time between two marks of a link. A mark relates the clocks of
// both hosts for as long as neither is suspended.
const markInterval = 2 * time.Second

// marks are the times that a host has marked on a link. The peer's updates name a mark, which
// tells how old they are on this host's clock, however long they were on their way. The zero
// value has none. It is safe for concurrent use.
type marks struct {
	mu sync.Mutex
	// last numbers the last mark, and at holds the times of it and the one before, which the
	// peer names until the last one has arrived.
	last uint64
	at   [2]time.Time
}

// next marks a time and returns the number of the mark.
func (m *marks) next(now time.Time) uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.last++
	m.at[m.last%2] = now
	return m.last
}

// time returns the time of a mark and whether it is one of the last two.
func (m *marks) time(n uint64) (at time.Time, known bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if n == 0 || n > m.last || n+2 <= m.last {
		return at, false
	}
	return m.at[n%2], true
}

// due reports whether it is time for another mark, as the peer has named the last one.
func (m *marks) due(named uint64, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return named == m.last && now.Sub(m.at[m.last%2]) >= markInterval
}
