// Program lab runs the cases of the review: it starts the project's program as processes on
// loopback addresses, between stand-ins of the platform's store, its servers and its
// clients, and checks one rule by what those have seen.
//
// Usage: lab CASE FOLDER. It writes record.txt into the folder, and exits with 1 if the rule
// was broken, 0 if it held and 2 if the case could not run. With TROUBLE=0 in the
// environment it leaves the disruption out.
package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// lab is a small deployment.
type lab struct {
	dir, record1    string
	subnet, storeIP string
	trouble         bool
	zoneNames       []string
	zones           map[string]string
	hosts           []*host
	servers         []*server
	store           *store
	cut             atomic.Bool
	started         time.Time
	out             strings.Builder
	mu              sync.Mutex
	requests        []request
}

// logf adds a line to the record.
func (l *lab) logf(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(l.started).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	l.out.WriteString(line)
	fmt.Print(line)
}

// record records a client's attempt.
func (l *lab) record(q request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests = append(l.requests, q)
}

// at returns a time in seconds since the start.
func (l *lab) at(t time.Time) float64 { return t.Sub(l.started).Seconds() }

// newLab returns a deployment on a free part of the loopback range.
func newLab() (*lab, error) {
	l := &lab{started: time.Now(), trouble: os.Getenv("TROUBLE") != "0"}
	var err error
	if l.dir, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	for range 50 {
		l.subnet = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
		l.storeIP = l.subnet + ".1"
		c, err := net.Listen("tcp4", fmt.Sprint(l.storeIP, ":", storePort))
		if err != nil {
			continue
		}
		_ = c.Close()
		l.store, err = startStore(fmt.Sprint(l.storeIP, ":", storePort))
		return l, err
	}
	return nil, fmt.Errorf("no free loopback address")
}

// addHosts adds hosts; each is given as name, zone and part of the network while it is cut.
// The seeds are the first host of each zone, as on the users' platform. A host reaches the
// seeds of other parts through a proxy.
func (l *lab) addHosts(list ...host) error {
	first := map[string]*host{}
	for i := range list {
		h := &list[i]
		h.lab, h.ip = l, fmt.Sprintf("%s.%d", l.subnet, 11+i)
		l.hosts = append(l.hosts, h)
		if first[h.zone] == nil {
			first[h.zone] = h
		}
	}
	for i, z := range l.zoneNames {
		seed := first[z]
		proxied := fmt.Sprintf("%s.%d", l.subnet, 60+i)
		if err := startLink(fmt.Sprint(proxied, ":", firstPort), fmt.Sprint(seed.ip, ":", firstPort), &l.cut); err != nil {
			return err
		}
		for _, h := range l.hosts {
			if h.group == seed.group {
				h.seeds = append(h.seeds, seed.ip)
			} else {
				h.seeds = append(h.seeds, proxied)
			}
		}
	}
	return nil
}

// startHosts starts all hosts and waits until they are ready.
func (l *lab) startHosts() error {
	for _, h := range l.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	return l.awaitReady(l.hosts...)
}

// awaitReady waits until hosts accept callers.
func (l *lab) awaitReady(hosts ...*host) error {
	until := time.Now().Add(10 * time.Second)
	for _, h := range hosts {
		for !ready(h) {
			if time.Now().After(until) {
				return fmt.Errorf("host %s is not ready", h.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// stop ends all processes and writes the record.
func (l *lab) stop(folder string) {
	for _, h := range l.hosts {
		h.signal(syscall.SIGCONT)
		h.signal(syscall.SIGKILL)
	}
	for _, h := range l.hosts {
		if h.done != nil {
			<-h.done
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var b strings.Builder
	b.WriteString(l.out.String())
	b.WriteString("\nsent and answered: at, id, host, status, whole, ms, error\n")
	sort.Slice(l.requests, func(i, j int) bool { return l.requests[i].sent.Before(l.requests[j].sent) })
	for _, q := range l.requests {
		fmt.Fprintf(&b, "%8.3f %s %s %d %v %d %s\n", l.at(q.sent), q.id, q.host, q.status, q.complete, q.ended.Sub(q.sent).Milliseconds(), strings.ReplaceAll(q.err, l.subnet, "127.x.y"))
	}
	b.WriteString("\nrun: at, id, server, began to run\n")
	for _, s := range l.servers {
		s.mu.Lock()
		for _, a := range s.arrivals {
			fmt.Fprintf(&b, "%8.3f %s %s %v\n", l.at(a.at), a.id, s.id, a.ran)
		}
		s.mu.Unlock()
	}
	if err := os.WriteFile(filepath.Join(folder, "record.txt"), []byte(b.String()), 0o644); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(l.dir)
	} else {
		fmt.Println("logs in", l.dir)
	}
}

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(l *lab) (broken bool, err error){
	"cold":   cold,
	"return": returning,
	"seeds":  seeds,
	"poison": poison,
	"memory": memory,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab CASE FOLDER")
		os.Exit(2)
	}
	l, err := newLab()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	broken, err := cases[os.Args[1]](l)
	code := 0
	switch {
	case err != nil:
		l.logf("the case could not run: %v", err)
		code = 2
	case broken:
		l.logf("RULE BROKEN")
		code = 1
	default:
		l.logf("rule held")
	}
	l.stop(os.Args[2])
	os.Exit(code)
}
