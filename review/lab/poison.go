package main

import (
	"context"
	"fmt"
	"sort"
	"sync"
	"time"
)

const (
	poisonPath = "/look/poison"
	// contactTime is contact-ms of the settings.
	contactTime = 4 * time.Second
	// crashTime is how long a crashed server is down.
	crashTime = 3 * time.Second
	// comesAgain is the time after which the request comes again.
	comesAgain = 5 * time.Second
)

// usersAtPoison is the number of users that send the request at the same moment.
const usersAtPoison = 4

// poison has a request come again and again that crashes the servers which run it, from four
// users at the same moment, each time at another machine. Rule BUDGET.
func poison(l *lab) (broken bool, err error) {
	l.zoneNames = []string{"casa-ain-sebaa", "casa-maarif", "fes-saiss"}
	l.zones = map[string]string{"casa-ain-sebaa": "casablanca", "casa-maarif": "casablanca", "fes-saiss": "fes"}
	var list []host
	for _, z := range l.zoneNames {
		for n := range 3 {
			list = append(list, host{name: fmt.Sprintf("edge-%s-%d", z, n+1), zone: z})
		}
	}
	if err := l.addHosts(list...); err != nil {
		return false, err
	}
	l.configure(1, 154709)
	crashing := ""
	if l.trouble {
		crashing = poisonPath
	}
	var mu sync.Mutex
	next := 0
	var add func(zone string) error
	add = func(zone string) error {
		mu.Lock()
		next++
		s := &server{id: fmt.Sprintf("i-%02d", next), service: "desk", zone: zone, address: fmt.Sprintf("%s.%d:9000", l.subnet, 100+next), slots: 6, work: 60 * time.Millisecond, crashing: crashing, store: l.store}
		l.servers = append(l.servers, s)
		mu.Unlock()
		if err := startServer(s); err != nil {
			return err
		}
		go func() {
			<-s.stopped
			time.Sleep(crashTime)
			_ = add(zone)
		}()
		return nil
	}
	for i := range 12 {
		if err := add(l.zoneNames[i%3]); err != nil {
			return false, err
		}
	}
	began := time.Now()
	if err := l.startHosts(); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	for _, h := range l.hosts {
		wg.Go(func() {
			l.press(ctx, h, func() int { return 1 }, 150*time.Millisecond, shape{method: "GET", path: "/look/usual", deadline: 3 * time.Second})
		})
	}
	at := func(d time.Duration) { time.Sleep(time.Until(began.Add(d))) }
	send := func(h *host) {
		var both sync.WaitGroup
		for range usersAtPoison {
			both.Go(func() {
				c := &client{address: fmt.Sprint(h.ip, ":", callerPort), host: h.name}
				q := c.send(shape{method: "GET", path: poisonPath, deadline: 3 * time.Second})
				c.close()
				l.record(q)
				l.logf("the crashing request at %s: status %d", h.name, q.status)
			})
		}
		both.Wait()
	}
	for i, h := range l.hosts[:5] {
		at(2*time.Second + time.Duration(i)*comesAgain)
		send(h)
	}
	time.Sleep(time.Second)
	cancel()
	wg.Wait()
	mu.Lock()
	servers := l.servers
	mu.Unlock()
	var runs []time.Time
	for _, s := range servers {
		s.mu.Lock()
		for _, a := range s.arrivals {
			if a.path == poisonPath {
				runs = append(runs, a.at)
				l.logf("server %s gets it at %.3f", s.id, l.at(a.at))
			}
		}
		s.mu.Unlock()
	}
	sort.Slice(runs, func(i, j int) bool { return runs[i].Before(runs[j]) })
	if !l.trouble {
		return false, nil
	}
	late := 0
	for _, t := range runs {
		if len(runs) > 2 && t.After(runs[2].Add(contactTime)) {
			late++
		}
	}
	l.logf("runs %d, of these later than 4 s after the third: %d; allowed 3", len(runs), late)
	return late > 3, nil
}
