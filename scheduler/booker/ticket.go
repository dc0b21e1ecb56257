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

// ErrInvalidTicket says that a ticket is malformed, forged or somebody else's.
var ErrInvalidTicket = eris.New("invalid ticket")

// ticketVersion is the first field of every ticket.
const ticketVersion = "t1"

// ticketFields is the number of fields, the keyed hash included.
const ticketFields = 7

// Ticket is the right to have one call run at most once. Age is how old the
// issuing incarnation was, a time that no wall clock can change.
type Ticket struct {
	host        scheduler.HostID
	incarnation scheduler.IncarnationID
	workspace   scheduler.WorkspaceID
	age         time.Duration
	nonce       string
}

// NewTicket returns a ticket that only the incarnation of host may run.
func NewTicket(host scheduler.HostID, incarnation scheduler.IncarnationID, workspace scheduler.WorkspaceID, age time.Duration, nonce string) Ticket {
	return Ticket{host: host, incarnation: incarnation, workspace: workspace, age: age, nonce: nonce}
}

// Host returns the host that issued the ticket.
func (t Ticket) Host() scheduler.HostID { return t.host }

// Incarnation returns the process that issued the ticket.
func (t Ticket) Incarnation() scheduler.IncarnationID { return t.incarnation }

// Workspace returns the workspace that took the ticket.
func (t Ticket) Workspace() scheduler.WorkspaceID { return t.workspace }

// Age returns how old the issuing incarnation was.
func (t Ticket) Age() time.Duration { return t.age }

// Nonce returns the part that makes the ticket unique.
func (t Ticket) Nonce() string { return t.nonce }

// Encode returns the ticket as text, under a hash keyed with key.
func (t Ticket) Encode(key []byte) string {
	plain := strings.Join([]string{
		ticketVersion,
		encodeField(string(t.host)),
		encodeField(string(t.incarnation)),
		encodeField(string(t.workspace)),
		strconv.FormatInt(t.age.Milliseconds(), 36),
		encodeField(t.nonce),
	}, ".")
	return plain + "." + seal(plain, key)
}

// encodeField makes a field safe for the dotted form.
func encodeField(s string) string {
	return base64.RawURLEncoding.EncodeToString([]byte(s))
}

// seal returns the keyed hash of a ticket's fields.
func seal(plain string, key []byte) string {
	h := hmac.New(sha256.New, key)
	_, _ = h.Write([]byte(plain))
	return base64.RawURLEncoding.EncodeToString(h.Sum(nil))
}

// DecodeTicket reads a ticket and checks its hash in constant time.
func DecodeTicket(text string, key []byte) (t Ticket, err error) {
	defer func() {
		if err != nil {
			err = eris.Wrap(ErrInvalidTicket, err.Error())
		}
	}()
	fields := strings.Split(text, ".")
	if len(fields) != ticketFields || fields[0] != ticketVersion {
		return Ticket{}, eris.New("not a ticket")
	}
	plain := text[:strings.LastIndexByte(text, '.')]
	if !hmac.Equal([]byte(fields[6]), []byte(seal(plain, key))) {
		return Ticket{}, eris.New("not issued here")
	}
	return decodeFields(fields)
}

// decodeFields reads the fields of a ticket whose hash was right.
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
