package linker

import (
	"bytes"
	"encoding/gob"
	"time"

	"github.com/rotisserie/eris"

	"foxtaillug.org/foxtaild/directory"
	"foxtaillug.org/scheduler/coordinator"
)

// frame is what a host sends to a coordinator, or to any peer.
type frame struct {
	// Hello opens a link.
	Hello     *hello
	Asks      []coordinator.Request
	Finishes  []coordinator.Finish
	Progress  []coordinator.Progress
	Withdrawn []uint64
	Summary   *coordinator.Summary
	// Ping asks for a frame in return.
	Ping bool
	// Fetch asks for a snapshot of the directory.
	Fetch bool
	// Follow asks for a snapshot now and for every change from then on.
	Follow bool
}

// hello names the entry and what it runs on the coordinator's upstreams.
type hello struct {
	Entry   string
	Running []coordinator.Running
}

// response is what a coordinator sends back.
type response struct {
	Decisions []coordinator.Decision
	// Snapshot is an encoded directory.Snapshot: it is encoded once, however
	// many hosts it is sent to.
	Snapshot []byte
	// Current says that the receiver has been told everything that the sender
	// read from the store, whose last answer came Age ago.
	Current bool
	Age     time.Duration
}

// encodeSnapshot encodes a snapshot by itself.
func encodeSnapshot(s directory.Snapshot) (b []byte, err error) {
	var buf bytes.Buffer
	err = gob.NewEncoder(&buf).Encode(&s)
	return buf.Bytes(), eris.Wrap(err, "encode a snapshot")
}

// decodeSnapshot is the inverse of encodeSnapshot.
func decodeSnapshot(b []byte) (s directory.Snapshot, err error) {
	err = gob.NewDecoder(bytes.NewReader(b)).Decode(&s)
	return s, eris.Wrap(err, "decode a snapshot")
}
