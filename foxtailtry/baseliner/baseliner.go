// Package baseliner implements simple load balancing policies as baselines:
// round robin, least load by delayed load reports, and a single
// first-come-first-served queue for each pool. They ignore tiers, tickets and
// cold starts.
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
	// maxIdleConns limits the idle connections to one upstream.
	maxIdleConns = 512
	// loadPollInterval is the time between two reads of a load report.
	loadPollInterval = 250 * time.Millisecond
)

// Names are the names of the baseline policies.
var Names = []string{"roundRobin", "leastLoad", "oneQueue"}

// upstream is what a baseline knows of an upstream.
type upstream struct {
	address      string
	limit        int
	inflight     int
	reportedLoad int
}

// Baseline sends requests directly to upstreams, without a host in between.
type Baseline struct {
	policy string
	client *http.Client

	mu    sync.Mutex
	freed *sync.Cond
	pools map[string][]*upstream
	next  map[string]int
	queue map[string][]chan *upstream
}

// New returns a baseline for the upstreams of a document. It polls load
// reports until ctx is done.
func New(ctx context.Context, policy string, doc contract.Document) *Baseline {
	b := &Baseline{
		policy: policy,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns}},
		pools:  make(map[string][]*upstream),
		next:   make(map[string]int),
		queue:  make(map[string][]chan *upstream),
	}
	b.freed = sync.NewCond(&b.mu)
	for _, u := range doc.Upstreams {
		pool := string(contract.ServicePool(u.Service))
		if u.Service == "" {
			pool = u.Models[0]
		}
		x := &upstream{address: u.Address, limit: u.Limit}
		b.pools[pool] = append(b.pools[pool], x)
		if u.Service == "" && policy == "leastLoad" {
			go b.pollLoad(ctx, x)
		}
	}
	return b
}

// pollLoad reads the load reports of an engine until ctx is done.
func (b *Baseline) pollLoad(ctx context.Context, u *upstream) {
	for ctx.Err() == nil {
		if resp, err := b.client.Get("http://" + u.address + "/load"); err == nil {
			var l struct {
				Running int `json:"running"`
			}
			if json.NewDecoder(resp.Body).Decode(&l) == nil {
				b.mu.Lock()
				u.reportedLoad = l.Running
				b.mu.Unlock()
			}
			_ = resp.Body.Close()
		}
		time.Sleep(loadPollInterval)
	}
}

// pick chooses an upstream of a pool. With the policy oneQueue it waits in the
// queue for a free one.
func (b *Baseline) pick(ctx context.Context, pool string) *upstream {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := b.pools[pool]
	switch b.policy {
	case "leastLoad":
		return lo.MinBy(all, func(x, y *upstream) bool { return x.reportedLoad < y.reportedLoad })
	case "oneQueue":
		return b.waitInQueue(ctx, pool)
	default:
		b.next[pool]++
		return all[b.next[pool]%len(all)]
	}
}

// waitInQueue returns a free upstream, in order of arrival. The caller holds
// mu, which is released while it waits. It waits even after ctx is done, because
// an upstream that is granted to a request that no longer waits would be lost.
func (b *Baseline) waitInQueue(ctx context.Context, pool string) *upstream {
	if len(b.queue[pool]) == 0 {
		if u, ok := lo.Find(b.pools[pool], func(u *upstream) bool { return u.inflight < u.limit }); ok {
			u.inflight++
			return u
		}
	}
	granted := make(chan *upstream, 1)
	b.queue[pool] = append(b.queue[pool], granted)
	b.mu.Unlock()
	defer b.mu.Lock()
	select {
	case u := <-granted:
		return u
	case <-ctx.Done():
		return <-granted
	}
}

// release passes an upstream to the next request in the queue, or frees its slot
// if none waits. It does nothing for policies without a queue.
func (b *Baseline) release(pool string, u *upstream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.policy != "oneQueue" {
		return
	}
	if q := b.queue[pool]; len(q) > 0 {
		q[0] <- u
		b.queue[pool] = q[1:]
		return
	}
	u.inflight--
}

// notifyingBody is a response body that calls onClose once when it is closed.
type notifyingBody struct {
	io.ReadCloser
	once    sync.Once
	onClose func()
}

// Close closes the body and calls onClose.
func (b *notifyingBody) Close() error {
	b.once.Do(b.onClose)
	return b.ReadCloser.Close()
}

// Do sends a request directly to an upstream.
func (b *Baseline) Do(ctx context.Context, r loader.Request) (*http.Response, error) {
	u := b.pick(ctx, r.Pool)
	path := r.Path
	if r.Ticket != "" {
		path = "/bookings"
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+u.address+path, bytes.NewReader(r.Body))
	if err != nil {
		b.release(r.Pool, u)
		return nil, err
	}
	resp, err := b.client.Do(req)
	if err != nil {
		b.release(r.Pool, u)
		return nil, err
	}
	if r.Ticket != "" {
		resp.Header.Set("Foxtail-Outcome", "complete")
	}
	resp.Body = &notifyingBody{ReadCloser: resp.Body, onClose: func() { b.release(r.Pool, u) }}
	return resp, nil
}
