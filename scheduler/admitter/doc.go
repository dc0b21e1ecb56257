// Package admitter queues admission requests for the upstreams of one pool and
// grants them slots.
//
// A Pool holds the upstreams of a pool that one owner host schedules. Requests
// wait by tier; a lower tier gets a slot only when no higher tier is waiting.
// Within a tier, the workspace that has been served the fewest tokens goes
// first. Engines admit whatever arrives, so a Pool never has more requests on
// an upstream than it has slots there; the queue is kept here, where it can
// still be reordered.
//
// Every call takes the current time and returns Actions: grants and refusals. A
// request that cannot finish before its deadline is refused immediately, before
// any of its prompt is computed. Whether a request may be refused for lack of
// capacity is up to the Shedder, which sheds tiers in order across all owners
// of the pool.
package admitter
