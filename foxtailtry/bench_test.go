package main

import (
	"bytes"
	"io"
	"net/http"
	"runtime"
	"testing"

	"foxtaillug.org/contract"
	"foxtaillug.org/foxtailtry/testbed"
)

// newBenchTestbed starts one host with one engine and one service, both
// without delay. Addresses maps the name of each upstream to its address.
func newBenchTestbed(b *testing.B) (tb *testbed.Testbed, addresses map[string]string) {
	b.Helper()
	doc := contract.Document{
		Version:    1,
		Regions:    []contract.Region{{Name: "r"}},
		Domains:    []contract.Domain{{Name: "d", Region: "r"}},
		Tiers:      []contract.Tier{{Name: "t", WaitSeconds: 30}},
		Models:     []contract.Model{{Name: "m", OutputTokens: 100}},
		Services:   []contract.Service{{Name: "s", IdempotentMethods: []string{"GET"}}},
		Workspaces: []contract.Workspace{{Name: "w", Tier: "t"}},
		Upstreams: []contract.Upstream{
			{Name: "e", Domain: "d", Models: []string{"m"}, ColdLimit: 1000, Limit: 1000, Generation: "g"},
			{Name: "s1", Domain: "d", Service: "s", ColdLimit: 1000, Limit: 1000},
		},
	}
	s := testbed.Scenario{
		Hosts:       []testbed.HostSpec{{Name: "h", Domain: "d"}},
		Generations: map[string]testbed.Speed{"g": {}},
	}
	tb, err := testbed.New(doc, s, true, testbed.WithWarmEngines(true))
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(tb.Close)
	addresses = make(map[string]string)
	for _, u := range tb.Document().Upstreams {
		addresses[u.Name] = u.Address
	}
	return tb, addresses
}

// client keeps enough idle connections for all parallel callers.
var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}

// get calls the service and reads the response.
func get(b *testing.B, url string) {
	req, _ := http.NewRequest(http.MethodGet, url, nil)
	do(b, req)
}

// stream requests a stream of 100 tokens and reads it.
func stream(b *testing.B, url string) {
	req, _ := http.NewRequest(http.MethodPost, url, bytes.NewReader([]byte(`{"model":"m","prompt":"p","stream":true,"max_tokens":100,"metadata":{"outputTokens":"100"}}`)))
	do(b, req)
}

// do sends a request and reads the response to its end.
func do(b *testing.B, req *http.Request) {
	req.Header.Set("Authorization", "Bearer "+testbed.Key("w"))
	resp, err := client.Do(req)
	if err != nil {
		b.Error(err)
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		b.Errorf("status %d", resp.StatusCode)
	}
}

// BenchmarkCalls compares calls to the service through a host with direct
// ones, sequentially and with four callers for each core.
func BenchmarkCalls(b *testing.B) {
	tb, addresses := newBenchTestbed(b)
	proxied := "http://" + tb.Hosts()[0].CallerAddress() + "/v1/services/s/bookings"
	direct := "http://" + addresses["s1"] + "/bookings"
	for name, url := range map[string]string{"proxied": proxied, "direct": direct} {
		b.Run(name+"/sequential", func(b *testing.B) {
			for b.Loop() {
				get(b, url)
			}
		})
		b.Run(name+"/parallel", func(b *testing.B) {
			b.SetParallelism(4)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					get(b, url)
				}
			})
		})
	}
}

// BenchmarkStreams compares streams of 100 tokens through a host with direct
// ones, with two callers for each core.
func BenchmarkStreams(b *testing.B) {
	tb, addresses := newBenchTestbed(b)
	proxied := "http://" + tb.Hosts()[0].CallerAddress() + "/v1/completions"
	direct := "http://" + addresses["e"] + "/v1/completions"
	for name, url := range map[string]string{"proxied": proxied, "direct": direct} {
		b.Run(name, func(b *testing.B) {
			b.SetParallelism(2)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					stream(b, url)
				}
			})
			b.ReportMetric(float64(b.N*100)/b.Elapsed().Seconds(), "tokens/s")
		})
	}
}

// BenchmarkStart measures the time to start three hosts with their upstreams
// until all are ready, and to stop them.
func BenchmarkStart(b *testing.B) {
	doc, s := capacityTrial(3)
	for b.Loop() {
		tb, err := testbed.New(doc, s, true, testbed.WithWarmEngines(true))
		if err != nil {
			b.Fatal(err)
		}
		tb.Close()
		runtime.GC()
	}
}
