package admitter

import (
	"container/list"

	"foxtaillug.org/scheduler"
	"foxtaillug.org/scheduler/internal/pq"
)

// waiting is a queued request with its positions in the queues.
type waiting struct {
	req           Request
	arrivalElem   *list.Element
	workspaceElem *list.Element
	expiry        *pq.Item[*waiting]
	late          bool
}

// workspaceQueue holds the requests of one workspace within a tier, in order of
// arrival, and the tokens that the workspace has been served.
type workspaceQueue struct {
	workspace scheduler.WorkspaceID
	served    float64
	requests  *list.List
	handle    *pq.Item[*workspaceQueue]
}

// tierQueue holds the waiting requests of one tier.
type tierQueue struct {
	arrivals   *list.List
	workspaces map[scheduler.WorkspaceID]*workspaceQueue
	active     *pq.Queue[*workspaceQueue]
	minServed  float64
}

// newTierQueue returns an empty queue.
func newTierQueue() *tierQueue {
	return &tierQueue{
		arrivals:   list.New(),
		workspaces: make(map[scheduler.WorkspaceID]*workspaceQueue),
		active: pq.New(func(a, b *workspaceQueue) bool {
			if a.served != b.served {
				return a.served < b.served
			}
			return a.workspace < b.workspace
		}),
	}
}

// workspaceQueue returns the queue of a workspace, creating it on first use.
func (q *tierQueue) workspaceQueue(id scheduler.WorkspaceID) *workspaceQueue {
	wq, ok := q.workspaces[id]
	if !ok {
		wq = &workspaceQueue{workspace: id, requests: list.New(), served: q.minServed}
		q.workspaces[id] = wq
	}
	return wq
}

// push queues a request. A workspace that was idle starts level with the least
// served active workspace, so that idle time earns no credit.
func (q *tierQueue) push(w *waiting) {
	wq := q.workspaceQueue(w.req.workspace)
	w.arrivalElem = q.arrivals.PushBack(w)
	w.workspaceElem = wq.requests.PushBack(w)
	if wq.requests.Len() > 1 {
		return
	}
	wq.served = max(wq.served, q.minServed)
	wq.handle = q.active.Push(wq)
}

// remove removes a request from the queue.
func (q *tierQueue) remove(w *waiting) {
	wq := q.workspaceQueue(w.req.workspace)
	q.arrivals.Remove(w.arrivalElem)
	wq.requests.Remove(w.workspaceElem)
	if wq.requests.Len() == 0 {
		q.active.Remove(wq.handle)
	}
}

// addServed adds tokens to what a workspace has been served.
func (q *tierQueue) addServed(id scheduler.WorkspaceID, tokens float64) {
	wq := q.workspaceQueue(id)
	wq.served += tokens
	if wq.requests.Len() > 0 {
		q.active.Fix(wq.handle)
	}
	if first, ok := q.active.Peek(); ok {
		q.minServed = max(q.minServed, first.served)
	}
}

// next returns the request to serve first: the oldest of the least served
// workspace.
func (q *tierQueue) next() *waiting {
	wq, ok := q.active.Peek()
	if !ok {
		return nil
	}
	w, _ := wq.requests.Front().Value.(*waiting)
	return w
}

// newest returns the request that arrived last, or nil.
func (q *tierQueue) newest() *waiting {
	if e := q.arrivals.Back(); e != nil {
		w, _ := e.Value.(*waiting)
		return w
	}
	return nil
}

// oldest returns the request that arrived first, or nil.
func (q *tierQueue) oldest() *waiting {
	if e := q.arrivals.Front(); e != nil {
		w, _ := e.Value.(*waiting)
		return w
	}
	return nil
}

// length returns the number of waiting requests.
func (q *tierQueue) length() int { return q.arrivals.Len() }
