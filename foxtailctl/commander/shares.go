package commander

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"text/tabwriter"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/rotisserie/eris"
)

// maxMetricsBytes is the maximum size of a host's metrics. 4 gauges of 130 bytes for 2,000
// workspaces in 13 pools are 14 MB.
const maxMetricsBytes = 64 << 20

// sharesCmd shows shares by workspace and the state of pools, from the metrics of hosts.
type sharesCmd struct {
	Hosts []string `help:"IP addresses and ports at which hosts serve /metrics, separated by commas. Only coordinators count." required:"" env:"FOXTAILCTL_HOSTS" sep:","`
	Pool  string   `help:"Show only this pool, named as in the metrics: with _ for all but letters and digits."`
}

// poolState is the state of a pool's upstreams, summed over the coordinators.
type poolState struct {
	Pool    string `json:"pool"`
	Serving int    `json:"serving"`
	Cold    int    `json:"cold"`
	Ejected int    `json:"ejected"`
	Out     int    `json:"out"`
	Paced   int    `json:"paced"`
	// WorkRate is in slot seconds a second.
	WorkRate float64 `json:"workRate"`
}

// workspaceShare is the recent work of a workspace in a pool, in slot seconds. Each
// coordinator knows that of all failure domains, so the largest value counts.
type workspaceShare struct {
	Pool      string  `json:"pool"`
	Workspace string  `json:"workspace"`
	Asked     float64 `json:"asked"`
	Served    float64 `json:"served"`
	// Refused is the work asked and not served: refused, withdrawn or still waiting.
	Refused float64 `json:"refused"`
	// Owed is the work up to the fair level that was asked and not served.
	Owed float64 `json:"owed"`
	Over bool    `json:"over"`
}

// sharesReport is the result of the command.
type sharesReport struct {
	Pools       []*poolState      `json:"pools"`
	Workspaces  []*workspaceShare `json:"workspaces"`
	Unreachable []string          `json:"unreachable,omitempty"`
}

// metrics are the metrics of a host by name.
type metrics map[string]*dto.MetricFamily

// getMetrics gets the metrics of a host.
func getMetrics(host string) (m metrics, err error) {
	defer func() {
		if err != nil {
			err = eris.Wrapf(err, "get metrics of %s", host)
		}
	}()
	client := http.Client{Timeout: callTimeout}
	resp, err := client.Get("http://" + host + "/metrics")
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, eris.New(resp.Status)
	}
	var p expfmt.TextParser
	return p.TextToMetricFamilies(io.LimitReader(resp.Body, maxMetricsBytes))
}

// each calls handle for each gauge with a name, with its labels.
func (m metrics) each(name string, handle func(labels map[string]string, value float64)) {
	for _, x := range m["foxtail_"+name].GetMetric() {
		labels := make(map[string]string)
		for _, l := range x.GetLabel() {
			labels[l.GetName()] = l.GetValue()
		}
		handle(labels, x.GetGauge().GetValue())
	}
}

// coordinates reports whether the host is a coordinator.
func (m metrics) coordinates() (yes bool) {
	m.each("coordinating", func(_ map[string]string, v float64) { yes = v == 1 })
	return yes
}

// sharesTotals adds up the metrics of coordinators.
type sharesTotals struct {
	pools      map[string]*poolState
	workspaces map[[2]string]*workspaceShare
}

// add adds the metrics of a coordinator.
func (t *sharesTotals) add(m metrics) {
	for name, set := range map[string]func(*poolState, float64){
		"pool_upstreams_serving": func(p *poolState, v float64) { p.Serving += int(v) },
		"pool_upstreams_cold":    func(p *poolState, v float64) { p.Cold += int(v) },
		"pool_upstreams_ejected": func(p *poolState, v float64) { p.Ejected += int(v) },
		"pool_upstreams_out":     func(p *poolState, v float64) { p.Out += int(v) },
		"pool_upstreams_paced":   func(p *poolState, v float64) { p.Paced += int(v) },
		"pool_work_rate":         func(p *poolState, v float64) { p.WorkRate += v },
	} {
		m.each(name, func(labels map[string]string, v float64) {
			pool := labels["pool"]
			if t.pools[pool] == nil {
				t.pools[pool] = &poolState{Pool: pool}
			}
			set(t.pools[pool], v)
		})
	}
	for name, set := range map[string]func(*workspaceShare, float64){
		"workspace_work_asked":  func(w *workspaceShare, v float64) { w.Asked = max(w.Asked, v) },
		"workspace_work_served": func(w *workspaceShare, v float64) { w.Served = max(w.Served, v) },
		"workspace_work_owed":   func(w *workspaceShare, v float64) { w.Owed = max(w.Owed, v) },
		"workspace_over_share":  func(w *workspaceShare, v float64) { w.Over = w.Over || v > 0 },
	} {
		m.each(name, func(labels map[string]string, v float64) {
			k := [2]string{labels["pool"], labels["workspace"]}
			if t.workspaces[k] == nil {
				t.workspaces[k] = &workspaceShare{Pool: k[0], Workspace: k[1]}
			}
			set(t.workspaces[k], v)
		})
	}
}

// report returns the totals of one pool, or all if it is empty: pools by name, and
// workspaces by the work that they asked for. Those that are no longer among the busiest
// have zeros and are left out.
func (t *sharesTotals) report(pool string) sharesReport {
	r := sharesReport{Pools: []*poolState{}, Workspaces: []*workspaceShare{}}
	for _, name := range slices.Sorted(maps.Keys(t.pools)) {
		if pool == "" || pool == name {
			r.Pools = append(r.Pools, t.pools[name])
		}
	}
	for _, w := range t.workspaces {
		if (pool == "" || pool == w.Pool) && w.Asked+w.Served > 0 {
			w.Refused = max(0, w.Asked-w.Served)
			r.Workspaces = append(r.Workspaces, w)
		}
	}
	slices.SortFunc(r.Workspaces, func(a, b *workspaceShare) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), -cmp.Compare(a.Asked, b.Asked), cmp.Compare(a.Workspace, b.Workspace))
	})
	return r
}

// Run prints the shares and pools that the coordinators among the hosts report.
func (c sharesCmd) Run(o output) error {
	t := sharesTotals{pools: make(map[string]*poolState), workspaces: make(map[[2]string]*workspaceShare)}
	var unreachable []string
	coordinators := 0
	for _, host := range c.Hosts {
		m, err := getMetrics(host)
		if err != nil {
			unreachable = append(unreachable, host)
			continue
		}
		if m.coordinates() {
			coordinators++
			t.add(m)
		}
	}
	switch {
	case len(unreachable) == len(c.Hosts):
		return errUnreachable
	case coordinators == 0:
		return eris.Wrap(errInvalid, "no host that answered is a coordinator; name more hosts")
	}
	r := t.report(c.Pool)
	r.Unreachable = unreachable
	return o.print(r, r.write)
}

// write prints the report as tables.
func (r sharesReport) write(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "POOL\tSERVING\tCOLD\tEJECTED\tOUT\tPACED\tWORK RATE")
	for _, p := range r.Pools {
		_, _ = fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%.1f\n", p.Pool, p.Serving, p.Cold, p.Ejected, p.Out, p.Paced, p.WorkRate)
	}
	_ = t.Flush()
	_, _ = fmt.Fprintln(t, "\nPOOL\tWORKSPACE\tASKED\tSERVED\tREFUSED\tOWED\tSHARE")
	for _, x := range r.Workspaces {
		share := "within"
		if x.Over {
			share = "over"
		}
		_, _ = fmt.Fprintf(t, "%s\t%s\t%.1f\t%.1f\t%.1f\t%.1f\t%s\n", x.Pool, x.Workspace, x.Asked, x.Served, x.Refused, x.Owed, share)
	}
	_ = t.Flush()
	for _, host := range r.Unreachable {
		_, _ = fmt.Fprintf(w, "%s gave no metrics; what it coordinates is missing\n", host)
	}
}
