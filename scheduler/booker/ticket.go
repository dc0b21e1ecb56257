package booker

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"foxtaillug.org/scheduler"
)

// ErrInvalidTicket is returned for a ticket that is malformed, forged or
// signed with another key.
var ErrInvalidTicket = eris.New("invalid ticket")

// ticketVersion is the format version, the first field of every ticket.
const ticketVersion = "t1"

// ticketFieldCount is the number of fields, including the keyed hash.
const ticketFieldCount = 7

// Ticket allows one call to run at most once. Its age is how long the issuing
// process incarnation had run when it issued the ticket; unlike a time of day, it
// does not depend on the wall clock.
type Ticket struct {
	host        scheduler.HostID
	incarnation scheduler.IncarnationID
	workspace   scheduler.WorkspaceID
	age         time.Duration
	nonce       string
}

// NewTicket returns a ticket whose call only the given incarnation of host may
// run.
func NewTicket(host scheduler.HostID, incarnation scheduler.IncarnationID, workspace scheduler.WorkspaceID, age time.Duration, nonce string) Ticket {
	return Ticket{host: host, incarnation: incarnation, workspace: workspace, age: age, nonce: nonce}
}

// Host returns the host that issued the ticket.
func (t Ticket) Host() scheduler.HostID { return t.host }

// Incarnation returns the process incarnation that issued the ticket.
func (t Ticket) Incarnation() scheduler.IncarnationID { return t.incarnation }

// Workspace returns the workspace to which the ticket was issued.
func (t Ticket) Workspace() scheduler.WorkspaceID { return t.workspace }

// Age returns how long the issuing incarnation had run when it issued the ticket.
func (t Ticket) Age() time.Duration { return t.age }

// Nonce returns the part that makes the ticket unique.
func (t Ticket) Nonce() string { return t.nonce }

// Encode returns the ticket as text, signed with key.
func (t Ticket) Encode(key []byte) string {
	plain := strings.Join([]string{
		ticketVersion,
		encodeField(string(t.host)),
		encodeField(string(t.incarnation)),
		encodeField(string(t.workspace)),
		strconv.FormatInt(t.age.Milliseconds(), 36),
		encodeField(t.nonce),
	}, ".")
	return plain + "." + sign(plain, key)
}

// encodeField encodes a field so that it contains no dot, the separator of
// fields.
func encodeField(s string) string {
	return base64.RawURLEncoding.EncodeToString([]byte(s))
}

// sign returns the HMAC-SHA256 of a ticket's fields.
func sign(plain string, key []byte) string {
	h := hmac.New(sha256.New, key)
	_, _ = h.Write([]byte(plain))
	return base64.RawURLEncoding.EncodeToString(h.Sum(nil))
}

// DecodeTicket parses a ticket and verifies its keyed hash in constant time. It
// returns ErrInvalidTicket if the ticket is malformed or the hash does not match.
func DecodeTicket(text string, key []byte) (t Ticket, err error) {
	defer func() {
		if err != nil {
			err = eris.Wrap(ErrInvalidTicket, err.Error())
		}
	}()
	fields := strings.Split(text, ".")
	if len(fields) != ticketFieldCount || fields[0] != ticketVersion {
		return Ticket{}, eris.New("ticket has an unknown version or a wrong number of fields")
	}
	plain := text[:strings.LastIndexByte(text, '.')]
	if !hmac.Equal([]byte(fields[6]), []byte(sign(plain, key))) {
		return Ticket{}, eris.New("ticket hash does not match the key")
	}
	return decodeFields(fields)
}

// decodeFields parses the fields of a ticket whose hash has been verified.
func decodeFields(fields []string) (t Ticket, err error) {
	var decoded [5]string
	for i, f := range []string{fields[1], fields[2], fields[3], fields[5]} {
		b, err := base64.RawURLEncoding.DecodeString(f)
		if err != nil {
			return Ticket{}, err
		}
		decoded[i] = string(b)
	}
	ms, err := strconv.ParseInt(fields[4], 36, 64)
	if err != nil {
		return Ticket{}, err
	}
	return NewTicket(
		scheduler.HostID(decoded[0]),
		scheduler.IncarnationID(decoded[1]),
		scheduler.WorkspaceID(decoded[2]),
		time.Duration(ms)*time.Millisecond,
		decoded[3],
	), nil
}
