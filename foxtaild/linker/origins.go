package linker

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"foxtaillug.org/foxtaild/forwarder"
	"foxtaillug.org/foxtaild/reporter"
	"foxtaillug.org/scheduler/detector"
	"foxtaillug.org/scheduler/pinner"
)

const (
	// shareInterval is the time between two datagrams with copies of records to a host. A
	// record is lost if its host ends sooner, so it is a fraction of a short stream.
	shareInterval = 50 * time.Millisecond
	// pruneInterval is the time between two removals of old records.
	pruneInterval = time.Second
	// maxRecordLife is the longest time for which a record of another host is kept: ten
	// times the operators' longest timeout or more.
	maxRecordLife = 10 * time.Minute
)

// Origins knows where the streams of the fleet began (package pinner). It is safe for
// concurrent use.
type Origins struct {
	linker *Linker
	// outbox holds the copies for other hosts by address, and handedOver the end of the
	// records that a leaving host has handed over, nil if it is not leaving. Both belong
	// to run.
	outbox     map[string][]queuedCopy
	handedOver map[pinner.Key]time.Time
	prunedAt   time.Time

	// recorded receives a value when there is a record that other hosts need.
	recorded chan struct{}

	mu     sync.Mutex
	pinner *pinner.Pinner
	watch  originWatch
	// inquiries are those under way by the numbers of their questions that have no
	// answer.
	inquiries              map[uint64]*inquiry
	found, unknown, copies uint64
}

// newOrigins returns the origins of a host that knows none yet.
func newOrigins(l *Linker, opts ...pinner.Option) *Origins {
	return &Origins{
		linker: l, pinner: pinner.New(opts...), outbox: make(map[string][]queuedCopy), recorded: make(chan struct{}, 1), inquiries: make(map[uint64]*inquiry),
	}
}

// Record records the origin of a stream that this host serves. Copies are sent to other
// hosts in the background.
func (o *Origins) Record(s forwarder.StreamID, origin pinner.Origin, until time.Time) {
	now := time.Now()
	o.mu.Lock()
	o.observe(now)
	o.pinner.Record(s.Key, s.Route, origin, until, now)
	needed := o.pinner.Shares(s.Route, now)
	o.mu.Unlock()
	if needed {
		select {
		case o.recorded <- struct{}{}:
		default:
		}
	}
}

// run observes the directory and sends copies of records until ctx is done: every
// shareInterval while there are any, else every observeInterval.
func (o *Origins) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	leaving := o.linker.leaving
	var ranAt time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-leaving:
			leaving, o.handedOver = nil, make(map[pinner.Key]time.Time)
		case <-o.recorded:
			timer.Reset(time.Until(ranAt.Add(shareInterval)))
			continue
		case <-timer.C:
		}
		now := time.Now()
		ranAt = now
		timer.Reset(observeInterval)
		if o.handedOver != nil || len(o.outbox) > 0 {
			timer.Reset(shareInterval)
		}
		o.mu.Lock()
		o.observe(now)
		o.mu.Unlock()
		o.share(now)
		o.prune(now)
	}
}

// prune removes old records, once per pruneInterval.
func (o *Origins) prune(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if now.Sub(o.prunedAt) >= pruneInterval {
		o.prunedAt = now
		o.pinner.Prune(now)
	}
}

// share sends each host one datagram with copies at most.
func (o *Origins) share(now time.Time) {
	members := o.linker.view.Load().members
	if slices.ContainsFunc(members, isHolder) {
		if list := o.unshared(now); len(list) > 0 {
			hosts := pinnerHosts(members, isHolder)
			for _, c := range list {
				for _, h := range pinner.Holders(c.key, o.linker.settings.Domain, hosts) {
					o.outbox[h.Address] = append(o.outbox[h.Address], c)
				}
			}
		}
	}
	sent := 0
	for address, queue := range o.outbox {
		m, n, rest := packCopies(queue, now)
		if o.outbox[address] = rest; len(rest) == 0 {
			delete(o.outbox, address)
		}
		if n > 0 {
			o.send(m, address)
			sent += n
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.copies += uint64(sent)
}

// unshared returns the records of which copies are to be sent now. A host that leaves
// hands over all, also those of other hosts: the others that have them may leave as well.
func (o *Origins) unshared(now time.Time) (list []queuedCopy) {
	o.mu.Lock()
	defer o.mu.Unlock()
	copies := o.pinner.Unshared
	if o.handedOver != nil {
		copies = o.pinner.All
	}
	for _, c := range copies(now) {
		until := now.Add(c.Left)
		if o.handedOver != nil {
			if o.handedOver[c.Key].Equal(until) {
				continue
			}
			o.handedOver[c.Key] = until
		}
		list = append(list, queuedCopy{c.Key, c.Origin, until})
	}
	return list
}

// receive processes a message on origins from an address.
func (o *Origins) receive(b []byte, from string) {
	m, err := decodeOrigins(b)
	if err != nil {
		o.linker.log.Debug("can't decode datagram", "from", from, "error", err.Error())
		return
	}
	now := time.Now()
	if len(m.Copies) > 0 {
		o.receiveCopies(m.Copies, now)
	}
	if q := m.Question; q != nil {
		o.mu.Lock()
		a, witness := o.answer(pinner.Key(q.Key), q.Route, now)
		o.mu.Unlock()
		k := a.Knowledge
		if witness && pinner.Key(q.Key).IsContent() {
			k |= witnessBit
		}
		o.send(originsMessage{Answer: &originAnswer{
			Number: q.Number, Knowledge: k, Pool: a.Origin.Pool, Version: a.Origin.Version,
		}}, from)
	}
	if a := m.Answer; a != nil {
		o.mu.Lock()
		defer o.mu.Unlock()
		if i := o.inquiries[a.Number]; i != nil {
			delete(o.inquiries, a.Number)
			i.answers <- numberedAnswer{a.Number, a.answer(), a.Knowledge&witnessBit != 0}
		}
	}
}

// receiveCopies keeps copies of records.
func (o *Origins) receiveCopies(copies []originCopies, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, c := range copies {
		origin := pinner.Origin{Pool: c.Pool, Version: c.Version}
		for _, r := range c.Records {
			left := min(time.Duration(r.LeftMs)*time.Millisecond, maxRecordLife)
			o.pinner.Receive(pinner.Key(r.Key), origin, now.Add(left), now)
		}
	}
}

// send sends a message on origins. One that can't be sent counts as lost.
func (o *Origins) send(m originsMessage, address string) {
	b, err := cbor.Marshal(m)
	if err != nil {
		o.linker.log.Error("can't encode message on origins", "error", err.Error())
		return
	}
	to, err := net.ResolveUDPAddr("udp4", address)
	if err == nil {
		_, err = o.linker.udpConn.WriteToUDP(b, to)
	}
	if err != nil {
		o.linker.log.Debug("can't send message on origins", "to", address, "error", err.Error())
	}
}

// isHolder reports whether a member gets copies of records, and isSource whether it is
// asked for them.
func isHolder(m detector.Member) bool { return m.Status == detector.Alive && !m.Leaving }

// isSource reports whether a member is asked for records.
func isSource(m detector.Member) bool { return m.Status < detector.Dead }

// pinnerHosts returns the members for which ok returns true.
func pinnerHosts(members []detector.Member, ok func(detector.Member) bool) (hosts []pinner.Host) {
	for _, m := range members {
		if ok(m) {
			hosts = append(hosts, pinner.Host{ID: m.ID, Domain: m.Domain, Address: m.Address})
		}
	}
	return hosts
}

// gauges returns the number of records, of those for which there was no room, of copies
// sent, and of inquiries by result.
func (o *Origins) gauges() []reporter.Gauge {
	o.mu.Lock()
	defer o.mu.Unlock()
	return []reporter.Gauge{
		{Name: "origins_recorded", Value: float64(o.pinner.Len())},
		{Name: "origins_dropped", Value: float64(o.pinner.Dropped())},
		{Name: "origin_copies_sent", Value: float64(o.copies)},
		{Name: "origin_inquiries", Tags: map[string]string{"result": "found"}, Value: float64(o.found)},
		{Name: "origin_inquiries", Tags: map[string]string{"result": "unknown"}, Value: float64(o.unknown)},
	}
}
