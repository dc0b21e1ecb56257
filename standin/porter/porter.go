// Package porter finds free loopback addresses for processes that are about to
// start.
//
// Its ports are below the ephemeral range of common systems, so that no
// outgoing connection takes a port before the process listens on it.
package porter

import (
	"math/rand/v2"
	"net"
	"strconv"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

const (
	// minPort and maxPort delimit the ports that are tried; maxPort is excluded.
	minPort = 15_000
	maxPort = 30_000
	// maxAttempts limits the ports that are tried for each address.
	maxAttempts = 1000
)

// FreeAddresses returns n distinct loopback addresses that were free when it tried
// them. It holds no port: another process may take one before its use.
func FreeAddresses(n int) (addresses []string, err error) {
	for range n {
		l, err := listen()
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses, nil
}

// portOffset, modulo the number of ports, is the offset of the port tried
// last. It starts at a random value and only increases, so that this process
// returns no port twice before it has tried all others.
var portOffset atomic.Uint32

func init() { portOffset.Store(rand.Uint32N(maxPort - minPort)) }

// listen opens a listener on the next free port.
func listen() (l net.Listener, err error) {
	for range maxAttempts {
		port := minPort + int(portOffset.Add(1)%(maxPort-minPort))
		if l, err = net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(port))); err == nil {
			return l, nil
		}
	}
	return nil, eris.Wrap(err, "no free port")
}
