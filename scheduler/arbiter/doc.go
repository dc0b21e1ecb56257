// Package arbiter is the owner role of one host: it holds the shares of the
// host's upstreams, queues asks for their pools and grants slots.
//
// An Arbiter joins the packages that decide one thing each. It is pure: events
// come in with their time, orders go out, and the runtime carries them out.
// Whatever N of them decide together can therefore be tested on a virtual
// clock.
//
// How many slots an upstream has here is the smallest of what three say:
// ramper, what the upstream tolerates; leaser, what this host may use of it; and
// the load reports, what others still have on it. A share that has just come
// counts only once a load report is younger than any grant an earlier holder
// can have made with it.
package arbiter
