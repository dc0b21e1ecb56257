// Package arbiter implements the owner role of one host: it holds the host's
// shares of the slots of its upstreams, queues admission requests for their
// pools and grants slots.
//
// An Arbiter combines packages that each make one kind of decision. It does no
// I/O: events come in with their time, Actions are returned, and the caller
// carries them out. The joint decisions of several arbiters can therefore be
// tested on a virtual clock.
//
// The number of slots that an upstream has on this host is the smallest of
// three limits: ramper limits what the upstream can handle; leaser limits what
// this host may use of it; and the load reports limit it to what the requests
// of other hosts leave free. A share that this host has just gained counts only
// once there is a load report newer than any grant that an earlier holder can
// have made with it.
package arbiter
