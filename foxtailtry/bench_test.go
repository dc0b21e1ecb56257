package main

import (
	"bytes"
	"io"
	"net/http"
	"runtime"
	"testing"

	"foxtaillug.org/contract"
	"foxtaillug.org/foxtailtry/world"
)

// benchWorld starts one host before one engine and one service that take no
// time themselves.
func benchWorld(b *testing.B) (w *world.World, direct map[string]string) {
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
	s := world.Scenario{
		Hosts:       []world.HostSpec{{Name: "h", Domain: "d"}},
		Generations: map[string]world.Speed{"g": {}},
	}
	w, err := world.New(doc, s, true, world.WithWarmEngines(true))
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(w.Close)
	direct = make(map[string]string)
	for _, u := range w.Document().Upstreams {
		direct[u.Name] = u.Address
	}
	return w, direct
}

// client keeps enough connections for all parallel callers.
var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}

// get calls the service and reads the answer.
func get(b *testing.B, url string) {
	req, _ := http.NewRequest(http.MethodGet, url, nil)
	do(b, req)
}

// stream asks for a stream of 100 tokens and reads it.
func stream(b *testing.B, url string) {
	req, _ := http.NewRequest(http.MethodPost, url, bytes.NewReader([]byte(`{"model":"m","prompt":"p","stream":true,"max_tokens":100,"metadata":{"outputTokens":"100"}}`)))
	do(b, req)
}

// do sends a request and reads the answer to its end.
func do(b *testing.B, req *http.Request) {
	req.Header.Set("Authorization", "Bearer "+world.Key("w"))
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

// BenchmarkCalls compares calls through a host with the same ones straight to
// the service, one at a time and as many as there are cores.
func BenchmarkCalls(b *testing.B) {
	w, direct := benchWorld(b)
	through := "http://" + w.Hosts()[0].Callers() + "/v1/services/s/bookings"
	straight := "http://" + direct["s1"] + "/bookings"
	for name, url := range map[string]string{"through": through, "straight": straight} {
		b.Run(name+"/one", func(b *testing.B) {
			for b.Loop() {
				get(b, url)
			}
		})
		b.Run(name+"/many", func(b *testing.B) {
			b.SetParallelism(4)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					get(b, url)
				}
			})
		})
	}
}

// BenchmarkStreams compares streams of 100 tokens in the same way.
func BenchmarkStreams(b *testing.B) {
	w, direct := benchWorld(b)
	through := "http://" + w.Hosts()[0].Callers() + "/v1/completions"
	straight := "http://" + direct["e"] + "/v1/completions"
	for name, url := range map[string]string{"through": through, "straight": straight} {
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

// BenchmarkStart measures the time from start to ready of one host.
func BenchmarkStart(b *testing.B) {
	doc, s := capacityWorld(3)
	for b.Loop() {
		w, err := world.New(doc, s, true, world.WithWarmEngines(true))
		if err != nil {
			b.Fatal(err)
		}
		w.Close()
		runtime.GC()
	}
}
