package bundler_test

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/rotisserie/eris"

	"foxtaillug.org/contract"
	"foxtaillug.org/contract/bundler"
)

// document returns a document with n upstreams.
func document(n int) contract.Document {
	d := contract.Document{
		Version:    7,
		Regions:    []contract.Region{{Name: "r"}},
		Domains:    []contract.Domain{{Name: "d", Region: "r"}},
		Tiers:      []contract.Tier{{Name: "t", WaitSeconds: 3}},
		Models:     []contract.Model{{Name: "m"}},
		Workspaces: []contract.Workspace{{Name: "w", Tier: "t"}},
		Attended:   contract.Attended{TimeZone: "UTC", Days: []string{"mon"}, Opens: "08:00", Closes: "09:00"},
		Drains:     contract.Drains{Domains: []string{"d"}},
		Limits:     contract.Limits{Queue: 5, BodyBytes: 9},
	}
	for i := range n {
		d.Upstreams = append(d.Upstreams, contract.Upstream{Name: fmt.Sprint("u", i), Domain: "d", Address: fmt.Sprintf("10.0.%d.%d:1", i/200, i%200), Models: []string{"m"}, ColdLimit: 1, Limit: 2})
	}
	return d
}

func TestBundleRoundTrip(t *testing.T) {
	want := document(450)
	b, err := bundler.Encode(want)
	if err != nil {
		t.Fatal(err)
	}
	got, dir, err := bundler.Open(b.Manifest(), func(d string) ([]byte, error) { return b.Part(d), nil }, nil)
	if err != nil {
		t.Fatal(err)
	}
	if got.Version() != b.Version() || got.Version().Number() != 7 {
		t.Errorf("version %v became %v", b.Version(), got.Version())
	}
	opened := dir.Document()
	slices.SortFunc(opened.Upstreams, byName)
	slices.SortFunc(want.Upstreams, byName)
	if fmt.Sprint(opened) != fmt.Sprint(want.WithDefaults()) {
		t.Errorf("the document changed:\n%+v\n%+v", opened, want)
	}
}

// byName orders upstreams by name; their order in a document has no meaning.
func byName(a, b contract.Upstream) int { return strings.Compare(a.Name, b.Name) }

// TestApplyDeltaRestoresManifest applies deltas between versions of different
// sizes in both directions.
func TestApplyDeltaRestoresManifest(t *testing.T) {
	sizes := []int{0, 1, 40, 450, 451, 900}
	for _, from := range sizes {
		for _, to := range sizes {
			base, err := bundler.Encode(document(from))
			if err != nil {
				t.Fatal(err)
			}
			want, err := bundler.Encode(document(to))
			if err != nil {
				t.Fatal(err)
			}
			mb, _, _ := bundler.ReadManifest(base.Manifest())
			mw, _, _ := bundler.ReadManifest(want.Manifest())
			got, err := bundler.ApplyDelta(mb, mw.Version, len(mw.Parts), bundler.Delta(mw, mb))
			if err != nil || !bytes.Equal(got, want.Manifest()) {
				t.Errorf("from %d to %d upstreams: %v", from, to, err)
			}
		}
	}
}

func BenchmarkOpenTargetSize(b *testing.B) {
	doc := document(6900)
	for i := range 1999 {
		doc.Workspaces = append(doc.Workspaces, contract.Workspace{Name: fmt.Sprint("w", i+1), Tier: "t"})
	}
	bundle, err := bundler.Encode(doc)
	if err != nil {
		b.Fatal(err)
	}
	part := func(d string) ([]byte, error) { return bundle.Part(d), nil }
	b.Run("all", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if _, _, err := bundler.Open(bundle.Manifest(), part, nil); err != nil {
				b.Fatal(err)
			}
		}
	})
	previous, _, err := bundler.Open(bundle.Manifest(), part, nil)
	if err != nil {
		b.Fatal(err)
	}
	doc.Workspaces[7].Concurrency = 5
	if bundle, err = bundler.Encode(doc); err != nil {
		b.Fatal(err)
	}
	b.Run("oneChange", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if _, _, err := bundler.Open(bundle.Manifest(), part, previous); err != nil {
				b.Fatal(err)
			}
		}
	})
}

func TestOpenRejectsIncompleteAndCorruptBundles(t *testing.T) {
	b, err := bundler.Encode(document(3))
	if err != nil {
		t.Fatal(err)
	}
	errMissing := eris.New("part not found")
	tests := map[string]struct {
		manifest []byte
		part     func(string) ([]byte, error)
		want     error
	}{
		"missing part":                        {manifest: b.Manifest(), part: func(string) ([]byte, error) { return nil, errMissing }, want: errMissing},
		"truncated part":                      {manifest: b.Manifest(), part: func(d string) ([]byte, error) { return b.Part(d)[1:], nil }, want: bundler.ErrCorrupt},
		"bytes of another part":               {manifest: b.Manifest(), part: func(string) ([]byte, error) { return b.Part(b.Digests()[0]), nil }, want: bundler.ErrCorrupt},
		"part listed twice, another left out": {manifest: bytes.Replace(b.Manifest(), []byte(b.Digests()[0]), []byte(b.Digests()[1]), 1), part: func(d string) ([]byte, error) { return b.Part(d), nil }, want: bundler.ErrCorrupt},
	}
	for name, x := range tests {
		t.Run(name, func(t *testing.T) {
			if _, _, err := bundler.Open(x.manifest, x.part, nil); !eris.Is(err, x.want) {
				t.Errorf("got %v, want %v", err, x.want)
			}
		})
	}
}

func TestSmallChangeReplacesOnePart(t *testing.T) {
	tests := map[string]func(d *contract.Document){
		"drain":                   func(d *contract.Document) { d.Drains = contract.Drains{} },
		"workspace's concurrency": func(d *contract.Document) { d.Workspaces[0].Concurrency = 3 },
		"upstream added":          func(d *contract.Document) { *d = document(451) },
		"upstream removed":        func(d *contract.Document) { d.Upstreams = d.Upstreams[1:] },
	}
	before, err := bundler.Encode(document(450))
	if err != nil {
		t.Fatal(err)
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			changed := document(450)
			change(&changed)
			changed.Version = 8
			after, err := bundler.Encode(changed)
			if err != nil {
				t.Fatal(err)
			}
			replaced := 0
			for _, d := range after.Digests() {
				if before.Part(d) == nil {
					replaced++
				}
			}
			if replaced != 1 {
				t.Errorf("%d parts are replaced, want 1", replaced)
			}
		})
	}
}

func ExampleDiff() {
	from, to := document(2), document(3)
	to.Drains.Domains = nil
	for _, line := range bundler.Diff(from, to) {
		fmt.Println(line)
	}
	// Output:
	// upstream u2 is added
	// failure domain d is returned to service
}

func FuzzReadManifest(f *testing.F) {
	b, _ := bundler.Encode(document(1))
	f.Add(b.Manifest())
	f.Fuzz(func(t *testing.T, text []byte) {
		m, v, err := bundler.ReadManifest(text)
		if err == nil && (v.Number() != m.Version || len(m.Parts) == 0) {
			t.Errorf("%q was read as %v", text, v)
		}
	})
}
