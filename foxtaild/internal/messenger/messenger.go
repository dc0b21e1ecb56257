// Package messenger carries messages between hosts: connect over HTTP/2, with
// mutual TLS, or in the clear on loopback only. A peer that is not on the
// host list gets nothing.
package messenger

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"foxtaillug.org/contract/peerv1/peerv1connect"
	"foxtaillug.org/foxtaild/internal/tracker"
	"foxtaillug.org/scheduler"
)

const (
	// maxMessage bounds a message; a whole configuration fits.
	maxMessage = 16 << 20
	// headerTime bounds the reading of a request's head.
	headerTime = 5 * time.Second
	// dialTime bounds the set-up of a connection.
	dialTime = time.Second
	// pingAfter and pingTime find connections whose other end is gone.
	pingAfter = 2 * time.Second
	pingTime  = time.Second
	// maxStreams bounds the streams of one connection.
	maxStreams = 4096
)

// Keys are what mutual TLS needs. No keys mean messages in the clear.
type Keys struct {
	certificate tls.Certificate
	authority   *x509.CertPool
}

// NewKeys reads PEM texts of a certificate, its key and the authority that
// signed all hosts' certificates.
func NewKeys(certificate, key, authority []byte) (k *Keys, err error) {
	defer func() {
		if err != nil {
			err = eris.Wrap(err, "peer keys")
		}
	}()
	pair, err := tls.X509KeyPair(certificate, key)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return nil, eris.New("no certificate in the authority's PEM")
	}
	return &Keys{certificate: pair, authority: pool}, nil
}

// Messenger is one host's end of all connections to peers. It is safe for
// concurrent use.
type Messenger struct {
	tracker *tracker.Tracker
	keys    *Keys
	sent    atomic.Int64
	rcvd    atomic.Int64
	msgs    atomic.Int64

	mu      sync.Mutex
	clients map[string]peerv1connect.PeerClient
}

// New returns a messenger without connections. Without keys it refuses every
// address that is not loopback.
func New(k *tracker.Tracker, keys *Keys) *Messenger {
	return &Messenger{tracker: k, keys: keys, clients: make(map[string]peerv1connect.PeerClient)}
}

// Traffic returns the bytes sent and received on connections to peers, TLS
// and HTTP/2 included, and the number of writes.
func (m *Messenger) Traffic() (sent, received, writes int64) {
	return m.sent.Load(), m.rcvd.Load(), m.msgs.Load()
}

// Count returns a connection whose bytes count as control.
func (m *Messenger) Count(c net.Conn) net.Conn { return counted{Conn: c, m: m} }

// counted counts a connection's bytes.
type counted struct {
	net.Conn
	m *Messenger
}

// Read counts what comes in.
func (c counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.m.rcvd.Add(int64(n))
	return n, err
}

// Write counts what goes out.
func (c counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.m.sent.Add(int64(n))
	c.m.msgs.Add(1)
	return n, err
}

// countedListener counts the bytes of accepted connections.
type countedListener struct {
	net.Listener
	m *Messenger
}

// Accept returns the next connection.
func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return counted{Conn: c, m: l.m}, nil
}

// Client returns the client for a peer on the host list.
func (m *Messenger) Client(id scheduler.HostID) (c peerv1connect.PeerClient, err error) {
	h, ok := m.tracker.Host(id)
	if !ok {
		return nil, eris.Errorf("host %s is not on the list", id)
	}
	if m.keys == nil && !loopback(h.Address()) {
		return nil, eris.Errorf("host %s at %s: messages in the clear go to loopback only", id, h.Address())
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	key := string(id) + "@" + h.Address()
	c, ok = m.clients[key]
	if !ok {
		c = m.newClient(id, h.Address())
		m.clients[key] = c
	}
	return c, nil
}

// loopback reports whether an IP and port is on this machine.
func loopback(address string) bool {
	ap, err := netip.ParseAddrPort(address)
	return err == nil && ap.Addr().IsLoopback()
}

// newClient returns a client for an address.
func (m *Messenger) newClient(id scheduler.HostID, address string) peerv1connect.PeerClient {
	var protocols http.Protocols
	scheme := "http://"
	transport := &http.Transport{
		Protocols: &protocols,
		HTTP2:     &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTime},
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := (&net.Dialer{Timeout: dialTime}).DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return counted{Conn: c, m: m}, nil
		},
	}
	if m.keys == nil {
		protocols.SetUnencryptedHTTP2(true)
	} else {
		scheme = "https://"
		protocols.SetHTTP2(true)
		transport.TLSClientConfig = &tls.Config{
			MinVersion:   tls.VersionTLS13,
			Certificates: []tls.Certificate{m.keys.certificate},
			RootCAs:      m.keys.authority,
			ServerName:   string(id),
		}
	}
	return peerv1connect.NewPeerClient(&http.Client{Transport: transport}, scheme+address, connect.WithReadMaxBytes(maxMessage))
}

// peerName is the context key of the name on a peer's certificate.
type peerName struct{}

// Serve serves peers on a listener until ctx is done.
func (m *Messenger) Serve(ctx context.Context, l net.Listener, h peerv1connect.PeerHandler) (err error) {
	if m.keys == nil && !loopback(l.Addr().String()) {
		return eris.Errorf("peer address %s: messages in the clear are served on loopback only", l.Addr())
	}
	mux := http.NewServeMux()
	mux.Handle(peerv1connect.NewPeerHandler(h, connect.WithReadMaxBytes(maxMessage)))
	var protocols http.Protocols
	server := &http.Server{
		Handler:           named(mux),
		Protocols:         &protocols,
		ReadHeaderTimeout: headerTime,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: maxStreams, SendPingTimeout: pingAfter, PingTimeout: pingTime},
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
	l = countedListener{Listener: l, m: m}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if m.keys == nil {
		protocols.SetUnencryptedHTTP2(true)
		return ended(server.Serve(l))
	}
	protocols.SetHTTP2(true)
	server.TLSConfig = &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{m.keys.certificate},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    m.keys.authority,
	}
	return ended(server.ServeTLS(l, "", ""))
}

// ended drops the error of a server that was closed on purpose.
func ended(err error) error {
	if eris.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// named keeps the name on a peer's certificate for Admit.
func named(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.TLS != nil && len(r.TLS.PeerCertificates) > 0 {
			cert := r.TLS.PeerCertificates[0]
			name := cert.Subject.CommonName
			if len(cert.DNSNames) > 0 {
				name = cert.DNSNames[0]
			}
			r = r.WithContext(context.WithValue(r.Context(), peerName{}, name))
		}
		next.ServeHTTP(w, r)
	})
}

// AuthorizePeer checks that a peer is who it says it is and on the host list.
func (m *Messenger) AuthorizePeer(ctx context.Context, claimed string) error {
	if name, ok := ctx.Value(peerName{}).(string); ok && name != claimed {
		return connect.NewError(connect.CodePermissionDenied, eris.Errorf("certificate of %s, message of %s", name, claimed))
	}
	if _, ok := m.tracker.Host(scheduler.HostID(claimed)); !ok {
		return connect.NewError(connect.CodePermissionDenied, eris.Errorf("host %s is not on the list", claimed))
	}
	return nil
}
