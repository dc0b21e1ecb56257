package linker

import (
	"slices"

	"foxtaillug.org/scheduler/detector"
)

// incoming is a link that another host dialled.
type incoming struct{ cancel func() }

// registerIncoming records a link of an entry host and closes the host's earlier ones. A
// host has one link to another at a time, so an earlier one is left over from before a loss of
// power or a cut, which no packet has shown. Its grants would hold their slots until the
// requests' deadlines.
func (l *Linker) registerIncoming(host string, k *incoming) {
	l.mu.Lock()
	earlier := l.incoming[host]
	if l.incoming == nil {
		l.incoming = make(map[string][]*incoming)
	}
	l.incoming[host] = []*incoming{k}
	l.mu.Unlock()
	for _, e := range earlier {
		e.cancel()
	}
}

// forgetIncoming removes a link that has ended.
func (l *Linker) forgetIncoming(host string, k *incoming) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.incoming[host] = slices.DeleteFunc(l.incoming[host], func(e *incoming) bool { return e == k })
	if len(l.incoming[host]) == 0 {
		delete(l.incoming, host)
	}
}

// closeLinksOfDead closes the incoming links of the hosts that the membership has found dead,
// which releases their grants. A host that is alive all the same dials again and reports what it
// runs.
func (l *Linker) closeLinksOfDead(members []detector.Member) {
	var dead []*incoming
	l.mu.Lock()
	for _, m := range members {
		if m.Status >= detector.Dead {
			dead = append(dead, l.incoming[m.ID]...)
		}
	}
	l.mu.Unlock()
	for _, k := range dead {
		k.cancel()
	}
}
