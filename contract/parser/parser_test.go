package parser_test

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"foxtaillug.org/contract"
	"foxtaillug.org/contract/parser"
)

// good is a document without faults.
const good = `version: 3
regions:
  - name: r1
domains:
  - {name: d1, region: r1}
tiers:
  - {name: paid}
models:
  - {name: m}
services:
  - {name: booking, idempotentMethods: [GET]}
upstreams:
  - {name: e1, domain: d1, address: "127.0.0.1:1", models: [m], coldLimit: 1, limit: 4}
workspaces:
  - {name: w, tier: paid}
`

func TestFaultsNameTheirPlace(t *testing.T) {
	tests := map[string]struct {
		from, to string
		want     string
	}{
		"no version":       {from: "version: 3", to: "version: 0", want: "f.yaml:1:10: version: a version number above 0 is needed (raise it with every change)"},
		"unknown field":    {from: "limit: 4", to: "limt: 4", want: `f.yaml:13:79: unknown field "limt"`},
		"unknown region":   {from: "region: r1", to: "region: r2", want: `f.yaml:5:24: domains[0].region: "r2" is not in regions (did you mean r1?)`},
		"unknown tier":     {from: "tier: paid", to: "tier: pad", want: `f.yaml:15:21: workspaces[0].tier: "pad" is not in tiers (did you mean paid?)`},
		"cold over limit":  {from: "coldLimit: 1", to: "coldLimit: 5", want: "f.yaml:13:76: upstreams[0].coldLimit: must be from 1 to limit (4) (what it bears in cold start)"},
		"name and no IP":   {from: "127.0.0.1:1", to: "engine:1", want: `f.yaml:13:37: upstreams[0].address: "engine:1" is not an IP number and port (such as 10.0.3.7:8000)`},
		"broken YAML":      {from: "regions:", to: "regions: [", want: "f.yaml:"},
		"key not hashed":   {from: "tier: paid}\n", to: "tier: paid, keyHashes: [secret]}\n", want: "workspaces[0].keyHashes[0]: not a key hash"},
		"unknown drain":    {from: "workspaces:", to: "drains: {domains: [d2]}\nworkspaces:", want: `drains.domains[0]: "d2" is not in domains (did you mean d1?)`},
		"serves nothing":   {from: "models: [m], ", to: "", want: "upstreams[0]: it serves neither models nor a service"},
		"wrong time":       {from: "workspaces:", to: "attended: {timeZone: UTC, days: [mon], opens: \"8\", closes: \"18:00\"}\nworkspaces:", want: `attended: time "8" is not of the form 15:04`},
		"negative limit":   {from: "workspaces:", to: "limits: {queue: -1}\nworkspaces:", want: "limits.queue: must not be negative"},
		"one address, two": {from: "workspaces:", to: "  - {name: e2, domain: d1, address: \"127.0.0.1:1\", models: [m], coldLimit: 1, limit: 4}\nworkspaces:", want: "127.0.0.1:1 is the address of e1 already"},
	}
	for name, x := range tests {
		t.Run(name, func(t *testing.T) {
			text := strings.Replace(good, x.from, x.to, 1)
			if _, err := parser.Parse("f.yaml", []byte(text)); err == nil || !strings.Contains(err.Error(), x.want) {
				t.Errorf("got %v\nwant %s", err, x.want)
			}
		})
	}
}

func TestGoodDocumentGetsDefaults(t *testing.T) {
	doc, err := parser.Parse("f.yaml", []byte(good))
	if err != nil {
		t.Fatal(err)
	}
	if doc.Limits.BodyBytes != contract.DefaultBodyBytes || doc.Upstreams[0].WarmUpSeconds != contract.DefaultWarmUp {
		t.Errorf("defaults are missing: %+v", doc)
	}
}

func TestExamplesAreWell(t *testing.T) {
	for _, name := range []string{"benjelloun", "chariots"} {
		path := "../../examples/" + name + "/config.yaml"
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := parser.Parse(path, text); err != nil {
			t.Error(err)
		}
	}
}

func TestAttendedFrom(t *testing.T) {
	dir, err := contract.NewDirectory(contract.Document{Attended: contract.Attended{
		TimeZone: "UTC", Days: []string{"mon", "tue", "wed", "thu", "fri"}, Opens: "08:00", Closes: "18:00",
	}})
	if err != nil {
		t.Fatal(err)
	}
	at := func(s string) time.Time {
		v, err := time.Parse("2006-01-02 15:04", s)
		if err != nil {
			t.Fatal(err)
		}
		return v
	}
	tests := map[string]struct{ now, want string }{
		"at work":        {now: "2026-12-04 09:00", want: "2026-12-04 09:00"},
		"before opening": {now: "2026-12-04 07:00", want: "2026-12-04 08:00"},
		"after close":    {now: "2026-12-03 18:00", want: "2026-12-04 08:00"},
		"over a weekend": {now: "2026-12-04 20:00", want: "2026-12-07 08:00"},
	}
	for name, x := range tests {
		t.Run(name, func(t *testing.T) {
			if got := dir.AttendedFrom(at(x.now)); !got.Equal(at(x.want)) {
				t.Errorf("got %v, want %s", got, x.want)
			}
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(good))
	f.Add([]byte("upstreams: [{}]"))
	f.Fuzz(func(t *testing.T, text []byte) {
		doc, err := parser.Parse("f.yaml", text)
		if err != nil {
			return
		}
		if _, err := contract.NewDirectory(doc); err != nil {
			t.Errorf("a document without faults makes no directory: %v", err)
		}
	})
}

func BenchmarkCheckTargetSize(b *testing.B) {
	var s strings.Builder
	s.WriteString(good)
	for i := range 2000 {
		fmt.Fprintf(&s, "  - {name: w%d, tier: paid}\n", i)
	}
	s.WriteString("# upstreams\n")
	text := strings.Replace(s.String(), "workspaces:", "WORKSPACES", 1)
	var u strings.Builder
	for i := range 6900 {
		fmt.Fprintf(&u, "  - {name: u%d, domain: d1, address: \"10.%d.%d.1:80\", models: [m], coldLimit: 1, limit: 4}\n", i, i/250, i%250)
	}
	text = strings.Replace(text, "WORKSPACES", u.String()+"workspaces:", 1)
	for b.Loop() {
		if _, err := parser.Parse("f.yaml", []byte(text)); err != nil {
			b.Fatal(err)
		}
	}
}
