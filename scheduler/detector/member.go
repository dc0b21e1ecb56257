package detector

import "cmp"

// Status is what is believed of a member.
type Status uint8

// The statuses, in the order in which they override each other within one
// incarnation.
const (
	Alive Status = iota
	Suspect
	Dead
)

// Member is one host's process as others know it.
type Member struct {
	ID          string `cbor:"1,keyasint"`
	Address     string `cbor:"2,keyasint"`
	Domain      string `cbor:"3,keyasint"`
	Region      string `cbor:"4,keyasint"`
	Incarnation uint64 `cbor:"5,keyasint"`
	Status      Status `cbor:"6,keyasint,omitempty"`
	// StartIncarnation is the incarnation with which the process started; it orders
	// processes by age.
	StartIncarnation uint64 `cbor:"7,keyasint"`
	// Version is the configuration's version in force at the member, and
	// Revision how far it has read the store.
	Version  uint64 `cbor:"8,keyasint,omitempty"`
	Revision uint64 `cbor:"9,keyasint,omitempty"`
	// Leaving members take no new duties.
	Leaving bool `cbor:"10,keyasint,omitempty"`
}

// Older reports whether a member's process has run longer than another's.
func (m Member) Older(o Member) bool {
	return cmp.Or(cmp.Compare(m.StartIncarnation, o.StartIncarnation), cmp.Compare(m.ID, o.ID)) < 0
}

// Kind is the kind of a message.
type Kind uint8

// The kinds of messages.
const (
	Ping Kind = iota
	Ack
	PingRequest
)

// Message is what hosts send each other.
type Message struct {
	Kind Kind   `cbor:"1,keyasint"`
	Seq  uint64 `cbor:"2,keyasint"`
	// From describes the sender itself.
	From Member `cbor:"3,keyasint"`
	// Target is the address to be pinged for the sender.
	Target string `cbor:"4,keyasint,omitempty"`
	// OldestDigest is a digest of who the sender believes to be the oldest of each
	// failure domain.
	OldestDigest uint64 `cbor:"6,keyasint,omitempty"`
	// Members are what the sender believes of others.
	Members []Member `cbor:"5,keyasint,omitempty"`
}

// Packet is a message on its way to an address.
type Packet struct {
	To      string
	Message Message
}
