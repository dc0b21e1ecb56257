package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The ports of hosts and the store.
const (
	callerPort, readyPort, controlPort, firstPort, lastPort, storePort = 8221, 8224, 8229, 7600, 7615, 8225
)

// host is a machine of the system.
type host struct {
	name, ip, zone string
	// group is the number of the part of the network in which the host is while it is cut.
	group int
	// seeds are the IP addresses of the seeds, as the host reaches them.
	seeds []string
	lab   *lab

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// settings returns the host's settings file.
func (h *host) settings() string {
	var seeds, zones []string
	for _, ip := range h.seeds {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprint(ip, ":", controlPort)))
	}
	for _, z := range h.lab.zoneNames {
		zones = append(zones, fmt.Sprintf("%s = %q", z, h.lab.zones[z]))
	}
	return fmt.Sprintf(`node-name = %q
role = "entry"
machine-class = "edge"
serves = ["edge","control"]
ip = %q
zone = %q
region = %q
internal-port-range = [%d,%d]
seed-nodes = [%s]
is-bootstrap = true
is-counted = false
discovery = "platform"
entry-kind = "vip"
heartbeat-ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","quota","places","platform"]
[zones]
%s
[listen]
frontend = "%s:%d"
ready = "%s:%d"
control-plane = "%s:%d"
[limits]
cpu-fraction = 0.4
cpu-cores = 1
memory-mb = 134
max-fds = 4100
bandwidth-mbps = 1000.0
disk-mb = 0
[fault-tolerance]
machine-count = 2
zones = 1
region-count = 0
[bounds]
seed-lag-s = 3
reuse-after-s = 2
contact-ms = 4000
ack-ms = 5000
catch-up-s = 4
drain-ms = 2500
grace-s = 8
loss-slack-ms = 200
config-apply-ms = 2500
rollback-slack-ms = 250
outer-bound-ms = 6000
fail-closed = false
revoke-ms = 5000
retry-budget-ratio = 0.2
budget-window-s = 10
retry-allowance = 58
quota-window-s = 8
quota-overshoot = 0.25
quota-allowance = 110000
warmup-overshoot = 1.5
warmup-allowance = 5
evacuation-ms = 5000
recover-s = 12
delivery-delay-ms = 250
retry-after-s = 6.6
[platform]
address = "%s:%d"
form = "read"
writes-per-s = 400
reads-per-s = 2000
history-s = 20
max-value-bytes = 1048576
ttl-min-ms = 1000
`, h.name, h.ip, h.zone, h.lab.zones[h.zone], firstPort, lastPort, strings.Join(seeds, ","), strings.Join(zones, "\n"),
		h.ip, callerPort, h.ip, readyPort, h.ip, controlPort, h.lab.storeIP, storePort)
}

// start starts the host's process with the command of the deploy file.
func (h *host) start() error {
	path := filepath.Join(h.lab.dir, h.name+".toml")
	if err := os.WriteFile(path, []byte(h.settings()), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(h.lab.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/platform")
	cmd.Env = []string{"FOXTAILLUG_BOOT=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(done)
	}()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cmd, h.done = cmd, done
	return nil
}

// signal sends the host's process a signal.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd != nil {
		_ = h.cmd.Process.Signal(s)
	}
}

// kill ends the host's process and waits for its end.
func (h *host) kill() {
	h.signal(syscall.SIGCONT)
	h.signal(syscall.SIGKILL)
	if h.done != nil {
		<-h.done
	}
}

// link is a UDP proxy in front of a seed, for hosts in another part of the network.
// Hosts join through datagrams to a seed; once they know each other, they connect
// directly.
type link struct {
	conn   *net.UDPConn
	target *net.UDPAddr
	cut    *atomic.Bool

	mu      sync.Mutex
	callers map[string]*net.UDPConn
}

// linkIdle is how long the proxy keeps the way back to a caller.
const linkIdle = 30 * time.Second

// startLink starts a proxy at an address in front of another one.
func startLink(from, to string, cut *atomic.Bool) error {
	a, err := net.ResolveUDPAddr("udp4", from)
	if err != nil {
		return err
	}
	b, err := net.ResolveUDPAddr("udp4", to)
	if err != nil {
		return err
	}
	c, err := net.ListenUDP("udp4", a)
	if err != nil {
		return err
	}
	l := &link{conn: c, target: b, cut: cut, callers: map[string]*net.UDPConn{}}
	go l.run()
	return nil
}

// run forwards datagrams to the target.
func (l *link) run() {
	buf := make([]byte, 64<<10)
	for {
		n, from, err := l.conn.ReadFromUDP(buf)
		if err != nil {
			return
		}
		if l.cut.Load() {
			continue
		}
		if c := l.way(from); c != nil {
			_, _ = c.Write(buf[:n])
		}
	}
}

// way returns the connection to the target on which the answers to a caller arrive.
func (l *link) way(from *net.UDPAddr) *net.UDPConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.callers[from.String()]; c != nil {
		return c
	}
	c, err := net.DialUDP("udp4", nil, l.target)
	if err != nil {
		return nil
	}
	l.callers[from.String()] = c
	go func() {
		buf := make([]byte, 64<<10)
		for {
			_ = c.SetReadDeadline(time.Now().Add(linkIdle))
			n, err := c.Read(buf)
			if err != nil {
				l.mu.Lock()
				delete(l.callers, from.String())
				l.mu.Unlock()
				_ = c.Close()
				return
			}
			if !l.cut.Load() {
				_, _ = l.conn.WriteToUDP(buf[:n], from)
			}
		}
	}()
	return c
}
