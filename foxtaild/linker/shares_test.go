package linker

import (
	"encoding/gob"
	"log/slog"
	"net"
	"reflect"
	"testing"
	"time"

	"foxtaillug.org/scheduler/coordinator"
	"foxtaillug.org/scheduler/registrar"
)

// TestSharesReachEntryHosts guards against entry hosts that are not sent which workspaces
// are over their share, are never sent an empty list, or are sent one by a host that does not
// coordinate.
func TestSharesReachEntryHosts(t *testing.T) {
	start := time.Unix(1000, 0)
	tests := map[string]struct {
		standalone bool
		// want is the number of workspaces in each message.
		want []int
	}{
		"coordinator": {false, []int{1, 0}},
		"standalone":  {true, nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := coordinator.New("p", coordinator.Bounds{}, coordinator.WithFeatures(coordinator.Features{FairShares: true}))
			c.SetFleet(coordinator.Fleet{Hosts: 1, Share: 1, QuotaShare: 1, Domain: "d", Scope: []string{"d"}, Standalone: tt.standalone}, start)
			c.SetUpstreams([]registrar.Entry{{ID: "e", Pool: "engines", Domain: "d", Slots: 6}}, start)
			var got []int
			l := newLoop("host", c, nil, slog.New(slog.DiscardHandler))
			l.sinks["entry"] = func(r response) { got = append(got, len(r.Shares.Over)) }
			for id := range uint64(16) {
				workspace := "small"
				if id < 6 {
					workspace = "big"
				}
				c.Admit("entry", coordinator.Request{ID: id, Pool: "engines", Workspace: workspace, Prompt: 100, Output: 100, Objective: time.Minute, Left: time.Minute}, start)
			}
			c.Advance(start)
			now := start.Add(50 * time.Millisecond)
			c.Advance(now)
			for _, after := range []time.Duration{0, 10 * time.Millisecond, time.Second, 3 * time.Second} {
				l.publishShares(now.Add(after))
			}
			if len(got) != len(tt.want) {
				t.Fatalf("messages with %v workspaces, want %v", got, tt.want)
			}
			for i, n := range tt.want {
				if got[i] != n {
					t.Errorf("messages with %v workspaces, want %v", got, tt.want)
				}
			}
		})
	}
}

// TestMessageOfOnePartIsProcessed guards against a link that drops messages which carry nothing
// but the workspaces over their share, or the upstreams that are out of service.
func TestMessageOfOnePartIsProcessed(t *testing.T) {
	tests := map[string]response{
		"shares":  {Shares: &shares{Over: []coordinator.OverShare{{Workspace: "big"}}}},
		"ejected": {Ejected: []string{"engine"}},
	}
	for name, sent := range tests {
		t.Run(name, func(t *testing.T) {
			local, remote := net.Pipe()
			got := make(chan response, 1)
			k := &link{conn: local, onUpdate: func(_ *link, r response) { got <- r }, log: slog.New(slog.DiscardHandler), broken: make(chan struct{})}
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				k.read()
			}()
			if err := gob.NewEncoder(remote).Encode(&sent); err != nil {
				t.Fatal(err)
			}
			remote.Close()
			<-ended
			select {
			case r := <-got:
				if !reflect.DeepEqual(r, sent) {
					t.Errorf("received %+v, want %+v", r, sent)
				}
			default:
				t.Error("the message was dropped")
			}
		})
	}
}
