package daemon

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/samber/lo"

	"foxtaillug.org/contract"
	"foxtaillug.org/foxtaild/reporter"
)

// adminHeaderTimeout bounds the time to read a request's header.
const adminHeaderTimeout = 5 * time.Second

// Status returns the status of this host for operators.
func (d *Daemon) Status() contract.HostStatus {
	s := contract.HostStatus{
		Host:        d.settings.Host,
		Incarnation: string(d.incarnation),
		Ready:       d.Ready(),
		Stopping:    d.tracker.Stopping(),
		Conflict:    d.tracker.HasConflict(),
		Hosts:       len(d.tracker.Hosts()),
		InProgress:  d.receiver.InProgress(),
		Upstreams:   []contract.UpstreamStatus{},
	}
	s.ControlBytesSent, s.ControlBytesReceived, s.ControlWrites = d.messenger.Traffic()
	if cfg := d.tracker.Config(); cfg != nil {
		s.Version, s.Digest, s.InForceSince = cfg.Version().Number(), cfg.Version().Digest(), cfg.Since()
	}
	for _, u := range d.granter.Status() {
		s.Upstreams = append(s.Upstreams, contract.UpstreamStatus{
			Name: string(u.ID()), Slots: u.Slots(), Limit: u.Limit(), Running: u.Running(), Cold: u.Cold(), State: u.Closed(),
		})
	}
	return s
}

// serveAdmin serves the admin endpoints until ctx is done.
func (d *Daemon) serveAdmin(ctx context.Context) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /readyz", d.serveReady)
	mux.Handle("GET /metrics", d.reporter.Metrics())
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, d.Status()) })
	mux.HandleFunc("GET /explain/{id}", d.serveExplain)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: adminHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	go d.reporter.Collect(ctx, d)
	_ = server.Serve(d.listeners.admin)
}

// writeJSON writes a value as the JSON body of a response.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// serveReady reports to the load balancer whether to send callers to this host.
func (d *Daemon) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !d.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// serveExplain serves the explanation of a request: where it was sent and why.
func (d *Daemon) serveExplain(w http.ResponseWriter, r *http.Request) {
	e, ok := d.reporter.Explain(r.PathValue("id"))
	if !ok {
		http.Error(w, "this host does not know the request", http.StatusNotFound)
		return
	}
	writeJSON(w, e)
}

// Gauges returns metrics: the configuration, the requests in progress, the
// control traffic between hosts, and the upstreams of this host.
func (d *Daemon) Gauges() []reporter.Gauge {
	s := d.Status()
	return []reporter.Gauge{
		{Name: "config_version", Value: float64(s.Version)},
		{Name: "config_age_seconds", Value: time.Since(s.InForceSince).Seconds()},
		{Name: "in_progress", Value: float64(s.InProgress)},
		{Name: "control_bytes", Value: float64(s.ControlBytesSent + s.ControlBytesReceived)},
		{Name: "control_writes", Value: float64(s.ControlWrites)},
		{Name: "upstreams_cold", Value: float64(lo.CountBy(s.Upstreams, func(u contract.UpstreamStatus) bool { return u.Cold }))},
		{Name: "slots", Value: float64(lo.SumBy(s.Upstreams, func(u contract.UpstreamStatus) int { return u.Slots }))},
		{Name: "running", Value: float64(lo.SumBy(s.Upstreams, func(u contract.UpstreamStatus) int { return u.Running }))},
	}
}
