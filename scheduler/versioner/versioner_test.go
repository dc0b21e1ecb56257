package versioner_test

import (
	"fmt"
	"os"
	"testing"

	"github.com/rotisserie/eris"
	"pgregory.net/rapid"

	"foxtaillug.org/scheduler/internal/rapidseed"
	"foxtaillug.org/scheduler/versioner"
)

func TestMain(m *testing.M) {
	rapidseed.Fix()
	os.Exit(m.Run())
}

// drawVersion draws one of a few versions, so that numbers and digests repeat.
func drawVersion(t *rapid.T) versioner.Version {
	return versioner.NewVersion(rapid.Uint64Range(1, 5).Draw(t, "number"), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "digest"))
}

// TestNeverReverts applies versions in random order, with older versions repeated
// and two contents under one number.
func TestNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := versioner.New[string]()
		for range rapid.IntRange(1, 30).Draw(t, "versions") {
			before, _ := r.Current()
			v := drawVersion(t)
			err := r.Apply(v, v.Digest())
			after, value := r.Current()
			if before.Newer(after) {
				t.Fatalf("%v was replaced by %v", before, after)
			}
			if (err == nil) != v.Newer(before) || (err != nil && !eris.Is(err, versioner.ErrNotNewer)) {
				t.Fatalf("applying %v over %v: %v", v, before, err)
			}
			if value != after.Digest() {
				t.Fatalf("version %v has the content of digest %q", after, value)
			}
		}
	})
}

// TestHostsConverge applies the same versions at two hosts in different orders.
func TestHostsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		versions := rapid.SliceOfN(rapid.Custom(drawVersion), 1, 20).Draw(t, "versions")
		order := rapid.Permutation(versions).Draw(t, "order")
		a, b := versioner.New[string](), versioner.New[string]()
		for i := range versions {
			_ = a.Apply(versions[i], "")
			_ = b.Apply(order[i], "")
		}
		va, _ := a.Current()
		vb, _ := b.Current()
		if va != vb {
			t.Fatalf("hosts have %v and %v in force", va, vb)
		}
	})
}

func TestRejectedVersionIsNotWanted(t *testing.T) {
	r := versioner.New[int]()
	v := versioner.NewVersion(3, "x")
	r.Reject(v)
	if r.Wants(v) {
		t.Error("rejected version is wanted")
	}
	if !r.Wants(versioner.NewVersion(3, "y")) {
		t.Error("other content with the same number is not wanted")
	}
}

func ExampleVersioner() {
	r := versioner.New[string]()
	_ = r.Apply(versioner.NewVersion(2, "d2"), "second")
	err := r.Apply(versioner.NewVersion(1, "d1"), "first")
	v, value := r.Current()
	fmt.Println(v.Number(), value, eris.Is(err, versioner.ErrNotNewer))
	// Output: 2 second true
}
