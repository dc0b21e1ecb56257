// Package inspector keeps a host's record of requests, and of parts of prompts, that
// crash upstreams.
//
// A request whose connection was lost may have crashed its upstream, or the
// upstream lives and only this response was lost. The Inspector determines which with a
// health check of the upstream on a new connection. If the upstream refuses the
// connection, can't be reached, or ends the connection without a response, it is
// dead, and the request and its suspect parts get crash reports (package quarantiner).
//
// The reports are exchanged with all other hosts through the membership protocol
// (package linker), so that no single host holds them.
package inspector
