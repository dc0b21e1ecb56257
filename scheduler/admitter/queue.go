package admitter

import (
	"container/list"

	"foxtaillug.org/scheduler"
	"foxtaillug.org/scheduler/internal/pq"
)

// waiting is an ask in the queue with its handles.
type waiting struct {
	ask        Request
	arrival    *list.Element
	own        *list.Element
	expiry     *pq.Item[*waiting]
	infeasible bool
}

// share is one workspace's place in a tier: its asks in order of arrival and
// the tokens it was served.
type share struct {
	workspace scheduler.WorkspaceID
	served    float64
	asks      *list.List
	place     *pq.Item[*share]
}

// tierQueue holds the waiting asks of one tier.
type tierQueue struct {
	arrivals *list.List
	shares   map[scheduler.WorkspaceID]*share
	active   *pq.Queue[*share]
	floor    float64
}

// newTierQueue returns an empty queue.
func newTierQueue() *tierQueue {
	return &tierQueue{
		arrivals: list.New(),
		shares:   make(map[scheduler.WorkspaceID]*share),
		active: pq.New(func(a, b *share) bool {
			if a.served != b.served {
				return a.served < b.served
			}
			return a.workspace < b.workspace
		}),
	}
}

// share returns a workspace's place, making it at first use.
func (q *tierQueue) share(id scheduler.WorkspaceID) *share {
	s, ok := q.shares[id]
	if !ok {
		s = &share{workspace: id, asks: list.New(), served: q.floor}
		q.shares[id] = s
	}
	return s
}

// push queues an ask. A workspace that comes back from idleness starts level
// with the least served one, so that idle time is not saved up.
func (q *tierQueue) push(w *waiting) {
	s := q.share(w.ask.workspace)
	w.arrival = q.arrivals.PushBack(w)
	w.own = s.asks.PushBack(w)
	if s.asks.Len() > 1 {
		return
	}
	s.served = max(s.served, q.floor)
	s.place = q.active.Push(s)
}

// remove takes an ask out of the queue.
func (q *tierQueue) remove(w *waiting) {
	s := q.share(w.ask.workspace)
	q.arrivals.Remove(w.arrival)
	s.asks.Remove(w.own)
	if s.asks.Len() == 0 {
		q.active.Remove(s.place)
	}
}

// charge counts tokens served to a workspace.
func (q *tierQueue) charge(id scheduler.WorkspaceID, tokens float64) {
	s := q.share(id)
	s.served += tokens
	if s.asks.Len() > 0 {
		q.active.Fix(s.place)
	}
	if first, ok := q.active.Peek(); ok {
		q.floor = max(q.floor, first.served)
	}
}

// next returns the ask that is to be served first: the oldest of the least
// served workspace.
func (q *tierQueue) next() *waiting {
	s, ok := q.active.Peek()
	if !ok {
		return nil
	}
	w, _ := s.asks.Front().Value.(*waiting)
	return w
}

// newest returns the ask that arrived last.
func (q *tierQueue) newest() *waiting {
	if e := q.arrivals.Back(); e != nil {
		w, _ := e.Value.(*waiting)
		return w
	}
	return nil
}

// oldest returns the ask that arrived first.
func (q *tierQueue) oldest() *waiting {
	if e := q.arrivals.Front(); e != nil {
		w, _ := e.Value.(*waiting)
		return w
	}
	return nil
}

// length returns how many asks wait.
func (q *tierQueue) length() int { return q.arrivals.Len() }
