// Package observer keeps what upstreams say of themselves in their responses.
//
// A response may name a limit: the number of requests per second that its upstream
// accepts from all hosts together. The limit holds for one process of the upstream, until
// a later response names another one or none. It may also name the time until the upstream
// is warm, and that the upstream's process ends soon, or
// that it wants no requests of one host for a while. Hosts exchange Observations of such responses, and each keeps the latest of each
// upstream in a Table.
package observer
