// Package porter finds free addresses on loopback for processes that are
// about to start.
//
// It looks below the range from which systems take the ports of outgoing
// connections, so that no such connection takes a port in between.
package porter

import (
	"math/rand/v2"
	"net"
	"strconv"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

const (
	// lowest and highest bound the ports that are tried.
	lowest  = 15_000
	highest = 30_000
	// tries bounds how many are tried for each address.
	tries = 1000
)

// Free returns n addresses that were free a moment ago.
func Free(n int) (addresses []string, err error) {
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

// next counts the ports tried by this process, from a random start, so that
// it gives none out twice.
var next atomic.Uint32

func init() { next.Store(rand.Uint32N(highest - lowest)) }

// listen opens the next port that is free.
func listen() (l net.Listener, err error) {
	for range tries {
		port := lowest + int(next.Add(1)%(highest-lowest))
		if l, err = net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(port))); err == nil {
			return l, nil
		}
	}
	return nil, eris.Wrap(err, "no free port")
}
