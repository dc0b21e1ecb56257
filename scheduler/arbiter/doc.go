// Package arbiter implements the owner role of one host: it holds the host's
// shares of the slots of its upstreams, queues admission requests for their
// pools and grants slots.
//
// An Arbiter combines packages that each make one kind of decision. It does no
// I/O: events come in with their time, Actions are returned, and the caller
// carries them out. The joint decisions of several arbiters can therefore be
// tested on a virtual clock.
//
// The free slots of an upstream on this host are computed in three steps: ramper
// limits the concurrent requests of the upstream; leaser determines this host's
// share of that limit; and the requests that run there, including those that
// other hosts granted according to the load reports, are subtracted. A share that
// this host has just gained counts only once there is a load report newer than
// any grant that an earlier holder can have made with it; without load reports,
// once such a grant must have been used or have expired.
package arbiter
