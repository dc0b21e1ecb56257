// Package prober checks the state of a connection without reading from it.
package prober

import (
	"errors"
	"net"
	"syscall"
)

// State is the state of a connection.
type State int

// Connection states.
const (
	// Idle means that the connection is open and has no data to read.
	Idle State = iota
	// Readable means that the connection has data to read.
	Readable
	// Closed means that the other end closed or reset the connection.
	Closed
	// Unknown means that the state can't be determined.
	Unknown
)

// netConner is implemented by connections that wrap another one, such as tls.Conn.
type netConner interface {
	NetConn() net.Conn
}

// Probe returns the state of a connection.
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

// peek returns the state of a socket without consuming any data.
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
