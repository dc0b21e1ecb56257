package inspector_test

import (
	"fmt"
	"testing"
	"time"

	"foxtaillug.org/foxtaild/inspector"
	"foxtaillug.org/scheduler/registrar"
)

const (
	// part is the part under test and otherPart one that sound requests have too.
	part, otherPart = 21, 22
	// partCrashes is the number of crashes from which on a part is refused, and
	// knownPartCrashes that for a part on which an answer had begun before.
	partCrashes, knownPartCrashes = 4, 5
)

// losePart loses the connection of a request with some parts and a digest of its own
// to an upstream that is dead after it.
func losePart(t *testing.T, i *inspector.Inspector, n int, parts ...uint64) {
	t.Helper()
	l := newLoss(uint64(1000+n), deadUpstream(t, fmt.Sprint("upstream-", n)), parts...)
	lose(t, i, l, "dead")
	// The report follows the count of the check.
	eventually(t, "the crash is recorded", func() bool { return gauge(i, "crash_digests", "") >= float64(n+1) })
}

// eventually fails the test if a condition does not become true in time.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for until := time.Now().Add(testTimeout); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("timed out waiting until %s", what)
		}
	}
}

// TestCrashingPartIsQuarantined loses requests that only have one part in common.
func TestCrashingPartIsQuarantined(t *testing.T) {
	i := startInspector(t, "/health")
	for n := range partCrashes {
		if i.Refuses(1, []uint64{otherPart, part}) {
			t.Fatalf("refused after %d crashes, want %d", n, partCrashes)
		}
		losePart(t, i, n, part)
	}
	eventually(t, "requests with the part are refused", func() bool { return i.Refuses(1, []uint64{otherPart, part}) })
	if i.Refuses(1, []uint64{otherPart}) || i.Refuses(1, nil) {
		t.Error("a request without the part is refused")
	}
	if got := gauge(i, "crash_parts", ""); got != 1 {
		t.Errorf("%v parts have crash reports, want 1", got)
	}
	if got := gauge(i, "crash_parts_confirmed", ""); got != 1 {
		t.Errorf("%v parts are confirmed, want 1", got)
	}
}

// TestSoundPartIsServedBesideACrashingOne lets answers begin on one of two parts
// between the crashes.
func TestSoundPartIsServedBesideACrashingOne(t *testing.T) {
	i := startInspector(t, "/health")
	for n := range 2 * knownPartCrashes {
		i.RecordBegun([]uint64{otherPart})
		losePart(t, i, n, otherPart, part)
		if i.Refuses(1, []uint64{otherPart}) {
			t.Fatalf("sound part is refused after %d crashes", n+1)
		}
	}
	if !i.Refuses(1, []uint64{part}) {
		t.Error("crashing part is not refused")
	}
}

// TestSoundPartIsServedBesideTwoCrashingOnes loses requests with one of two crashing
// parts in turn, as many with another part as without it.
func TestSoundPartIsServedBesideTwoCrashingOnes(t *testing.T) {
	const (
		secondPart = 23
		// rounds is the number of requests with the other part. All three parts are in
		// as many crashes.
		rounds = 4
	)
	i := startInspector(t, "/health")
	for n := range rounds {
		crashing := uint64(part + n%2*(secondPart-part))
		losePart(t, i, 2*n, otherPart, crashing)
		losePart(t, i, 2*n+1, crashing)
	}
	eventually(t, "the parts have been confirmed", func() bool { return gauge(i, "crash_parts_confirmed", "") == 3 })
	if i.Refuses(1, []uint64{otherPart}) {
		t.Error("request with the sound part alone is refused")
	}
	for _, crashing := range []uint64{part, secondPart} {
		if !i.Refuses(1, []uint64{crashing}) || !i.Refuses(1, []uint64{otherPart, crashing}) {
			t.Errorf("a request with part %d is not refused", crashing)
		}
	}
}

// TestKnownPartIsQuarantinedLater lets an answer begin on a part before the crashes
// and none between them.
func TestKnownPartIsQuarantinedLater(t *testing.T) {
	i := startInspector(t, "/health")
	i.RecordBegun([]uint64{part})
	for n := range knownPartCrashes {
		if i.Refuses(1, []uint64{part}) {
			t.Fatalf("refused after %d crashes, want %d", n, knownPartCrashes)
		}
		losePart(t, i, n, part)
	}
	eventually(t, "requests with the part are refused", func() bool { return i.Refuses(1, []uint64{part}) })
}

// TestBegunAnswerClearsPart begins an answer on a part that is refused.
func TestBegunAnswerClearsPart(t *testing.T) {
	i := startInspector(t, "/health")
	for n := range partCrashes {
		losePart(t, i, n, part)
	}
	eventually(t, "requests with the part are refused", func() bool { return i.Refuses(1, []uint64{part}) })
	<-i.Parts().Changed()
	i.RecordBegun([]uint64{part})
	if i.Refuses(1, []uint64{part}) {
		t.Error("part is refused although an answer has begun on it")
	}
	if len(i.Parts().Changed()) == 0 {
		t.Error("other hosts are not told that the part is cleared")
	}
}

// TestLossesWithoutSuspectPartsCondemnNone loses connections of requests that had
// begun or timed out, and of upstreams that are alive.
func TestLossesWithoutSuspectPartsCondemnNone(t *testing.T) {
	t.Run("no suspect parts", func(t *testing.T) {
		i := startInspector(t, "/health")
		for n := range 2 * knownPartCrashes {
			losePart(t, i, n)
		}
		if got := gauge(i, "crash_parts", ""); got != 0 || i.Refuses(1, []uint64{part}) {
			t.Errorf("%v parts have crash reports, want 0", got)
		}
	})
	t.Run("upstream is alive", func(t *testing.T) {
		i := startInspector(t, "")
		for n := range 2 * knownPartCrashes {
			l := listen(t)
			lose(t, i, newLoss(uint64(1000+n), registrar.Entry{ID: fmt.Sprint(n), Address: l.Addr().String()}, part), "alive")
		}
		if got := gauge(i, "crash_parts", ""); got != 0 || i.Refuses(1, []uint64{part}) {
			t.Errorf("%v parts have crash reports, want 0", got)
		}
	})
}
