// Package prober looks at a connection without reading from it.
package prober

import (
	"errors"
	"net"
	"syscall"
)

// State is what a look at a connection finds.
type State int

// The states.
const (
	// Idle connections are open and have nothing to read.
	Idle State = iota
	// Readable connections have bytes to read.
	Readable
	// Closed connections were closed or reset by the other end.
	Closed
	// Unknown is a connection that can't be looked at.
	Unknown
)

// netConner is a wrapper that gives out its connection, as tls.Conn does.
type netConner interface {
	NetConn() net.Conn
}

// Probe looks at a connection.
func Probe(c net.Conn) (s State) {
	if w, ok := c.(netConner); ok {
		c = w.NetConn()
	}
	sc, ok := c.(syscall.Conn)
	if !ok {
		return Unknown
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return Closed
	}
	s = Unknown
	err = raw.Control(func(fd uintptr) { s = peek(int(fd)) })
	if err != nil {
		return Closed
	}
	return s
}

// peek looks at the first byte of a socket.
func peek(fd int) State {
	var b [1]byte
	n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case errors.Is(err, syscall.EAGAIN), errors.Is(err, syscall.EINTR):
		return Idle
	case err != nil, n == 0:
		return Closed
	default:
		return Readable
	}
}
