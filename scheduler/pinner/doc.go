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
//     was only one for longer than any stream of the route lasts, that is the origin of
//     all of them, and no copies are needed. Most of the time this is so, and a fleet
//     exchanges nothing.
//
// An Inquiry combines the answers of several hosts. An origin that is not known is never
// guessed.
//
// The package holds no clock, socket or goroutine. Callers pass the time, which must
// have a monotonic reading.
package pinner
