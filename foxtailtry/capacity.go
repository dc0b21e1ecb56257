package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"runtime"
	"syscall"
	"text/tabwriter"
	"time"

	"foxtaillug.org/contract"
	"foxtaillug.org/foxtailtry/loader"
	"foxtaillug.org/foxtailtry/tallier"
	"foxtaillug.org/foxtailtry/world"
)

// The shape of a capacity trial, per host as at the target size.
const (
	upstreamsPerHost = 6
	slotsPerUpstream = 16
	capacityModels   = 3
	// quiet is how long hosts are watched without load.
	quiet = 6 * time.Second
	// production settings of the leases.
	capacityLag  = 3 * time.Second
	capacityLoan = 2 * time.Second
)

// capacityCmd measures how control grows with the number of hosts.
type capacityCmd struct {
	Hosts    []int         `help:"Numbers of hosts to measure." default:"3,6,9,18,36"`
	PerHost  float64       `help:"Requests a second at each host." default:"20"`
	Duration time.Duration `help:"Length of the load." default:"8s"`
	Changes  int           `help:"Configuration changes during the load." default:"4"`
	JSON     bool          `help:"Print the points as JSON."`
}

// point is what one number of hosts cost. The fields are the JSON format.
type point struct {
	Hosts             int     `json:"hosts"`
	Upstreams         int     `json:"upstreams"`
	IdleBytes         float64 `json:"idleBytesPerHostSecond"`
	IdleWrites        float64 `json:"idleWritesPerHostSecond"`
	IdleCPU           float64 `json:"idleCorePartPerHost"`
	RequestsPerSecond float64 `json:"requestsPerHostSecond"`
	BytesPerRequest   float64 `json:"controlBytesPerRequest"`
	CPUPerRequest     float64 `json:"microsecondsPerRequestAllParts"`
	MegabytesPerHost  float64 `json:"megabytesPerHost"`
	PlatformReads     float64 `json:"platformReadsPerSecond"`
	ChangeMs          float64 `json:"changeInForceMs"`
	Good              float64 `json:"goodPart"`
}

// Run measures each number of hosts.
func (c capacityCmd) Run() error {
	var points []point
	for _, n := range c.Hosts {
		p, err := c.measure(n)
		if err != nil {
			return err
		}
		points = append(points, p)
		if !c.JSON {
			fmt.Fprintf(os.Stderr, "%d hosts measured\n", n)
		}
	}
	if c.JSON {
		e := json.NewEncoder(os.Stdout)
		e.SetIndent("", "  ")
		return e.Encode(points)
	}
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "HOSTS\tUPSTREAMS\tIDLE B/S\tIDLE WRITES/S\tIDLE CORE %\tREQ/S/HOST\tB/REQ\tCPU US/REQ\tMB/HOST\tREADS/S\tCHANGE MS\tGOOD %\t")
	for _, p := range points {
		fmt.Fprintf(t, "%d\t%d\t%.0f\t%.1f\t%.2f\t%.1f\t%.0f\t%.0f\t%.1f\t%.1f\t%.0f\t%.1f\t\n", p.Hosts, p.Upstreams, p.IdleBytes, p.IdleWrites, 100*p.IdleCPU, p.RequestsPerSecond, p.BytesPerRequest, p.CPUPerRequest, p.MegabytesPerHost, p.PlatformReads, p.ChangeMs, 100*p.Good)
	}
	return t.Flush()
}

// capacityWorld returns a document and a scenario for a number of hosts.
func capacityWorld(n int) (doc contract.Document, s world.Scenario) {
	doc = contract.Document{
		Version:    1,
		Regions:    []contract.Region{{Name: "r1"}},
		Tiers:      []contract.Tier{{Name: "first", WaitSeconds: 20}, {Name: "second", WaitSeconds: 20}, {Name: "third", WaitSeconds: 20}},
		Workspaces: []contract.Workspace{{Name: "w1", Tier: "first"}, {Name: "w2", Tier: "second"}, {Name: "w3", Tier: "third"}},
	}
	s = world.Scenario{
		Generations:      map[string]world.Speed{"g1": {PrefillMsPerToken: 0.01, TokenMs: 4, BatchSlowdown: 0.01, MaxBatch: slotsPerUpstream}},
		ColdSeconds:      1,
		ReportLagSeconds: 0.3,
	}
	for i := range 3 {
		doc.Domains = append(doc.Domains, contract.Domain{Name: fmt.Sprintf("d%d", i), Region: "r1"})
	}
	for i := range capacityModels {
		model := fmt.Sprintf("m%d", i)
		doc.Models = append(doc.Models, contract.Model{Name: model, ContextTokens: 8192, OutputTokens: 32})
		s.Callers = append(s.Callers, world.Caller{Workspace: fmt.Sprintf("w%d", i+1), Model: model, Weight: 1, PromptTokens: [2]int{20, 2000}, OutputTokens: [2]int{4, 64}, Prefixes: 4})
	}
	for i := range n {
		s.Hosts = append(s.Hosts, world.HostSpec{Name: fmt.Sprintf("h%d", i), Domain: fmt.Sprintf("d%d", i%3)})
	}
	for i := range n * upstreamsPerHost {
		doc.Upstreams = append(doc.Upstreams, contract.Upstream{
			Name: fmt.Sprintf("u%d", i), Domain: fmt.Sprintf("d%d", i%3), Models: []string{fmt.Sprintf("m%d", i%capacityModels)},
			ColdLimit: 4, Limit: slotsPerUpstream, WarmUpSeconds: 1, Generation: "g1",
		})
	}
	return doc, s
}

// usage is what the process and its hosts have used so far.
type usage struct {
	at     time.Time
	bytes  int64
	writes int64
	cpu    time.Duration
	reads  int
}

// used reads what was used so far.
func used(w *world.World) (u usage) {
	for _, h := range w.Hosts() {
		s := h.Daemon().Status()
		u.bytes += s.ControlBytesSent + s.ControlBytesReceived
		u.writes += s.ControlWrites
	}
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	u.cpu = time.Duration(r.Utime.Nano() + r.Stime.Nano())
	u.at, u.reads = time.Now(), w.Platform().Reads()
	return u
}

// measure runs one number of hosts, first quiet and then under load.
func (c capacityCmd) measure(n int) (p point, err error) {
	doc, s := capacityWorld(n)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	w, err := world.New(doc, s, true, world.WithWarmEngines(true), world.WithLease(capacityLag, capacityLoan))
	if err != nil {
		return p, err
	}
	defer w.Close()
	hosts := float64(n)
	first := used(w)
	time.Sleep(quiet)
	second := used(w)
	seconds := second.at.Sub(first.at).Seconds()
	p = point{Hosts: n, Upstreams: len(doc.Upstreams)}
	p.IdleBytes = float64(second.bytes-first.bytes) / seconds / hosts
	p.IdleWrites = float64(second.writes-first.writes) / seconds / hosts
	p.IdleCPU = (second.cpu - first.cpu).Seconds() / seconds / hosts
	p.PlatformReads = float64(second.reads-first.reads) / seconds
	p.ChangeMs, err = c.change(w)
	if err != nil {
		return p, err
	}
	third := used(w)
	tally := tallier.New()
	b := loader.NewBalancer(w)
	loader.New(w, b, tally, 1, b.Ticket).Run(context.Background(), c.PerHost*hosts, c.Duration)
	fourth := used(w)
	runtime.GC()
	runtime.ReadMemStats(&after)
	p.MegabytesPerHost = float64(after.HeapInuse-before.HeapInuse) / hosts / (1 << 20)
	seconds = fourth.at.Sub(third.at).Seconds()
	issued, good := 0, 0
	for _, t := range tally.Report(c.Duration, nil).Tiers {
		issued += t.Issued
		good += t.Good
	}
	requests := float64(max(issued, 1))
	p.RequestsPerSecond = requests / seconds / hosts
	p.BytesPerRequest = (float64(fourth.bytes-third.bytes) - p.IdleBytes*hosts*seconds) / requests
	p.CPUPerRequest = ((fourth.cpu - third.cpu).Seconds() - p.IdleCPU*hosts*seconds) / requests * 1e6
	p.Good = float64(good) / requests
	return p, nil
}

// change publishes some changes and returns the longest time until one was in
// force on every host, in milliseconds.
func (c capacityCmd) change(w *world.World) (longest float64, err error) {
	for i := range c.Changes {
		began := time.Now()
		if err := w.Change(func(d *contract.Document) { d.Limits.Queue = 1000 + i }); err != nil {
			return 0, err
		}
		for !w.InForce() {
			time.Sleep(5 * time.Millisecond)
			if time.Since(began) > startTimeout {
				return 0, fmt.Errorf("change %d is not in force everywhere after %v", i, startTimeout)
			}
		}
		longest = max(longest, float64(time.Since(began).Microseconds())/1000)
	}
	return longest, nil
}

// startTimeout bounds the wait for a change.
const startTimeout = 30 * time.Second
