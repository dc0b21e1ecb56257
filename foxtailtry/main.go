// Program foxtailtry measures foxtaillug under load. A trial runs daemons and
// stand-ins in one process on loopback, sends a seeded load, drains a failure
// domain and puts it back in service, and reports goodput by tier, wasted
// prefill and the requests that the drained domain still started.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/alecthomas/kong"
	"github.com/rotisserie/eris"
	"github.com/samber/lo"

	"foxtaillug.org/contract/parser"
	"foxtaillug.org/foxtailtry/baseliner"
	"foxtaillug.org/foxtailtry/loader"
	"foxtaillug.org/foxtailtry/plotter"
	"foxtaillug.org/foxtailtry/tallier"
	"foxtaillug.org/foxtailtry/testbed"
	"foxtaillug.org/standin/engine"
)

// defaultExample is the example to run when no directory is given.
const defaultExample = "examples/benjelloun"

// foxtaillugPolicy is the policy that sends requests through the daemons. All
// other policies are baselines.
const foxtaillugPolicy = "foxtaillug"

// drainGracePeriod is the time after the start of a drain in which the drained
// upstreams may still start requests.
const drainGracePeriod = 3 * time.Second

// Start and end of the drain, as fractions of the duration of the load.
const (
	drainStartFraction = 0.35
	drainEndFraction   = 0.65
)

// commandLine holds the commands of the program.
type commandLine struct {
	Run      runCmd      `cmd:"" default:"withargs" help:"Run an example under load."`
	Capacity capacityCmd `cmd:"" help:"Measure how the cost of the control plane grows with the number of hosts."`
}

// runCmd runs an example under load.
type runCmd struct {
	Example  string        `arg:"" optional:"" help:"Directory with config.yaml and scenario.yaml; examples/benjelloun if none is given." type:"existingdir"`
	Duration time.Duration `help:"Duration of the load." default:"20s"`
	Load     float64       `help:"Request rate, as a multiple of the scenario's." default:"1"`
	Seed     uint64        `help:"Seed of the load." default:"1"`
	Policy   string        `help:"foxtaillug or a baseline: roundRobin, leastLoad, oneQueue." default:"foxtaillug" enum:"foxtaillug,roundRobin,leastLoad,oneQueue"`
	NoDrain  bool          `help:"Drain no failure domain."`
	Warm     bool          `help:"Start all engines warm."`
	JSON     bool          `help:"Print the report as JSON."`
	Plot     string        `help:"Draw goodput by tier over time to this SVG or PNG file."`
	Log      string        `help:"Write the daemons' logs to this file."`
}

// Validate checks the values of the flags.
func (c runCmd) Validate() error {
	if c.Duration < time.Second || c.Load <= 0 {
		return eris.New("--duration must be at least 1s and --load above 0")
	}
	return nil
}

func main() {
	var cli commandLine
	k := kong.Parse(&cli, kong.Name("foxtailtry"), kong.Description("Runs daemons and stand-ins in one process and measures them under load."))
	k.FatalIfErrorf(k.Run())
}

// Run runs a trial and prints its report.
func (c runCmd) Run() error {
	r, err := c.runTrial()
	if err != nil {
		return err
	}
	if c.Plot != "" {
		if err := plotter.Save(r, c.Plot); err != nil {
			return err
		}
	}
	if !c.JSON {
		r.Write(os.Stdout)
		return nil
	}
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	return e.Encode(r)
}

// runTrial reads the example, starts its testbed and measures it.
func (c runCmd) runTrial() (r tallier.Report, err error) {
	if c.Example == "" {
		c.Example = defaultExample
	}
	path := filepath.Join(c.Example, "config.yaml")
	text, err := os.ReadFile(path)
	if err != nil {
		return r, err
	}
	doc, err := parser.Parse(path, text)
	if err != nil {
		return r, err
	}
	s, err := testbed.ReadScenario(filepath.Join(c.Example, "scenario.yaml"))
	if err != nil {
		return r, err
	}
	opts := []testbed.Option{testbed.WithWarmEngines(c.Warm)}
	if c.Log != "" {
		f, err := os.Create(c.Log)
		if err != nil {
			return r, err
		}
		defer func() { _ = f.Close() }()
		opts = append(opts, testbed.WithLog(f))
	}
	tb, err := testbed.New(doc, s, c.Policy == foxtaillugPolicy, opts...)
	if err != nil {
		return r, err
	}
	defer tb.Close()
	return c.measure(tb)
}

// measure sends the load to the testbed and returns the report.
func (c runCmd) measure(tb *testbed.Testbed) (r tallier.Report, err error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var target loader.Target
	getTicket := func(context.Context, string) (string, error) { return "none", nil }
	if c.Policy == foxtaillugPolicy {
		b := loader.NewBalancer(tb)
		target, getTicket = b, b.Ticket
	} else {
		target = baseliner.New(ctx, c.Policy, tb.Document())
	}
	tally := tallier.New()
	go c.printProgress(ctx, tally)
	waitDrain := c.startDrain(tb)
	loader.New(tb, target, tally, c.Seed, getTicket).Run(ctx, c.Load*tb.Scenario().RequestsPerSecond, c.Duration)
	newRequests := waitDrain()
	doubled, runs := tb.BookingRuns()
	r = tally.Report(c.Duration, runs)
	r.BookingsDoubled = max(r.BookingsDoubled, doubled)
	r.Policy, r.Load, r.Seed = c.Policy, c.Load, c.Seed
	r.PrefillTokens, r.WastedPrefillTokens = tb.PrefillTokens()
	r.WastedPrefillFraction = float64(r.WastedPrefillTokens) / float64(max(r.PrefillTokens, 1))
	r.EngineOverloads = lo.SumBy(lo.Values(tb.Engines()), func(e *engine.Engine) int { return e.Stats().Overloads })
	for _, h := range tb.Hosts() {
		r.ControlBytes += h.Daemon().Status().ControlBytesSent
	}
	if c.drains() {
		r.DrainedDomain, r.NewRequestsAfterDrain = tb.Scenario().Drain, newRequests
		r.DrainFrom, r.DrainTo = drainStartFraction*c.Duration.Seconds(), drainEndFraction*c.Duration.Seconds()
	}
	return r, nil
}

// drains reports whether this trial drains the scenario's failure domain, if the
// scenario names one.
func (c runCmd) drains() bool { return !c.NoDrain && c.Policy == foxtaillugPolicy }

// startDrain drains the scenario's failure domain and puts it back in service
// while the load runs. The returned function waits until it is back in service
// and returns the number of requests that the domain's engines started between
// the grace period and the end of the drain; there should be none.
func (c runCmd) startDrain(tb *testbed.Testbed) func() int {
	if !c.drains() || tb.Scenario().Drain == "" {
		return func() int { return 0 }
	}
	result := make(chan int, 1)
	go func() {
		time.Sleep(time.Duration(drainStartFraction * float64(c.Duration)))
		if err := tb.Drain(tb.Scenario().Drain); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
		length := time.Duration((drainEndFraction - drainStartFraction) * float64(c.Duration))
		time.Sleep(min(drainGracePeriod, length))
		before := startedInDrainedDomain(tb)
		time.Sleep(length - min(drainGracePeriod, length))
		newRequests := startedInDrainedDomain(tb) - before
		if err := tb.Drain(""); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
		result <- newRequests
	}()
	return func() int { return <-result }
}

// startedInDrainedDomain returns the number of requests that the engines of
// the drained failure domain have started.
func startedInDrainedDomain(tb *testbed.Testbed) (n int) {
	for _, u := range tb.Document().Upstreams {
		if e, ok := tb.Engines()[u.Name]; ok && u.Domain == tb.Scenario().Drain {
			n += e.Stats().Started
		}
	}
	return n
}

// printProgress rewrites a progress line on standard error every second until
// ctx is done.
func (c runCmd) printProgress(ctx context.Context, t *tallier.Tallier) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			fmt.Fprint(os.Stderr, "\r\033[K")
			return
		case <-tick.C:
			fmt.Fprint(os.Stderr, "\r"+t.Progress())
		}
	}
}
