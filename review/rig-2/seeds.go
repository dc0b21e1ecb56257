package main

import (
	"net/http"
	"syscall"
	"time"
)

const (
	// seedLag is seed-lag-s of the settings: within it the platform names live machines.
	seedLag = 3 * time.Second
	// coldTime is warmup-s of the configuration, and coldBound what a cold server may get in
	// a second: warmup-per-s x warmup-overshoot + warmup-allowance.
	coldTime  = 3 * time.Second
	coldBound = 11*1.5 + 5
	// perMachine is the number of requests that a machine gets in a second: a sixth of the
	// deployment's 148, times the largest burst of its site file.
	perMachine = 148 * 19 / 10 / 6
)

// seeds starts machines whose seed-nodes are down. The platform names live ones seed-lag-s
// later and sends SIGHUP. Then servers start cold.
func seeds(b *bench) (broken bool, err error) {
	var hosts []*host
	for _, zone := range []string{"mtl-a", "mtl-a", "qc-a", "qc-a", "qc-a", "mtl-b"} {
		hosts = append(hosts, b.fleet.newHost(b.net, zone))
	}
	live := []string{control(hosts[0].ip), control(hosts[2].ip), control(hosts[5].ip)}
	first := live
	if b.trouble {
		first = []string{control(b.net.address()), control(b.net.address()), control(b.net.address())}
	}
	for _, h := range hosts {
		if err := b.fleet.writeSettings(h, first); err != nil {
			return false, err
		}
		if err := b.fleet.start(h); err != nil {
			return false, err
		}
	}
	if err := b.fleet.awaitReady(10*time.Second, hosts...); err != nil {
		return false, err
	}
	time.Sleep(seedLag)
	for _, h := range hosts {
		if err := b.fleet.writeSettings(h, live); err != nil {
			return false, err
		}
		b.fleet.signal(h, syscall.SIGHUP)
	}
	time.Sleep(2 * contact)
	var servers []*server
	for range 2 {
		for _, z := range zones {
			servers = append(servers, b.server(serverOptions{
				service: modelService, zone: z[0], slots: 6, stream: true, coldFor: coldTime,
				work: func(*http.Request, []byte) time.Duration { return 40 * time.Millisecond },
			}))
		}
	}
	stop := b.traffic(hosts, perMachine, streams)
	time.Sleep(coldTime + 2*time.Second)
	stop()
	for _, s := range servers {
		if n := s.mostWhileCold(); float64(n) > coldBound {
			broken = true
			b.log.line("cold server %s got %d requests in one second; %.1f are allowed", s.id, n, coldBound)
		} else {
			b.log.line("cold server %s got at most %d requests in one second", s.id, n)
		}
	}
	return broken, nil
}

// mostWhileCold returns the most requests that have arrived within a second while the server
// was cold.
func (s *server) mostWhileCold() (most int) {
	arrivals, _ := s.seen()
	for i, first := range arrivals {
		n := 0
		for _, a := range arrivals[i:] {
			if a.at.Sub(first.at) < time.Second && a.at.Sub(s.born) < s.coldFor {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}
