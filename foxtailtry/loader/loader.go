// Package loader generates a seeded load and measures the responses that
// callers receive.
package loader

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/samber/lo"

	"foxtaillug.org/contract"
	"foxtaillug.org/foxtailtry/tallier"
	"foxtaillug.org/foxtailtry/testbed"
)

const (
	// bytesPerToken is the assumed length of a token of prompt text, in bytes.
	bytesPerToken = 4
	// prefixTokens is the length of a shared prompt prefix, in tokens.
	prefixTokens = 512
	// maxIdleConns limits the idle connections to one host.
	maxIdleConns = 512
)

// Target receives the requests of the load.
type Target interface {
	// Do sends a request and returns the response, whose body the caller closes.
	Do(ctx context.Context, r Request) (*http.Response, error)
}

// Request is a request to send. Pool is the pool of its model or service,
// Ticket is set for bookings only, and Timeout is the time limit of its tier: a
// response after it does not count as good.
type Request struct {
	Workspace string
	Path      string
	Pool      string
	Body      []byte
	Ticket    string
	Timeout   time.Duration
}

// Loader generates a seeded load.
type Loader struct {
	testbed   *testbed.Testbed
	target    Target
	tally     *tallier.Tallier
	rng       *rand.Rand
	tiers     map[string]contract.Tier
	callers   []testbed.Caller // each as often as its weight
	seq       int
	getTicket func(ctx context.Context, workspace string) (string, error)
}

// New returns a loader. The same scenario and seed give the same sequence of
// requests. The function getTicket returns a ticket for a booking of a
// workspace.
func New(tb *testbed.Testbed, target Target, tally *tallier.Tallier, seed uint64, getTicket func(context.Context, string) (string, error)) *Loader {
	l := &Loader{
		testbed: tb, target: target, tally: tally, getTicket: getTicket,
		rng:   rand.New(rand.NewPCG(seed, 3)),
		tiers: make(map[string]contract.Tier),
	}
	doc := tb.Document().WithDefaults()
	byName := lo.KeyBy(doc.Tiers, func(t contract.Tier) string { return t.Name })
	for _, ws := range doc.Workspaces {
		l.tiers[ws.Name] = byName[ws.Tier]
	}
	for _, c := range tb.Scenario().Callers {
		for range c.Weight {
			l.callers = append(l.callers, c)
		}
	}
	return l
}

// Run sends requests at the given rate per second, with exponentially
// distributed intervals, for the given duration, and waits until all have
// ended.
func (l *Loader) Run(ctx context.Context, rate float64, duration time.Duration) {
	var wg sync.WaitGroup
	end := time.Now().Add(duration)
	next := time.Now()
	for {
		next = next.Add(time.Duration(l.rng.ExpFloat64() / rate * float64(time.Second)))
		if next.After(end) || ctx.Err() != nil {
			break
		}
		time.Sleep(time.Until(next))
		c := l.callers[l.rng.IntN(len(l.callers))]
		if c.Service != "" {
			l.seq++
			ref := fmt.Sprintf("booking-%d", l.seq)
			wg.Go(func() { l.sendBooking(ctx, c, ref) })
			continue
		}
		r := l.newCompletion(c)
		wg.Go(func() { l.sendCompletion(ctx, c, r) })
	}
	wg.Wait()
}

// logUniform draws an integer within inclusive bounds, uniform in its
// logarithm, so that each order of magnitude is equally likely.
func (l *Loader) logUniform(bounds [2]int) int {
	lowest, highest := math.Log(float64(max(bounds[0], 1))), math.Log(float64(max(bounds[1], 1)))
	return int(math.Round(math.Exp(lowest + l.rng.Float64()*(highest-lowest))))
}

// newCompletion draws a completion request.
func (l *Loader) newCompletion(c testbed.Caller) Request {
	prompt, output := l.logUniform(c.PromptTokens), l.logUniform(c.OutputTokens)
	text := l.newPrompt(c, prompt)
	body, _ := json.Marshal(map[string]any{
		"model": c.Model, "prompt": text, "stream": true, "max_tokens": c.OutputTokens[1],
		"metadata": map[string]string{"outputTokens": fmt.Sprint(output)},
	})
	return Request{
		Workspace: c.Workspace, Path: "/v1/completions", Pool: c.Model, Body: body,
		Timeout: time.Duration(l.tiers[c.Workspace].WaitSeconds * float64(time.Second)),
	}
}

// newPrompt draws a prompt that shares its prefix with other prompts of the
// caller, if it is long enough.
func (l *Loader) newPrompt(c testbed.Caller, tokens int) string {
	var b strings.Builder
	if c.Prefixes > 0 && tokens > prefixTokens {
		head := fmt.Sprintf("%s %d. ", c.Workspace, l.rng.IntN(c.Prefixes))
		b.WriteString(strings.Repeat(head, prefixTokens*bytesPerToken/len(head)+1)[:prefixTokens*bytesPerToken])
	}
	l.seq++
	fmt.Fprintf(&b, "request %d ", l.seq)
	for b.Len() < tokens*bytesPerToken {
		fmt.Fprintf(&b, "%08x", l.rng.Uint32())
	}
	return b.String()
}

// sendCompletion sends a completion and reads the stream.
func (l *Loader) sendCompletion(ctx context.Context, c testbed.Caller, r Request) {
	res := tallier.Result{Tier: l.tiers[c.Workspace].Name, SentAt: time.Now(), Outcome: "unknown"}
	resp, err := l.target.Do(ctx, r)
	if err == nil {
		l.readStream(resp, &res)
		_ = resp.Body.Close()
	}
	res.Total = time.Since(res.SentAt)
	res.InTime = res.Total <= r.Timeout
	l.tally.Add(res)
}

// readStream reads a response and records the times of its events.
func (l *Loader) readStream(resp *http.Response, res *tallier.Result) {
	if resp.StatusCode != http.StatusOK {
		res.Outcome, res.Reason = outcomeOf(resp)
		return
	}
	last := res.SentAt
	in := bufio.NewReader(resp.Body)
	for {
		line, err := in.ReadBytes('\n')
		now := time.Now()
		switch {
		case bytes.HasPrefix(line, []byte("data: [DONE]")):
			res.Outcome = "complete"
		case bytes.HasPrefix(line, []byte("event: error")):
			res.Outcome, res.Reason = "failed", "stream"
		case bytes.HasPrefix(line, []byte("data:")):
			if res.Tokens == 0 {
				res.FirstToken = now.Sub(res.SentAt)
			} else {
				res.TokenGaps = append(res.TokenGaps, now.Sub(last))
			}
			last = now
			res.Tokens++
		}
		if err != nil {
			return
		}
	}
}

// outcomeOf returns the outcome and the reason in the headers of a response. A
// response without an outcome counts as failed.
func outcomeOf(resp *http.Response) (outcome, reason string) {
	outcome, reason = resp.Header.Get("Foxtail-Outcome"), resp.Header.Get("Foxtail-Reason")
	if outcome == "" {
		outcome = "failed"
	}
	return outcome, reason
}

// sendBooking obtains a ticket and books with it, a second time if the outcome
// of the first attempt is unknown.
func (l *Loader) sendBooking(ctx context.Context, c testbed.Caller, ref string) {
	res := tallier.Result{Tier: l.tiers[c.Workspace].Name, SentAt: time.Now(), Outcome: "unknown", BookingRef: ref}
	wait := time.Duration(l.tiers[c.Workspace].WaitSeconds * float64(time.Second))
	ticket, err := l.getTicket(ctx, c.Workspace)
	if err == nil {
		r := Request{Workspace: c.Workspace, Path: "/v1/services/" + c.Service + "/bookings", Pool: string(contract.ServicePool(c.Service)), Body: fmt.Appendf(nil, `{"reference":%q}`, ref), Ticket: ticket, Timeout: wait}
		for range 2 {
			resp, err := l.target.Do(ctx, r)
			if err != nil {
				continue
			}
			res.Outcome, res.Reason = outcomeOf(resp)
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			if res.Outcome != "unknown" {
				break
			}
		}
	}
	res.Total = time.Since(res.SentAt)
	res.InTime = res.Total <= wait
	l.tally.Add(res)
}

// Balancer sends requests to the ready hosts in turn, as the platform's load
// balancer does.
type Balancer struct {
	testbed *testbed.Testbed
	client  *http.Client

	mu   sync.Mutex
	next int
}

// NewBalancer returns a balancer over the hosts of a testbed.
func NewBalancer(tb *testbed.Testbed) *Balancer {
	return &Balancer{testbed: tb, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns}}}
}

// nextHost returns the next host that is ready, or the next one if none is
// ready.
func (b *Balancer) nextHost() *testbed.Host {
	b.mu.Lock()
	defer b.mu.Unlock()
	hosts := b.testbed.Hosts()
	for range hosts {
		b.next = (b.next + 1) % len(hosts)
		if hosts[b.next].Daemon().Ready() {
			break
		}
	}
	return hosts[b.next]
}

// Do sends a request to the next ready host.
func (b *Balancer) Do(ctx context.Context, r Request) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+b.nextHost().CallerAddress()+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+testbed.Key(r.Workspace))
	req.Header.Set("Content-Type", "application/json")
	if r.Ticket != "" {
		req.Header.Set("Foxtail-Ticket", r.Ticket)
	}
	return b.client.Do(req)
}

// Ticket obtains a ticket for bookings of a workspace.
func (b *Balancer) Ticket(ctx context.Context, workspace string) (string, error) {
	resp, err := b.Do(ctx, Request{Workspace: workspace, Path: "/v1/tickets"})
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	var t struct {
		Ticket string `json:"ticket"`
	}
	err = json.NewDecoder(resp.Body).Decode(&t)
	return t.Ticket, err
}
