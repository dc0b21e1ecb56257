// Package coordinator decides which request runs on which upstream, which
// waits and which is refused, for the upstreams of one failure domain.
//
// One host of a failure domain is its coordinator. The other hosts, the
// entries that callers reach, send it an Ask for each request and get a
// Decision; the request's body goes straight from the entry to the upstream.
// An entry whose coordinator does not answer asks a Coordinator of its own,
// which knows only what this entry runs: too much work on a warm upstream
// makes it slow, which is better than no service.
//
// What must hold in every partition is held by fixed parts instead of
// agreement: the rate onto cold upstreams, the retry budget, the quota of a
// workspace. See the packages limiter and registrar.
//
// The load patterns that the decisions answer:
//
//   - waiting (queue.go): bursts above capacity. Upstreams keep no tiers and
//     run requests in order of arrival, so no more than their slots is sent to
//     them; the rest waits here by tier.
//   - refusing (forecast.go): sustained overload, as when a workspace sends
//     several times its usual while engines are down. A request that a forecast
//     says will not be reached in time is refused at once instead of after a
//     long wait, and told when its turn would come.
//   - placing (place.go): upstreams that differ in speed, are cold, or fail
//     part of their requests.
package coordinator
