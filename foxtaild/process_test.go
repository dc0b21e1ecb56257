package main_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"foxtaillug.org/contract"
	"foxtaillug.org/contract/bundler"
	"foxtaillug.org/standin/porter"
)

// These tests run the built programs as separate processes and check safety and the
// order of events. Time bounds are tested on virtual time in the scheduler module.

const (
	pepper    = "process-test-pepper-01"
	ticketKey = "process-test-ticket-01"
	apiKey    = "fx-process-test"
	// testTimeout bounds every wait of these tests.
	testTimeout = 60 * time.Second
)

// fleet is a platform, upstreams and hosts, each a process.
type fleet struct {
	t        *testing.T
	dir      string
	platform string
	engines  []string
	service  string
	daemons  []*process
	doc      contract.Document
}

// process is a running program.
type process struct {
	t    *testing.T
	path string
	args []string
	cmd  *exec.Cmd
	log  *os.File
	// callers and admin are the addresses at which a host serves callers and
	// operators.
	callers string
	admin   string
}

// build builds the programs once and returns their directory.
var build = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "foxtaillug")
	if err != nil {
		return "", err
	}
	out, err := exec.Command("go", "build", "-o", dir+"/", "foxtaillug.org/foxtaild", "foxtaillug.org/standin").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return dir, nil
})

func TestMain(m *testing.M) {
	code := m.Run()
	if dir, err := build(); err == nil {
		_ = os.RemoveAll(dir)
	}
	os.Exit(code)
}

// freeAddress returns a loopback address with a free port.
func freeAddress(t *testing.T) string {
	t.Helper()
	addresses, err := porter.FreeAddresses(1)
	if err != nil {
		t.Fatal(err)
	}
	return addresses[0]
}

// start starts or restarts the program.
func (p *process) start() {
	p.t.Helper()
	p.cmd = exec.Command(p.path, p.args...)
	p.cmd.Stderr = p.log
	p.cmd.Env = append(os.Environ(), "FOXTAIL_KEY_PEPPER="+pepper, "FOXTAIL_TICKET_KEY="+ticketKey, "FOXTAIL_LIST_LAG=300ms", "FOXTAIL_LOAN=1s")
	if err := p.cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill kills the process.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	_ = p.cmd.Wait()
}

// newProcess starts a program, which is killed at the end of the test. If the test
// has failed, the end of the program's log is printed.
func (f *fleet) newProcess(name, program string, args ...string) *process {
	f.t.Helper()
	bin, err := build()
	if err != nil {
		f.t.Fatal(err)
	}
	log, err := os.Create(filepath.Join(f.dir, name+".log"))
	if err != nil {
		f.t.Fatal(err)
	}
	p := &process{t: f.t, path: filepath.Join(bin, program), args: args, log: log}
	p.start()
	f.t.Cleanup(func() {
		p.signal(syscall.SIGCONT)
		p.kill()
		_ = log.Close()
		if f.t.Failed() {
			text, _ := os.ReadFile(log.Name())
			f.t.Logf("%s:\n%s", name, text[max(0, len(text)-3000):])
		}
	})
	return p
}

// newFleet starts a platform, two engines, a booking service and three hosts.
func newFleet(t *testing.T) *fleet {
	f := &fleet{t: t, dir: t.TempDir(), platform: freeAddress(t), service: freeAddress(t)}
	f.newProcess("platform", "standin", "--listen", f.platform, "platform", "--lag", "100ms")
	f.newProcess("service", "standin", "--listen", f.service, "service", "--delay", "5ms")
	f.doc = contract.Document{
		Version:    1,
		Regions:    []contract.Region{{Name: "r1"}},
		Domains:    []contract.Domain{{Name: "d1", Region: "r1"}, {Name: "d2", Region: "r1"}},
		Tiers:      []contract.Tier{{Name: "paid", WaitSeconds: 20}, {Name: "overdue", WaitSeconds: 20}},
		Models:     []contract.Model{{Name: "report", ContextTokens: 4096, OutputTokens: 16}},
		Services:   []contract.Service{{Name: "booking", IdempotentMethods: []string{"GET"}}},
		Upstreams:  []contract.Upstream{{Name: "booking1", Domain: "d1", Address: f.service, Service: "booking", ColdLimit: 8, Limit: 8}},
		Workspaces: []contract.Workspace{{Name: "crews", Tier: "paid", KeyHashes: []string{contract.HashKey([]byte(pepper), apiKey)}}},
	}
	for i := range 2 {
		a := freeAddress(t)
		f.engines = append(f.engines, a)
		name := fmt.Sprintf("engine%d", i+1)
		f.newProcess(name, "standin", "--listen", a, "engine", "--name", name, "--cold-for", "500ms", "--token-time", "5ms", "--report-lag", "100ms")
		f.doc.Upstreams = append(f.doc.Upstreams, contract.Upstream{Name: name, Domain: fmt.Sprintf("d%d", i+1), Address: a, Models: []string{"report"}, ColdLimit: 2, Limit: 8, WarmUpSeconds: 1})
	}
	var hosts []map[string]string
	for i := range 3 {
		name, peers := fmt.Sprintf("h%d", i+1), freeAddress(t)
		callers, admin := freeAddress(t), freeAddress(t)
		p := f.newProcess(name, "foxtaild", "--host", name, "--domain", "d1", "--region", "r1", "--platform", f.platform, "--listen", callers, "--peers", peers, "--admin", admin)
		p.callers, p.admin = callers, admin
		f.daemons = append(f.daemons, p)
		hosts = append(hosts, map[string]string{"name": name, "domain": "d1", "region": "r1", "address": peers, "state": "live"})
	}
	f.await("platform accepts the host list", func() bool { return f.put("hosts", hosts) })
	f.publish(f.doc)
	f.await("all hosts are ready", f.ready)
	return f
}

// await fails the test if a condition does not become true in time.
func (f *fleet) await(what string, ok func() bool) {
	f.t.Helper()
	end := time.Now().Add(testTimeout)
	for !ok() {
		if time.Now().After(end) {
			f.t.Fatalf("%s: timed out after %v", what, testTimeout)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// put sets a value on the platform through its operator API.
func (f *fleet) put(path string, value any) bool {
	body, ok := value.([]byte)
	if !ok {
		body, _ = json.Marshal(value)
	}
	req, _ := http.NewRequest(http.MethodPut, "http://"+f.platform+"/operator/"+path, bytes.NewReader(body))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// setFaults sets the faults that the platform simulates.
func (f *fleet) setFaults(body string) {
	resp, err := http.Post("http://"+f.platform+"/operator/faults", "application/json", strings.NewReader(body))
	if err != nil {
		f.t.Error(err)
		return
	}
	_ = resp.Body.Close()
}

// publish publishes a configuration document.
func (f *fleet) publish(doc contract.Document) {
	f.t.Helper()
	b, err := bundler.Encode(doc)
	if err != nil {
		f.t.Fatal(err)
	}
	for _, d := range b.Digests() {
		f.put("values/"+bundler.PartKeyPrefix+d, b.Part(d))
	}
	f.put("values/"+bundler.ManifestKey, b.Manifest())
}

// status is the part of a host's status that these tests check.
type status struct {
	Ready     bool
	Version   uint64
	Digest    string
	Upstreams []struct {
		Name  string
		Slots int
	}
}

// status reads the status of a host.
func (p *process) status() (s status, ok bool) {
	resp, err := http.Get("http://" + p.admin + "/status")
	if err != nil {
		return s, false
	}
	defer func() { _ = resp.Body.Close() }()
	return s, json.NewDecoder(resp.Body).Decode(&s) == nil
}

// ready reports whether all hosts are ready and every upstream has a slot on some
// host.
func (f *fleet) ready() bool {
	hasSlot := make(map[string]bool)
	for _, d := range f.daemons {
		s, ok := d.status()
		if !ok || !s.Ready {
			return false
		}
		for _, u := range s.Upstreams {
			hasSlot[u.Name] = hasSlot[u.Name] || u.Slots > 0
		}
	}
	return len(hasSlot) == len(f.doc.Upstreams) && !containsFalse(hasSlot)
}

// containsFalse reports whether any value is false.
func containsFalse(m map[string]bool) bool {
	for _, v := range m {
		if !v {
			return true
		}
	}
	return false
}

// call sends a request to a host and returns the outcome and the body of the
// response. The outcome is "none" without a response.
func (p *process) call(ctx context.Context, path, ticket, body string) (outcome, text string) {
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.callers+path, strings.NewReader(body))
	req.Header.Set("Authorization", "Bearer "+apiKey)
	if ticket != "" {
		req.Header.Set("Foxtail-Ticket", ticket)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "none", ""
	}
	defer func() { _ = resp.Body.Close() }()
	b, _ := io.ReadAll(resp.Body)
	return resp.Header.Get("Foxtail-Outcome"), string(b)
}

// ticket requests a ticket from a host. It returns "" if the host issues none.
func (p *process) ticket(ctx context.Context) string {
	var t struct{ Ticket string }
	_, text := p.call(ctx, "/v1/tickets", "", "")
	_ = json.Unmarshal([]byte(text), &t)
	return t.Ticket
}

// runs returns how often the service ran each booking, by reference.
func (f *fleet) runs() map[string]int {
	resp, err := http.Get("http://" + f.service + "/stats")
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	runs := make(map[string]int)
	if err := json.NewDecoder(resp.Body).Decode(&runs); err != nil {
		f.t.Fatal(err)
	}
	return runs
}

// TestBookingsRunAtMostOnceWhileHostsCrashAndSuspend sends each booking with one
// ticket to all hosts concurrently. Meanwhile one host is killed and restarted,
// another is suspended and resumed, the platform is down, and two different contents
// are published under the same version number.
func TestBookingsRunAtMostOnceWhileHostsCrashAndSuspend(t *testing.T) {
	f := newFleet(t)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	var mu sync.Mutex
	outcomes := make(map[string][]string)
	var wg sync.WaitGroup
	stop := make(chan struct{})
	for worker := range 4 {
		wg.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				ref := fmt.Sprintf("visit-%d-%d", worker, i)
				ticket := f.daemons[(worker+i)%3].ticket(ctx)
				if ticket == "" {
					time.Sleep(10 * time.Millisecond)
					continue
				}
				body := fmt.Sprintf("{\"reference\":%q}", ref)
				var calls sync.WaitGroup
				for attempt := range 3 {
					calls.Go(func() {
						callCtx, cancel := context.WithTimeout(ctx, 3*time.Second)
						defer cancel()
						outcome, _ := f.daemons[(i+attempt)%3].call(callCtx, "/v1/services/booking/bookings", ticket, body)
						mu.Lock()
						outcomes[ref] = append(outcomes[ref], outcome)
						mu.Unlock()
					})
				}
				calls.Wait()
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	f.setFaults(`{"down":true}`)
	f.daemons[0].kill()
	f.daemons[1].signal(syscall.SIGSTOP)
	time.Sleep(1500 * time.Millisecond)
	f.daemons[1].signal(syscall.SIGCONT)
	f.daemons[0].start()
	f.setFaults(`{"down":false}`)
	a, b := f.doc, f.doc
	a.Version, b.Version = 2, 2
	a.Limits.Queue, b.Limits.Queue = 100, 200
	f.publish(a)
	f.publish(b)
	time.Sleep(1500 * time.Millisecond)
	close(stop)
	wg.Wait()
	runs := f.runs()
	complete := 0
	for ref, all := range outcomes {
		if runs[ref] > 1 {
			t.Errorf("%s ran %d times, outcomes %v", ref, runs[ref], all)
		}
		for _, o := range all {
			if o == "complete" {
				complete++
				if runs[ref] != 1 {
					t.Errorf("%s has outcome complete but ran %d times", ref, runs[ref])
				}
			}
		}
		if runs[ref] > 0 && allNotRun(all) {
			t.Errorf("%s ran although all its outcomes are notRun", ref)
		}
	}
	if complete == 0 {
		t.Error("no booking has outcome complete, so nothing was tested")
	}
	f.await("the same configuration on all hosts", func() bool {
		digests := make(map[string]bool)
		for _, d := range f.daemons {
			s, ok := d.status()
			if !ok || s.Version != 2 {
				return false
			}
			digests[s.Digest] = true
		}
		return len(digests) == 1
	})
	t.Logf("%d bookings, %d outcomes complete, %d ran", len(outcomes), complete, len(runs))
}

// allNotRun reports whether all outcomes are notRun.
func allNotRun(outcomes []string) bool {
	for _, o := range outcomes {
		if o != "notRun" {
			return false
		}
	}
	return true
}

// TestGracefulStopCutsOffNoRequest stops a host gracefully while it relays a long
// stream. The stream must be complete and the process must exit without an error.
func TestGracefulStopCutsOffNoRequest(t *testing.T) {
	f := newFleet(t)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	d := f.daemons[0]
	body := make(chan string, 1)
	go func() {
		_, text := d.call(ctx, "/v1/completions", "", `{"model":"report","prompt":"p","stream":true,"max_tokens":200,"metadata":{"outputTokens":"200"}}`)
		body <- text
	}()
	f.await("stream under way", func() bool {
		s := requestsStarted(f.engines)
		return s > 0
	})
	d.signal(syscall.SIGTERM)
	text := <-body
	if !strings.HasSuffix(text, "data: [DONE]\n\n") || strings.Count(text, "data: {") != 200 {
		t.Errorf("the stream has %d events and ends %q", strings.Count(text, "data: {"), text[max(0, len(text)-60):])
	}
	if err := d.cmd.Wait(); err != nil {
		t.Errorf("the process exited with %v", err)
	}
	if outcome, _ := f.daemons[1].call(ctx, "/v1/completions", "", `{"model":"report","prompt":"p","max_tokens":3}`); outcome != "complete" {
		t.Errorf("another host: got outcome %q after the stop, want complete", outcome)
	}
}

// stats are the counters of an engine that these tests check.
type stats struct {
	Started, Completed, Running int
}

// engineStats reads the counters of an engine.
func engineStats(address string) (s stats, ok bool) {
	resp, err := http.Get("http://" + address + "/stats")
	if err != nil {
		return s, false
	}
	defer func() { _ = resp.Body.Close() }()
	return s, json.NewDecoder(resp.Body).Decode(&s) == nil
}

// requestsStarted returns the number of requests that the engines have started.
func requestsStarted(engines []string) (n int) {
	for _, a := range engines {
		s, _ := engineStats(a)
		n += s.Started
	}
	return n
}

// TestInvalidRequestsAreNotRun checks that each kind of invalid request is refused
// with its own reason and is not run.
func TestInvalidRequestsAreNotRun(t *testing.T) {
	f := newFleet(t)
	d := f.daemons[0]
	tests := map[string]struct {
		path, key, ticket, body string
		status                  int
		reason                  string
	}{
		"no key":          {path: "/v1/completions", body: `{}`, status: 401, reason: "unauthorized"},
		"wrong key":       {path: "/v1/completions", key: "x", body: `{}`, status: 401, reason: "unauthorized"},
		"malformed":       {path: "/v1/completions", key: apiKey, body: `{`, status: 400, reason: "malformed"},
		"unknown model":   {path: "/v1/completions", key: apiKey, body: `{"model":"x","prompt":"p"}`, status: 404, reason: "unknownModel"},
		"no messages":     {path: "/v1/chat/completions", key: apiKey, body: `{"model":"report"}`, status: 400, reason: "malformed"},
		"too large":       {path: "/v1/completions", key: apiKey, body: strings.Repeat("x", 5<<20), status: 413, reason: "tooLarge"},
		"unknown service": {path: "/v1/services/x/y", key: apiKey, body: `{}`, status: 404, reason: "unknownService"},
		"no ticket":       {path: "/v1/services/booking/bookings", key: apiKey, body: `{}`, status: 428, reason: "ticketNeeded"},
		"forged ticket":   {path: "/v1/services/booking/bookings", key: apiKey, ticket: "t1.a.b.c.d.e.f", body: `{}`, status: 400, reason: "ticketInvalid"},
		"unknown path":    {path: "/v2", key: apiKey, body: `{}`, status: 404, reason: "notFound"},
	}
	for name, x := range tests {
		t.Run(name, func(t *testing.T) {
			req, _ := http.NewRequest(http.MethodPost, "http://"+d.callers+x.path, strings.NewReader(x.body))
			if x.key != "" {
				req.Header.Set("Authorization", "Bearer "+x.key)
			}
			if x.ticket != "" {
				req.Header.Set("Foxtail-Ticket", x.ticket)
			}
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = resp.Body.Close() }()
			var p struct{ Outcome, Reason string }
			if err := json.NewDecoder(resp.Body).Decode(&p); err != nil {
				t.Fatal(err)
			}
			if resp.StatusCode != x.status || p.Reason != x.reason || p.Outcome != "notRun" {
				t.Errorf("got %d %s %s, want %d %s notRun", resp.StatusCode, p.Reason, p.Outcome, x.status, x.reason)
			}
		})
	}
	if n := len(f.runs()); n != 0 {
		t.Errorf("%d bookings ran", n)
	}
}

// TestCallerDisconnectCancelsRequest disconnects a caller in the middle of a long
// stream. The engine must stop working on the request.
func TestCallerDisconnectCancelsRequest(t *testing.T) {
	f := newFleet(t)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.daemons[0].call(ctx, "/v1/completions", "", `{"model":"report","prompt":"p","stream":true,"max_tokens":2000,"metadata":{"outputTokens":"2000"}}`)
	}()
	f.await("stream under way", func() bool { return requestsStarted(f.engines) > 0 })
	cancel()
	<-done
	f.await("the engines are idle", func() bool {
		for _, a := range f.engines {
			if s, ok := engineStats(a); !ok || s.Running > 0 {
				return false
			}
		}
		return true
	})
	for _, a := range f.engines {
		if s, _ := engineStats(a); s.Completed > 0 {
			t.Error("engine completed a request whose caller had disconnected")
		}
	}
}

// TestLogsContainNoSecrets sends requests with a key, a ticket and secret bodies to a
// host and searches its log for them.
func TestLogsContainNoSecrets(t *testing.T) {
	f := newFleet(t)
	d := f.daemons[0]
	ctx := context.Background()
	ticket := d.ticket(ctx)
	d.call(ctx, "/v1/services/booking/bookings", ticket, `{"reference":"secret-reference"}`)
	d.call(ctx, "/v1/completions", "", `{"model":"report","prompt":"secret prompt","max_tokens":2}`)
	d.call(ctx, "/v1/completions", "", `{"model":"secret model","prompt":"secret prompt"`)
	log, err := os.ReadFile(d.log.Name())
	if err != nil {
		t.Fatal(err)
	}
	for _, secret := range []string{apiKey, pepper, ticketKey, ticket, "secret"} {
		if bytes.Contains(log, []byte(secret)) {
			t.Errorf("the log contains %q", secret)
		}
	}
	if !bytes.Contains(log, []byte(`"outcome":"complete"`)) {
		t.Error("the log contains no request, so nothing was tested")
	}
}

// TestEveryBookingIsExplained sends a booking with the same ticket twice to the host
// that issued the ticket and twice to another one. Each host must be able to explain
// the requests that it received.
func TestEveryBookingIsExplained(t *testing.T) {
	f := newFleet(t)
	ctx := context.Background()
	ticket := f.daemons[0].ticket(ctx)
	for i, at := range []int{0, 1, 0, 1} {
		d := f.daemons[at]
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.callers+"/v1/services/booking/bookings", strings.NewReader(`{"reference":"x"}`))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Authorization", "Bearer "+apiKey)
		req.Header.Set("Foxtail-Ticket", ticket)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		explained, err := http.Get("http://" + d.admin + "/explain/" + resp.Header.Get("Foxtail-Request-Id"))
		if err != nil {
			t.Fatal(err)
		}
		var e contract.Explanation
		err = json.NewDecoder(explained.Body).Decode(&e)
		_ = explained.Body.Close()
		if err != nil || e.Outcome != "complete" || e.Workspace != "crews" {
			t.Errorf("attempt %d at host %d is explained as %+v (%v)", i, at, e, err)
		}
	}
	if n := len(f.runs()); n != 1 {
		t.Errorf("%d bookings ran, want 1", n)
	}
}
