// Package detector maintains the membership of the fleet: which hosts exist and
// which of them are alive.
//
// It implements a gossip protocol of the SWIM family (Das, Gupta, Motivala: SWIM,
// DSN 2002). In each period a host pings one other host. If there is no ack, it
// asks two others to ping that host, and suspects it if they can't reach it
// either. A suspect that does not refute the suspicion with a higher incarnation
// is declared dead. Changes are piggybacked on pings and acks. The load of a host
// does not depend on the size of the fleet.
//
// A host starts with a few contact addresses, which may be stale or down. It
// regularly pings dead members, so that partitions heal.
//
// The oldest live host of a failure domain has special duties, so all hosts must
// soon agree on which one it is, even when a hundred hosts have changed at once.
// Messages carry a digest of the members that the sender considers the oldest of
// each failure domain. A host with a different digest acks with the oldest members
// in its own view. If its view has an older member than the sender's, it also
// sends the oldest members of that failure domain with its pings, so that hosts
// with newer records correct them.
//
// The Detector is given messages and ticks together with the current time and
// returns the messages to send. It has no clock and no socket.
package detector
