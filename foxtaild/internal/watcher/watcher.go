// Package watcher reads what the platform publishes: the configuration and
// the host list. It only reads and watches, and it is patient: when the
// platform is down it tries again with growing pauses, and what is in force
// stays in force.
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
	// watchWait is how long one watch may wait for a change.
	watchWait = 20 * time.Second
	// answerTime bounds an answer beyond the wait.
	answerTime = 3 * time.Second
	// firstPause and longestPause bound the pause after a failure.
	firstPause   = 100 * time.Millisecond
	longestPause = 3 * time.Second
	// revisionHeader carries the revision of what was read.
	revisionHeader = "Platform-Revision"
	// watchersPerDomain is how many hosts of a failure domain watch the
	// configuration; the others hear of it from their peers.
	watchersPerDomain = 2
)

// errUnchanged says that a watch ended without a change.
var errUnchanged = eris.New("unchanged")

// listedHost is an entry of the platform's host list.
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

// Watcher reads the platform for one host.
type Watcher struct {
	base    string
	tracker *tracker.Tracker
	log     *slog.Logger
	client  *fasthttp.Client

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// New returns a watcher of the platform at an address.
func New(address string, k *tracker.Tracker, log *slog.Logger) *Watcher {
	w := &Watcher{
		base:    "http://" + address,
		tracker: k,
		log:     log,
		conns:   make(map[net.Conn]bool),
	}
	w.client = &fasthttp.Client{Name: "foxtaild", MaxIdemponentCallAttempts: 1, Dial: w.dial}
	return w
}

// dial opens a connection and remembers it, so that a waiting watch can be
// broken off.
func (w *Watcher) dial(address string) (net.Conn, error) {
	c, err := fasthttp.DialTimeout(address, answerTime)
	if err != nil {
		return nil, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.conns[c] = true
	return watchedConn{Conn: c, w: w}, nil
}

// watchedConn is forgotten when it is closed.
type watchedConn struct {
	net.Conn
	w *Watcher
}

// Close closes and forgets the connection.
func (c watchedConn) Close() error {
	c.w.mu.Lock()
	delete(c.w.conns, c.Conn)
	c.w.mu.Unlock()
	return c.Conn.Close()
}

// breakOff closes all connections.
func (w *Watcher) breakOff() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.conns {
		_ = c.Close()
	}
}

// Run watches until ctx is done.
func (w *Watcher) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, w.breakOff)
	defer stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.repeat(ctx, "hosts", w.watchHosts)
	}()
	w.repeat(ctx, "configuration", w.watchConfiguration)
	<-done
}

// repeat calls watch again and again, with a pause after failures.
func (w *Watcher) repeat(ctx context.Context, what string, watch func(after string) (string, error)) {
	pause, after := firstPause, ""
	for ctx.Err() == nil {
		next, err := watch(after)
		switch {
		case err == nil:
			after, pause = next, firstPause
		case eris.Is(err, errUnchanged):
			pause = firstPause
		case ctx.Err() != nil:
			return
		default:
			w.log.Warn("platform read failed", "what", what, "error", err.Error())
			sleep(ctx, pause/2+rand.N(pause/2+1))
			pause = min(pause*2, longestPause)
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

// get reads a path; after names the revision that is known already.
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
	if err := w.client.DoTimeout(req, resp, wait+answerTime); err != nil {
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

// watchHosts waits for a newer host list.
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
	w.log.Info("host list", "revision", l.Revision, "hosts", len(hosts))
	return next, nil
}

// watchConfiguration waits for a newer manifest and fetches its parts. Hosts
// that rank too low in their failure domain leave that to others as long as
// they have a configuration.
func (w *Watcher) watchConfiguration(after string) (next string, err error) {
	if w.tracker.Config() != nil && !watches(w.tracker.Self(), w.tracker.Hosts()) {
		time.Sleep(firstPause)
		return after, nil
	}
	wait := watchWait
	if after == "" {
		wait = 0
	}
	return w.readConfiguration(after, wait)
}

// readConfiguration reads the manifest, and those of its parts that are new.
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

// watches reports whether a host is among those of its failure domain that
// watch the configuration.
func watches(self scheduler.Host, hosts []scheduler.Host) bool {
	before := 0
	for _, h := range hosts {
		if h.Domain() == self.Domain() && !h.Leaving() && h.ID() < self.ID() {
			before++
		}
	}
	return before < watchersPerDomain
}
