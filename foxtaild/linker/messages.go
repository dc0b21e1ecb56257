package linker

import (
	"bytes"
	"encoding/gob"
	"time"

	"github.com/rotisserie/eris"

	"foxtaillug.org/foxtaild/directory"
	"foxtaillug.org/scheduler/coordinator"
	"foxtaillug.org/scheduler/observer"
)

// frame is a message on a link, from the host that dialled it.
type frame struct {
	// Hello is set in the first frame of a link.
	Hello *hello
	// Asks are admission requests.
	Asks     []coordinator.Request
	Finishes []coordinator.Finish
	Progress []coordinator.Progress
	// Withdrawn lists the IDs of admission requests that no longer need a
	// decision.
	Withdrawn []uint64
	Summary   *coordinator.Summary
	// Observed is what the entry host has read in responses of upstreams.
	Observed []observer.Observation
	// Ping requests an empty response.
	Ping bool
	// Fetch requests a snapshot of the directory.
	Fetch bool
	// Follow subscribes to the directory: a snapshot now, then every change.
	Follow bool
	// Mark numbers a moment at which the host sent it; 0 if the frame marks none. The
	// directory's updates name the last one that has arrived.
	Mark uint64
	// Deltas reports, beside Fetch or Follow, that the host understands deltas of the
	// configuration. Version and Digest are those of its configuration, 0 if it has none.
	Deltas          bool
	Version, Digest uint64
}

// hello names the entry host that dialled a link and lists its running requests.
type hello struct {
	Entry   string
	Running []coordinator.Running
	// Observed are the upstreams' limits that the entry host knows.
	Observed []observer.Observation
}

// response is a message on a link, to the host that dialled it.
type response struct {
	Decisions []coordinator.Decision
	// Observed are changes of upstreams' limits that the coordinator has recorded.
	Observed []observer.Observation
	// Ejected lists the upstreams that the coordinator has out of service for their failures.
	Ejected []string
	// Shares are the workspaces over their share, for a time in which the entry host
	// decides for itself; nil in messages that say nothing of them.
	Shares *shares
	// Snapshot is an encoded directory.Snapshot, so that one that is sent to many
	// hosts is encoded only once.
	Snapshot []byte
	// Current reports that the receiver has been sent everything that the
	// sender read from the store; the store last responded Age ago.
	Current bool
	Age     time.Duration
	// Mark is the receiver's last mark that has arrived at the sender, and SyncedAfter the
	// time from then to the store's last response, which may be negative. Unlike Age, they
	// tell how old an update is that was on its way for long. Mark is 0 from hosts of
	// builds without marks.
	Mark        uint64
	SyncedAfter time.Duration
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
