// Package pinner decides at which upstreams a stream may go on.
//
// The events of two software versions, or of two pools, do not fit together. A stream
// therefore goes on only in the pool and at the version that began it, its origin. A
// caller may take its stream up again at any host, often because the host that served
// it is gone. This package holds what a host knows of origins:
//
//   - Records. The host that relays the first event of a stream records its origin, and
//     hosts send each other copies; Holders and Sources say to which hosts, and which of
//     them to ask.
//   - Watches. For each route a host watches which origins have been possible. If there
//     was only one for longer than any stream of the route lasts, and than other hosts
//     may go on with one that has left, that is the origin of all of them, and no copies
//     are needed. Most of the time this is so, and a fleet exchanges nothing.
//
// An Inquiry combines the answers of several hosts. An origin that is not known is never
// guessed. It is never another one than the stream's if these hold:
//
//   - A directory that counts as up to date is at most 2 s behind.
//   - No host begins a stream at an origin later than 30 s after it has left the directory.
//   - A host begins streams at an origin only when those that are up to date have seen it,
//     or the record outlives the host that began the stream within these 2 s.
//   - The ID of a request is not used again while its stream may be taken up.
//
// The package holds no clock, socket or goroutine. Callers pass the time, which must
// have a monotonic reading.
package pinner
