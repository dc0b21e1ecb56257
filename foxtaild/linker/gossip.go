package linker

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"

	"foxtaillug.org/scheduler/detector"
)

const (
	// maxDatagramBytes is the maximum size of a membership message.
	maxDatagramBytes = 8 << 10
	// gossipTick is the time between two ticks of the membership protocol.
	gossipTick = 60 * time.Millisecond
	// gossipQueue bounds the queue of received messages; others are dropped.
	gossipQueue = 256
)

// datagram is a received message with its sender's address.
type datagram struct {
	from    string
	message detector.Message
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
		var m detector.Message
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
	for {
		select {
		case <-ctx.Done():
			return
		case d := <-in:
			l.sendPackets(l.detector.Receive(d.from, d.message, time.Now()))
		case <-leaving:
			leaving = nil
			l.sendPackets(l.detector.Leave(time.Now()))
		case <-tick.C:
			version := uint64(0)
			if t := l.directory.Table(); t != nil {
				version = t.Version()
			}
			l.detector.Announce(version, l.directory.Revision())
			l.sendPackets(l.detector.Tick(time.Now()))
		}
		l.updateView(time.Now())
	}
}

// sendPackets sends membership messages. One that can't be sent counts as lost;
// the protocol tolerates that.
func (l *Linker) sendPackets(packets []detector.Packet) {
	for _, p := range packets {
		to, err := net.ResolveUDPAddr("udp4", p.To)
		if err != nil {
			l.log.Debug("member address is invalid", "address", p.To, "error", err.Error())
			continue
		}
		b, err := cbor.Marshal(p.Message)
		if err != nil {
			l.log.Error("can't encode membership message", "error", err.Error())
			continue
		}
		if _, err := l.udpConn.WriteToUDP(b, to); err != nil {
			l.log.Debug("can't send membership message", "to", p.To, "error", err.Error())
		}
	}
}
