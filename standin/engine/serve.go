package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// requestIDHeader carries the caller's identity of a request, and is
	// returned with its answer.
	requestIDHeader = "Foxtail-Request-Id"
	// defaultTokens is the length of an answer without a limit.
	defaultTokens = 16
)

// request is the part of the OpenAI-compatible body that the engine reads.
type request struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
	Messages  []struct {
		Content string `json:"content"`
	} `json:"messages"`
	Metadata map[string]string `json:"metadata"`
}

// text returns the whole prompt.
func (r request) text() string {
	var b strings.Builder
	b.WriteString(r.Prompt)
	for _, m := range r.Messages {
		b.WriteString(m.Content)
	}
	return b.String()
}

// tokens returns how long the answer will be.
func (r request) tokens() int {
	n := defaultTokens
	if v, err := strconv.Atoi(r.Metadata["outputTokens"]); err == nil {
		n = v
	}
	if r.MaxTokens > 0 {
		n = min(n, r.MaxTokens)
	}
	return max(n, 1)
}

// complete serves one request.
func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var req request
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	prompt := req.text()
	id := r.Header.Get(requestIDHeader)
	life, ok := e.admit(id, prompt)
	if !ok {
		drop(w)
		return
	}
	prefilled, completed := 0, false
	defer func() { e.leave(life, completed, prefilled) }()
	sleep := func(d time.Duration) bool {
		t := time.NewTimer(d)
		defer t.Stop()
		select {
		case <-t.C:
			return true
		case <-life.Done():
			drop(w)
			return false
		case <-r.Context().Done():
			return false
		}
	}
	leaveBatch, ok := e.enter(life, r.Context())
	if !ok {
		drop(w)
		return
	}
	defer leaveBatch()
	tokens, d := e.prefill(prompt)
	prefilled = tokens
	if !sleep(d) {
		return
	}
	w.Header().Set(requestIDHeader, id)
	if req.Stream {
		completed = e.stream(w, req, sleep)
		return
	}
	completed = e.whole(w, req, prompt, sleep)
}

// drop breaks the connection off, as a crash would.
func drop(w http.ResponseWriter) {
	if h, ok := w.(http.Hijacker); ok {
		if conn, _, err := h.Hijack(); err == nil {
			_ = conn.Close()
		}
	}
}

// word returns the i-th token of an answer.
func word(i int) string { return fmt.Sprintf("w%d ", i) }

// stream sends an answer token by token.
func (e *Engine) stream(w http.ResponseWriter, req request, sleep func(time.Duration) bool) bool {
	w.Header().Set("Content-Type", "text/event-stream")
	flusher, _ := w.(http.Flusher)
	for i := range req.tokens() {
		if i > 0 && !sleep(e.tokenTime()) {
			return false
		}
		if _, err := fmt.Fprintf(w, "data: {\"choices\":[{\"index\":0,\"text\":%q,\"delta\":{\"content\":%q}}]}\n\n", word(i), word(i)); err != nil {
			return false
		}
		flusher.Flush()
	}
	_, err := fmt.Fprint(w, "data: [DONE]\n\n")
	flusher.Flush()
	return err == nil
}

// whole sends an answer in one piece.
func (e *Engine) whole(w http.ResponseWriter, req request, prompt string, sleep func(time.Duration) bool) bool {
	var b strings.Builder
	n := req.tokens()
	for i := range n {
		if i > 0 && !sleep(e.tokenTime()) {
			return false
		}
		b.WriteString(word(i))
	}
	type message struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
	type choice struct {
		Index        int     `json:"index"`
		Text         string  `json:"text"`
		Message      message `json:"message"`
		FinishReason string  `json:"finish_reason"`
	}
	answer := struct {
		Model   string         `json:"model"`
		Choices []choice       `json:"choices"`
		Usage   map[string]int `json:"usage"`
	}{
		Model:   req.Model,
		Choices: []choice{{Text: b.String(), Message: message{Role: "assistant", Content: b.String()}, FinishReason: "stop"}},
		Usage:   map[string]int{"prompt_tokens": promptTokens(prompt), "completion_tokens": n},
	}
	w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(w).Encode(answer) == nil
}

// serveLoad serves the load report.
func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	down := e.down
	e.mu.Unlock()
	if down {
		drop(w)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(e.report(time.Now()))
}

// serveStats serves the counters.
func (e *Engine) serveStats(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(e.Stats())
}

// faults are what a test can do to an engine.
type faults struct {
	Crash    bool     `json:"crash"`
	Down     *bool    `json:"down"`
	Leaving  *bool    `json:"leaving"`
	Slowdown *float64 `json:"slowdown"`
}

// serveFaults causes failures.
func (e *Engine) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if f.Crash {
		e.Crash()
	}
	if f.Down != nil {
		e.SetDown(*f.Down)
	}
	if f.Leaving != nil {
		e.SetLeaving(*f.Leaving)
	}
	if f.Slowdown != nil {
		e.SetSlowdown(*f.Slowdown)
	}
}
