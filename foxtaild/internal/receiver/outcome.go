package receiver

import (
	"encoding/json"
	"math"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v3"

	"foxtaillug.org/foxtaild/forwarder"
	"foxtaillug.org/scheduler/admitter"
)

// Outcome is what became of a request, as its caller is told.
type Outcome string

// The outcomes.
const (
	// Complete means that the whole answer came.
	Complete Outcome = "complete"
	// NotRun means that no byte of the request left for an upstream.
	NotRun Outcome = "notRun"
	// Failed means that the request ran and failed.
	Failed Outcome = "failed"
	// Unknown means that the request left and no answer came.
	Unknown Outcome = "unknown"
)

// Headers of answers to callers.
const (
	HeaderOutcome   = "Foxtail-Outcome"
	HeaderReason    = "Foxtail-Reason"
	HeaderRequestID = "Foxtail-Request-Id"
	HeaderTicket    = "Foxtail-Ticket"
	// HeaderTimeout is the caller's own time limit, in seconds.
	HeaderTimeout = "Foxtail-Timeout"
)

// Reasons that do not come from an owner.
const (
	reasonUnauthorized     = "unauthorized"
	reasonMalformed        = "malformed"
	reasonUnknownModel     = "unknownModel"
	reasonUnknownService   = "unknownService"
	reasonTooLarge         = "tooLarge"
	reasonConcurrency      = "concurrency"
	reasonNotReady         = "notReady"
	reasonTicketNeeded     = "ticketNeeded"
	reasonTicketInvalid    = "ticketInvalid"
	reasonTicketForeign    = "ticketOfAnotherWorkspace"
	reasonTicketExpired    = "ticketExpired"
	reasonTicketMismatch   = "ticketUsedForAnotherCall"
	reasonIssuerGone       = "ticketIssuerGone"
	reasonIssuerUnreached  = "ticketIssuerUnreachable"
	reasonTicketsFull      = "tooManyTickets"
	reasonUpstreamBroke    = "upstreamBrokeOff"
	reasonUpstreamSilent   = "upstreamDidNotAnswer"
	reasonUpstreamError    = "upstreamError"
	reasonCallerGone       = "callerGone"
	reasonNotDispatched    = "notDispatched"
	reasonTimeout          = "timeout"
	reasonInternal         = "internal"
	reasonNotFound         = "notFound"
	reasonMethodNotAllowed = "methodNotAllowed"
)

// refusal is an answer that is not the upstream's own.
type refusal struct {
	status     int
	outcome    Outcome
	reason     string
	detail     string
	retryAfter time.Duration
}

// problem is the body of a refusal, after RFC 9457. Its fields are the wire
// format.
type problem struct {
	Type              string     `json:"type"`
	Title             string     `json:"title"`
	Status            int        `json:"status"`
	Detail            string     `json:"detail,omitempty"`
	Outcome           Outcome    `json:"outcome"`
	Reason            string     `json:"reason"`
	RequestID         string     `json:"requestId"`
	RetryAfterSeconds int        `json:"retryAfterSeconds,omitempty"`
	AttendedFrom      *time.Time `json:"attendedFrom,omitempty"`
}

// titles are the titles of outcomes.
var titles = map[Outcome]string{
	NotRun:  "The request was refused and not run.",
	Failed:  "The request ran and failed.",
	Unknown: "The request was sent and it is not known whether it ran.",
}

// document returns the body of a refusal. The time from which somebody
// attends is told when that is later than now.
func (f refusal) document(id string, attended, now time.Time) []byte {
	p := problem{
		Type:              "about:blank#" + f.reason,
		Title:             titles[f.outcome],
		Status:            f.status,
		Detail:            f.detail,
		Outcome:           f.outcome,
		Reason:            f.reason,
		RequestID:         id,
		RetryAfterSeconds: seconds(f.retryAfter),
	}
	if attended.After(now) {
		p.AttendedFrom = &attended
	}
	body, _ := json.Marshal(p)
	return body
}

// seconds rounds a duration up to whole seconds.
func seconds(d time.Duration) int {
	return int(math.Ceil(d.Seconds()))
}

// write sends a refusal to the caller.
func (r *Receiver) write(c fiber.Ctx, id string, f refusal) error {
	now := time.Now()
	attended := now
	if s := r.keeper.State(); s != nil {
		attended = s.Directory().AttendedFrom(now)
	}
	c.Set(HeaderOutcome, string(f.outcome))
	c.Set(HeaderReason, f.reason)
	c.Set(HeaderRequestID, id)
	if f.retryAfter > 0 {
		c.Set(fiber.HeaderRetryAfter, strconv.Itoa(seconds(f.retryAfter)))
	}
	c.Set(fiber.HeaderContentType, "application/problem+json")
	return c.Status(f.status).Send(f.document(id, attended, now))
}

// notRun returns a refusal of something that was not run.
func notRun(status int, reason, detail string) refusal {
	return refusal{status: status, outcome: NotRun, reason: reason, detail: detail}
}

// refusalOf says what the end of a forwarded request means to its caller.
func refusalOf(f forwarder.Refusal) refusal {
	switch {
	case f.Outcome == forwarder.NotRun || f.Outcome == forwarder.OverQuota:
		return notRunFor(f)
	case f.Reason == reasonCallerGone:
		return refusal{status: fiber.StatusBadGateway, outcome: ranOutcome(f), reason: reasonCallerGone}
	case f.Outcome == forwarder.TimedOut:
		return refusal{status: fiber.StatusGatewayTimeout, outcome: ranOutcome(f), reason: reasonTimeout, detail: "The answer did not come in time."}
	case f.ResponseStarted:
		return refusal{status: fiber.StatusBadGateway, outcome: Failed, reason: reasonUpstreamBroke, detail: "The upstream broke off its answer."}
	default:
		return refusal{status: fiber.StatusBadGateway, outcome: Unknown, reason: reasonUpstreamSilent, detail: "The upstream broke off before it answered."}
	}
}

// ranOutcome tells requests that have run from those that may have.
func ranOutcome(f forwarder.Refusal) Outcome {
	if f.ResponseStarted {
		return Failed
	}
	return Unknown
}

// notRunFor returns the refusal of a request that no upstream was sent.
func notRunFor(f forwarder.Refusal) refusal {
	own := notRun(fiber.StatusServiceUnavailable, f.Reason, details[f.Reason])
	own.retryAfter = f.RetryAfter
	switch f.Reason {
	case admitter.Quarantined.String():
		own.status, own.retryAfter = fiber.StatusUnprocessableEntity, 0
	case admitter.Late.String():
		own.status = fiber.StatusGatewayTimeout
	case reasonCallerGone:
		own.retryAfter = 0
	}
	if own.detail == "" && f.Reason != reasonCallerGone {
		own.reason, own.detail = reasonNotDispatched, "No upstream took the request."
	}
	return own
}

// details explain to callers why a request got no slot.
var details = map[string]string{
	admitter.Shed.String():        "There is no capacity for requests of this standing now.",
	admitter.Late.String():        "The request can't be finished within its time.",
	admitter.NoUpstream.String():  "No upstream takes new work for this model or service now.",
	admitter.Quarantined.String(): "This request has crashed upstreams twice and is not run again.",
	admitter.NotOwner.String():    "No host looks after this model or service now.",
	admitter.Stopping.String():    "The host is about to stop.",
	admitter.Unreachable.String(): "No host that looks after this model or service answers.",
}
