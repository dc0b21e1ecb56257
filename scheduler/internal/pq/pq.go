// Package pq implements a generic priority queue whose items can be removed by
// handle.
package pq

import "container/heap"

// Item is a queued value and the handle to it.
type Item[T any] struct {
	Value T
	index int
}

// Queued reports whether the item is in a queue.
func (i *Item[T]) Queued() bool { return i.index >= 0 }

// Queue orders items by a less function; the smallest item comes first.
type Queue[T any] struct {
	itemHeap itemHeap[T]
}

// New returns an empty queue ordered by less.
func New[T any](less func(a, b T) bool) *Queue[T] {
	return &Queue[T]{itemHeap: itemHeap[T]{less: less}}
}

// Len returns the number of queued items.
func (q *Queue[T]) Len() int { return len(q.itemHeap.items) }

// Push adds a value and returns its handle.
func (q *Queue[T]) Push(v T) *Item[T] {
	it := &Item[T]{Value: v}
	heap.Push(&q.itemHeap, it)
	return it
}

// Peek returns the first value; ok is false if the queue is empty.
func (q *Queue[T]) Peek() (v T, ok bool) {
	if q.Len() == 0 {
		return v, false
	}
	return q.itemHeap.items[0].Value, true
}

// Pop removes and returns the first value; ok is false if the queue is empty.
func (q *Queue[T]) Pop() (v T, ok bool) {
	if q.Len() == 0 {
		return v, false
	}
	it, _ := heap.Pop(&q.itemHeap).(*Item[T])
	return it.Value, true
}

// Remove removes an item at any position from the queue.
func (q *Queue[T]) Remove(it *Item[T]) {
	if it.index >= 0 {
		heap.Remove(&q.itemHeap, it.index)
	}
}

// Fix restores the order after the value of an item changed.
func (q *Queue[T]) Fix(it *Item[T]) {
	if it.index >= 0 {
		heap.Fix(&q.itemHeap, it.index)
	}
}

// itemHeap implements heap.Interface.
type itemHeap[T any] struct {
	items []*Item[T]
	less  func(a, b T) bool
}

func (h *itemHeap[T]) Len() int { return len(h.items) }

func (h *itemHeap[T]) Less(i, j int) bool {
	return h.less(h.items[i].Value, h.items[j].Value)
}

func (h *itemHeap[T]) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].index = i
	h.items[j].index = j
}

func (h *itemHeap[T]) Push(x any) {
	it, _ := x.(*Item[T])
	it.index = len(h.items)
	h.items = append(h.items, it)
}

func (h *itemHeap[T]) Pop() any {
	n := len(h.items) - 1
	it := h.items[n]
	h.items[n] = nil
	h.items = h.items[:n]
	it.index = -1
	return it
}
