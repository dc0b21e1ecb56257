// Package relayer hands requests over to another host, which serves them whole, and takes
// requests from other hosts.
//
// A host that is cut off from upstreams offers a request to another one. That host takes it
// or not; until it has said so, nothing but the offer has been sent, so the request has
// certainly not run. It then forwards the request like one of its own callers', and sends
// the response back as it comes.
//
//	entry host                other host
//	   offer         ───────▶
//	                 ◀───────  taken
//	   request       ───────▶                 ──▶ upstream
//	                 ◀───────  head, data ... ◀──
//	                 ◀───────  end
//
// A connection carries one request at a time and is kept for the next. If the entry host
// closes it, as its caller has left, the other host ends the request.
package relayer
