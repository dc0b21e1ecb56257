// Package ejector decides which upstreams of a pool are out of service because they fail
// requests that the others serve.
//
// The evidence is how requests ended, whatever the health checks say. For each upstream two
// sequential likelihood ratio tests (CUSUM) compare "fails like the rest of the pool" with
// "fails nearly all requests" and "fails a part of them". They need three to five failures in a
// row, or some ten to thirty requests of which a part fails, and forget over a few seconds. The
// rate of the rest is the mean over the other upstreams without the worst third, so that several
// faulty upstreams don't hide each other, and it counts upstreams, not requests, as one that
// fails fast draws most of them.
//
// If the rest fails at a like rate, the requests or the service are at fault and no upstream is
// out. At most a third of a pool is out at once, at least one of two or more: those with the
// highest failure rates.
//
// An upstream that is out gets one trial request at a time, after 0.3 to 1 s.
package ejector
