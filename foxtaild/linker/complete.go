package linker

import (
	"slices"

	"foxtaillug.org/scheduler/detector"
)

// homeHosts remembers the other hosts of this host's failure domain, also after the
// detector has removed them: a host that is not seen may be dead, or parted and coordinate
// the failure domain behind a partition.
type homeHosts struct {
	// known holds the IDs of the hosts that were seen and have not left, seeds the
	// addresses of the seeds that were seen.
	known, seeds map[string]bool
}

// complete reports whether each known host of the failure domain is alive, so that no other
// host can have become its coordinator. A seed that was never seen may be one of them.
func (h *homeHosts) complete(s Settings, members []detector.Member) bool {
	if h.known == nil {
		h.known, h.seeds = make(map[string]bool), make(map[string]bool)
	}
	alive := 0
	for _, m := range members {
		if slices.Contains(s.Seeds, m.Address) {
			h.seeds[m.Address] = true
		}
		switch {
		case m.Domain != s.Domain:
		case m.Leaving:
			delete(h.known, m.ID)
		default:
			h.known[m.ID] = true
			if m.Status == detector.Alive {
				alive++
			}
		}
	}
	for _, seed := range s.Seeds {
		if seed != s.Address && !h.seeds[seed] {
			return false
		}
	}
	return alive == len(h.known)
}
