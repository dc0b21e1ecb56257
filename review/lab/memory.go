package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// residentKB returns the memory of a process that is in use now, in KB.
func residentKB(pid int) int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range bytes.Split(b, []byte("\n")) {
		if f := bytes.Fields(line); len(f) > 1 && string(f[0]) == "VmRSS:" {
			n, _ := strconv.Atoi(string(f[1]))
			return n
		}
	}
	return 0
}

// memoryMB is the memory-mb of the settings, above which the platform kills a process.
const memoryMB = 134

// watchMemory kills a host's process whenever it has more memory in use than the platform
// allows, and starts it again, until ctx is done. It returns the times of the kills and the
// most memory that was seen, in KB.
func (l *lab) watchMemory(ctx context.Context, h *host) (kills []time.Time, most int) {
	for ctx.Err() == nil {
		kb := residentKB(h.cmd.Process.Pid)
		most = max(most, kb)
		if kb > memoryMB<<10 {
			kills = append(kills, time.Now())
			h.kill()
			l.logf("%s: %d KB in use, over %d MB: the platform kills the process", h.name, kb, memoryMB)
			time.Sleep(500 * time.Millisecond)
			if err := h.start(); err != nil {
				l.logf("start: %v", err)
				return kills, most
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	return kills, most
}

// memory has many users send bodies at once, each within max-body-bytes. Rule LOST.
func memory(l *lab) (broken bool, err error) {
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
	for i, z := range l.zoneNames {
		s := &server{id: fmt.Sprintf("i-%02d", i+1), service: "desk", zone: z, address: fmt.Sprintf("%s.%d:9000", l.subnet, 100+i), slots: 6, work: 60 * time.Millisecond, store: l.store}
		l.servers = append(l.servers, s)
		if err := startServer(s); err != nil {
			return false, err
		}
	}
	if err := l.startHosts(); err != nil {
		return false, err
	}
	l.logf("hosts ready")
	time.Sleep(time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), 40*time.Second)
	defer cancel()
	var wg sync.WaitGroup
	h := l.hosts[0]
	var kills []time.Time
	var most int
	wg.Go(func() {
		kills, most = l.watchMemory(ctx, h)
	})
	body := shape{method: "POST", path: "/book/x", deadline: 3 * time.Second, body: 4 << 20}
	began := time.Now()
	bursting := false
	wg.Go(func() {
		l.press(ctx, h, func() int {
			now := l.trouble && inBurst(time.Since(began))
			if now != bursting {
				bursting = now
				l.logf("burst: %v", now)
			}
			if now {
				return burstUsers
			}
			return usersAtOnce
		}, time.Second, body)
	})
	wg.Wait()
	l.logf("most memory in use: %d KB", most)
	lost := l.lost()
	l.logf("the process ended %d times; requests on kept connections that had reached a server and ended without an answer: %d; allowed 3", len(kills), lost)
	return lost > 3, nil
}

const (
	// usersAtOnce is the number of users that send a request at the same moment, each
	// second, and burstUsers that in a burst: at most 1.8 times as many.
	usersAtOnce, burstUsers = 12, 21
	// burstTime is how long a burst lasts, and burstPeriod the time from one to the next.
	burstTime, burstPeriod = 5 * time.Second, 10 * time.Second
)

// inBurst reports whether a time after the start of traffic is in a burst.
func inBurst(since time.Duration) bool {
	return since > burstPeriod/2 && (since-burstPeriod/2)%burstPeriod < burstTime
}

// lost returns the number of requests on kept connections that have reached a server and got
// no answer, although the client was still waiting.
func (l *lab) lost() (n int) {
	passed := map[string]bool{}
	for _, s := range l.servers {
		s.mu.Lock()
		for _, a := range s.arrivals {
			passed[a.id] = true
		}
		s.mu.Unlock()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, q := range l.requests {
		if q.reused && passed[q.id] && q.status == 0 && strings.HasPrefix(q.err, "read: ") && !strings.Contains(q.err, "timeout") {
			n++
		}
	}
	return n
}
