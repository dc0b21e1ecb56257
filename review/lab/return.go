package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// returning lets the servers of a zone come back cold, under the IDs that they had, while the
// platform's store is down. Rule FAILBACK.
func returning(l *lab) (broken bool, err error) {
	l.zoneNames = []string{"casa-ain-sebaa", "casa-maarif", "fes-saiss"}
	l.zones = map[string]string{"casa-ain-sebaa": "casablanca", "casa-maarif": "casablanca", "fes-saiss": "fes"}
	var list []host
	for _, z := range l.zoneNames {
		list = append(list, host{name: "edge-" + z + "-1", zone: z})
	}
	if err := l.addHosts(list...); err != nil {
		return false, err
	}
	l.configure(1, 154709)
	add := func(n int, coldFor time.Duration) *server {
		s := &server{id: fmt.Sprintf("i-%02d", n), service: "pool", zone: "fes-saiss", address: fmt.Sprintf("%s.%d:9000", l.subnet, 100+n), slots: 6, work: 120 * time.Millisecond, pieces: 4, coldFor: coldFor, store: l.store}
		l.servers = append(l.servers, s)
		return s
	}
	first := []*server{add(1, 0), add(2, 0)}
	for _, s := range first {
		if err := startServer(s); err != nil {
			return false, err
		}
	}
	if err := l.startHosts(); err != nil {
		return false, err
	}
	l.logf("hosts ready")
	const pulse = 2 * time.Second
	began := time.Now()
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	for _, h := range l.hosts {
		wg.Go(func() {
			l.press(ctx, h, func() int { return 25 }, pulse, shape{method: "POST", path: "/notes/x", tokens: "460,16", deadline: 3 * time.Second, body: 2000})
		})
	}
	at := func(d time.Duration) { time.Sleep(time.Until(began.Add(d))) }
	at(2*pulse + pulse/4)
	l.store.down.Store(l.trouble)
	l.logf("store down: %v", l.trouble)
	at(2*pulse + pulse/2)
	for _, s := range first {
		s.replaced.Store(true)
		s.crash()
	}
	l.logf("servers of fes-saiss are down")
	at(2*pulse + 3*pulse/4)
	back := []*server{add(1, 3*time.Second), add(2, 3*time.Second)}
	for _, s := range back {
		if err := startServer(s); err != nil {
			return false, err
		}
	}
	l.logf("servers of fes-saiss are back under their IDs, cold for 3 s")
	at(4*pulse + pulse/2)
	l.store.down.Store(false)
	l.logf("store up")
	at(5 * pulse)
	cancel()
	wg.Wait()
	for _, s := range back {
		n, at := l.worstSecond(s)
		l.logf("server %s: at most %d requests sent and arrived inside one second, until %.3f; allowed %.1f", s.id, n, at, coldBound)
		broken = broken || float64(n) > coldBound
	}
	return broken, nil
}
