// Package reporter makes what a host does visible: metrics by tally for
// Prometheus, traces by OpenTelemetry, and the last requests for explain.
package reporter

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"foxtaillug.org/contract"
)

const (
	// scopeEvery is how often metrics are handed to their reporter.
	scopeEvery = time.Second
	// remembered is how many requests explain knows.
	remembered = 4096
)

// latencyBuckets are the bounds of latency histograms.
var latencyBuckets = tally.DurationBuckets{
	time.Millisecond, 5 * time.Millisecond, 20 * time.Millisecond, 45 * time.Millisecond,
	100 * time.Millisecond, 300 * time.Millisecond, time.Second, 1900 * time.Millisecond,
	5 * time.Second, 20 * time.Second, 60 * time.Second,
}

// Reporter collects one host's metrics, traces and explanations. It is safe
// for concurrent use.
type Reporter struct {
	scope    tally.Scope
	closer   io.Closer
	metrics  http.Handler
	provider *sdktrace.TracerProvider
	tracer   trace.Tracer

	mu      sync.Mutex
	entries map[string]*contract.Explanation
	order   [remembered]string
	next    int
}

// Option sets a detail of a Reporter.
type Option func(*options)

// options are the details of a Reporter.
type options struct {
	otlp    string
	file    io.Writer
	sampled float64
}

// WithOTLP exports traces to an OTLP/HTTP endpoint, given as a URL.
func WithOTLP(endpoint string) Option {
	return func(o *options) { o.otlp = endpoint }
}

// WithTraceWriter exports traces as JSON lines.
func WithTraceWriter(w io.Writer) Option {
	return func(o *options) { o.file = w }
}

// WithSampling sets the part of requests that are traced without their
// caller asking for it.
func WithSampling(part float64) Option {
	return func(o *options) { o.sampled = part }
}

// New returns the reporter of a host.
func New(host string, opts ...Option) (r *Reporter, err error) {
	defer func() {
		if err != nil {
			err = eris.Wrap(err, "reporter")
		}
	}()
	var o options
	for _, opt := range opts {
		opt(&o)
	}
	registry := prom.NewRegistry()
	metrics := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          "foxtail",
		Tags:            map[string]string{"host": host},
		CachedReporter:  metrics,
		Separator:       prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, scopeEvery)
	r = &Reporter{scope: scope, closer: closer, metrics: metrics.HTTPHandler(), entries: make(map[string]*contract.Explanation)}
	if err := r.startTraces(host, o); err != nil {
		return nil, err
	}
	return r, nil
}

// startTraces sets up the exporters.
func (r *Reporter) startTraces(host string, o options) error {
	settings := []sdktrace.TracerProviderOption{
		sdktrace.WithResource(resource.NewSchemaless(attribute.String("service.name", "foxtaild"), attribute.String("host.name", host))),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(o.sampled))),
	}
	if o.otlp != "" {
		exporter, err := otlptracehttp.New(context.Background(), otlptracehttp.WithEndpointURL(o.otlp))
		if err != nil {
			return err
		}
		settings = append(settings, sdktrace.WithBatcher(exporter))
	}
	if o.file != nil {
		exporter, err := stdouttrace.New(stdouttrace.WithWriter(o.file))
		if err != nil {
			return err
		}
		settings = append(settings, sdktrace.WithBatcher(exporter))
	}
	r.provider = sdktrace.NewTracerProvider(settings...)
	r.tracer = r.provider.Tracer("foxtaillug.org/foxtaild")
	return nil
}

// Tracer returns the tracer for spans of this host.
func (r *Reporter) Tracer() trace.Tracer { return r.tracer }

// Propagator returns how trace contexts travel: W3C.
func (r *Reporter) Propagator() propagation.TextMapPropagator { return propagation.TraceContext{} }

// Metrics returns the handler that Prometheus reads.
func (r *Reporter) Metrics() http.Handler { return r.metrics }

// SetGauge sets a gauge.
func (r *Reporter) SetGauge(name string, tags map[string]string, value float64) {
	r.scope.Tagged(tags).Gauge(name).Update(value)
}

// Gauge is one figure of a subsystem.
type Gauge struct {
	Name string
	// Tags tell figures of one name apart; their values are of a bounded set,
	// such as the pools of the configuration.
	Tags  map[string]string
	Value float64
}

// Source is a subsystem that has figures.
type Source interface {
	Gauges() []Gauge
}

// Collect sets the gauges of sources every second until ctx ends.
func (r *Reporter) Collect(ctx context.Context, sources ...Source) {
	tick := time.NewTicker(scopeEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for _, s := range sources {
			for _, g := range s.Gauges() {
				r.SetGauge(g.Name, g.Tags, g.Value)
			}
		}
	}
}

// RecordRequest counts a request that has ended and keeps it for explain.
func (r *Reporter) RecordRequest(e contract.Explanation) {
	tags := map[string]string{"tier": e.Tier, "outcome": e.Outcome, "reason": e.Reason}
	r.scope.Tagged(tags).Counter("requests").Inc(1)
	r.scope.Tagged(map[string]string{"tier": e.Tier}).Histogram("total", latencyBuckets).RecordDuration(time.Duration(e.TotalMs) * time.Millisecond)
	r.scope.Tagged(map[string]string{"tier": e.Tier}).Histogram("grant_wait", latencyBuckets).RecordDuration(time.Duration(e.WaitedMs) * time.Millisecond)
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.entries, r.order[r.next])
	r.order[r.next] = e.RequestID
	r.next = (r.next + 1) % remembered
	r.entries[e.RequestID] = &e
}

// Observe counts a forwarded request; first is the time to its first event, 0
// if none came. It is a forwarder's observer.
func (r *Reporter) Observe(e contract.Explanation, first time.Duration) {
	r.RecordRequest(e)
	if first > 0 {
		r.RecordFirstToken(e.Tier, first)
	}
}

// RecordFirstToken records the time to a first token.
func (r *Reporter) RecordFirstToken(tier string, d time.Duration) {
	r.scope.Tagged(map[string]string{"tier": tier}).Histogram("first_token", latencyBuckets).RecordDuration(d)
}

// Explain returns what is known of a request.
func (r *Reporter) Explain(id string) (contract.Explanation, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.entries[id]
	if !ok {
		return contract.Explanation{}, false
	}
	return *e, true
}

// Close hands over what is left.
func (r *Reporter) Close(ctx context.Context) error {
	return eris.Wrap(lastError(r.provider.Shutdown(ctx), r.closer.Close()), "close reporter")
}

// lastError returns the last of errs that is not nil.
func lastError(errs ...error) (last error) {
	for _, err := range errs {
		if err != nil {
			last = err
		}
	}
	return last
}
