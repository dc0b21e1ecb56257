package linker

import (
	"time"

	"foxtaillug.org/foxtaild/directory"
	"foxtaillug.org/scheduler/coordinator"
)

// frame is what a host sends to a coordinator, or to any peer.
type frame struct {
	// Hello opens a link.
	Hello     *hello
	Asks      []coordinator.Ask
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
	Snapshot  *directory.Snapshot
	// Current says that the receiver has been told everything that the sender
	// read from the store, whose last answer came Age ago.
	Current bool
	Age     time.Duration
}
