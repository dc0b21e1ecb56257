package relayer

import (
	"net/http"
	"time"

	"foxtaillug.org/foxtaild/forwarder"
)

// message is sent by the host that hands a request over. One of its fields is set.
type message struct {
	Offer   *offer
	Request *handedOver
}

// offer describes a request that another host may take.
type offer struct {
	// Host is the name of the host that makes the offer.
	Host string
	Pool string
	// Bytes is the size of the request's body.
	Bytes int
}

// handedOver is a request whose times are durations, because the clocks of hosts differ.
type handedOver struct {
	Request forwarder.Request
	// Left is the time until the request's deadline.
	Left time.Duration
}

// answer is the answer to an offer.
type answer uint8

// The answers to offers.
const (
	noAnswer answer = iota
	// taken means that the host waits for the request.
	taken
	// cutOff means that the host is itself cut off from upstreams, busy that it carries too
	// much for other hosts, and stopping that it is about to end.
	cutOff
	busy
	stopping
)

// String returns the name of the answer as it is logged.
func (a answer) String() string {
	return [...]string{"noAnswer", "taken", "cutOff", "busy", "stopping"}[min(a, stopping)]
}

// reply is sent by the host that is offered a request. One of its fields is set.
type reply struct {
	Answer  answer
	Head    *head
	Data    []byte
	Refusal *forwarder.Refusal
	// Abort is set if a response that has begun ends without being whole.
	Abort *forwarder.Refusal
	// End is set after the last part of a response, a refusal or an abort.
	End bool
}

// head is the head of a response.
type head struct {
	Status int
	Header http.Header
	// Length is the length of the body, or negative if it is a stream.
	Length int
}
