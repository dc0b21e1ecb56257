package receiver

import (
	"bytes"
	"encoding/json"

	"github.com/cespare/xxhash/v2"
	"github.com/gofiber/fiber/v3"
	"github.com/rotisserie/eris"

	"foxtaillug.org/scheduler"
	"foxtaillug.org/scheduler/router"
)

const (
	// bytesPerToken is the assumed average length of a token.
	bytesPerToken = 4
	// affinityPrefixBytes is the length of the prompt prefix that is hashed for
	// prefix cache affinity.
	affinityPrefixBytes = 1024
)

// completion holds the fields of an OpenAI-compatible request body that
// scheduling needs.
type completion struct {
	Model               string          `json:"model"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            []chatMessage   `json:"messages"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	Stream              bool            `json:"stream"`
}

// chatMessage is one message of a chat.
type chatMessage struct {
	Content json.RawMessage `json:"content"`
}

// promptText returns the text of the prompt or of all messages.
func (q completion) promptText() []byte {
	if len(q.Prompt) > 0 {
		return bytes.Trim(q.Prompt, `"`)
	}
	var b []byte
	for _, m := range q.Messages {
		b = append(b, bytes.Trim(m.Content, `"`)...)
	}
	return b
}

// validate returns an error if a required field is missing or a value is
// invalid.
func (q completion) validate(chat bool) error {
	switch {
	case q.Model == "":
		return eris.New("model is missing")
	case chat && len(q.Messages) == 0:
		return eris.New("messages is missing or empty")
	case !chat && len(q.Prompt) == 0:
		return eris.New("prompt is missing")
	case q.MaxTokens < 0 || q.MaxCompletionTokens < 0:
		return eris.New("max_tokens is negative")
	}
	return nil
}

// serveCompletion serves a completion or chat completion.
func (r *Receiver) serveCompletion(c fiber.Ctx, k *call) error {
	var q completion
	if err := json.Unmarshal(c.Body(), &q); err != nil {
		return r.refuse(c, k, notRunRefusal(fiber.StatusBadRequest, reasonMalformed, "The body is not valid: "+err.Error()))
	}
	if err := q.validate(c.Path() == "/v1/chat/completions"); err != nil {
		return r.refuse(c, k, notRunRefusal(fiber.StatusBadRequest, reasonMalformed, err.Error()))
	}
	model, ok := k.dir.Model(q.Model)
	if !ok {
		return r.refuse(c, k, notRunRefusal(fiber.StatusNotFound, reasonUnknownModel, "There is no model of this name."))
	}
	k.pool = scheduler.PoolID(q.Model)
	text := q.promptText()
	output := model.OutputTokens
	if limit := max(q.MaxTokens, q.MaxCompletionTokens); limit > 0 {
		output = limit
	}
	req := upstreamRequest{
		kind:        router.NonIdempotent,
		method:      fiber.MethodPost,
		path:        c.Path(),
		contentType: fiber.MIMEApplicationJSON,
		body:        c.Body(),
		prompt:      len(text) / bytesPerToken,
		output:      output,
		prefix:      prefixDigest(text[:min(len(text), affinityPrefixBytes)]),
		digest:      r.keyedDigest(c.Body()),
	}
	if q.Stream {
		req.kind = router.Streaming
		return r.serveStream(c, k, req)
	}
	stop := watchCaller(c, k)
	defer stop()
	defer k.release()
	return r.writeResponse(c, k, r.forwardBuffered(k, req))
}

// prefixDigest returns a hash of a prompt's prefix. It is never 0, which means
// no prefix.
func prefixDigest(b []byte) uint64 { return xxhash.Sum64(b) | 1 }

// keyedDigest returns a hash of a request body, keyed so that only hosts with
// the same ticket key can link it to the content.
func (r *Receiver) keyedDigest(body []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(r.secrets.ticket)
	_, _ = d.Write(body)
	return d.Sum64()
}
