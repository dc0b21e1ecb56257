package receiver

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gofiber/fiber/v3"
	"github.com/rotisserie/eris"

	"foxtaillug.org/foxtaild/internal/requester"
	"foxtaillug.org/scheduler"
	"foxtaillug.org/scheduler/admitter"
)

const (
	// bytesPerToken is the assumed length of a token of text.
	bytesPerToken = 4
	// prefixBytes is how much of a prompt decides on affinity.
	prefixBytes = 1024
	// maxAnswer bounds an answer that is relayed in one piece.
	maxAnswer = 32 << 20
	// lineBytes is the buffer for one event of a stream.
	lineBytes = 16 << 10
	// doneEvent is the last event of a whole stream.
	doneEvent = "data: [DONE]"
)

// completion is the part of an OpenAI-compatible body that scheduling needs.
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

// text returns the whole prompt as bytes.
func (q completion) text() []byte {
	if len(q.Prompt) > 0 {
		return bytes.Trim(q.Prompt, `"`)
	}
	var b []byte
	for _, m := range q.Messages {
		b = append(b, bytes.Trim(m.Content, `"`)...)
	}
	return b
}

// check returns what is wrong with a completion request.
func (q completion) check(chat bool) error {
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

// serveCompletion serves a completion or a chat.
func (r *Receiver) serveCompletion(c fiber.Ctx, k *call) error {
	ctx, span := r.reporter.Tracer().Start(k.ctx, "entry")
	defer span.End()
	k.ctx = ctx
	var q completion
	if err := json.Unmarshal(c.Body(), &q); err != nil {
		return r.refuse(c, k, notRun(fiber.StatusBadRequest, reasonMalformed, "The body is not valid: "+err.Error()))
	}
	if err := q.check(c.Path() == "/v1/chat/completions"); err != nil {
		return r.refuse(c, k, notRun(fiber.StatusBadRequest, reasonMalformed, err.Error()))
	}
	model, ok := k.dir.Model(q.Model)
	if !ok {
		return r.refuse(c, k, notRun(fiber.StatusNotFound, reasonUnknownModel, "There is no model of this name."))
	}
	k.pool = scheduler.PoolID(q.Model)
	text := q.text()
	output := model.OutputTokens
	if most := max(q.MaxTokens, q.MaxCompletionTokens); most > 0 {
		output = most
	}
	w := work{
		method:      fiber.MethodPost,
		path:        c.Path(),
		contentType: []byte(fiber.MIMEApplicationJSON),
		body:        c.Body(),
		demand: []requester.DemandOption{
			requester.WithTokens(len(text)/bytesPerToken, output),
			requester.WithDigests(digest(text[:min(len(text), prefixBytes)]), r.keyedDigest(c.Body())),
		},
	}
	if q.Stream {
		return r.stream(c, k, w)
	}
	return r.whole(c, k, w)
}

// digest hashes a prompt's beginning; it is never 0, which means none.
func digest(b []byte) uint64 { return xxhash.Sum64(b) | 1 }

// keyedDigest hashes a whole request so that only these hosts can tell what
// it was.
func (r *Receiver) keyedDigest(body []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(r.secrets.ticket)
	_, _ = d.Write(body)
	return d.Sum64()
}

// whole relays an answer in one piece.
func (r *Receiver) whole(c fiber.Ctx, k *call, w work) error {
	stop := watchCaller(c, k)
	defer stop()
	u, f, ok := r.dispatch(k, w)
	if !ok {
		return r.refuse(c, k, f)
	}
	body, err := readAll(u)
	if err != nil {
		u.x.Cancel()
		return r.refuse(c, k, r.broken(k, u, err))
	}
	resp := u.x.Response()
	status := resp.StatusCode()
	c.Status(status).Set(fiber.HeaderContentType, string(resp.Header.ContentType()))
	u.x.Finish()
	if status >= fiber.StatusInternalServerError {
		u.finish(admitter.Failed, 0)
		return r.refuse(c, k, refusal{status: fiber.StatusBadGateway, outcome: Failed, reason: reasonUpstreamError, detail: "The upstream answered with an error."})
	}
	u.finish(admitter.Complete, tokensIn(body))
	c.Set(HeaderOutcome, string(Complete))
	c.Set(HeaderRequestID, k.id)
	r.ended(k, Complete, "")
	return c.Send(body)
}

// broken tells the owner of an answer that broke off and returns the refusal.
// The upstream had begun to answer, so the request did run.
func (r *Receiver) broken(k *call, u *run, err error) refusal {
	switch {
	case k.ctx.Err() != nil && !timedOut(err) && time.Now().Before(k.deadline):
		u.finish(admitter.Cancelled, 0)
		return refusal{status: fiber.StatusBadGateway, outcome: Failed, reason: reasonCallerGone}
	case timedOut(err) || k.ctx.Err() != nil:
		u.finish(admitter.Cancelled, 0)
		return refusal{status: fiber.StatusGatewayTimeout, outcome: Failed, reason: reasonTimeout, detail: "The answer did not end in time."}
	default:
		u.finish(admitter.Crashed, 0)
		return refusal{status: fiber.StatusBadGateway, outcome: Failed, reason: reasonUpstreamBroke, detail: "The upstream broke off its answer."}
	}
}

// readAll reads an answer's body to its end.
func readAll(u *run) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(u.x.Body(), maxAnswer+1))
	if err != nil {
		return body, err
	}
	if len(body) > maxAnswer {
		return body, eris.New("answer too large")
	}
	if !u.x.Whole(len(body)) {
		return body, io.ErrUnexpectedEOF
	}
	return body, nil
}

// tokensIn reads the number of output tokens from an answer.
func tokensIn(body []byte) int {
	var a struct {
		Usage struct {
			CompletionTokens int `json:"completion_tokens"`
		} `json:"usage"`
	}
	if err := json.Unmarshal(body, &a); err != nil {
		return 0
	}
	return a.Usage.CompletionTokens
}

// stream relays an answer event by event.
func (r *Receiver) stream(c fiber.Ctx, k *call, w work) error {
	stop := watchCaller(c, k)
	u, f, ok := r.dispatch(k, w)
	if !ok {
		stop()
		return r.refuse(c, k, f)
	}
	resp := u.x.Response()
	if resp.StatusCode() != fiber.StatusOK {
		defer stop()
		return r.notStreamed(c, k, u)
	}
	c.Set(fiber.HeaderContentType, string(resp.Header.ContentType()))
	c.Set(HeaderRequestID, k.id)
	c.Set(fiber.HeaderCacheControl, "no-store")
	return c.SendStreamWriter(func(out *bufio.Writer) {
		defer stop()
		r.relay(k, u, out)
	})
}

// notStreamed passes on the error with which an upstream answers in place of
// a stream.
func (r *Receiver) notStreamed(c fiber.Ctx, k *call, u *run) error {
	body, err := readAll(u)
	status := u.x.Response().StatusCode()
	if err != nil || status >= fiber.StatusInternalServerError {
		u.x.Cancel()
		u.finish(admitter.Failed, 0)
		return r.refuse(c, k, refusal{status: fiber.StatusBadGateway, outcome: Failed, reason: reasonUpstreamError, detail: "The upstream answered with an error."})
	}
	c.Status(status).Set(fiber.HeaderContentType, string(u.x.Response().Header.ContentType()))
	u.x.Finish()
	u.finish(admitter.Complete, 0)
	c.Set(HeaderOutcome, string(Complete))
	c.Set(HeaderRequestID, k.id)
	r.ended(k, Complete, "")
	return c.Send(body)
}

// relay copies a stream to the caller until it ends. A stream that ends
// without its last event is closed with an error event, never as whole.
func (r *Receiver) relay(k *call, u *run, out *bufio.Writer) {
	in := bufio.NewReaderSize(u.x.Body(), lineBytes)
	tokens, done, err := copyEvents(in, out, func() {
		u.first = time.Now()
		r.reporter.FirstToken(k.standing.TierName(), u.first.Sub(k.arrived))
	})
	switch {
	case done:
		u.x.Finish()
		u.finish(admitter.Complete, tokens)
		r.ended(k, Complete, "")
	case eris.Is(err, errCaller):
		u.x.Cancel()
		u.finish(admitter.Cancelled, tokens)
		r.ended(k, Failed, reasonCallerGone)
	default:
		u.x.Cancel()
		f := r.broken(k, u, err)
		_, _ = out.WriteString("event: error\ndata: ")
		_, _ = out.Write(f.document(k.id, k.dir.AttendedFrom(time.Now()), time.Now()))
		_, _ = out.WriteString("\n\n")
		_ = out.Flush()
		r.ended(k, f.outcome, f.reason)
	}
}

// errCaller says that the caller takes no more.
var errCaller = eris.New("caller gone")

// copyEvents copies a stream line by line and counts its events. It flushes
// when nothing more waits to be read, so that each token leaves as it comes.
// Done reports whether the last event was seen.
func copyEvents(in *bufio.Reader, out *bufio.Writer, first func()) (tokens int, done bool, err error) {
	for begins := true; ; {
		line, err := in.ReadSlice('\n')
		if len(line) > 0 {
			if _, werr := out.Write(line); werr != nil {
				return tokens, false, eris.Wrap(errCaller, werr.Error())
			}
		}
		switch {
		case !begins:
		case bytes.HasPrefix(line, []byte(doneEvent)):
			done = true
		case bytes.HasPrefix(line, []byte("data:")):
			if tokens == 0 {
				first()
			}
			tokens++
		}
		if begins = err != bufio.ErrBufferFull; !begins {
			continue
		}
		if err != nil || in.Buffered() == 0 {
			if ferr := out.Flush(); ferr != nil && !done {
				return tokens, false, eris.Wrap(errCaller, ferr.Error())
			}
		}
		if err != nil {
			return tokens, done, err
		}
	}
}
