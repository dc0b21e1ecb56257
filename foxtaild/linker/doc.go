// Package linker joins the hosts of a fleet.
//
// It runs the membership protocol over UDP, elects a coordinator for each
// failure domain from it (the live member that has run longest), and carries
// asks and decisions between entries and coordinators over one TCP connection
// each. Where a coordinator does not answer, the asks are decided by this
// host's own coordinator, so that no request waits for an election.
//
// A goroutine for each duty: one owns the coordinator (loop.go), one the
// membership (gossip.go), two a link to another host (link.go), two a link
// from one (server.go). They are joined by bounded channels.
package linker
