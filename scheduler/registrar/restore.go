package registrar

import "time"

const (
	// evacuationGrace is how long an evacuation that a restored store has lost goes
	// on. The operators write it again if it is to last.
	evacuationGrace = 30 * time.Second
	// departedGrace is how long an upstream that had been removed must publish its
	// entry again to be used. By then the store has removed the entry of one that
	// does not: it does so after three missed heartbeats.
	departedGrace = 10 * time.Second
)

// BeginEra prepares for the first listing of a store that was restored from an older
// copy. From then on
//
//   - an upstream that was leaving keeps leaving, whatever the store says of that
//     process;
//   - an upstream that had been removed is not used until it publishes its entry
//     again, or departedGrace is over: the one in the copy is from before its removal;
//   - an entry that is missing has the grace period of a store outage;
//   - an evacuation that is missing goes on for evacuationGrace.
func (r *Registrar) BeginEra(now time.Time) {
	r.graceUntil = now.Add(outageGrace)
	clear(r.departed)
	clear(r.held)
	r.departedUntil = now.Add(departedGrace)
	for id, x := range r.removed {
		r.departed[id] = x.born
		if x.leaving {
			r.recordLeaving(id, x.born)
		}
	}
	for id, u := range r.records {
		if u.Leaving {
			r.recordLeaving(id, u.Born)
		}
	}
	for domain := range r.evacuated {
		r.evacuated[domain] = now.Add(evacuationGrace)
	}
}

// recordLeaving records that an upstream's process is leaving.
func (r *Registrar) recordLeaving(id string, born int64) {
	if len(r.left) >= maxRemoved {
		clear(r.left)
	}
	r.left[id] = born
}

// putListed adds or updates an entry of a listing.
func (r *Registrar) putListed(e Entry) {
	if born, ok := r.departed[e.ID]; ok && born == e.Born {
		r.held[e.ID] = e
		return
	}
	r.Put(e)
}

// ReplaceEvacuations applies a complete listing of the evacuated failure domains.
func (r *Registrar) ReplaceEvacuations(domains []string) {
	for domain, until := range r.evacuated {
		if until.IsZero() {
			delete(r.evacuated, domain)
		}
	}
	for _, domain := range domains {
		r.evacuated[domain] = time.Time{}
	}
}

// Prune removes the entries and ends the evacuations whose grace period is over. It
// returns whether there were any.
func (r *Registrar) Prune(now time.Time) (pruned bool) {
	for id := range r.kept {
		if !now.Before(r.records[id].expiresAt) {
			r.Forget(id)
			pruned = true
		}
	}
	if now.After(r.departedUntil) {
		clear(r.departed)
		for _, e := range r.held {
			r.Put(e)
			pruned = true
		}
	}
	for domain, until := range r.evacuated {
		if !until.IsZero() && !now.Before(until) {
			delete(r.evacuated, domain)
			pruned = true
		}
	}
	return pruned
}
