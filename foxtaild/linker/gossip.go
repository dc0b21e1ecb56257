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
	// gossipTick is the time between two ticks of the membership protocol.
	gossipTick = 60 * time.Millisecond
	// gossipQueue bounds the queue of received messages; others are dropped.
	gossipQueue = 256
	// maxReportsPerMessage is the maximum number of crash reports in a message.
	// maxReportBytes is the size of the largest one and maxReportsHeaderBytes that
	// of what precedes them.
	maxReportsPerMessage  = 24
	maxReportBytes        = 40
	maxReportsHeaderBytes = 24
	// pushTargets is the number of members that new crash reports are sent to at
	// once, and pushInterval the minimum time between two such pushes.
	pushTargets  = 3
	pushInterval = 200 * time.Millisecond
)

// CrashReports are a host's reports of requests that crash upstreams, which hosts
// exchange with membership messages.
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

// gossipMessage is a membership message with the crash reports that it carries.
type gossipMessage struct {
	detector.Message
	Crashes *quarantiner.Message `cbor:"7,keyasint,omitempty"`
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
		var m gossipMessage
		if err := cbor.Unmarshal(buf[:n], &m); err != nil {
			l.log.Debug("can't decode datagram", "from", from.String(), "error", err.Error())
			continue
		}
		select {
		case in <- datagram{from: netip.AddrPortFrom(from.Addr().Unmap(), from.Port()).String(), message: m}:
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
	tick := time.NewTicker(gossipTick)
	defer tick.Stop()
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
			l.sendPackets(l.detector.Leave(time.Now()), nil)
		case <-l.crashes.Changed():
			push = true
		case now := <-tick.C:
			if push && now.Sub(pushedAt) >= pushInterval {
				push, pushedAt = false, now
				l.sendPackets(l.detector.PingRandom(pushTargets, now), nil)
			}
			version := uint64(0)
			if t := l.directory.Table(); t != nil {
				version = t.Version()
			}
			at := l.directory.Position()
			l.detector.Announce(version, at.Era, at.Revision)
			l.sendPackets(l.detector.Tick(time.Now()), nil)
		}
		l.updateView(time.Now())
	}
}

// receive processes a received message and responds to it.
func (l *Linker) receive(d datagram) {
	if d.message.Crashes != nil {
		l.crashes.Receive(*d.message.Crashes)
	}
	l.sendPackets(l.detector.Receive(d.from, d.message.Message, time.Now()), d.message.Crashes)
}

// sendPackets sends membership messages, in response to the crash reports of
// another host if received is not nil. A message that can't be sent counts as lost;
// the protocol tolerates that.
func (l *Linker) sendPackets(packets []detector.Packet, received *quarantiner.Message) {
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
// room for.
func (l *Linker) encodeGossip(m detector.Message, received *quarantiner.Message) (b []byte, err error) {
	b, err = cbor.Marshal(m)
	room := (maxDatagramBytes - maxReportsHeaderBytes - len(b)) / maxReportBytes
	if err != nil || room < 0 || m.Kind == detector.PingRequest || m.From.ID != l.settings.Host {
		return b, err
	}
	c := l.crashMessage(m.Kind, received, min(room, maxReportsPerMessage))
	if c.Confirmed == 0 && len(c.Reports) == 0 {
		return b, nil
	}
	return cbor.Marshal(gossipMessage{Message: m, Crashes: &c})
}

// crashMessage returns at most n crash reports for a ping, or for an ack in response
// to a ping, which may have carried reports.
func (l *Linker) crashMessage(kind detector.Kind, received *quarantiner.Message, n int) quarantiner.Message {
	switch {
	case kind == detector.Ping:
		return l.crashes.Message(n)
	case received == nil:
		return l.crashes.Response(quarantiner.Message{}, n)
	default:
		return l.crashes.Response(*received, n)
	}
}
