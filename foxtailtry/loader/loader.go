// Package loader sends a seeded load and measures what callers see.
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
	"foxtaillug.org/foxtailtry/world"
)

const (
	// bytesPerToken is the length of a token of prompt text.
	bytesPerToken = 4
	// prefixTokens is the length of a shared prompt beginning.
	prefixTokens = 512
	// connections bounds the idle connections to one host.
	connections = 512
)

// Target is where requests go.
type Target interface {
	// Do sends a request's body and returns the answer. Tier is the tier of
	// its workspace.
	Do(ctx context.Context, w Work) (*http.Response, error)
}

// Work is one request to be sent.
type Work struct {
	Workspace string
	Path      string
	Pool      string
	Body      []byte
	Ticket    string
	Wait      time.Duration
}

// Loader sends a seeded load.
type Loader struct {
	world  *world.World
	target Target
	tally  *tallier.Tallier
	rng    *rand.Rand
	tiers  map[string]contract.Tier
	picks  []world.Caller
	seq    int
	ticket func(ctx context.Context, workspace string) (string, error)
}

// New returns a loader for a seed.
func New(w *world.World, target Target, tally *tallier.Tallier, seed uint64, ticket func(context.Context, string) (string, error)) *Loader {
	l := &Loader{
		world: w, target: target, tally: tally, ticket: ticket,
		rng:   rand.New(rand.NewPCG(seed, 3)),
		tiers: make(map[string]contract.Tier),
	}
	doc := w.Document().WithDefaults()
	byName := lo.KeyBy(doc.Tiers, func(t contract.Tier) string { return t.Name })
	for _, ws := range doc.Workspaces {
		l.tiers[ws.Name] = byName[ws.Tier]
	}
	for _, c := range w.Scenario().Callers {
		for range c.Weight {
			l.picks = append(l.picks, c)
		}
	}
	return l
}

// Run sends requests at a rate, with exponential pauses, for a time, and
// waits until all have ended.
func (l *Loader) Run(ctx context.Context, perSecond float64, length time.Duration) {
	var wg sync.WaitGroup
	end := time.Now().Add(length)
	next := time.Now()
	for {
		next = next.Add(time.Duration(l.rng.ExpFloat64() / perSecond * float64(time.Second)))
		if next.After(end) || ctx.Err() != nil {
			break
		}
		time.Sleep(time.Until(next))
		c := l.picks[l.rng.IntN(len(l.picks))]
		if c.Service != "" {
			l.seq++
			ref := fmt.Sprintf("booking-%d", l.seq)
			wg.Go(func() { l.book(ctx, c, ref) })
			continue
		}
		w := l.completion(c)
		wg.Go(func() { l.complete(ctx, c, w) })
	}
	wg.Wait()
}

// logUniform draws a whole number between two, each order of magnitude alike.
func (l *Loader) logUniform(bounds [2]int) int {
	lowest, highest := math.Log(float64(max(bounds[0], 1))), math.Log(float64(max(bounds[1], 1)))
	return int(math.Round(math.Exp(lowest + l.rng.Float64()*(highest-lowest))))
}

// completion draws a completion request.
func (l *Loader) completion(c world.Caller) Work {
	prompt, output := l.logUniform(c.PromptTokens), l.logUniform(c.OutputTokens)
	text := l.prompt(c, prompt)
	body, _ := json.Marshal(map[string]any{
		"model": c.Model, "prompt": text, "stream": true, "max_tokens": c.OutputTokens[1],
		"metadata": map[string]string{"outputTokens": fmt.Sprint(output)},
	})
	return Work{
		Workspace: c.Workspace, Path: "/v1/completions", Pool: c.Model, Body: body,
		Wait: time.Duration(l.tiers[c.Workspace].WaitSeconds * float64(time.Second)),
	}
}

// prompt makes a prompt that shares its beginning with others.
func (l *Loader) prompt(c world.Caller, tokens int) string {
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

// complete sends a completion and reads its stream.
func (l *Loader) complete(ctx context.Context, c world.Caller, w Work) {
	r := tallier.Result{Tier: l.tiers[c.Workspace].Name, Began: time.Now(), Outcome: "unknown"}
	resp, err := l.target.Do(ctx, w)
	if err == nil {
		l.read(resp, &r)
		_ = resp.Body.Close()
	}
	r.Total = time.Since(r.Began)
	r.InTime = r.Total <= w.Wait
	l.tally.Add(r)
}

// read reads an answer and times its events.
func (l *Loader) read(resp *http.Response, r *tallier.Result) {
	if resp.StatusCode != http.StatusOK {
		r.Outcome, r.Reason = refusal(resp)
		return
	}
	last := r.Began
	in := bufio.NewReader(resp.Body)
	for {
		line, err := in.ReadBytes('\n')
		now := time.Now()
		switch {
		case bytes.HasPrefix(line, []byte("data: [DONE]")):
			r.Outcome = "complete"
		case bytes.HasPrefix(line, []byte("event: error")):
			r.Outcome, r.Reason = "failed", "stream"
		case bytes.HasPrefix(line, []byte("data:")):
			if r.Tokens == 0 {
				r.FirstToken = now.Sub(r.Began)
			} else {
				r.Gaps = append(r.Gaps, now.Sub(last))
			}
			last = now
			r.Tokens++
		}
		if err != nil {
			return
		}
	}
}

// refusal reads the outcome and the reason of an answer that is not whole.
func refusal(resp *http.Response) (outcome, reason string) {
	outcome, reason = resp.Header.Get("Foxtail-Outcome"), resp.Header.Get("Foxtail-Reason")
	if outcome == "" {
		outcome = "failed"
	}
	return outcome, reason
}

// book takes a ticket and books with it, twice when the outcome is unknown.
func (l *Loader) book(ctx context.Context, c world.Caller, ref string) {
	r := tallier.Result{Tier: l.tiers[c.Workspace].Name, Began: time.Now(), Outcome: "unknown", Booking: ref}
	wait := time.Duration(l.tiers[c.Workspace].WaitSeconds * float64(time.Second))
	ticket, err := l.ticket(ctx, c.Workspace)
	if err == nil {
		w := Work{Workspace: c.Workspace, Path: "/v1/services/" + c.Service + "/bookings", Pool: string(contract.ServicePool(c.Service)), Body: fmt.Appendf(nil, `{"reference":%q}`, ref), Ticket: ticket, Wait: wait}
		for range 2 {
			resp, err := l.target.Do(ctx, w)
			if err != nil {
				continue
			}
			r.Outcome, r.Reason = refusal(resp)
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			if r.Outcome != "unknown" {
				break
			}
		}
	}
	r.Total = time.Since(r.Began)
	r.InTime = r.Total <= wait
	l.tally.Add(r)
}

// Balancer sends requests to the hosts in turn, as the platform's balancer
// does.
type Balancer struct {
	world  *world.World
	client *http.Client

	mu   sync.Mutex
	next int
}

// NewBalancer returns a balancer over a world's hosts.
func NewBalancer(w *world.World) *Balancer {
	return &Balancer{world: w, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: connections}}}
}

// host returns the next host that is ready.
func (b *Balancer) host() *world.Host {
	b.mu.Lock()
	defer b.mu.Unlock()
	hosts := b.world.Hosts()
	for range hosts {
		b.next = (b.next + 1) % len(hosts)
		if hosts[b.next].Daemon().Ready() {
			break
		}
	}
	return hosts[b.next]
}

// Do sends a request to the next host.
func (b *Balancer) Do(ctx context.Context, w Work) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+b.host().Callers()+w.Path, bytes.NewReader(w.Body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+world.Key(w.Workspace))
	req.Header.Set("Content-Type", "application/json")
	if w.Ticket != "" {
		req.Header.Set("Foxtail-Ticket", w.Ticket)
	}
	return b.client.Do(req)
}

// Ticket takes a ticket for a workspace.
func (b *Balancer) Ticket(ctx context.Context, workspace string) (string, error) {
	resp, err := b.Do(ctx, Work{Workspace: workspace, Path: "/v1/tickets"})
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
