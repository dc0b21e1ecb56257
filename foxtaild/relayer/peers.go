package relayer

import (
	"net"
	"slices"
	"strconv"
	"time"

	"foxtaillug.org/foxtaild/forwarder"
	"foxtaillug.org/scheduler/detector"
)

// peer is a host that a request may be offered to.
type peer struct {
	name, address string
	// distance is 0 in this host's failure domain, 1 in its region and 2 elsewhere.
	distance int
}

// distances is the number of distances.
const distances = 3

// candidates returns the hosts that a request is offered to, in order, at random among those
// at the same distance.
func (r *Relayer) candidates(req *forwarder.Request) (peers []peer) {
	members := r.members()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for _, m := range members {
		if m.Status != detector.Alive || m.Leaving || m.ID == r.settings.Host || now.Before(r.avoided[m.ID]) {
			continue
		}
		if len(req.Regions) > 0 && !slices.Contains(req.Regions, m.Region) {
			continue
		}
		if address, ok := relayAddress(m.Address); ok {
			peers = append(peers, peer{name: m.ID, address: address, distance: r.distance(m)})
		}
	}
	r.rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return spread(peers)
}

// spread returns at most maxOffers hosts, in turn one of each distance, the nearest first: the
// hosts of a failure domain may all be cut off.
func spread(peers []peer) (order []peer) {
	for len(peers) > 0 && len(order) < maxOffers {
		for d := range distances {
			if i := slices.IndexFunc(peers, func(p peer) bool { return p.distance == d }); i >= 0 {
				order = append(order, peers[i])
				peers = slices.Delete(peers, i, i+1)
			}
		}
	}
	return order[:min(len(order), maxOffers)]
}

// distance returns the distance of a member.
func (r *Relayer) distance(m detector.Member) int {
	switch {
	case m.Domain == r.settings.Domain:
		return 0
	case m.Region == r.settings.Region:
		return 1
	default:
		return 2
	}
}

// relayAddress returns the address at which a member takes requests: the next port after
// that of its address.
func relayAddress(address string) (string, bool) {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return "", false
	}
	n, err := strconv.Atoi(port)
	return net.JoinHostPort(host, strconv.Itoa(n+1)), err == nil
}

// avoid leaves a host out for a while.
func (r *Relayer) avoid(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for n, until := range r.avoided {
		if now.After(until) {
			delete(r.avoided, n)
		}
	}
	r.avoided[name] = now.Add(avoidTime)
}
