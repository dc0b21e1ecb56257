package detector

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// pingInterval is the time between two pings that a host sends to members.
	pingInterval = 300 * time.Millisecond
	// directTimeout is how long a host waits for an ack before it asks others to
	// ping the member.
	directTimeout = 120 * time.Millisecond
	// suspicionTimeout is how long a suspect has to refute the suspicion before it
	// is declared dead.
	suspicionTimeout = 700 * time.Millisecond
	// deadRetention is how long a dead member is kept and pinged.
	deadRetention = 60 * time.Second
	// healInterval is the time between two pings of dead members or contacts.
	healInterval = time.Second
	// joinInterval replaces healInterval while no other member is known, and
	// pingInterval for joinTime after the start.
	joinInterval = 100 * time.Millisecond
	// suspensionGap is the time between two ticks above which this host assumes
	// that it was suspended. It then suspects no member for acks that it missed in
	// that time.
	suspensionGap = time.Second
	// indirectPings is the number of members that are asked to ping a member that
	// does not respond.
	indirectPings = 2
	// maxTransmissions is how many times a host piggybacks a change on messages.
	maxTransmissions = 8
	// maxChanges and randomMembers are the numbers of changed and of random members
	// that one message carries. The messages of a host that has just started carry
	// joinRandomMembers random ones, as many other hosts may have started with it.
	maxChanges, randomMembers, joinRandomMembers = 12, 2, 16
	// joinRandomTime is how long after its start a host sends joinRandomMembers.
	joinRandomTime = 8 * time.Second
	// joinTime is how long after its start a host pings at joinInterval, so that
	// hosts that start together soon know the oldest of them.
	joinTime = 2 * time.Second
)

// memberState is a member with the state that this host keeps about it.
type memberState struct {
	Member
	// since is the time of the last change of the status or of another field that
	// is piggybacked on messages.
	since time.Time
	// transmissions counts how many times the last change has been piggybacked.
	transmissions int
}

// probe is a ping to a member that has not been acked yet. It is indirect once
// others have been asked to ping the member.
type probe struct {
	id       string
	sentAt   time.Time
	indirect bool
}

// relay is a ping sent on behalf of another host, to which the ack is forwarded.
type relay struct {
	to     string
	seq    uint64
	sentAt time.Time
}

// Detector is one host's view of the fleet's membership. It is not safe for
// concurrent use.
type Detector struct {
	self                Member
	contacts            []string
	rand                *rand.Rand
	members             map[string]*memberState
	probes              map[uint64]probe
	relays              map[uint64]relay
	pingOrder           []string
	seq                 uint64
	firstTick, lastTick time.Time
	nextPing            time.Time
	nextHeal            time.Time
	changes             uint64
	// digest caches the result of oldestDigest for the value digestChanges of
	// changes.
	digest        uint64
	digestChanges uint64
	// disputedDomain is a failure domain in which this host's view has an older
	// member than the view of the host from which the last digest was received; ""
	// if there is none.
	disputedDomain string
}

// New returns a detector that knows only its own host and the addresses of some
// contacts. The seed makes its random choices reproducible.
func New(self Member, contacts []string, seed uint64) *Detector {
	self.StartIncarnation = self.Incarnation
	return &Detector{
		self:     self,
		contacts: slices.DeleteFunc(slices.Clone(contacts), func(a string) bool { return a == self.Address }),
		rand:     rand.New(rand.NewPCG(seed, 1)),
		members:  make(map[string]*memberState),
		probes:   make(map[uint64]probe),
		relays:   make(map[uint64]relay),
	}
}

// Self returns this host's record of itself.
func (d *Detector) Self() Member { return d.self }

// Changes returns how many times the view has changed.
func (d *Detector) Changes() uint64 { return d.changes }

// Announce sets the configuration version and the position in the store, as era and
// revision, that this host reports to others.
func (d *Detector) Announce(version, era, revision uint64) {
	d.self.Version, d.self.Era, d.self.Revision = version, era, revision
}

// MostCurrent returns the live member that has read the store furthest among those for
// which a condition holds, and the newest version of the configuration that any live member
// has. Unlike the rest of a record, what a member has read changes without a change of the
// view.
func (d *Detector) MostCurrent(condition func(Member) bool) (best Member, newest uint64, ok bool) {
	for _, e := range d.members {
		if e.Status != Alive {
			continue
		}
		newest = max(newest, e.Version)
		if condition(e.Member) && (!ok || e.ComparePosition(best) > 0) {
			best, ok = e.Member, true
		}
	}
	return best, newest, ok
}

// Members returns all members except this host, sorted by ID.
func (d *Detector) Members() []Member {
	list := make([]Member, 0, len(d.members))
	for _, e := range d.members {
		list = append(list, e.Member)
	}
	slices.SortFunc(list, func(a, b Member) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return list
}

// Leave marks this host as leaving and returns the messages that notify up to
// maxChanges live members at once.
func (d *Detector) Leave(now time.Time) (packets []Packet) {
	d.self.Leaving = true
	d.self.Incarnation++
	d.changes++
	for _, e := range d.members {
		if e.Status == Alive {
			packets = append(packets, d.ping(e.Address, "", now))
		}
		if len(packets) == maxChanges {
			break
		}
	}
	return packets
}

// PingRandom returns pings of up to n random live members, for a caller that sends
// data of its own with them. A missing ack has no effect.
func (d *Detector) PingRandom(n int, now time.Time) (packets []Packet) {
	for _, e := range d.randomAlive(n, "") {
		packets = append(packets, d.ping(e.Address, "", now))
	}
	return packets
}

// Tick advances the detector to the time now and returns the messages to send.
func (d *Detector) Tick(now time.Time) (packets []Packet) {
	if d.firstTick.IsZero() {
		d.firstTick = now
	}
	if !d.lastTick.IsZero() && now.Sub(d.lastTick) > suspensionGap {
		clear(d.probes)
		for _, e := range d.members {
			if e.Status == Suspect {
				e.since = now
			}
		}
	}
	d.lastTick = now
	packets = d.checkProbes(now, packets)
	d.expire(now)
	if !now.Before(d.nextPing) {
		d.nextPing = now.Add(d.currentPingInterval())
		if e := d.nextMember(); e != nil {
			packets = append(packets, d.ping(e.Address, e.ID, now))
		}
	}
	if !now.Before(d.nextHeal) {
		wait := healInterval
		if len(d.members) == 0 {
			wait = joinInterval
		}
		d.nextHeal = now.Add(wait)
		packets = d.heal(now, packets)
	}
	return packets
}

// NextTick returns the time at which Tick has something to do next, if no message arrives
// before.
func (d *Detector) NextTick() time.Time {
	next := earlier(d.nextPing, d.nextHeal)
	for _, p := range d.probes {
		wait := directTimeout
		if p.indirect {
			wait = pingInterval
		}
		next = earlier(next, p.sentAt.Add(wait))
	}
	for _, e := range d.members {
		switch {
		case e.Status == Suspect:
			next = earlier(next, e.since.Add(suspicionTimeout))
		case e.Status >= Dead:
			next = earlier(next, e.since.Add(deadRetention))
		}
	}
	return next
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// currentPingInterval returns the time until the next ping: joinInterval for
// joinTime after the start, pingInterval after that.
func (d *Detector) currentPingInterval() time.Duration {
	if d.lastTick.Sub(d.firstTick) < joinTime {
		return joinInterval
	}
	return pingInterval
}

// ping returns a ping to an address. If id is the ID of a member, the member is
// suspected if neither it nor a host asked to ping it responds; with an empty id a
// missing ack has no effect.
func (d *Detector) ping(to, id string, now time.Time) Packet {
	d.seq++
	if id != "" {
		d.probes[d.seq] = probe{id: id, sentAt: now}
	}
	list := d.piggyback()
	if d.disputedDomain != "" {
		list = append(list, d.oldestInDomain(d.disputedDomain)...)
	}
	return Packet{To: to, Message: Message{Kind: Ping, Seq: d.seq, From: d.self, Members: list, OldestDigest: d.oldestDigest()}}
}

// nextMember returns the next member to ping, or nil if there is none. All members
// that are not dead are pinged in rounds of random order.
func (d *Detector) nextMember() *memberState {
	for range 2 {
		for len(d.pingOrder) > 0 {
			id := d.pingOrder[len(d.pingOrder)-1]
			d.pingOrder = d.pingOrder[:len(d.pingOrder)-1]
			if e := d.members[id]; e != nil && e.Status <= Suspect {
				return e
			}
		}
		for id, e := range d.members {
			if e.Status <= Suspect {
				d.pingOrder = append(d.pingOrder, id)
			}
		}
		slices.Sort(d.pingOrder)
		d.rand.Shuffle(len(d.pingOrder), func(i, j int) { d.pingOrder[i], d.pingOrder[j] = d.pingOrder[j], d.pingOrder[i] })
	}
	return nil
}

// checkProbes requests indirect pings of members that have not acked within
// directTimeout and suspects members that have not acked within pingInterval.
func (d *Detector) checkProbes(now time.Time, packets []Packet) []Packet {
	for seq, p := range d.probes {
		e := d.members[p.id]
		switch {
		case e == nil || e.Status > Suspect:
			delete(d.probes, seq)
		case now.Sub(p.sentAt) >= pingInterval:
			delete(d.probes, seq)
			if e.Status == Alive {
				d.setStatus(e, Suspect, now)
			}
		case !p.indirect && now.Sub(p.sentAt) >= directTimeout:
			p.indirect = true
			d.probes[seq] = p
			for _, h := range d.randomAlive(indirectPings, p.id) {
				packets = append(packets, Packet{To: h.Address, Message: Message{Kind: PingRequest, Seq: seq, From: d.self, Target: e.Address}})
			}
		}
	}
	for seq, r := range d.relays {
		if now.Sub(r.sentAt) > pingInterval {
			delete(d.relays, seq)
		}
	}
	return packets
}

// expire declares suspects dead after suspicionTimeout and removes dead members
// after deadRetention.
func (d *Detector) expire(now time.Time) {
	for id, e := range d.members {
		switch {
		case e.Status == Suspect && now.Sub(e.since) >= suspicionTimeout:
			d.setStatus(e, Dead, now)
		case e.Status >= Dead && now.Sub(e.since) >= deadRetention:
			delete(d.members, id)
			d.changes++
		}
	}
}

// heal appends to packets a ping of one random address among those of the dead
// members and of the contacts not known to be alive, or pings of all of these
// addresses if no member is alive.
func (d *Detector) heal(now time.Time, packets []Packet) []Packet {
	alive := make(map[string]bool)
	var unreachable []string
	for _, id := range d.shuffled() {
		e := d.members[id]
		if e.Status <= Suspect {
			alive[e.Address] = true
		} else if e.Status == Dead {
			unreachable = append(unreachable, e.Address)
		}
	}
	for _, a := range d.contacts {
		if !alive[a] && !slices.Contains(unreachable, a) {
			unreachable = append(unreachable, a)
		}
	}
	if len(alive) == 0 {
		for _, a := range unreachable {
			packets = append(packets, d.ping(a, "", now))
		}
		return packets
	}
	if len(unreachable) > 0 {
		packets = append(packets, d.ping(unreachable[d.rand.IntN(len(unreachable))], "", now))
	}
	return packets
}

// Receive processes a message from an address and returns the messages to send in
// response.
func (d *Detector) Receive(from string, m Message, now time.Time) (packets []Packet) {
	if m.From.ID == d.self.ID && m.From.StartIncarnation == d.self.StartIncarnation {
		return nil
	}
	prior := d.members[m.From.ID]
	known := prior != nil && prior.StartIncarnation == m.From.StartIncarnation
	corrections := d.corrections(m.Members)
	d.merge(m.From, now, true)
	for _, member := range m.Members {
		d.merge(member, now, false)
	}
	d.compareOldest(m)
	switch m.Kind {
	case Ping:
		list := d.ackMembers(m, known, corrections)
		packets = append(packets, Packet{To: from, Message: Message{Kind: Ack, Seq: m.Seq, From: d.self, Members: list, OldestDigest: d.oldestDigest()}})
	case Ack:
		if r, ok := d.relays[m.Seq]; ok {
			delete(d.relays, m.Seq)
			packets = append(packets, Packet{To: r.to, Message: Message{Kind: Ack, Seq: r.seq, From: m.From}})
		}
		delete(d.probes, m.Seq)
	case PingRequest:
		p := d.ping(m.Target, "", now)
		d.relays[p.Message.Seq] = relay{to: from, seq: m.Seq, sentAt: now}
		packets = append(packets, p)
	}
	return packets
}
