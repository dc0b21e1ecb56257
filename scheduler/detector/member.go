package detector

import "cmp"

// Status is the state of a member in a host's view.
type Status uint8

// The statuses. Within one incarnation, a later status overrides an earlier one.
const (
	Alive Status = iota
	Suspect
	Dead
)

// Member is the record of one host's process that hosts exchange.
type Member struct {
	ID      string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
	Domain  string `cbor:"3,keyasint"`
	Region  string `cbor:"4,keyasint"`
	// Incarnation orders the records of a member: a higher one replaces a lower
	// one. A process starts with its start time in Unix milliseconds and raises
	// the incarnation to override outdated records, such as a suspicion.
	Incarnation uint64 `cbor:"5,keyasint"`
	Status      Status `cbor:"6,keyasint,omitempty"`
	// StartIncarnation is the incarnation with which the process started. It
	// orders processes by age.
	StartIncarnation uint64 `cbor:"7,keyasint"`
	// Version is the version of the configuration in force at the member, and
	// Revision is the store revision up to which it has read.
	Version  uint64 `cbor:"8,keyasint,omitempty"`
	Revision uint64 `cbor:"9,keyasint,omitempty"`
	// Leaving means that the member takes on no new duties.
	Leaving bool `cbor:"10,keyasint,omitempty"`
	// Era is the era of the store to which Revision belongs.
	Era uint64 `cbor:"11,keyasint,omitempty"`
}

// ComparePosition orders members by the position in the store up to which they have
// read.
func (m Member) ComparePosition(o Member) int {
	return cmp.Or(cmp.Compare(m.Era, o.Era), cmp.Compare(m.Revision, o.Revision))
}

// Older reports whether m's process started before o's. Equal start incarnations
// are ordered by ID.
func (m Member) Older(o Member) bool {
	return cmp.Or(cmp.Compare(m.StartIncarnation, o.StartIncarnation), cmp.Compare(m.ID, o.ID)) < 0
}

// Kind is the type of a message.
type Kind uint8

// The message types.
const (
	Ping Kind = iota
	Ack
	PingRequest
)

// Message is a message between two hosts.
type Message struct {
	Kind Kind   `cbor:"1,keyasint"`
	Seq  uint64 `cbor:"2,keyasint"`
	// From is the sender's record of itself.
	From Member `cbor:"3,keyasint"`
	// Target is the address that a PingRequest asks the recipient to ping.
	Target string `cbor:"4,keyasint,omitempty"`
	// OldestDigest is a digest of the members that the sender considers the oldest
	// of each failure domain; 0 means that the message carries none.
	OldestDigest uint64 `cbor:"6,keyasint,omitempty"`
	// Members are records of other members in the sender's view.
	Members []Member `cbor:"5,keyasint,omitempty"`
}

// Packet is a message to be sent to an address.
type Packet struct {
	To      string
	Message Message
}
