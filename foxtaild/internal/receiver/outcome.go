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

// Outcome is the result of a request as reported to its caller.
type Outcome string

// The outcomes.
const (
	// Complete means that the whole response was received.
	Complete Outcome = "complete"
	// NotRun means that no byte of the request was sent to an upstream.
	NotRun Outcome = "notRun"
	// Failed means that the request ran and failed.
	Failed Outcome = "failed"
	// Unknown means that the request may have run, for example because it was sent
	// and no response was received.
	Unknown Outcome = "unknown"
)

// HTTP headers of requests and responses.
const (
	HeaderOutcome   = "Foxtail-Outcome"
	HeaderReason    = "Foxtail-Reason"
	HeaderRequestID = "Foxtail-Request-Id"
	HeaderTicket    = "Foxtail-Ticket"
	// HeaderTimeout carries the caller's own time limit, in seconds.
	HeaderTimeout = "Foxtail-Timeout"
)

// Refusal reasons other than those of a pool's owner.
const (
	reasonUnauthorized         = "unauthorized"
	reasonMalformed            = "malformed"
	reasonUnknownModel         = "unknownModel"
	reasonUnknownService       = "unknownService"
	reasonTooLarge             = "tooLarge"
	reasonConcurrency          = "concurrency"
	reasonNotReady             = "notReady"
	reasonTicketNeeded         = "ticketNeeded"
	reasonTicketInvalid        = "ticketInvalid"
	reasonTicketOtherWorkspace = "ticketOfAnotherWorkspace"
	reasonTicketExpired        = "ticketExpired"
	reasonTicketMismatch       = "ticketUsedForAnotherCall"
	reasonIssuerGone           = "ticketIssuerGone"
	reasonIssuerUnreachable    = "ticketIssuerUnreachable"
	reasonTooManyTickets       = "tooManyTickets"
	reasonUpstreamBrokeOff     = "upstreamBrokeOff"
	reasonUpstreamDidNotAnswer = "upstreamDidNotAnswer"
	reasonUpstreamError        = "upstreamError"
	reasonCallerGone           = "callerGone"
	reasonNotDispatched        = "notDispatched"
	reasonTimeout              = "timeout"
	reasonInternal             = "internal"
	reasonNotFound             = "notFound"
	reasonMethodNotAllowed     = "methodNotAllowed"
)

// refusal is a response that is sent to a caller in place of an upstream's.
type refusal struct {
	status     int
	outcome    Outcome
	reason     string
	detail     string
	retryAfter time.Duration
}

// problem is the body of a refusal as problem details of RFC 9457. Its JSON
// keys are part of the API.
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

// titles maps outcomes to the titles of problem details.
var titles = map[Outcome]string{
	NotRun:  "The request was refused and not run.",
	Failed:  "The request ran and failed.",
	Unknown: "The request was sent and it is not known whether it ran.",
}

// problemJSON returns the body of a refusal. It includes attendedFrom, the time
// from which operators are on duty, if that is later than now.
func (f refusal) problemJSON(id string, attendedFrom, now time.Time) []byte {
	p := problem{
		Type:              "about:blank#" + f.reason,
		Title:             titles[f.outcome],
		Status:            f.status,
		Detail:            f.detail,
		Outcome:           f.outcome,
		Reason:            f.reason,
		RequestID:         id,
		RetryAfterSeconds: ceilSeconds(f.retryAfter),
	}
	if attendedFrom.After(now) {
		p.AttendedFrom = &attendedFrom
	}
	body, _ := json.Marshal(p)
	return body
}

// ceilSeconds returns a duration in seconds, rounded up.
func ceilSeconds(d time.Duration) int {
	return int(math.Ceil(d.Seconds()))
}

// writeRefusal sends a refusal to the caller.
func (r *Receiver) writeRefusal(c fiber.Ctx, id string, f refusal) error {
	now := time.Now()
	attendedFrom := now
	if cfg := r.tracker.Config(); cfg != nil {
		attendedFrom = cfg.Directory().AttendedFrom(now)
	}
	c.Set(HeaderOutcome, string(f.outcome))
	c.Set(HeaderReason, f.reason)
	c.Set(HeaderRequestID, id)
	if f.retryAfter > 0 {
		c.Set(fiber.HeaderRetryAfter, strconv.Itoa(ceilSeconds(f.retryAfter)))
	}
	c.Set(fiber.HeaderContentType, "application/problem+json")
	return c.Status(f.status).Send(f.problemJSON(id, attendedFrom, now))
}

// notRunRefusal returns the refusal of a request that was not run.
func notRunRefusal(status int, reason, detail string) refusal {
	return refusal{status: status, outcome: NotRun, reason: reason, detail: detail}
}

// convertRefusal converts a refusal of the forwarder to the one that is sent to
// the caller.
func convertRefusal(f forwarder.Refusal) refusal {
	switch {
	case f.Outcome == forwarder.NotRun || f.Outcome == forwarder.OverQuota:
		return convertNotRun(f)
	case f.Reason == reasonInternal:
		return refusal{status: fiber.StatusInternalServerError, outcome: Unknown, reason: reasonInternal}
	case f.Reason == reasonCallerGone:
		return refusal{status: fiber.StatusBadGateway, outcome: outcomeAfterDispatch(f), reason: reasonCallerGone}
	case f.Outcome == forwarder.TimedOut:
		return refusal{status: fiber.StatusGatewayTimeout, outcome: outcomeAfterDispatch(f), reason: reasonTimeout, detail: "The answer did not come in time."}
	case f.ResponseStarted:
		return refusal{status: fiber.StatusBadGateway, outcome: Failed, reason: reasonUpstreamBrokeOff, detail: "The upstream broke off its answer."}
	default:
		return refusal{status: fiber.StatusBadGateway, outcome: Unknown, reason: reasonUpstreamDidNotAnswer, detail: "The upstream broke off before it answered."}
	}
}

// outcomeAfterDispatch returns Failed for a dispatched request that has run,
// and Unknown for one that may have.
func outcomeAfterDispatch(f forwarder.Refusal) Outcome {
	if f.ResponseStarted {
		return Failed
	}
	return Unknown
}

// convertNotRun converts a refusal of the forwarder for a request that was sent
// to no upstream.
func convertNotRun(f forwarder.Refusal) refusal {
	refused := notRunRefusal(fiber.StatusServiceUnavailable, f.Reason, details[f.Reason])
	refused.retryAfter = f.RetryAfter
	switch f.Reason {
	case admitter.Quarantined.String():
		refused.status, refused.retryAfter = fiber.StatusUnprocessableEntity, 0
	case admitter.Late.String():
		refused.status = fiber.StatusGatewayTimeout
	case reasonCallerGone:
		refused.retryAfter = 0
	}
	if refused.detail == "" && f.Reason != reasonCallerGone {
		refused.reason, refused.detail = reasonNotDispatched, "No upstream took the request."
	}
	return refused
}

// details maps reasons why a request was not granted a slot to the texts for
// callers.
var details = map[string]string{
	admitter.Shed.String():        "There is no capacity for requests of this standing now.",
	admitter.Late.String():        "The request can't be finished within its time.",
	admitter.NoUpstream.String():  "No upstream takes new work for this model or service now.",
	admitter.Quarantined.String(): "This request has crashed upstreams twice and is not run again.",
	admitter.NotOwner.String():    "No host looks after this model or service now.",
	admitter.Stopping.String():    "The host is about to stop.",
	admitter.Unreachable.String(): "No host that looks after this model or service answers.",
}
