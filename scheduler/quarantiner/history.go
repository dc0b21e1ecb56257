package quarantiner

import (
	"container/list"
	"time"
)

// begin is the last time at which an answer began on a digest.
type begin struct {
	digest Digest
	at     time.Time
}

// history remembers when answers last began on the digests on which that happened
// last.
type history struct {
	retention time.Duration
	capacity  int
	// order holds a *begin for each digest, the latest last, and elements the
	// places in it.
	order    *list.List
	elements map[Digest]*list.Element
}

// newHistory returns an empty history. Without a capacity it stays empty.
func newHistory(retention time.Duration, capacity int) *history {
	return &history{retention: retention, capacity: capacity, order: list.New(), elements: make(map[Digest]*list.Element)}
}

// record records that an answer on the digest began, and removes what is too old or
// too much.
func (h *history) record(d Digest, now time.Time) {
	if h.capacity <= 0 {
		return
	}
	if e := h.elements[d]; e != nil {
		e.Value.(*begin).at = now
		h.order.MoveToBack(e)
	} else {
		h.elements[d] = h.order.PushBack(&begin{digest: d, at: now})
	}
	for e := h.order.Front(); e != nil; e = h.order.Front() {
		b := e.Value.(*begin)
		if h.order.Len() <= h.capacity && now.Sub(b.at) < h.retention {
			return
		}
		h.order.Remove(e)
		delete(h.elements, b.digest)
	}
}

// begunAfter reports whether an answer on the digest began after a time.
func (h *history) begunAfter(d Digest, t time.Time) bool {
	e := h.elements[d]
	return e != nil && e.Value.(*begin).at.After(t)
}

// begunWithin reports whether an answer on the digest began within the retention
// before a time, or later.
func (h *history) begunWithin(d Digest, t time.Time) bool {
	return h.begunAfter(d, t.Add(-h.retention))
}
