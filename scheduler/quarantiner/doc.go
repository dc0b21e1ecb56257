// Package quarantiner detects requests that crash upstreams and refuses them.
//
// When an upstream crashes, many requests may be in flight, one of which is the
// cause. Each of them gets a report, which names the request's digest and the
// upstream's process. A digest with a report is a suspect. It is refused once it
// has run in two crashes, one after the other, without a run that completed:
//
//   - reports of crashes at the same time count once, because a failure of many
//     upstreams interrupts many copies of a popular request;
//   - a run that completes clears all earlier reports of its digest.
//
// A refusal ends after a time that grows with the number of crashes, so that a
// request that was suspected wrongly is served again, while one that crashes
// upstreams for days runs a few times a day. It should end at each host at another
// time (WithSpread), so that the others learn what the first run after it showed.
//
// Every host keeps all reports and exchanges them with others (exchange.go). A
// report is identified by digest and upstream process and can only change from
// counted to cleared, so hosts may receive reports in any order and any number of
// times, and a report survives as long as any host that has received it.
//
// A second quarantiner does the same for parts of prompts, which many requests
// share. The digest is then that of a part. A sound part often takes part in crashes
// by another one of the same requests, so the two are told apart by the answers
// that begin:
//
//   - an answer that begins clears the reports of all runs with the part that were
//     sent before. Each host remembers for a while when answers began (history.go),
//     so that this includes reports that arrive later;
//   - a part on which an answer had begun before a crash is known and has a higher
//     threshold. A report says so, so that all hosts use the same threshold;
//   - a refused part does not end a request if each of its crashes is also one of
//     another refused part, with at least as many, that the request lacks
//     (explanation.go).
//
// Digests are hashes; no part of a request is stored.
package quarantiner
