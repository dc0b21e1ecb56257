package main

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// poisonBody begins the body of the request that crashes servers.
	poisonBody = "poison "
	// poisonTime is how long a server reads the request's prompt of 6,870 tokens, at 40.8 in
	// a ms, before it begins to run it.
	poisonTime = 168 * time.Millisecond
	// downTime is how long a server is down after a crash.
	downTime = 3 * time.Second
	// waveGap is the time between two times at which the request comes.
	waveGap = 6 * time.Second
	// clientSpread is the longest time between the clients' sending.
	clientSpread = 60 * time.Millisecond
)

// poison has six clients of a tenant send one request at about the same time, each to
// another machine, and again six seconds later. The request crashes each server that runs it.
func poison(b *bench) (broken bool, err error) {
	hosts, servers, err := b.startModels(false)
	if err != nil {
		return false, err
	}
	stop := b.traffic(hosts, 10, streams)
	defer stop()
	time.Sleep(contact + 2*time.Second)
	poisonous := make(map[string]bool)
	for wave := range 4 {
		b.log.line("wave %d: the request comes at %d machines", wave+1, len(hosts))
		var wg sync.WaitGroup
		answers := make([]answer, len(hosts))
		for i, h := range hosts {
			wg.Go(func() {
				time.Sleep(rand.N(clientSpread))
				answers[i] = poisonRequest(3 * time.Second).send(h.frontend())
				b.log.line("wave %d, %s answers %s", wave+1, h.name, answers[i])
			})
		}
		wg.Wait()
		for _, a := range answers {
			poisonous[a.id] = true
		}
		time.Sleep(waveGap)
	}
	return b.judgePoison(servers, poisonous), nil
}

// judgePoison counts the arrivals of the request at servers later than contact-ms after it
// has crashed the third.
func (b *bench) judgePoison(servers []*server, poisonous map[string]bool) (broken bool) {
	var crashes []time.Time
	for _, s := range servers {
		crashes = append(crashes, s.crashTimes()...)
	}
	if len(crashes) < 3 {
		b.log.line("%d servers crashed", len(crashes))
		return false
	}
	sortTimes(crashes)
	late := 0
	for _, s := range servers {
		arrivals, _ := s.seen()
		for _, a := range arrivals {
			if poisonous[a.id] && a.at.After(crashes[2].Add(contact)) {
				late++
				b.log.line("request %s reached server %s %.3f s after the third crash", a.id, a.server, a.at.Sub(crashes[2]).Seconds())
			}
		}
	}
	b.log.line("%d crashes; %d retries reached servers later than %v after the third; 3 are allowed", len(crashes), late, contact)
	return late > 3
}

// poisonRequest returns the request that crashes servers.
func poisonRequest(deadline time.Duration) request {
	return request{
		method: http.MethodPost, path: onePath + "2f", body: poisonBody + strings.Repeat("x", 13740), deadline: deadline,
		headers: "Model-Id: m\r\nToken-Count: 6870,20\r\nPrefix-Hash: 5c1e07a2:60,91bd3f06:6810\r\n",
	}
}

// startModels starts six machines and 18 model servers, which a poisonous request crashes
// unless the disruption is left out.
func (b *bench) startModels(dark bool) (hosts []*host, servers []*server, err error) {
	hosts, servers = b.newModels(dark, b.trouble)
	return hosts, servers, b.startHosts(hosts, seedsOf(hosts))
}

// newModels returns six machines that are not started and 18 model servers, which a poisonous
// request may crash.
func (b *bench) newModels(dark, poisoned bool) (hosts []*host, servers []*server) {
	for _, zone := range []string{"mtl-a", "mtl-a", "qc-a", "qc-a", "qc-a", "mtl-b"} {
		hosts = append(hosts, b.fleet.newHost(b.net, zone))
	}
	for range 6 {
		for _, z := range zones {
			servers = append(servers, b.server(serverOptions{
				service: modelService, zone: z[0], slots: 6, stream: true, down: downTime, dark: dark,
				work: func(*http.Request, []byte) time.Duration { return 40 * time.Millisecond },
				crashes: func(body []byte) (time.Duration, bool) {
					return poisonTime, poisoned && strings.HasPrefix(string(body), poisonBody)
				},
			}))
		}
	}
	return hosts, servers
}

// seedsOf returns the control-plane addresses of one machine of each zone.
func seedsOf(hosts []*host) []string {
	return []string{control(hosts[0].ip), control(hosts[2].ip), control(hosts[5].ip)}
}

// startHosts starts machines with some seeds and waits until they are ready.
func (b *bench) startHosts(hosts []*host, seeds []string) error {
	for _, h := range hosts {
		if err := b.fleet.writeSettings(h, seeds); err != nil {
			return err
		}
		if err := b.fleet.start(h); err != nil {
			return err
		}
	}
	return b.fleet.awaitReady(10*time.Second, hosts...)
}
