// Package baseliner holds simple ways to spread requests, to compare with:
// round robin, least load by stale reports, and one queue first come first
// served. They know no tiers, tickets or cold starts.
package baseliner

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/samber/lo"

	"foxtaillug.org/contract"
	"foxtaillug.org/foxtailtry/loader"
)

const (
	// connections bounds the idle connections to one upstream.
	connections = 512
	// lookEvery is how often load reports are read.
	lookEvery = 250 * time.Millisecond
)

// Names are the baselines.
var Names = []string{"roundRobin", "leastLoad", "oneQueue"}

// backend is an upstream as a baseline sees it.
type backend struct {
	address  string
	limit    int
	inflight int
	reported int
}

// Baseline sends requests straight to upstreams.
type Baseline struct {
	name   string
	client *http.Client

	mu    sync.Mutex
	freed *sync.Cond
	pools map[string][]*backend
	next  map[string]int
	queue map[string][]chan *backend
}

// New returns a baseline over a document's upstreams. Ctx ends the reading of
// load reports.
func New(ctx context.Context, name string, doc contract.Document) *Baseline {
	b := &Baseline{
		name:   name,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: connections}},
		pools:  make(map[string][]*backend),
		next:   make(map[string]int),
		queue:  make(map[string][]chan *backend),
	}
	b.freed = sync.NewCond(&b.mu)
	for _, u := range doc.Upstreams {
		pool := string(contract.ServicePool(u.Service))
		if u.Service == "" {
			pool = u.Models[0]
		}
		x := &backend{address: u.Address, limit: u.Limit}
		b.pools[pool] = append(b.pools[pool], x)
		if u.Service == "" && name == "leastLoad" {
			go b.look(ctx, x)
		}
	}
	return b
}

// look reads an engine's load reports.
func (b *Baseline) look(ctx context.Context, x *backend) {
	for ctx.Err() == nil {
		if resp, err := b.client.Get("http://" + x.address + "/load"); err == nil {
			var l struct {
				Running int `json:"running"`
			}
			if json.NewDecoder(resp.Body).Decode(&l) == nil {
				b.mu.Lock()
				x.reported = l.Running
				b.mu.Unlock()
			}
			_ = resp.Body.Close()
		}
		time.Sleep(lookEvery)
	}
}

// pick chooses an upstream. One queue waits for a free one in order.
func (b *Baseline) pick(ctx context.Context, pool string) *backend {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := b.pools[pool]
	switch b.name {
	case "leastLoad":
		return lo.MinBy(all, func(x, y *backend) bool { return x.reported < y.reported })
	case "oneQueue":
		return b.wait(ctx, pool)
	default:
		b.next[pool]++
		return all[b.next[pool]%len(all)]
	}
}

// wait takes a place in the queue and waits for a free upstream. The caller
// holds mu.
func (b *Baseline) wait(ctx context.Context, pool string) *backend {
	if len(b.queue[pool]) == 0 {
		if x, ok := lo.Find(b.pools[pool], func(x *backend) bool { return x.inflight < x.limit }); ok {
			x.inflight++
			return x
		}
	}
	turn := make(chan *backend, 1)
	b.queue[pool] = append(b.queue[pool], turn)
	b.mu.Unlock()
	defer b.mu.Lock()
	select {
	case x := <-turn:
		return x
	case <-ctx.Done():
		return <-turn
	}
}

// done gives an upstream to the next in the queue.
func (b *Baseline) done(pool string, x *backend) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.name != "oneQueue" {
		return
	}
	if q := b.queue[pool]; len(q) > 0 {
		q[0] <- x
		b.queue[pool] = q[1:]
		return
	}
	x.inflight--
}

// released calls a function when a body is closed.
type released struct {
	io.ReadCloser
	once sync.Once
	do   func()
}

// Close closes the body.
func (r *released) Close() error {
	r.once.Do(r.do)
	return r.ReadCloser.Close()
}

// Do sends a request straight to an upstream.
func (b *Baseline) Do(ctx context.Context, w loader.Work) (*http.Response, error) {
	x := b.pick(ctx, w.Pool)
	path := w.Path
	if w.Ticket != "" {
		path = "/bookings"
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+x.address+path, bytes.NewReader(w.Body))
	if err != nil {
		b.done(w.Pool, x)
		return nil, err
	}
	resp, err := b.client.Do(req)
	if err != nil {
		b.done(w.Pool, x)
		return nil, err
	}
	if w.Ticket != "" {
		resp.Header.Set("Foxtail-Outcome", "complete")
	}
	resp.Body = &released{ReadCloser: resp.Body, do: func() { b.done(w.Pool, x) }}
	return resp, nil
}
