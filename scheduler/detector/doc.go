// Package detector keeps the membership of the fleet: which hosts exist and
// which of them are alive.
//
// It is a gossip protocol of the SWIM family (Das, Gupta, Motivala: SWIM,
// DSN 2002). In each period a host pings one other, asks two more to ping it
// if no answer comes, and suspects it if they can't reach it either. A suspect
// that does not refute the suspicion by a higher incarnation is declared dead.
// Changes travel with pings and answers. The load of a host does not depend
// on the size of the fleet.
//
// A host starts from a few contact addresses, which may be stale or down, and
// keeps pinging dead members now and then, so that partitions heal.
//
// The oldest live host of a failure domain has duties, so all should soon agree
// on who it is, also when a hundred hosts have changed at once. Messages carry a
// digest of whom the sender takes for the oldest. A host that differs answers
// with whom it means, tells the oldest members that it believes in, and has them
// corrected by hosts that know better.
//
// The Detector takes messages and ticks together with the time and returns
// the messages to be sent. It has no clock and no socket.
package detector
