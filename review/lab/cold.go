package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// coldBound is the number of requests that a cold server may get in a second:
// warmup-per-s x warmup-overshoot + warmup-allowance.
const coldBound = 13*1.5 + 5

// ready reports whether a host says that it is ready.
func ready(h *host) bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get(fmt.Sprint("http://", h.ip, ":", readyPort, "/api/readyz"))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// configure writes a configuration with one service of model servers and one tenant.
func (l *lab) configure(version int, tokens float64) {
	l.store.put("op/config", map[string]any{
		"version": version,
		"route-table": []any{
			map[string]any{"name": "r-notes", "host": "site.example", "prefix": "/notes/", "type": "streaming", "timeout-ms": 3000, "latency-goal-ms": 500, "priority": 1, "service": "pool", "attempts": 1, "anonymous": false, "sticky": true, "resumable": false, "target-gap-ms": 250, "allowed-regions": []string{}},
			map[string]any{"name": "r-look", "host": "site.example", "prefix": "/look/", "type": "idempotent", "timeout-ms": 3000, "latency-goal-ms": 300, "priority": 2, "service": "desk", "attempts": 2, "anonymous": false, "sticky": false, "resumable": false, "allowed-regions": []string{}},
			map[string]any{"name": "r-book", "host": "site.example", "prefix": "/book/", "type": "non_idempotent", "timeout-ms": 3000, "latency-goal-ms": 300, "priority": 2, "service": "desk", "attempts": 1, "anonymous": false, "sticky": false, "resumable": false, "allowed-regions": []string{}},
		},
		"services": []any{
			map[string]any{"name": "pool", "health-path": "/healthz", "warmup-per-s": 13, "runtime": map[string]any{"stride": 4, "kv-capacity": 315644}},
			map[string]any{"name": "desk", "health-path": "/healthz", "warmup-per-s": 0},
		},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 2000, "idle-timeout-ms": 5000},
		"tenants": []any{map[string]any{"name": "t1", "api-keys": []string{"key-1"}, "priority": 1, "unit": "tokens", "uncached-tokens": 200, "rate-per-s": tokens, "burst": tokens, "allowed-regions": []string{}}},
	})
}

// worstSecond returns the largest number of requests that were sent and arrived at a server
// inside one second, while it was cold.
func (l *lab) worstSecond(s *server) (most int, at float64) {
	l.mu.Lock()
	sent := make(map[string]time.Time, len(l.requests))
	for _, q := range l.requests {
		sent[q.id] = q.sent
	}
	l.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	coldUntil := s.born.Add(s.coldFor)
	for _, last := range s.arrivals {
		if last.at.After(coldUntil) {
			continue
		}
		n, from := 0, last.at.Add(-time.Second)
		for _, a := range s.arrivals {
			if a.at.After(from) && !a.at.After(last.at) && sent[a.id].After(from) {
				n++
			}
		}
		if n > most {
			most, at = n, l.at(last.at)
		}
	}
	return most, at
}

// cold lets the servers of a zone come back cold while two machines are cut off from the
// other machines. Rule FAILBACK.
func cold(l *lab) (broken bool, err error) {
	l.zoneNames = []string{"casa-ain-sebaa", "casa-maarif", "fes-saiss"}
	l.zones = map[string]string{"casa-ain-sebaa": "casablanca", "casa-maarif": "casablanca", "fes-saiss": "fes"}
	var list []host
	for _, z := range l.zoneNames {
		for n := range 3 {
			list = append(list, host{name: fmt.Sprintf("edge-%s-%d", z, n+1), zone: z})
		}
	}
	alone := map[string]int{"edge-casa-ain-sebaa-2": 1, "edge-casa-maarif-2": 2}
	for i := range list {
		list[i].group = alone[list[i].name]
	}
	if err := l.addHosts(list...); err != nil {
		return false, err
	}
	l.configure(1, 154709)
	add := func(n int, id, zone string, coldFor time.Duration) *server {
		s := &server{id: id, service: "pool", zone: zone, address: fmt.Sprintf("%s.%d:9000", l.subnet, 100+n), slots: 6, work: 120 * time.Millisecond, pieces: 4, coldFor: coldFor, store: l.store}
		l.servers = append(l.servers, s)
		return s
	}
	first := []*server{add(1, "i-01", "fes-saiss", 0), add(2, "i-02", "fes-saiss", 0)}
	for _, s := range first {
		if err := startServer(s); err != nil {
			return false, err
		}
	}
	l.cut.Store(l.trouble)
	l.logf("hosts start; ain-sebaa-2 and maarif-2 cut off from the others: %v", l.trouble)
	if err := l.startHosts(); err != nil {
		return false, err
	}
	l.logf("hosts ready")
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	for _, h := range l.hosts {
		users := 4
		if h.group > 0 {
			users = 26
		}
		wg.Go(func() {
			l.press(ctx, h, func() int { return users }, 1200*time.Millisecond, shape{method: "POST", path: "/notes/x", tokens: "460,16", deadline: 3 * time.Second, body: 2000})
		})
	}
	time.Sleep(2 * time.Second)
	for _, s := range first {
		s.crash()
	}
	l.logf("servers of fes-saiss are down")
	time.Sleep(2 * time.Second)
	back := []*server{add(3, "i-03", "fes-saiss", 3*time.Second), add(4, "i-04", "fes-saiss", 3*time.Second)}
	for _, s := range back {
		if err := startServer(s); err != nil {
			return false, err
		}
	}
	l.logf("servers of fes-saiss are back, cold for 3 s")
	time.Sleep(4 * time.Second)
	cancel()
	wg.Wait()
	for _, s := range back {
		n, at := l.worstSecond(s)
		l.logf("server %s: at most %d requests sent and arrived inside one second, until %.3f; allowed %.1f", s.id, n, at, coldBound)
		broken = broken || float64(n) > coldBound
	}
	return broken, nil
}
