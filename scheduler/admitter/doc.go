// Package admitter queues asks for the upstreams of one pool and grants them
// slots.
//
// A Pool is the part of a pool that one owner host looks after. Asks wait by
// tier; a lower tier gets a slot only when no higher one waits. Within a tier
// the workspace that has been served the fewest tokens goes first. Engines
// admit whatever arrives, so a Pool never has more requests on an upstream
// than its slots; the queue is here, where the order can still be changed.
//
// Every call takes the time and returns orders: grants, refusals, and the
// tiers under pressure. An ask that cannot be served in time is refused at
// once, before any of its prompt is computed; whether it may be refused for
// want of capacity is up to the Gate, which keeps the tiers in order over all
// owners of the pool.
package admitter
