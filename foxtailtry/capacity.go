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
	"foxtaillug.org/foxtailtry/testbed"
)

// Parameters of a capacity trial. The numbers for each host are those of a
// fleet at its target size.
const (
	upstreamsPerHost = 6
	slotsPerUpstream = 16
	capacityModels   = 3
	// idlePeriod is how long the hosts are measured without load.
	idlePeriod = 6 * time.Second
	// capacityListLag and capacityLeaseTTL are the lease settings used in
	// production.
	capacityListLag  = 3 * time.Second
	capacityLeaseTTL = 2 * time.Second
)

// capacityCmd measures how the cost of the control plane grows with the number
// of hosts.
type capacityCmd struct {
	Hosts    []int         `help:"Numbers of hosts to measure." default:"3,6,9,18,36"`
	PerHost  float64       `help:"Requests per second at each host." default:"20"`
	Duration time.Duration `help:"Duration of the load." default:"8s"`
	Changes  int           `help:"Configuration changes to measure before the load." default:"4"`
	JSON     bool          `help:"Print the measurements as JSON."`
}

// capacityPoint is the measured cost of the control plane with one number of
// hosts. The costs of a request exclude those of idle hosts. CPU times are
// those of the whole process with its stand-ins and load generator: IdleCPU in
// cores for each host, CPUPerRequest in microseconds. The fields are the JSON
// format.
type capacityPoint struct {
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
	GoodFraction      float64 `json:"goodPart"`
}

// Run measures each number of hosts and prints the results.
func (c capacityCmd) Run() error {
	var points []capacityPoint
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
		fmt.Fprintf(t, "%d\t%d\t%.0f\t%.1f\t%.2f\t%.1f\t%.0f\t%.0f\t%.1f\t%.1f\t%.0f\t%.1f\t\n", p.Hosts, p.Upstreams, p.IdleBytes, p.IdleWrites, 100*p.IdleCPU, p.RequestsPerSecond, p.BytesPerRequest, p.CPUPerRequest, p.MegabytesPerHost, p.PlatformReads, p.ChangeMs, 100*p.GoodFraction)
	}
	return t.Flush()
}

// capacityTrial returns the document and the scenario for n hosts.
func capacityTrial(n int) (doc contract.Document, s testbed.Scenario) {
	doc = contract.Document{
		Version:    1,
		Regions:    []contract.Region{{Name: "r1"}},
		Tiers:      []contract.Tier{{Name: "first", WaitSeconds: 20}, {Name: "second", WaitSeconds: 20}, {Name: "third", WaitSeconds: 20}},
		Workspaces: []contract.Workspace{{Name: "w1", Tier: "first"}, {Name: "w2", Tier: "second"}, {Name: "w3", Tier: "third"}},
	}
	s = testbed.Scenario{
		Generations:      map[string]testbed.Speed{"g1": {PrefillMsPerToken: 0.01, TokenMs: 4, BatchSlowdown: 0.01, MaxBatch: slotsPerUpstream}},
		ColdSeconds:      1,
		ReportLagSeconds: 0.3,
	}
	for i := range 3 {
		doc.Domains = append(doc.Domains, contract.Domain{Name: fmt.Sprintf("d%d", i), Region: "r1"})
	}
	for i := range capacityModels {
		model := fmt.Sprintf("m%d", i)
		doc.Models = append(doc.Models, contract.Model{Name: model, ContextTokens: 8192, OutputTokens: 32})
		s.Callers = append(s.Callers, testbed.Caller{Workspace: fmt.Sprintf("w%d", i+1), Model: model, Weight: 1, PromptTokens: [2]int{20, 2000}, OutputTokens: [2]int{4, 64}, Prefixes: 4})
	}
	for i := range n {
		s.Hosts = append(s.Hosts, testbed.HostSpec{Name: fmt.Sprintf("h%d", i), Domain: fmt.Sprintf("d%d", i%3)})
	}
	for i := range n * upstreamsPerHost {
		doc.Upstreams = append(doc.Upstreams, contract.Upstream{
			Name: fmt.Sprintf("u%d", i), Domain: fmt.Sprintf("d%d", i%3), Models: []string{fmt.Sprintf("m%d", i%capacityModels)},
			ColdLimit: 4, Limit: slotsPerUpstream, WarmUpSeconds: 1, Generation: "g1",
		})
	}
	return doc, s
}

// usage holds the resources that the process has used up to a time: bytes that
// the control plane has sent and received, its writes, CPU time and reads of the
// platform.
type usage struct {
	at     time.Time
	bytes  int64
	writes int64
	cpu    time.Duration
	reads  int
}

// currentUsage returns the resources used so far.
func currentUsage(tb *testbed.Testbed) (u usage) {
	for _, h := range tb.Hosts() {
		s := h.Daemon().Status()
		u.bytes += s.ControlBytesSent + s.ControlBytesReceived
		u.writes += s.ControlWrites
	}
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	u.cpu = time.Duration(r.Utime.Nano() + r.Stime.Nano())
	u.at, u.reads = time.Now(), tb.Platform().Reads()
	return u
}

// measure runs a trial with n hosts, first without load, then with
// configuration changes, then under load.
func (c capacityCmd) measure(n int) (p capacityPoint, err error) {
	doc, s := capacityTrial(n)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	tb, err := testbed.New(doc, s, true, testbed.WithWarmEngines(true), testbed.WithLease(capacityListLag, capacityLeaseTTL))
	if err != nil {
		return p, err
	}
	defer tb.Close()
	hosts := float64(n)
	idleStart := currentUsage(tb)
	time.Sleep(idlePeriod)
	idleEnd := currentUsage(tb)
	seconds := idleEnd.at.Sub(idleStart.at).Seconds()
	p = capacityPoint{Hosts: n, Upstreams: len(doc.Upstreams)}
	p.IdleBytes = float64(idleEnd.bytes-idleStart.bytes) / seconds / hosts
	p.IdleWrites = float64(idleEnd.writes-idleStart.writes) / seconds / hosts
	p.IdleCPU = (idleEnd.cpu - idleStart.cpu).Seconds() / seconds / hosts
	p.PlatformReads = float64(idleEnd.reads-idleStart.reads) / seconds
	p.ChangeMs, err = c.measureChanges(tb)
	if err != nil {
		return p, err
	}
	loadStart := currentUsage(tb)
	tally := tallier.New()
	b := loader.NewBalancer(tb)
	loader.New(tb, b, tally, 1, b.Ticket).Run(context.Background(), c.PerHost*hosts, c.Duration)
	loadEnd := currentUsage(tb)
	runtime.GC()
	runtime.ReadMemStats(&after)
	p.MegabytesPerHost = float64(after.HeapInuse-before.HeapInuse) / hosts / (1 << 20)
	seconds = loadEnd.at.Sub(loadStart.at).Seconds()
	issued, good := 0, 0
	for _, t := range tally.Report(c.Duration, nil).Tiers {
		issued += t.Issued
		good += t.Good
	}
	requests := float64(max(issued, 1))
	p.RequestsPerSecond = requests / seconds / hosts
	p.BytesPerRequest = (float64(loadEnd.bytes-loadStart.bytes) - p.IdleBytes*hosts*seconds) / requests
	p.CPUPerRequest = ((loadEnd.cpu - loadStart.cpu).Seconds() - p.IdleCPU*hosts*seconds) / requests * 1e6
	p.GoodFraction = float64(good) / requests
	return p, nil
}

// measureChanges publishes c.Changes changes, one after the other, and returns
// the longest time until one was in force on every host, in milliseconds.
func (c capacityCmd) measureChanges(tb *testbed.Testbed) (longest float64, err error) {
	for i := range c.Changes {
		start := time.Now()
		if err := tb.Change(func(d *contract.Document) { d.Limits.Queue = 1000 + i }); err != nil {
			return 0, err
		}
		for !tb.InForce() {
			time.Sleep(5 * time.Millisecond)
			if time.Since(start) > changeTimeout {
				return 0, fmt.Errorf("change %d is not in force on every host after %v", i, changeTimeout)
			}
		}
		longest = max(longest, float64(time.Since(start).Microseconds())/1000)
	}
	return longest, nil
}

// changeTimeout limits the time until a change is in force on every host.
const changeTimeout = 30 * time.Second
