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

// valid is a document without faults.
const valid = `version: 3
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

func TestParseReportsPositionOfFault(t *testing.T) {
	tests := map[string]struct {
		from, to string
		want     string
	}{
		"version is 0":               {from: "version: 3", to: "version: 0", want: "f.yaml:1:10: version: a version number above 0 is needed (raise it with every change)"},
		"unknown field":              {from: "limit: 4", to: "limt: 4", want: `f.yaml:13:79: unknown field "limt"`},
		"unknown region":             {from: "region: r1", to: "region: r2", want: `f.yaml:5:24: domains[0].region: "r2" is not in regions (did you mean r1?)`},
		"unknown tier":               {from: "tier: paid", to: "tier: pad", want: `f.yaml:15:21: workspaces[0].tier: "pad" is not in tiers (did you mean paid?)`},
		"cold limit above limit":     {from: "coldLimit: 1", to: "coldLimit: 5", want: "f.yaml:13:76: upstreams[0].coldLimit: must be from 1 to limit (4) (how many requests it can run in cold start)"},
		"host name as address":       {from: "127.0.0.1:1", to: "engine:1", want: `f.yaml:13:37: upstreams[0].address: "engine:1" is not an IP address and port (such as 10.0.3.7:8000)`},
		"invalid YAML":               {from: "regions:", to: "regions: [", want: "f.yaml:"},
		"plain key as hash":          {from: "tier: paid}\n", to: "tier: paid, keyHashes: [secret]}\n", want: "workspaces[0].keyHashes[0]: not a key hash"},
		"unknown drained domain":     {from: "workspaces:", to: "drains: {domains: [d2]}\nworkspaces:", want: `drains.domains[0]: "d2" is not in domains (did you mean d1?)`},
		"neither models nor service": {from: "models: [m], ", to: "", want: "upstreams[0]: upstream serves neither models nor a service"},
		"malformed time of day":      {from: "workspaces:", to: "attended: {timeZone: UTC, days: [mon], opens: \"8\", closes: \"18:00\"}\nworkspaces:", want: `attended: time "8" is not of the form 15:04`},
		"negative queue limit":       {from: "workspaces:", to: "limits: {queue: -1}\nworkspaces:", want: "limits.queue: must not be negative"},
		"duplicate address":          {from: "workspaces:", to: "  - {name: e2, domain: d1, address: \"127.0.0.1:1\", models: [m], coldLimit: 1, limit: 4}\nworkspaces:", want: "127.0.0.1:1 is already the address of e1"},
	}
	for name, x := range tests {
		t.Run(name, func(t *testing.T) {
			text := strings.Replace(valid, x.from, x.to, 1)
			if _, err := parser.Parse("f.yaml", []byte(text)); err == nil || !strings.Contains(err.Error(), x.want) {
				t.Errorf("got %v\nwant %s", err, x.want)
			}
		})
	}
}

func TestParseFillsInDefaults(t *testing.T) {
	doc, err := parser.Parse("f.yaml", []byte(valid))
	if err != nil {
		t.Fatal(err)
	}
	if doc.Limits.BodyBytes != contract.DefaultBodyBytes || doc.Upstreams[0].WarmUpSeconds != contract.DefaultWarmUpSeconds {
		t.Errorf("defaults are not filled in: %+v", doc)
	}
}

func TestExampleConfigurationsAreValid(t *testing.T) {
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

func TestAttendedFromReturnsNextAttendedTime(t *testing.T) {
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
		"during attended hours": {now: "2026-12-04 09:00", want: "2026-12-04 09:00"},
		"before attended hours": {now: "2026-12-04 07:00", want: "2026-12-04 08:00"},
		"after attended hours":  {now: "2026-12-03 18:00", want: "2026-12-04 08:00"},
		"over a weekend":        {now: "2026-12-04 20:00", want: "2026-12-07 08:00"},
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
	f.Add([]byte(valid))
	f.Add([]byte("upstreams: [{}]"))
	f.Fuzz(func(t *testing.T, text []byte) {
		doc, err := parser.Parse("f.yaml", text)
		if err != nil {
			return
		}
		if _, err := contract.NewDirectory(doc); err != nil {
			t.Errorf("no directory of a document without faults: %v", err)
		}
	})
}

func BenchmarkCheckTargetSize(b *testing.B) {
	var s strings.Builder
	s.WriteString(valid)
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
