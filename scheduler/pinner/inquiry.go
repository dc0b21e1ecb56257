package pinner

// agreeingPeers is the number of other hosts with the same sole origin that are enough, if
// this host has none of its own.
const agreeingPeers = 2

// Inquiry combines what several hosts know of the origin of one stream.
type Inquiry struct {
	own     Answer
	pending int
	alone   bool
	// recorded and sole are the origins of the answers; conflict reports whether two
	// of them differ.
	recorded, sole *Origin
	// soles counts the other hosts whose answer is Sole.
	soles           int
	mixed, conflict bool
}

// NewInquiry returns an inquiry with this host's own answer, for a number of other hosts
// that are asked. alone reports whether the fleet has no other host.
func NewInquiry(own Answer, asked int, alone bool) *Inquiry {
	q := &Inquiry{own: own, pending: asked, alone: alone}
	q.merge(own)
	return q
}

// Add adds the answer of another host.
func (q *Inquiry) Add(a Answer) {
	q.pending--
	if a.Knowledge == Sole {
		q.soles++
	}
	q.merge(a)
}

// merge adds an answer.
func (q *Inquiry) merge(a Answer) {
	switch a.Knowledge {
	case Recorded:
		q.conflict = q.conflict || a.Origin == Origin{} || q.recorded != nil && *q.recorded != a.Origin
		q.recorded = &a.Origin
	case Sole:
		q.mixed = q.mixed || q.sole != nil && *q.sole != a.Origin
		q.sole = &a.Origin
	case Mixed:
		q.mixed = true
	}
}

// Done reports whether further answers are not needed.
func (q *Inquiry) Done() bool {
	if q.recorded != nil || q.pending <= 0 {
		return true
	}
	return !q.mixed && (q.own.Knowledge == Sole && q.soles > 0 || q.soles >= agreeingPeers)
}

// Origin returns the stream's origin if it is known by the answers so far. A sole origin
// counts only if another host confirms it, as a host that is cut off may have missed one.
func (q *Inquiry) Origin() (o Origin, ok bool) {
	switch {
	case q.conflict:
		return o, false
	case q.recorded != nil:
		return *q.recorded, true
	case q.mixed || q.sole == nil:
		return o, false
	case q.soles > 0 || q.alone:
		return *q.sole, true
	}
	return o, false
}
