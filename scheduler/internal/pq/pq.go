// Package pq is a generic priority queue with removal by handle.
package pq

import "container/heap"

// Item is one queued value and its place in the queue.
type Item[T any] struct {
	Value T
	index int
}

// Queued reports whether the item is in a queue.
func (i *Item[T]) Queued() bool { return i.index >= 0 }

// Queue orders items by a less function; the smallest is first.
type Queue[T any] struct {
	inner inner[T]
}

// New returns an empty queue ordered by less.
func New[T any](less func(a, b T) bool) *Queue[T] {
	return &Queue[T]{inner: inner[T]{less: less}}
}

// Len returns the number of queued items.
func (q *Queue[T]) Len() int { return len(q.inner.items) }

// Push queues a value and returns its handle.
func (q *Queue[T]) Push(v T) *Item[T] {
	it := &Item[T]{Value: v}
	heap.Push(&q.inner, it)
	return it
}

// Peek returns the first value, or false when the queue is empty.
func (q *Queue[T]) Peek() (v T, ok bool) {
	if q.Len() == 0 {
		return v, false
	}
	return q.inner.items[0].Value, true
}

// Pop removes and returns the first value.
func (q *Queue[T]) Pop() (v T, ok bool) {
	if q.Len() == 0 {
		return v, false
	}
	it, _ := heap.Pop(&q.inner).(*Item[T])
	return it.Value, true
}

// Remove takes an item out of the queue, wherever it stands.
func (q *Queue[T]) Remove(it *Item[T]) {
	if it.index >= 0 {
		heap.Remove(&q.inner, it.index)
	}
}

// Fix restores the order after an item's value changed.
func (q *Queue[T]) Fix(it *Item[T]) {
	if it.index >= 0 {
		heap.Fix(&q.inner, it.index)
	}
}

// inner implements heap.Interface.
type inner[T any] struct {
	items []*Item[T]
	less  func(a, b T) bool
}

func (h *inner[T]) Len() int { return len(h.items) }

func (h *inner[T]) Less(i, j int) bool {
	return h.less(h.items[i].Value, h.items[j].Value)
}

func (h *inner[T]) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].index = i
	h.items[j].index = j
}

func (h *inner[T]) Push(x any) {
	it, _ := x.(*Item[T])
	it.index = len(h.items)
	h.items = append(h.items, it)
}

func (h *inner[T]) Pop() any {
	n := len(h.items) - 1
	it := h.items[n]
	h.items[n] = nil
	h.items = h.items[:n]
	it.index = -1
	return it
}
