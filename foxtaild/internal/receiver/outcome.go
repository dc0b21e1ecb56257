package receiver

import (
	"encoding/json"
	"math"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v3"

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
	reasonAnswerCrossed    = "answerToAnotherRequest"
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

// refusedSlot returns the refusal for a request that got no slot.
func refusedSlot(reason admitter.Reason, retryAfter time.Duration) refusal {
	f := notRun(fiber.StatusServiceUnavailable, reason.String(), details[reason])
	f.retryAfter = max(retryAfter, time.Second)
	switch reason {
	case admitter.Quarantined:
		f.status, f.retryAfter = fiber.StatusUnprocessableEntity, 0
	case admitter.Late:
		f.status = fiber.StatusGatewayTimeout
	}
	return f
}

// details explain the reasons of owners to callers.
var details = map[admitter.Reason]string{
	admitter.Shed:        "There is no capacity for requests of this standing now.",
	admitter.Late:        "The request can't be finished within its time.",
	admitter.Closed:      "No upstream takes new work for this model or service now.",
	admitter.Quarantined: "This request has crashed upstreams twice and is not run again.",
	admitter.NotOwner:    "No host looks after this model or service now.",
	admitter.Stopping:    "The host is about to stop.",
	admitter.Unreachable: "No host that looks after this model or service answers.",
}
