package main

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"
)

// Names that the operator's configuration uses.
const (
	clientHost = "ficu95.example"
	clientKey  = "i9n73hh2b9wu3fexd9dn"
	tenant     = "hule930"
)

// request is what a client sends.
type request struct {
	method, path string
	body         string
	deadline     time.Duration
	// headers are further header lines.
	headers string
	// patience is how long the client waits for the first event of a stream; 0 means until
	// the deadline.
	patience time.Duration
}

// answer is what a client got.
type answer struct {
	id     string
	sent   time.Time
	status int
	seal   string
	body   string
	err    error
	took   time.Duration
}

// String describes an answer in the record.
func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("%s: %v after %d ms", a.id, a.err, a.took.Milliseconds())
	}
	return fmt.Sprintf("%s: status %d, seal %q, %d bytes after %d ms", a.id, a.status, a.seal, len(a.body), a.took.Milliseconds())
}

// newID returns an ID of a client attempt.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// head returns the request's line and headers.
func (q request) head(id string) string {
	length := ""
	if q.method != http.MethodGet {
		length = "Content-Length: " + strconv.Itoa(len(q.body)) + "\r\n"
	}
	return q.method + " " + q.path + " HTTP/1.1\r\nHost: " + clientHost + "\r\nAttempt-Id: " + id + "\r\nDeadline-Ms: " +
		strconv.FormatInt(q.deadline.Milliseconds(), 10) + "\r\nCredential: " + clientKey + "\r\n" + q.headers + length + "\r\n"
}

// send sends a request to a host on a new connection and reads the answer.
func (q request) send(address string) (a answer) {
	a = answer{id: newID(), sent: time.Now()}
	defer func() { a.took = time.Since(a.sent) }()
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(a.sent.Add(cmp.Or(q.patience, q.deadline+200*time.Millisecond)))
	if _, a.err = io.WriteString(conn, q.head(a.id)+q.body); a.err != nil {
		return a
	}
	a.read(bufio.NewReader(conn), q.method)
	return a
}

// read reads the answer from a connection.
func (a *answer) read(br *bufio.Reader, method string) {
	resp, err := http.ReadResponse(br, &http.Request{Method: method})
	if err != nil {
		a.err = err
		return
	}
	defer func() { _ = resp.Body.Close() }()
	a.status, a.seal = resp.StatusCode, resp.Header.Get("Response-Seal")
	b, err := io.ReadAll(resp.Body)
	a.body, a.err = string(b), err
}
