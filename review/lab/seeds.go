package main

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"
)

// seeds kills all machines at once; those that are seeds return later than the others, and the
// servers of a zone come back cold meanwhile. Rule FAILBACK.
func seeds(l *lab) (broken bool, err error) {
	l.zoneNames = []string{"casa-ain-sebaa", "casa-maarif", "fes-saiss"}
	l.zones = map[string]string{"casa-ain-sebaa": "casablanca", "casa-maarif": "casablanca", "fes-saiss": "fes"}
	var list []host
	for n := range 3 {
		for _, z := range l.zoneNames {
			list = append(list, host{name: fmt.Sprintf("edge-%s-%d", z, n+1), zone: z})
		}
	}
	if err := l.addHosts(list...); err != nil {
		return false, err
	}
	seedHosts, others := l.hosts[:3], l.hosts[3:]
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
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	const pulse = 1400 * time.Millisecond
	began := time.Now()
	at := func(d time.Duration) { time.Sleep(time.Until(began.Add(d))) }
	for _, h := range others {
		wg.Go(func() {
			l.press(ctx, h, func() int { return 13 }, pulse, shape{method: "POST", path: "/notes/x", tokens: "460,16", deadline: 3 * time.Second, body: 2000})
		})
	}
	at(2900 * time.Millisecond)
	if l.trouble {
		for _, h := range l.hosts {
			h.signal(syscall.SIGKILL)
		}
		for _, h := range l.hosts {
			<-h.done
		}
		l.logf("all machines killed")
	}
	for _, s := range first {
		s.crash()
	}
	l.logf("servers of fes-saiss are down")
	at(3100 * time.Millisecond)
	if l.trouble {
		for _, h := range others {
			if err := h.start(); err != nil {
				return false, err
			}
		}
		l.logf("all machines but the three seeds start again")
	}
	at(3400 * time.Millisecond)
	back := []*server{add(3, 3*time.Second), add(4, 3*time.Second)}
	for _, s := range back {
		if err := startServer(s); err != nil {
			return false, err
		}
	}
	l.logf("servers of fes-saiss are back, cold for 3 s")
	at(4900 * time.Millisecond)
	if l.trouble {
		for _, h := range seedHosts {
			if err := h.start(); err != nil {
				return false, err
			}
		}
		l.logf("the seeds start again")
	}
	at(7 * time.Second)
	cancel()
	wg.Wait()
	for _, s := range back {
		n, at := l.worstSecond(s)
		l.logf("server %s: at most %d requests sent and arrived inside one second, until %.3f; allowed %.1f", s.id, n, at, coldBound)
		broken = broken || float64(n) > coldBound
	}
	return broken, nil
}
