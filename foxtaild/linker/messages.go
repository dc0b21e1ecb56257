package linker

import (
	"bytes"
	"encoding/gob"
	"time"

	"github.com/rotisserie/eris"

	"foxtaillug.org/foxtaild/directory"
	"foxtaillug.org/scheduler/coordinator"
)

// frame is a message from a host to a coordinator or to any other peer.
type frame struct {
	// Hello is set in the first frame of a link.
	Hello     *hello
	Asks      []coordinator.Request
	Finishes  []coordinator.Finish
	Progress  []coordinator.Progress
	Withdrawn []uint64
	Summary   *coordinator.Summary
	// Ping requests an empty response.
	Ping bool
	// Fetch requests a snapshot of the directory.
	Fetch bool
	// Follow subscribes to the directory: a snapshot now, then every change.
	Follow bool
}

// hello names the entry host and its requests that run on the coordinator's
// upstreams.
type hello struct {
	Entry   string
	Running []coordinator.Running
}

// response is a message from a coordinator to an entry host.
type response struct {
	Decisions []coordinator.Decision
	// Snapshot is an encoded directory.Snapshot. It is encoded once, however
	// many hosts it is sent to.
	Snapshot []byte
	// Current reports that the receiver has been sent everything that the
	// sender read from the store; the store last answered Age ago.
	Current bool
	Age     time.Duration
}

// encodeSnapshot encodes a snapshot as a gob stream of its own.
func encodeSnapshot(s directory.Snapshot) (b []byte, err error) {
	var buf bytes.Buffer
	err = gob.NewEncoder(&buf).Encode(&s)
	return buf.Bytes(), eris.Wrap(err, "encode snapshot")
}

// decodeSnapshot is the inverse of encodeSnapshot.
func decodeSnapshot(b []byte) (s directory.Snapshot, err error) {
	err = gob.NewDecoder(bytes.NewReader(b)).Decode(&s)
	return s, eris.Wrap(err, "decode snapshot")
}
