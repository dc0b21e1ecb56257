package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of every machine, as the platform's pages show them.
const (
	frontendPort = 8221
	readyPort    = 8224
	controlPort  = 8229
	internalPort = 7600
	metricsPort  = 9464
	storePort    = 8225
	serverPort   = 8308
)

// binary is the program of the deploy file.
const binary = "target/platform"

// errSetup means that the case could not run.
var errSetup = errors.New("case could not run")

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	f     *os.File
	since time.Time
}

// line writes one line with the time since the start.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%9.3f s  %s\n", time.Since(r.since).Seconds(), fmt.Sprintf(format, args...))
}

// network hands out loopback addresses that nothing uses.
type network struct {
	prefix string
	next   int
}

// newNetwork returns a network whose addresses are free.
func newNetwork() (n *network, err error) {
	for range 50 {
		n = &network{prefix: fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), rand.IntN(250)), next: 10}
		l, err := net.Listen("tcp", n.prefix+"9:"+fmt.Sprint(storePort))
		if err == nil {
			_ = l.Close()
			return n, nil
		}
	}
	return nil, fmt.Errorf("%w: no free loopback addresses", errSetup)
}

// address returns an IP address that was not handed out yet.
func (n *network) address() string {
	n.next++
	return n.prefix + fmt.Sprint(n.next)
}

// host is a machine with a process of the system.
type host struct {
	name, ip, zone string
	settings       string
	log            *os.File
	cmd            *exec.Cmd
	ended          chan struct{}
}

// frontend returns the address at which the host serves clients.
func (h *host) frontend() string { return fmt.Sprintf("%s:%d", h.ip, frontendPort) }

// zones maps the zones of the deployment to regions.
var zones = [][2]string{{"mtl-a", "mtl"}, {"qc-a", "qc"}, {"mtl-b", "mtl"}}

// fleet starts and ends the system's processes.
type fleet struct {
	dir   string
	store string
	log   *record
	hosts []*host
	// memory is memory-mb of the machines.
	memory int
}

// newHost adds a machine in a zone. It is not started yet.
func (f *fleet) newHost(n *network, zone string) *host {
	h := &host{name: fmt.Sprintf("edge-%s-%d", zone, len(f.hosts)+1), ip: n.address(), zone: zone}
	h.settings = filepath.Join(f.dir, h.name+".toml")
	f.hosts = append(f.hosts, h)
	return h
}

// control returns the control-plane address of a machine.
func control(ip string) string { return fmt.Sprintf("%s:%d", ip, controlPort) }

// writeSettings writes the settings file of a host, as DEPLOY.md shows it.
func (f *fleet) writeSettings(h *host, seeds []string) error {
	var b strings.Builder
	region := ""
	for _, z := range zones {
		if z[0] == h.zone {
			region = z[1]
		}
	}
	fmt.Fprintf(&b, "node-name = %q\nrole = \"entry\"\nmachine-class = \"edge\"\nserves = [\"edge\",\"control\"]\n", h.name)
	fmt.Fprintf(&b, "ip = %q\nzone = %q\nregion = %q\ninternal-port-range = [%d,%d]\n", h.ip, h.zone, region, internalPort, internalPort+15)
	fmt.Fprintf(&b, "seed-nodes = [\"%s\"]\nis-bootstrap = true\nis-counted = false\ndiscovery = \"platform\"\nentry-kind = \"vip\"\nheartbeat-ms = 1200\n", strings.Join(seeds, `","`))
	b.WriteString("contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\",\"quota\",\"places\",\"platform\"]\n")
	b.WriteString("[zones]\n")
	for _, z := range zones {
		fmt.Fprintf(&b, "%s = %q\n", z[0], z[1])
	}
	fmt.Fprintf(&b, "[listen]\nfrontend = \"%s:%d\"\nready = \"%s:%d\"\ncontrol-plane = \"%s:%d\"\n", h.ip, frontendPort, h.ip, readyPort, h.ip, controlPort)
	fmt.Fprintf(&b, "[limits]\ncpu-fraction = 0.4\ncpu-cores = 1\nmemory-mb = %d\nmax-fds = 4100\nbandwidth-mbps = 1000.0\ndisk-mb = 0\n", f.memory)
	b.WriteString("[fault-tolerance]\nmachine-count = 2\nzones = 1\nregion-count = 0\n")
	b.WriteString("[bounds]\nseed-lag-s = 3\nreuse-after-s = 2\ncontact-ms = 4000\nack-ms = 5000\ncatch-up-s = 4\ndrain-ms = 2500\ngrace-s = 8\nloss-slack-ms = 200\nconfig-apply-ms = 2500\nrollback-slack-ms = 250\nouter-bound-ms = 6000\nfail-closed = false\nrevoke-ms = 5000\nretry-budget-ratio = 0.2\nbudget-window-s = 10\nretry-allowance = 52\nquota-window-s = 8\nquota-overshoot = 0.25\nquota-allowance = 110000\nwarmup-overshoot = 1.5\nwarmup-allowance = 5\nevacuation-ms = 5000\nrecover-s = 12\ndelivery-delay-ms = 250\nretry-after-s = 9.2\n")
	fmt.Fprintf(&b, "[platform]\naddress = %q\nform = \"read\"\nwrites-per-s = 400\nreads-per-s = 2000\nhistory-s = 20\nmax-value-bytes = 1048576\nttl-min-ms = 1000\n", f.store)
	return os.WriteFile(h.settings, []byte(b.String()), 0o600)
}

// start starts the process of a host.
func (f *fleet) start(h *host) (err error) {
	if h.log == nil {
		if h.log, err = os.Create(filepath.Join(f.dir, h.name+".log")); err != nil {
			return err
		}
	}
	h.cmd = exec.Command(binary)
	h.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "FOXTAILLUG_BOOT=" + h.settings}
	h.cmd.Stdout, h.cmd.Stderr = h.log, h.log
	if err = h.cmd.Start(); err != nil {
		return fmt.Errorf("%w: %v", errSetup, err)
	}
	f.log.line("%s starts, process %d, seeds in %s", h.name, h.cmd.Process.Pid, filepath.Base(h.settings))
	cmd, ended := h.cmd, make(chan struct{})
	h.ended = ended
	go func() {
		err := cmd.Wait()
		f.log.line("%s, process %d, ended: %v", h.name, cmd.Process.Pid, err)
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process of a host.
func (f *fleet) signal(h *host, s syscall.Signal) {
	f.log.line("%s gets %v", h.name, s)
	_ = h.cmd.Process.Signal(s)
}

// stop ends all processes.
func (f *fleet) stop() {
	for _, h := range f.hosts {
		if h.cmd != nil && h.cmd.Process != nil {
			_ = h.cmd.Process.Signal(syscall.SIGCONT)
			_ = h.cmd.Process.Kill()
			<-h.ended
		}
	}
}

// isReady asks a host whether it is ready, as the platform does.
func (h *host) isReady() bool {
	c := http.Client{Timeout: 900 * time.Millisecond}
	resp, err := c.Get(fmt.Sprintf("http://%s:%d/api/readyz", h.ip, readyPort))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until hosts are ready.
func (f *fleet) awaitReady(timeout time.Duration, hosts ...*host) error {
	until := time.Now().Add(timeout)
	for _, h := range hosts {
		for !h.isReady() {
			if time.Now().After(until) {
				return fmt.Errorf("%w: %s is not ready", errSetup, h.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
