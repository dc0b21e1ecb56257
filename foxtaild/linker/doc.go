// Package linker connects the hosts of a fleet.
//
// It runs the membership protocol over UDP and uses the membership to elect a
// coordinator for each failure domain: the live member that has run longest.
// It carries admission requests and decisions between entry hosts and
// coordinators over one TCP connection per pair. If a coordinator does not
// respond, this host's own coordinator decides, so that no request waits for an
// election.
//
// Membership messages also carry reports of requests that crash upstreams, so that
// every host refuses them (package inspector). Over the same socket hosts send each other
// records of where streams began, and ask for them (package pinner, origins.go).
//
// One goroutine owns the coordinator (loop.go) and one owns the membership
// (gossip.go). Each outgoing link has a reader and a writer goroutine
// (link.go), and so has each incoming link (server.go). They communicate over
// bounded channels.
package linker
