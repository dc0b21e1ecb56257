// Program foxtailtry runs hosts and stand-ins inside one process on loopback,
// sends a seeded load, takes a failure domain out and back in, and reports
// goodput by tier, wasted prefill and service during the change.
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
	"foxtaillug.org/foxtailtry/world"
	"foxtaillug.org/standin/engine"
)

// defaultExample is what runs when no directory is given.
const defaultExample = "examples/benjelloun"

// ownPolicy is the name of this project's own way.
const ownPolicy = "foxtaillug"

// graceAfterDrain is how long upstreams may still get work after they were
// taken out.
const graceAfterDrain = 3 * time.Second

// Parts of a trial's length at which a failure domain leaves and returns.
const (
	leavesAt  = 0.35
	returnsAt = 0.65
)

// commandLine is the program's commands.
type commandLine struct {
	Run      runCmd      `cmd:"" default:"withargs" help:"Run an example under load."`
	Capacity capacityCmd `cmd:"" help:"Measure how control grows with the number of hosts."`
}

// runCmd runs an example under load.
type runCmd struct {
	Example  string        `arg:"" optional:"" help:"Directory with config.yaml and scenario.yaml; examples/benjelloun if none is given." type:"existingdir"`
	Duration time.Duration `help:"Length of the load." default:"20s"`
	Load     float64       `help:"Load, as a multiple of the scenario's." default:"1"`
	Seed     uint64        `help:"Seed of the load." default:"1"`
	Policy   string        `help:"foxtaillug or a baseline: roundRobin, leastLoad, oneQueue." default:"foxtaillug" enum:"foxtaillug,roundRobin,leastLoad,oneQueue"`
	NoDrain  bool          `help:"Take no failure domain out."`
	Warm     bool          `help:"Start all engines warm."`
	JSON     bool          `help:"Print the report as JSON."`
	Plot     string        `help:"Draw goodput by tier over time to this SVG or PNG file."`
	Log      string        `help:"Write the daemons' logs to this file."`
}

// Validate checks the flags.
func (c runCmd) Validate() error {
	if c.Duration < time.Second || c.Load <= 0 {
		return eris.New("--duration must be at least 1s and --load above 0")
	}
	return nil
}

func main() {
	var cli commandLine
	k := kong.Parse(&cli, kong.Name("foxtailtry"), kong.Description("Runs hosts and stand-ins in one process and measures them under load."))
	k.FatalIfErrorf(k.Run())
}

// Run runs the trial and prints its report.
func (c runCmd) Run() error {
	r, err := c.trial()
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

// trial runs the trial.
func (c runCmd) trial() (r tallier.Report, err error) {
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
	s, err := world.ReadScenario(filepath.Join(c.Example, "scenario.yaml"))
	if err != nil {
		return r, err
	}
	opts := []world.Option{world.WithWarmEngines(c.Warm)}
	if c.Log != "" {
		f, err := os.Create(c.Log)
		if err != nil {
			return r, err
		}
		defer func() { _ = f.Close() }()
		opts = append(opts, world.WithLog(f))
	}
	w, err := world.New(doc, s, c.Policy == ownPolicy, opts...)
	if err != nil {
		return r, err
	}
	defer w.Close()
	return c.measure(w)
}

// measure sends the load and makes the report.
func (c runCmd) measure(w *world.World) (r tallier.Report, err error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var target loader.Target
	ticket := func(context.Context, string) (string, error) { return "none", nil }
	if c.Policy == ownPolicy {
		b := loader.NewBalancer(w)
		target, ticket = b, b.Ticket
	} else {
		target = baseliner.New(ctx, c.Policy, w.Document())
	}
	tally := tallier.New()
	go c.progress(ctx, tally)
	change := c.startChange(w)
	loader.New(w, target, tally, c.Seed, ticket).Run(ctx, c.Load*w.Scenario().RequestsPerSecond, c.Duration)
	newWork := change()
	doubled, runs := w.Doubled()
	r = tally.Report(c.Duration, runs)
	r.BookingsDoubled = max(r.BookingsDoubled, doubled)
	r.Policy, r.Load, r.Seed = c.Policy, c.Load, c.Seed
	r.PrefillTokens, r.WastedTokens = w.Prefill()
	r.WastedPart = float64(r.WastedTokens) / float64(max(r.PrefillTokens, 1))
	r.EngineOverloads = lo.SumBy(lo.Values(w.Engines()), func(e *engine.Engine) int { return e.Stats().Overloads })
	for _, h := range w.Hosts() {
		r.ControlBytes += h.Daemon().Status().ControlBytesSent
	}
	if c.drains() {
		r.Drained, r.NewWorkAfter = w.Scenario().Drain, newWork
		r.DrainFrom, r.DrainTo = leavesAt*c.Duration.Seconds(), returnsAt*c.Duration.Seconds()
	}
	return r, nil
}

// drains reports whether a failure domain leaves in this trial.
func (c runCmd) drains() bool { return !c.NoDrain && c.Policy == ownPolicy }

// startChange takes a failure domain out and back in while the load runs. The
// returned function waits for that and returns how many requests the domain's
// engines started in the time in which they should have got none.
func (c runCmd) startChange(w *world.World) func() int {
	if !c.drains() || w.Scenario().Drain == "" {
		return func() int { return 0 }
	}
	over := make(chan int, 1)
	go func() {
		time.Sleep(time.Duration(leavesAt * float64(c.Duration)))
		if err := w.Drain(w.Scenario().Drain); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
		out := time.Duration((returnsAt - leavesAt) * float64(c.Duration))
		time.Sleep(min(graceAfterDrain, out))
		before := started(w)
		time.Sleep(out - min(graceAfterDrain, out))
		newWork := started(w) - before
		if err := w.Drain(""); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
		over <- newWork
	}()
	return func() int { return <-over }
}

// started counts the requests that engines of the drained domain have started.
func started(w *world.World) (n int) {
	for _, u := range w.Document().Upstreams {
		if e, ok := w.Engines()[u.Name]; ok && u.Domain == w.Scenario().Drain {
			n += e.Stats().Started
		}
	}
	return n
}

// progress prints a live line to standard error.
func (c runCmd) progress(ctx context.Context, t *tallier.Tallier) {
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
