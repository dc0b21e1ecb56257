package main

import (
	"syscall"
	"time"
)

const (
	// seedLag is seed-lag-s of the settings: within it the platform names live machines.
	seedLag = 3 * time.Second
	// soloGap is the time between two times at which the request comes, and soloTimes how
	// often it does.
	soloGap   = 3 * time.Second
	soloTimes = 18
)

// seeds starts machines whose seed-nodes are down. The platform names live ones seed-lag-s
// later and sends SIGHUP. Then a request that crashes servers comes, at one machine after the
// other.
func seeds(b *bench) (broken bool, err error) {
	hosts, servers := b.newModels(false, true)
	live := seedsOf(hosts)
	first := live
	if b.trouble {
		first = []string{control(b.net.address()), control(b.net.address()), control(b.net.address())}
	}
	if err := b.startHosts(hosts, first); err != nil {
		return false, err
	}
	time.Sleep(seedLag)
	for _, h := range hosts {
		if err := b.fleet.writeSettings(h, live); err != nil {
			return false, err
		}
		b.fleet.signal(h, syscall.SIGHUP)
	}
	stop := b.traffic(hosts, 10, streams)
	defer stop()
	time.Sleep(2 * contact)
	poisonous := make(map[string]bool)
	for i := range soloTimes {
		next := time.Now().Add(soloGap)
		h := hosts[i%len(hosts)]
		a := poisonRequest(3 * time.Second).send(h.frontend())
		poisonous[a.id] = true
		b.log.line("time %d, %s answers %s", i+1, h.name, a)
		time.Sleep(time.Until(next))
	}
	return b.judgePoison(servers, poisonous), nil
}
