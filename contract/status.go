package contract

import "time"

// HostStatus is a host's status as its admin interface reports it. The fields
// are the wire format. Conflict is whether two different configurations had the
// same version number.
type HostStatus struct {
	Host                 string           `json:"host"`
	Incarnation          string           `json:"incarnation"`
	Ready                bool             `json:"ready"`
	Stopping             bool             `json:"stopping"`
	Version              uint64           `json:"version"`
	Digest               string           `json:"digest"`
	InForceSince         time.Time        `json:"inForceSince"`
	Conflict             bool             `json:"conflict"`
	Hosts                int              `json:"hosts"`
	InProgress           int64            `json:"inProgress"`
	ControlBytesSent     int64            `json:"controlBytesSent"`
	ControlBytesReceived int64            `json:"controlBytesReceived"`
	ControlWrites        int64            `json:"controlWrites"`
	Upstreams            []UpstreamStatus `json:"upstreams"`
}

// UpstreamStatus is the status of an upstream as the admin interface of one
// host reports it. The fields are the wire format.
type UpstreamStatus struct {
	Name    string `json:"name"`
	Slots   int    `json:"slots"`
	Limit   int    `json:"limit"`
	Running int    `json:"running"`
	Cold    bool   `json:"cold"`
	State   string `json:"state"`
}

// Explanation is a host's record of one request, as its admin interface
// reports it. The fields are the wire format; WaitedMs and TotalMs are in
// milliseconds.
type Explanation struct {
	RequestID  string    `json:"requestId"`
	At         time.Time `json:"at"`
	Workspace  string    `json:"workspace"`
	Tier       string    `json:"tier"`
	Pool       string    `json:"pool"`
	Owner      string    `json:"owner,omitempty"`
	Upstream   string    `json:"upstream,omitempty"`
	Outcome    string    `json:"outcome"`
	Reason     string    `json:"reason,omitempty"`
	WaitedMs   int64     `json:"waitedMs"`
	TotalMs    int64     `json:"totalMs"`
	Dispatches int       `json:"dispatches"`
}
