package linker

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"foxtaillug.org/scheduler/pinner"
)

const (
	// maxOriginElements and maxOriginNesting bound the arrays of a received message on
	// origins. A datagram holds fewer elements than that.
	maxOriginElements = 1024
	maxOriginNesting  = 8
	// originsHeaderBytes, maxOriginBytes and maxCopyBytes are the sizes of the parts of
	// a message with copies: what precedes them, what precedes those of one origin
	// without its two names, and the largest copy.
	originsHeaderBytes = 8
	maxOriginBytes     = 12
	maxCopyBytes       = 15
	// cborArray is the major type of a message on origins, in the upper bits of its first
	// byte. Membership messages are maps, so that neither can be read as the other.
	cborArray, cborMajorShift = 4, 5
)

// originsMessage is a datagram on the origins of streams. One of the fields is set.
type originsMessage struct {
	_        struct{} `cbor:",toarray"`
	Copies   []originCopies
	Question *originQuestion
	Answer   *originAnswer
}

// originCopies are the records of streams that began at one origin.
type originCopies struct {
	_             struct{} `cbor:",toarray"`
	Pool, Version string
	Records       []originRecord
}

// originRecord is the record of one stream.
type originRecord struct {
	_   struct{} `cbor:",toarray"`
	Key uint64
	// LeftMs is the time for which the record is kept, in ms.
	LeftMs uint32
}

// originQuestion asks for the origin of a stream. The answer repeats its number, which is
// random and used for one host and one inquiry.
type originQuestion struct {
	_           struct{} `cbor:",toarray"`
	Number, Key uint64
	Route       string
}

// witnessBit is set in the Knowledge of a host that has run since before the stream began. It
// is sent only in answers on content keys, which builds that don't know it never ask for.
const witnessBit = 1 << 4

// originAnswer answers a question.
type originAnswer struct {
	_             struct{} `cbor:",toarray"`
	Number        uint64
	Knowledge     pinner.Knowledge
	Pool, Version string
}

// answer returns what the message says. Knowledge of a kind that this build does not have
// is none, but its origin may contradict the answers of others.
func (a *originAnswer) answer() pinner.Answer {
	o, k := pinner.Origin{Pool: a.Pool, Version: a.Version}, a.Knowledge&^witnessBit
	switch {
	case k == pinner.Recorded, k == pinner.Sole && o.Version != "":
		return pinner.Answer{Knowledge: k, Origin: o}
	case k == pinner.Mixed:
		return pinner.Answer{Knowledge: pinner.Mixed}
	}
	return pinner.Answer{Origin: o}
}

// originsDecoding reads messages on origins.
var originsDecoding = func() cbor.DecMode {
	m, err := cbor.DecOptions{
		MaxArrayElements: maxOriginElements, MaxNestedLevels: maxOriginNesting,
		IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err) // The options are constant.
	}
	return m
}()

// isOriginsMessage reports whether a datagram is a message on origins. It may be invalid.
func isOriginsMessage(b []byte) bool { return len(b) > 0 && b[0]>>cborMajorShift == cborArray }

// decodeOrigins decodes a message on origins.
func decodeOrigins(b []byte) (m originsMessage, err error) {
	err = originsDecoding.Unmarshal(b, &m)
	return m, eris.Wrap(err, "decode message on origins")
}

// queuedCopy is a record to be sent to another host.
type queuedCopy struct {
	key    pinner.Key
	origin pinner.Origin
	until  time.Time
}

// packCopies returns a message with the first copies of a queue that fit into a datagram,
// and the rest of the queue. Records of streams that have ended are left out, and so are
// those whose names don't fit.
func packCopies(queue []queuedCopy, now time.Time) (m originsMessage, n int, rest []queuedCopy) {
	size := originsHeaderBytes
	groups := make(map[pinner.Origin]int)
	for i, c := range queue {
		cost, left := maxCopyBytes, c.until.Sub(now)
		group, known := groups[c.origin]
		if !known {
			cost += maxOriginBytes + len(c.origin.Pool) + len(c.origin.Version)
		}
		if left <= 0 || originsHeaderBytes+cost > maxDatagramBytes {
			continue
		}
		if size+cost > maxDatagramBytes {
			return m, n, queue[i:]
		}
		if !known {
			group = len(m.Copies)
			groups[c.origin] = group
			m.Copies = append(m.Copies, originCopies{Pool: c.origin.Pool, Version: c.origin.Version})
		}
		size += cost
		n++
		left = min(left, maxRecordLife)
		m.Copies[group].Records = append(m.Copies[group].Records, originRecord{Key: uint64(c.key), LeftMs: uint32(left.Milliseconds())})
	}
	return m, n, nil
}
