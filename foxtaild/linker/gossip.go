package linker

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"

	"foxtaillug.org/scheduler/detector"
	"foxtaillug.org/scheduler/quarantiner"
)

const (
	// maxDatagramBytes is the maximum size of a membership message.
	maxDatagramBytes = 8 << 10
	// gossipTick is the minimum time between two ticks of the membership protocol, and
	// maxGossipTick the maximum.
	gossipTick    = 60 * time.Millisecond
	maxGossipTick = 300 * time.Millisecond
	// gossipQueue bounds the queue of received messages; others are dropped.
	gossipQueue = 256
	// maxReportsPerMessage is the maximum number of crash reports of both kinds in a
	// message. maxReportBytes is the size of the largest one and
	// maxReportsHeaderBytes that of what precedes those of one kind.
	maxReportsPerMessage  = 24
	maxReportBytes        = 40
	maxReportsHeaderBytes = 24
	// pushTargets is the number of members that new crash reports are sent to at
	// once, and pushInterval the minimum time between two such pushes.
	pushTargets  = 3
	pushInterval = 200 * time.Millisecond
)

// CrashReports are a host's reports of requests, or of parts of prompts, that crash
// upstreams, which hosts exchange with membership messages.
type CrashReports interface {
	// Message returns at most n reports for any host, and Response those in
	// response to a message from another host.
	Message(n int) quarantiner.Message
	Response(m quarantiner.Message, n int) quarantiner.Message
	// Receive processes the message of another host.
	Receive(m quarantiner.Message)
	// Changed returns a channel that receives a value when there are new reports to
	// be sent without delay.
	Changed() <-chan struct{}
}

// noCrashReports is used if no CrashReports are set.
type noCrashReports struct{}

func (noCrashReports) Message(int) (m quarantiner.Message) { return m }
func (noCrashReports) Response(quarantiner.Message, int) (m quarantiner.Message) {
	return m
}
func (noCrashReports) Receive(quarantiner.Message) {}
func (noCrashReports) Changed() <-chan struct{}    { return nil }

// crashMessage holds the crash reports on requests and on parts of prompts that a
// membership message carries.
type crashMessage struct {
	Requests *quarantiner.Message `cbor:"7,keyasint,omitempty"`
	Parts    *quarantiner.Message `cbor:"8,keyasint,omitempty"`
}

// gossipMessage is a membership message with the crash reports that it carries.
type gossipMessage struct {
	detector.Message
	crashMessage
}

// datagram is a received message with its sender's address.
type datagram struct {
	from    string
	message gossipMessage
}

// receiveGossip reads datagrams until ctx is done and the socket is closed.
func (l *Linker) receiveGossip(ctx context.Context, in chan<- datagram) {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, from, err := l.udpConn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			l.log.Debug("can't read datagram", "error", err.Error())
			time.Sleep(gossipTick)
			continue
		}
		address := netip.AddrPortFrom(from.Addr().Unmap(), from.Port()).String()
		if isOriginsMessage(buf[:n]) {
			l.origins.receive(buf[:n], address)
			continue
		}
		var m gossipMessage
		if err := cbor.Unmarshal(buf[:n], &m); err != nil {
			l.log.Debug("can't decode datagram", "from", address, "error", err.Error())
			continue
		}
		if m.From.ID == "" {
			l.log.Debug("datagram names no host", "from", address)
			continue
		}
		select {
		case in <- datagram{from: address, message: m}:
		default:
		}
	}
}

// gossip runs the membership protocol until ctx is done. It owns the detector.
func (l *Linker) gossip(ctx context.Context) {
	in := make(chan datagram, gossipQueue)
	go l.receiveGossip(ctx, in)
	stop := context.AfterFunc(ctx, func() { _ = l.udpConn.Close() })
	defer stop()
	timer := time.NewTimer(gossipTick)
	defer timer.Stop()
	var tickedAt time.Time
	leaving := l.leaving
	var push bool
	var pushedAt time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case d := <-in:
			l.receive(d)
		case <-leaving:
			leaving = nil
			l.sendPackets(l.detector.Leave(time.Now()), crashMessage{})
		case <-l.crashes.Changed():
			push = true
		case <-l.partCrashes.Changed():
			push = true
		case now := <-timer.C:
			tickedAt = now
			if push && now.Sub(pushedAt) >= pushInterval {
				push, pushedAt = false, now
				l.sendPackets(l.detector.PingRandom(pushTargets, now), crashMessage{})
			}
			l.announce()
			l.sendPackets(l.detector.Tick(time.Now()), crashMessage{})
		}
		l.updateView(time.Now())
		l.comparePeers(time.Now())
		next := l.detector.NextTick()
		if push || l.detector.Changes() != l.seenChanges || !l.wasSettled {
			next = tickedAt
		}
		next = tickedAt.Add(min(max(next.Sub(tickedAt), gossipTick), maxGossipTick))
		timer.Reset(time.Until(next))
	}
}

// announce has the detector tell other hosts what this one has read from the store.
func (l *Linker) announce() {
	version := uint64(0)
	if t := l.directory.Table(); t != nil {
		version = t.Version()
	}
	at := l.directory.Position()
	l.detector.Announce(version, at.Era, at.Revision)
}

// receive processes a received message and responds to it.
func (l *Linker) receive(d datagram) {
	received := d.message.crashMessage
	if received.Requests != nil {
		l.crashes.Receive(*received.Requests)
	}
	if received.Parts != nil {
		l.partCrashes.Receive(*received.Parts)
	}
	l.announce()
	l.sendPackets(l.detector.Receive(d.from, d.message.Message, time.Now()), received)
}

// sendPackets sends membership messages, in response to the crash reports of
// another host if it sent any. A message that can't be sent counts as lost; the
// protocol tolerates that.
func (l *Linker) sendPackets(packets []detector.Packet, received crashMessage) {
	for _, p := range packets {
		to, err := net.ResolveUDPAddr("udp4", p.To)
		if err != nil {
			l.log.Debug("member address is invalid", "address", p.To, "error", err.Error())
			continue
		}
		b, err := l.encodeGossip(p.Message, received)
		if err != nil {
			l.log.Error("can't encode membership message", "error", err.Error())
			continue
		}
		if _, err := l.udpConn.WriteToUDP(b, to); err != nil {
			l.log.Debug("can't send membership message", "to", p.To, "error", err.Error())
		}
	}
}

// encodeGossip encodes a membership message with as many crash reports as there is
// room for. Those on parts of prompts take half of it at most and leave the rest to
// those on requests.
func (l *Linker) encodeGossip(m detector.Message, received crashMessage) (b []byte, err error) {
	b, err = cbor.Marshal(m)
	room := (maxDatagramBytes - 2*maxReportsHeaderBytes - len(b)) / maxReportBytes
	if err != nil || room < 0 || m.Kind == detector.PingRequest || m.From.ID != l.settings.Host {
		return b, err
	}
	room = min(room, maxReportsPerMessage)
	parts := reportsFor(l.partCrashes, m.Kind, received.Parts, room/2)
	requests := reportsFor(l.crashes, m.Kind, received.Requests, room-len(parts.Reports))
	c := crashMessage{Requests: nonEmpty(requests), Parts: nonEmpty(parts)}
	if c == (crashMessage{}) {
		return b, nil
	}
	return cbor.Marshal(gossipMessage{Message: m, crashMessage: c})
}

// reportsFor returns at most n crash reports for a ping, or for an ack in response to
// a ping, which may have carried reports.
func reportsFor(c CrashReports, kind detector.Kind, received *quarantiner.Message, n int) quarantiner.Message {
	switch {
	case kind == detector.Ping:
		return c.Message(n)
	case received == nil:
		return c.Response(quarantiner.Message{}, n)
	default:
		return c.Response(*received, n)
	}
}

// nonEmpty returns nil for a message that says nothing.
func nonEmpty(m quarantiner.Message) *quarantiner.Message {
	if m.Confirmed == 0 && len(m.Reports) == 0 {
		return nil
	}
	return &m
}
