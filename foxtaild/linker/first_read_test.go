package linker

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"foxtaillug.org/foxtaild/directory"
	"foxtaillug.org/scheduler/detector"
)

// TestHostsThatStartTogetherDoNotAllReadTheStore counts the hosts of a failure domain
// that read the store at a time after their start, while no snapshot has arrived.
func TestHostsThatStartTogetherDoNotAllReadTheStore(t *testing.T) {
	const hosts = 15
	count := func(age time.Duration) (readers int) {
		now := time.Now()
		var members []detector.Member
		for i := range hosts {
			members = append(members, detector.Member{Address: fmt.Sprint("10.0.0.", i, ":7000"), Domain: "a", Status: detector.Alive})
		}
		for i := range hosts {
			l := &Linker{settings: Settings{Host: fmt.Sprint("host-a-", i), Domain: "a", Address: members[i].Address}, directory: directory.New(slog.New(slog.DiscardHandler)), started: now.Add(-age)}
			v := &view{members: members}
			v.setReaders(members, members[i])
			l.view.Store(v)
			if l.ReadsStore(now) {
				readers++
			}
		}
		return readers
	}
	if n := count(firstSnapshotTimeout + 100*time.Millisecond); n > hosts/3 {
		t.Errorf("%d of %d hosts read the store right after the timeout, want at most a third", n, hosts)
	}
	if n := count(firstSnapshotTimeout + hosts*firstReadSpread + time.Millisecond); n != hosts {
		t.Errorf("%d of %d hosts read the store in the end, want all", n, hosts)
	}
}
