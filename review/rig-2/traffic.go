package main

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// sortTimes sorts times in ascending order.
func sortTimes(list []time.Time) {
	slices.SortFunc(list, func(a, b time.Time) int { return a.Compare(b) })
}

// streams sends a sound request of the streaming route.
func streams(address string) answer {
	return request{
		method: http.MethodPost, path: onePath + "2f", body: "sound " + newID(), deadline: 3 * time.Second,
		headers: "Model-Id: m\r\nToken-Count: 60,12\r\nPrefix-Hash: 5c1e07a2:30," + newID()[:8] + ":30\r\n",
	}.send(address)
}

// traffic sends sound requests to each host, so many per second, until stop is called.
func (b *bench) traffic(hosts []*host, perSecond int, send func(address string) answer) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	var sent, ok atomic.Int64
	for _, h := range hosts {
		wg.Go(func() {
			tick := time.NewTicker(time.Second / time.Duration(perSecond))
			defer tick.Stop()
			for {
				select {
				case <-ctx.Done():
					return
				case <-tick.C:
				}
				wg.Go(func() {
					sent.Add(1)
					a := send(h.frontend())
					if a.status == http.StatusOK && a.err == nil {
						ok.Add(1)
					}
					b.log.line("sound request to %s: %s", h.name, a)
				})
			}
		})
	}
	return func() {
		cancel()
		wg.Wait()
		b.log.line("%d of %d sound requests were served", ok.Load(), sent.Load())
	}
}
