package detector

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// period is the time between two pings of a host.
	period = 300 * time.Millisecond
	// directTime is how long an answer to a ping is awaited before others
	// are asked to ping.
	directTime = 120 * time.Millisecond
	// suspectTime is how long a suspect has to refute.
	suspectTime = 700 * time.Millisecond
	// deadMemory is how long a dead member is remembered and pinged.
	deadMemory = 60 * time.Second
	// healPeriod is the time between two pings of dead members or contacts.
	healPeriod = time.Second
	// joinPeriod is the same while no other member is known.
	joinPeriod = 100 * time.Millisecond
	// wakeGap is a pause between ticks after which this host assumes that it
	// was suspended and suspects nobody for its own silence.
	wakeGap = time.Second
	// helpers is the number of members asked to ping a silent one.
	helpers = 2
	// spread is how often a change is passed on by one host.
	spread = 8
	// fresh and sample are the numbers of changed and of random members that
	// travel with one message; youngSample goes with the messages of a host
	// that has just started, as many others may have started with it.
	fresh, sample, youngSample = 12, 2, 16
	// youngTime is how long a host counts as just started.
	youngTime = 8 * time.Second
	// joinTime is how long a host that has just started pings at joinPeriod, so
	// that hosts which start together soon know the oldest of them.
	joinTime = 2 * time.Second
)

// entry is a member with what this host keeps of it.
type entry struct {
	Member
	since  time.Time
	passes int
}

// probe is a ping that awaits its answer.
type probe struct {
	id       string
	at       time.Time
	indirect bool
}

// relay is a ping sent for another host.
type relay struct {
	to  string
	seq uint64
	at  time.Time
}

// Detector is one host's view of the fleet. It is not safe for concurrent
// use.
type Detector struct {
	self                Member
	contacts            []string
	rand                *rand.Rand
	members             map[string]*entry
	probes              map[uint64]probe
	relays              map[uint64]relay
	order               []string
	seq                 uint64
	firstTick, lastTick time.Time
	nextPing            time.Time
	nextHeal            time.Time
	changes             uint64
	// digest is that of the oldest at a count of changes.
	digest          uint64
	digestedChanges uint64
	// disputed is a failure domain in which this host believes in older members
	// than the last host heard, "" if there is none.
	disputed string
}

// New returns a detector that knows only itself and the addresses of some
// contacts. The seed makes its random choices repeatable.
func New(self Member, contacts []string, seed uint64) *Detector {
	self.StartIncarnation = self.Incarnation
	return &Detector{
		self:     self,
		contacts: slices.DeleteFunc(slices.Clone(contacts), func(a string) bool { return a == self.Address }),
		rand:     rand.New(rand.NewPCG(seed, 1)),
		members:  make(map[string]*entry),
		probes:   make(map[uint64]probe),
		relays:   make(map[uint64]relay),
	}
}

// Self returns this host's own record.
func (d *Detector) Self() Member { return d.self }

// Changes counts the changes of the view.
func (d *Detector) Changes() uint64 { return d.changes }

// Announce sets what this host tells of its own state.
func (d *Detector) Announce(version, revision uint64) {
	d.self.Version, d.self.Revision = version, revision
}

// Members returns all members but this host, sorted by id.
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

// Leave marks this host as leaving and returns the messages that tell some
// others at once.
func (d *Detector) Leave(now time.Time) (packets []Packet) {
	d.self.Leaving = true
	d.self.Incarnation++
	d.changes++
	for _, e := range d.members {
		if e.Status == Alive {
			packets = append(packets, d.ping(e.Address, "", now))
		}
		if len(packets) == fresh {
			break
		}
	}
	return packets
}

// Tick lets time pass and returns the messages to be sent.
func (d *Detector) Tick(now time.Time) (packets []Packet) {
	if d.firstTick.IsZero() {
		d.firstTick = now
	}
	if !d.lastTick.IsZero() && now.Sub(d.lastTick) > wakeGap {
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
		d.nextPing = now.Add(d.pingPeriod())
		if e := d.nextMember(); e != nil {
			packets = append(packets, d.ping(e.Address, e.ID, now))
		}
	}
	if !now.Before(d.nextHeal) {
		wait := healPeriod
		if len(d.members) == 0 {
			wait = joinPeriod
		}
		d.nextHeal = now.Add(wait)
		packets = d.heal(now, packets)
	}
	return packets
}

// pingPeriod returns the time between two pings.
func (d *Detector) pingPeriod() time.Duration {
	if d.lastTick.Sub(d.firstTick) < joinTime {
		return joinPeriod
	}
	return period
}

// ping makes a ping. A ping with an id is a probe whose answer counts.
func (d *Detector) ping(to, id string, now time.Time) Packet {
	d.seq++
	if id != "" {
		d.probes[d.seq] = probe{id: id, at: now}
	}
	list := d.piggyback()
	if d.disputed != "" {
		list = append(list, d.byAgeIn(d.disputed)...)
	}
	return Packet{To: to, Message: Message{Kind: Ping, Seq: d.seq, From: d.self, Members: list, OldestDigest: d.oldestDigest()}}
}

// nextMember returns the member whose turn it is to be pinged.
func (d *Detector) nextMember() *entry {
	for range 2 {
		for len(d.order) > 0 {
			id := d.order[len(d.order)-1]
			d.order = d.order[:len(d.order)-1]
			if e := d.members[id]; e != nil && e.Status <= Suspect {
				return e
			}
		}
		for id, e := range d.members {
			if e.Status <= Suspect {
				d.order = append(d.order, id)
			}
		}
		slices.Sort(d.order)
		d.rand.Shuffle(len(d.order), func(i, j int) { d.order[i], d.order[j] = d.order[j], d.order[i] })
	}
	return nil
}

// checkProbes asks helpers for silent members and suspects those that stay
// silent.
func (d *Detector) checkProbes(now time.Time, packets []Packet) []Packet {
	for seq, p := range d.probes {
		e := d.members[p.id]
		switch {
		case e == nil || e.Status > Suspect:
			delete(d.probes, seq)
		case now.Sub(p.at) >= period:
			delete(d.probes, seq)
			if e.Status == Alive {
				d.change(e, Suspect, now)
			}
		case !p.indirect && now.Sub(p.at) >= directTime:
			p.indirect = true
			d.probes[seq] = p
			for _, h := range d.pick(helpers, p.id) {
				packets = append(packets, Packet{To: h.Address, Message: Message{Kind: PingRequest, Seq: seq, From: d.self, Target: e.Address}})
			}
		}
	}
	for seq, r := range d.relays {
		if now.Sub(r.at) > period {
			delete(d.relays, seq)
		}
	}
	return packets
}

// expire declares suspects dead and forgets the dead.
func (d *Detector) expire(now time.Time) {
	for id, e := range d.members {
		switch {
		case e.Status == Suspect && now.Sub(e.since) >= suspectTime:
			d.change(e, Dead, now)
		case e.Status >= Dead && now.Sub(e.since) >= deadMemory:
			delete(d.members, id)
			d.changes++
		}
	}
}

// heal pings a dead member or a contact that is not known to be alive.
func (d *Detector) heal(now time.Time, packets []Packet) []Packet {
	alive := make(map[string]bool)
	var silent []string
	for _, id := range d.shuffled() {
		e := d.members[id]
		if e.Status <= Suspect {
			alive[e.Address] = true
		} else if e.Status == Dead {
			silent = append(silent, e.Address)
		}
	}
	for _, a := range d.contacts {
		if !alive[a] && !slices.Contains(silent, a) {
			silent = append(silent, a)
		}
	}
	if len(alive) == 0 {
		for _, a := range silent {
			packets = append(packets, d.ping(a, "", now))
		}
		return packets
	}
	if len(silent) > 0 {
		packets = append(packets, d.ping(silent[d.rand.IntN(len(silent))], "", now))
	}
	return packets
}

// Receive takes in a message and returns the answers to be sent.
func (d *Detector) Receive(from string, m Message, now time.Time) (packets []Packet) {
	if m.From.ID == d.self.ID && m.From.StartIncarnation == d.self.StartIncarnation {
		return nil
	}
	former := d.members[m.From.ID]
	known := former != nil && former.StartIncarnation == m.From.StartIncarnation
	corrections := d.corrections(m.Members)
	d.merge(m.From, now, true)
	for _, member := range m.Members {
		d.merge(member, now, false)
	}
	d.dispute(m)
	switch m.Kind {
	case Ping:
		list := d.answer(m, known, corrections)
		packets = append(packets, Packet{To: from, Message: Message{Kind: Ack, Seq: m.Seq, From: d.self, Members: list, OldestDigest: d.oldestDigest()}})
	case Ack:
		if r, ok := d.relays[m.Seq]; ok {
			delete(d.relays, m.Seq)
			packets = append(packets, Packet{To: r.to, Message: Message{Kind: Ack, Seq: r.seq, From: m.From}})
		}
		delete(d.probes, m.Seq)
	case PingRequest:
		p := d.ping(m.Target, "", now)
		d.relays[p.Message.Seq] = relay{to: from, seq: m.Seq, at: now}
		packets = append(packets, p)
	}
	return packets
}
