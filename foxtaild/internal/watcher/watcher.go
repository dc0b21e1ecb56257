// Package watcher reads the configuration and the host list from the platform and
// watches them for changes. It never writes to the platform. While the platform is
// unavailable, it retries with exponential backoff, and the configuration in force
// and the host list stay as they are.
package watcher

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"foxtaillug.org/contract/bundler"
	"foxtaillug.org/foxtaild/internal/tracker"
	"foxtaillug.org/scheduler"
)

const (
	// watchWait is the maximum time that the platform delays the response to a
	// watch until there is a change.
	watchWait = 20 * time.Second
	// responseTimeout bounds the time to connect, and the time to respond in
	// addition to the wait.
	responseTimeout = 3 * time.Second
	// minBackoff and maxBackoff bound the time between two attempts.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 3 * time.Second
	// revisionHeader is the response header with the revision of the value.
	revisionHeader = "Platform-Revision"
	// watchersPerDomain is the number of hosts in a failure domain that watch the
	// configuration; the others receive it from their peers.
	watchersPerDomain = 2
)

// errUnchanged is returned for a watch that ended without a change.
var errUnchanged = eris.New("unchanged")

// listedHost is a host on the platform's host list.
type listedHost struct {
	Name    string `json:"name"`
	Domain  string `json:"domain"`
	Region  string `json:"region"`
	Address string `json:"address"`
	State   string `json:"state"`
}

// hostList is the platform's host list.
type hostList struct {
	Revision uint64       `json:"revision"`
	Hosts    []listedHost `json:"hosts"`
}

// Watcher reads from the platform on behalf of one host.
type Watcher struct {
	base    string
	tracker *tracker.Tracker
	log     *slog.Logger
	client  *fasthttp.Client

	mu sync.Mutex
	// conns are the open connections.
	conns map[net.Conn]bool
}

// New returns a watcher of the platform at an address.
func New(address string, t *tracker.Tracker, log *slog.Logger) *Watcher {
	w := &Watcher{
		base:    "http://" + address,
		tracker: t,
		log:     log,
		conns:   make(map[net.Conn]bool),
	}
	w.client = &fasthttp.Client{Name: "foxtaild", MaxIdemponentCallAttempts: 1, Dial: w.dial}
	return w
}

// dial opens a connection and records it, so that closeConns can interrupt a watch
// that waits for a change.
func (w *Watcher) dial(address string) (net.Conn, error) {
	c, err := fasthttp.DialTimeout(address, responseTimeout)
	if err != nil {
		return nil, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.conns[c] = true
	return recordedConn{Conn: c, w: w}, nil
}

// recordedConn is a connection that is removed from the record when it is closed.
type recordedConn struct {
	net.Conn
	w *Watcher
}

// Close closes the connection and removes it from the record.
func (c recordedConn) Close() error {
	c.w.mu.Lock()
	delete(c.w.conns, c.Conn)
	c.w.mu.Unlock()
	return c.Conn.Close()
}

// closeConns closes all connections.
func (w *Watcher) closeConns() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.conns {
		_ = c.Close()
	}
}

// Run watches the host list and the configuration until ctx is done.
func (w *Watcher) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, w.closeConns)
	defer stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.repeat(ctx, "hosts", w.watchHosts)
	}()
	w.repeat(ctx, "configuration", w.watchConfiguration)
	<-done
}

// repeat calls watch until ctx is done, with a backoff after errors. after is the
// revision that the last successful call returned.
func (w *Watcher) repeat(ctx context.Context, what string, watch func(after string) (string, error)) {
	backoff, after := minBackoff, ""
	for ctx.Err() == nil {
		next, err := watch(after)
		switch {
		case err == nil:
			after, backoff = next, minBackoff
		case eris.Is(err, errUnchanged):
			backoff = minBackoff
		case ctx.Err() != nil:
			return
		default:
			w.log.Warn("platform read failed", "what", what, "error", err.Error())
			sleep(ctx, backoff/2+rand.N(backoff/2+1))
			backoff = min(backoff*2, maxBackoff)
		}
	}
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// get reads the value at a path. The platform waits up to wait for a revision other
// than after; if there is none, the error is errUnchanged.
func (w *Watcher) get(path, after string, wait time.Duration) (body []byte, revision string, err error) {
	defer func() {
		if err != nil && !eris.Is(err, errUnchanged) {
			err = eris.Wrapf(err, "get %s", path)
		}
	}()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(fmt.Sprintf("%s%s?after=%s&wait=%.0f", w.base, path, after, wait.Seconds()))
	if err := w.client.DoTimeout(req, resp, wait+responseTimeout); err != nil {
		return nil, "", err
	}
	switch resp.StatusCode() {
	case fasthttp.StatusOK:
		return slices.Clone(resp.Body()), string(resp.Header.Peek(revisionHeader)), nil
	case fasthttp.StatusNotModified:
		return nil, "", errUnchanged
	default:
		return nil, "", eris.Errorf("status %d", resp.StatusCode())
	}
}

// watchHosts waits for a newer host list and passes it to the tracker.
func (w *Watcher) watchHosts(after string) (next string, err error) {
	body, _, err := w.get("/v1/hosts", after, watchWait)
	if err != nil {
		return "", err
	}
	var l hostList
	if err := json.Unmarshal(body, &l); err != nil {
		return "", eris.Wrap(err, "read host list")
	}
	next = strconv.FormatUint(l.Revision, 10)
	if next == after {
		return next, nil
	}
	hosts := make([]scheduler.Host, 0, len(l.Hosts))
	for _, h := range l.Hosts {
		hosts = append(hosts, scheduler.NewHost(
			scheduler.HostID(h.Name), scheduler.DomainID(h.Domain), scheduler.RegionID(h.Region),
			scheduler.WithAddress(h.Address), scheduler.WithLeaving(h.State == "leaving"),
		))
	}
	w.tracker.SetHosts(hosts)
	w.log.Info("host list read", "revision", l.Revision, "hosts", len(hosts))
	return next, nil
}

// watchConfiguration waits for a newer manifest and fetches its parts. A host that
// has a configuration does so only if it is one of the first watchersPerDomain hosts
// of its failure domain.
func (w *Watcher) watchConfiguration(after string) (next string, err error) {
	if w.tracker.Config() != nil && !watchesConfiguration(w.tracker.Self(), w.tracker.Hosts()) {
		time.Sleep(minBackoff)
		return after, nil
	}
	wait := watchWait
	if after == "" {
		wait = 0
	}
	return w.readConfiguration(after, wait)
}

// readConfiguration reads the manifest and the parts that are not in the
// configuration in force, and passes them to the tracker.
func (w *Watcher) readConfiguration(after string, wait time.Duration) (next string, err error) {
	manifest, next, err := w.get("/v1/values/"+bundler.ManifestKey, after, wait)
	if err != nil {
		return "", err
	}
	old := w.tracker.Config()
	err = w.tracker.Apply(manifest, func(digest string) ([]byte, error) {
		if old != nil && old.Bundle().Part(digest) != nil {
			return old.Bundle().Part(digest), nil
		}
		body, _, err := w.get("/v1/values/"+bundler.PartKeyPrefix+digest, "", 0)
		return body, err
	})
	if eris.Is(err, bundler.ErrCorrupt) {
		w.log.Error("configuration refused", "error", err.Error())
		return next, nil
	}
	return next, err
}

// Refresh reads the configuration once, without waiting for a change.
func (w *Watcher) Refresh() {
	if _, err := w.readConfiguration("", 0); err != nil && !eris.Is(err, errUnchanged) {
		w.log.Warn("platform read failed", "what", "configuration", "error", err.Error())
	}
}

// watchesConfiguration reports whether a host is one of those in its failure domain
// that watch the configuration.
func watchesConfiguration(self scheduler.Host, hosts []scheduler.Host) bool {
	before := 0
	for _, h := range hosts {
		if h.Domain() == self.Domain() && !h.Leaving() && h.ID() < self.ID() {
			before++
		}
	}
	return before < watchersPerDomain
}
