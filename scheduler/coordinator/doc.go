// Package coordinator decides which request runs on which upstream, which waits
// and which is refused, for the upstreams of one failure domain.
//
// One host of a failure domain is its coordinator. The other hosts, the entry
// hosts that callers connect to, send it a Request for each call and get a
// Decision; the request's body goes straight from the entry host to the
// upstream. An entry host whose coordinator does not respond uses a standalone
// Coordinator of its own, which knows only the requests of this host. That may
// overload a warm upstream and make it slow, which is better than no service.
//
// Bounds that must hold in every network partition are divided into fixed
// shares instead of being agreed upon: the request rate onto cold upstreams,
// the retry budget and the quota of a workspace. See package limiter.
//
// The decisions address these load patterns:
//
//   - queueing (queue.go): bursts above capacity. Upstreams have no tiers and
//     run requests in order of arrival, so they are sent no more requests than
//     they have slots; the rest waits here by tier.
//   - early rejection (forecast.go): sustained overload, as when a workspace
//     sends several times its usual load while engines are down. A request that
//     according to a forecast will not get a slot in time is refused immediately
//     instead of after a long wait, with a Retry-After of the time at which it
//     would have got one.
//   - placement (place.go): upstreams that differ in speed, are cold, or fail
//     some of their requests.
//   - limits (limit.go) and brittle upstreams (brittle.go): upstreams that say in their
//     responses how many requests a second they accept, or that they fall over if they have
//     to reject many.
//   - reach (reach.go): hosts that are cut off from some or all upstreams. What one host
//     fails to connect to is kept from that host, and from all only if others fail too or
//     none has had a response lately.
//   - bound requests (version.go): streams that go on only at the software version
//     that began them, as during a rolling release of the upstreams. Such a request
//     waits for the slots of its version alone, before others of its rank, and holds up
//     none that can use other slots. If no upstream of its version can take it in
//     time, here or in another failure domain, it is refused at once.
package coordinator
