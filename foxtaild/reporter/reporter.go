// Package reporter provides a host's observability: metrics for Prometheus
// through tally, traces through OpenTelemetry, and explanations of the latest
// requests.
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
	// metricsInterval is the time between two collections of the metrics.
	metricsInterval = time.Second
	// maxExplanations is the number of requests whose explanations are kept.
	maxExplanations = 4096
)

// latencyBuckets are the bucket bounds of the latency histograms.
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

	mu sync.Mutex
	// explanations are keyed by the request's ID. order holds these IDs as a
	// ring buffer, in which next is the index of the oldest.
	explanations map[string]*contract.Explanation
	order        [maxExplanations]string
	next         int
}

// Option configures a Reporter.
type Option func(*options)

// options are the values that Options set.
type options struct {
	otlp        string
	file        io.Writer
	sampleRatio float64
}

// WithOTLP exports traces to the OTLP/HTTP endpoint at a URL.
func WithOTLP(endpoint string) Option {
	return func(o *options) { o.otlp = endpoint }
}

// WithTraceWriter writes traces to w as JSON lines.
func WithTraceWriter(w io.Writer) Option {
	return func(o *options) { o.file = w }
}

// WithSampling sets the fraction, from 0 to 1, of the requests without a trace
// context that are traced. For other requests the trace context decides.
func WithSampling(ratio float64) Option {
	return func(o *options) { o.sampleRatio = ratio }
}

// New returns the reporter of a host. The caller must call Close.
func New(host string, opts ...Option) (r *Reporter, err error) {
	defer func() {
		if err != nil {
			err = eris.Wrap(err, "create reporter")
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
	}, metricsInterval)
	r = &Reporter{scope: scope, closer: closer, metrics: metrics.HTTPHandler(), explanations: make(map[string]*contract.Explanation)}
	if err := r.startTraces(host, o); err != nil {
		return nil, err
	}
	return r, nil
}

// startTraces sets up the tracer and its exporters.
func (r *Reporter) startTraces(host string, o options) error {
	settings := []sdktrace.TracerProviderOption{
		sdktrace.WithResource(resource.NewSchemaless(attribute.String("service.name", "foxtaild"), attribute.String("host.name", host))),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(o.sampleRatio))),
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

// Tracer returns the tracer for the spans of this host.
func (r *Reporter) Tracer() trace.Tracer { return r.tracer }

// Propagator returns the propagator of trace contexts, which uses the W3C format.
func (r *Reporter) Propagator() propagation.TextMapPropagator { return propagation.TraceContext{} }

// Metrics returns the HTTP handler that Prometheus scrapes.
func (r *Reporter) Metrics() http.Handler { return r.metrics }

// SetGauge sets the gauge with a name and tags to a value.
func (r *Reporter) SetGauge(name string, tags map[string]string, value float64) {
	r.scope.Tagged(tags).Gauge(name).Update(value)
}

// Gauge is one metric of a subsystem.
type Gauge struct {
	Name string
	// Tags distinguish gauges of one name. Their values must be from a bounded
	// set, such as the pools of the configuration.
	Tags  map[string]string
	Value float64
}

// Source is a subsystem that provides gauges.
type Source interface {
	Gauges() []Gauge
}

// Collect updates the gauges of the sources every metricsInterval until ctx is
// done.
func (r *Reporter) Collect(ctx context.Context, sources ...Source) {
	tick := time.NewTicker(metricsInterval)
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

// RecordRequest counts a request that has ended, records its times and keeps its
// explanation.
func (r *Reporter) RecordRequest(e contract.Explanation) {
	tags := map[string]string{"tier": e.Tier, "outcome": e.Outcome, "reason": e.Reason}
	r.scope.Tagged(tags).Counter("requests").Inc(1)
	r.scope.Tagged(map[string]string{"tier": e.Tier}).Histogram("total", latencyBuckets).RecordDuration(time.Duration(e.TotalMs) * time.Millisecond)
	r.scope.Tagged(map[string]string{"tier": e.Tier}).Histogram("grant_wait", latencyBuckets).RecordDuration(time.Duration(e.WaitedMs) * time.Millisecond)
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.explanations, r.order[r.next])
	r.order[r.next] = e.RequestID
	r.next = (r.next + 1) % maxExplanations
	r.explanations[e.RequestID] = &e
}

// Observe records a forwarded request. first is the time to its first event, or 0
// if there was none. It is an observer for the forwarder.
func (r *Reporter) Observe(e contract.Explanation, first time.Duration) {
	r.RecordRequest(e)
	if first > 0 {
		r.RecordFirstToken(e.Tier, first)
	}
}

// RecordFirstToken records the time to the first token of a request.
func (r *Reporter) RecordFirstToken(tier string, d time.Duration) {
	r.scope.Tagged(map[string]string{"tier": tier}).Histogram("first_token", latencyBuckets).RecordDuration(d)
}

// Explain returns the explanation of a request, if it is still kept.
func (r *Reporter) Explain(id string) (contract.Explanation, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.explanations[id]
	if !ok {
		return contract.Explanation{}, false
	}
	return *e, true
}

// Close flushes and stops the exporters.
func (r *Reporter) Close(ctx context.Context) error {
	return eris.Wrap(lastError(r.provider.Shutdown(ctx), r.closer.Close()), "close reporter")
}

// lastError returns the last of errs that is not nil, or nil.
func lastError(errs ...error) (last error) {
	for _, err := range errs {
		if err != nil {
			last = err
		}
	}
	return last
}
