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
	// requestIDHeader carries the request ID of the caller; the response repeats
	// it.
	requestIDHeader = "Foxtail-Request-Id"
	// defaultOutputTokens is the number of output tokens if the request does not
	// set metadata.outputTokens. As with that field, max_tokens can only lower it.
	defaultOutputTokens = 16
)

// request holds the fields that the engine reads of an OpenAI-compatible
// request body.
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

// fullPrompt returns the prompt followed by the contents of all messages.
func (r request) fullPrompt() string {
	var b strings.Builder
	b.WriteString(r.Prompt)
	for _, m := range r.Messages {
		b.WriteString(m.Content)
	}
	return b.String()
}

// outputTokens returns the number of tokens to generate, at least 1.
func (r request) outputTokens() int {
	n := defaultOutputTokens
	if v, err := strconv.Atoi(r.Metadata["outputTokens"]); err == nil {
		n = v
	}
	if r.MaxTokens > 0 {
		n = min(n, r.MaxTokens)
	}
	return max(n, 1)
}

// serveCompletion serves a completion, as a stream or in one piece.
func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var req request
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	prompt := req.fullPrompt()
	id := r.Header.Get(requestIDHeader)
	epochCtx, ok := e.startRequest(id, prompt)
	if !ok {
		dropConnection(w)
		return
	}
	prefilled, completed := 0, false
	defer func() { e.endRequest(epochCtx, completed, prefilled) }()
	sleep := func(d time.Duration) bool {
		t := time.NewTimer(d)
		defer t.Stop()
		select {
		case <-t.C:
			return true
		case <-epochCtx.Done():
			dropConnection(w)
			return false
		case <-r.Context().Done():
			return false
		}
	}
	leaveBatch, ok := e.joinBatch(epochCtx, r.Context())
	if !ok {
		dropConnection(w)
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
		completed = e.writeStream(w, req, sleep)
		return
	}
	completed = e.writeJSON(w, req, prompt, sleep)
}

// dropConnection closes the connection without completing the response, as a
// crash would.
func dropConnection(w http.ResponseWriter) {
	if h, ok := w.(http.Hijacker); ok {
		if conn, _, err := h.Hijack(); err == nil {
			_ = conn.Close()
		}
	}
}

// tokenText returns the text of the i-th output token.
func tokenText(i int) string { return fmt.Sprintf("w%d ", i) }

// writeStream writes a response token by token. It reports whether all of it
// was written.
func (e *Engine) writeStream(w http.ResponseWriter, req request, sleep func(time.Duration) bool) bool {
	w.Header().Set("Content-Type", "text/event-stream")
	flusher, _ := w.(http.Flusher)
	for i := range req.outputTokens() {
		if i > 0 && !sleep(e.nextTokenTime()) {
			return false
		}
		if _, err := fmt.Fprintf(w, "data: {\"choices\":[{\"index\":0,\"text\":%q,\"delta\":{\"content\":%q}}]}\n\n", tokenText(i), tokenText(i)); err != nil {
			return false
		}
		flusher.Flush()
	}
	_, err := fmt.Fprint(w, "data: [DONE]\n\n")
	flusher.Flush()
	return err == nil
}

// writeJSON writes a response in one piece. It reports whether it was written.
func (e *Engine) writeJSON(w http.ResponseWriter, req request, prompt string, sleep func(time.Duration) bool) bool {
	var b strings.Builder
	n := req.outputTokens()
	for i := range n {
		if i > 0 && !sleep(e.nextTokenTime()) {
			return false
		}
		b.WriteString(tokenText(i))
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
	response := struct {
		Model   string         `json:"model"`
		Choices []choice       `json:"choices"`
		Usage   map[string]int `json:"usage"`
	}{
		Model:   req.Model,
		Choices: []choice{{Text: b.String(), Message: message{Role: "assistant", Content: b.String()}, FinishReason: "stop"}},
		Usage:   map[string]int{"prompt_tokens": promptTokens(prompt), "completion_tokens": n},
	}
	w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(w).Encode(response) == nil
}

// serveLoad serves the load report.
func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	down := e.down
	e.mu.Unlock()
	if down {
		dropConnection(w)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(e.delayedLoad(time.Now()))
}

// serveStats serves the counters.
func (e *Engine) serveStats(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(e.Stats())
}

// faultRequest lists the faults that a test can inject. A nil field leaves
// that fault unchanged.
type faultRequest struct {
	Crash    bool     `json:"crash"`
	Down     *bool    `json:"down"`
	Leaving  *bool    `json:"leaving"`
	Slowdown *float64 `json:"slowdown"`
}

// serveFaults injects faults.
func (e *Engine) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f faultRequest
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
