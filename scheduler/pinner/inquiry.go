package pinner

// confirmations is the number of hosts, this one included, that must find the same sole
// origin.
const confirmations = 2

// Inquiry combines what several hosts know of the origin of one stream.
type Inquiry struct {
	asked, pending int
	alone          bool
	// byContent reports whether the stream is known only by its content, and witnessed
	// whether a host that has answered was running when it began.
	byContent, witnessed bool
	// recorded and sole are the origins of the answers; conflict reports whether two
	// records differ, and mixed whether several origins have been possible.
	recorded, sole  *Origin
	mixed, conflict bool
	// soles counts the hosts whose answer is Sole, and peers those that are others.
	soles, peers int
	// seen are the origins of hosts that can't tell.
	seen []Origin
}

// InquiryOption configures an Inquiry.
type InquiryOption func(*Inquiry)

// ByContent makes an inquiry one for a stream that its caller does not name. Records are
// those of any stream with the same content: one of them decides only when all hosts have
// answered, none has another, and a host that has run since before the stream began is among
// them. Without that host the stream's own record may be lost, and the one that is found may
// be that of a later stream.
func ByContent() InquiryOption { return func(q *Inquiry) { q.byContent = true } }

// NewInquiry returns an inquiry with this host's own answer, for a number of other hosts
// that are asked. alone reports whether the fleet has no other host; hosts that don't
// respond are others.
func NewInquiry(own Answer, asked int, alone bool, opts ...InquiryOption) *Inquiry {
	q := &Inquiry{asked: asked, pending: asked, alone: alone}
	for _, opt := range opts {
		opt(q)
	}
	q.merge(own)
	return q
}

// Witness records that a host which has answered has run since before the stream began.
func (q *Inquiry) Witness() { q.witnessed = true }

// Add adds the answer of another host.
func (q *Inquiry) Add(a Answer) {
	q.pending--
	if a.Knowledge == Sole {
		q.peers++
	}
	q.merge(a)
}

// merge adds an answer.
func (q *Inquiry) merge(a Answer) {
	switch a.Knowledge {
	case Recorded:
		q.conflict = q.conflict || a.Origin.Version == "" || q.recorded != nil && *q.recorded != a.Origin
		q.recorded = &a.Origin
	case Sole:
		q.mixed = q.mixed || a.Origin.Version == "" || q.sole != nil && *q.sole != a.Origin
		q.sole = &a.Origin
		q.soles++
	case Mixed:
		q.mixed = true
	default:
		if a.Origin != (Origin{}) {
			q.seen = append(q.seen, a.Origin)
		}
	}
}

// Done reports whether further answers are not needed. A sole origin is not enough, as
// the record of a stream at a version that few hosts have seen may be still to come.
func (q *Inquiry) Done() bool { return q.recorded != nil && !q.byContent || q.pending <= 0 }

// Origin returns the stream's origin if it is known by the answers so far, which it is by
// any record of a stream that is named. A sole origin counts only if another host confirms
// it and none contradicts.
func (q *Inquiry) Origin() (o Origin, ok bool) {
	switch {
	case q.conflict, q.byContent && q.recorded != nil && !q.witnessed:
		return o, false
	case q.recorded != nil:
		return *q.recorded, true
	case q.mixed || q.sole == nil || !q.confirmed():
		return o, false
	}
	for _, seen := range q.seen {
		if seen != *q.sole {
			return o, false
		}
	}
	return *q.sole, true
}

// confirmed reports whether enough hosts have found the sole origin. If there is only one
// to ask, that one is enough.
func (q *Inquiry) confirmed() bool {
	return q.alone || q.peers > 0 && (q.soles >= confirmations || q.asked == 1)
}
