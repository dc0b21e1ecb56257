// Package sharer divides the work of one pool and tier among workspaces: max-min
// fair shares from decaying sums of the work asked and served.
//
// The fair level L solves: the sum over workspaces of min(asked, L) equals the
// work served. A workspace that was served more than L and a margin is over its
// share. Where everything asked is served there is no contention, L is infinite
// and no workspace is over its share.
//
// Work is slot time on a typical upstream, in seconds. A Sharer adds up its own
// work and what others report as totals since the start of their process, so a
// lost report does no harm. Sums decay, so nothing is owed for long.
package sharer
