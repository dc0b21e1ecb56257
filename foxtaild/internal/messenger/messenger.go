// Package messenger connects hosts with each other: Connect RPC over HTTP/2, with
// mutual TLS, or unencrypted on loopback only. Peers that are not on the host list
// are rejected.
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
	// maxMessageBytes is the maximum size of a message; an entire configuration
	// fits.
	maxMessageBytes = 16 << 20
	// headerTimeout bounds the time to read a request's header.
	headerTimeout = 5 * time.Second
	// dialTimeout bounds the time to connect.
	dialTimeout = time.Second
	// sendPingTimeout is the time without a received frame after which a ping
	// is sent. If there is no response within pingTimeout, the other end is
	// presumed failed and the connection is closed.
	sendPingTimeout = 2 * time.Second
	pingTimeout     = time.Second
	// maxStreams is the maximum number of concurrent streams on a connection.
	maxStreams = 4096
)

// Keys are the certificate and private key of a host, and the authority that signs
// all hosts' certificates. Nil Keys mean unencrypted connections.
type Keys struct {
	certificate tls.Certificate
	authority   *x509.CertPool
}

// NewKeys parses the PEM encodings of a certificate, its private key and the
// authority that signs all hosts' certificates.
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
		return nil, eris.New("no certificate in the PEM of the authority")
	}
	return &Keys{certificate: pair, authority: pool}, nil
}

// Messenger holds the connections of one host to its peers. It is safe for
// concurrent use.
type Messenger struct {
	tracker       *tracker.Tracker
	keys          *Keys
	bytesSent     atomic.Int64
	bytesReceived atomic.Int64
	writes        atomic.Int64

	mu      sync.Mutex
	clients map[string]peerv1connect.PeerClient
}

// New returns a messenger without connections. Without keys it refuses addresses
// other than loopback.
func New(t *tracker.Tracker, keys *Keys) *Messenger {
	return &Messenger{tracker: t, keys: keys, clients: make(map[string]peerv1connect.PeerClient)}
}

// Traffic returns the number of bytes sent and received on connections with peers
// and on those passed to Count, including TLS and HTTP/2, and the number of writes.
func (m *Messenger) Traffic() (sent, received, writes int64) {
	return m.bytesSent.Load(), m.bytesReceived.Load(), m.writes.Load()
}

// CountTraffic returns a connection whose bytes are counted by Traffic.
func (m *Messenger) CountTraffic(c net.Conn) net.Conn { return countedConn{Conn: c, m: m} }

// countedConn counts the bytes of a connection.
type countedConn struct {
	net.Conn
	m *Messenger
}

// Read reads and counts the bytes received.
func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.m.bytesReceived.Add(int64(n))
	return n, err
}

// Write writes and counts the bytes sent.
func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.m.bytesSent.Add(int64(n))
	c.m.writes.Add(1)
	return n, err
}

// countedListener counts the bytes of accepted connections.
type countedListener struct {
	net.Listener
	m *Messenger
}

// Accept accepts a connection and counts its bytes.
func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{Conn: c, m: l.m}, nil
}

// Client returns the client for a peer on the host list.
func (m *Messenger) Client(id scheduler.HostID) (c peerv1connect.PeerClient, err error) {
	h, ok := m.tracker.Host(id)
	if !ok {
		return nil, eris.Errorf("host %s is not on the host list", id)
	}
	if m.keys == nil && !isLoopback(h.Address()) {
		return nil, eris.Errorf("host %s: %s is not a loopback address and no TLS keys are set", id, h.Address())
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

// isLoopback reports whether an IP address and port is on the loopback interface.
func isLoopback(address string) bool {
	ap, err := netip.ParseAddrPort(address)
	return err == nil && ap.Addr().IsLoopback()
}

// newClient returns a client for a peer at an address.
func (m *Messenger) newClient(id scheduler.HostID, address string) peerv1connect.PeerClient {
	var protocols http.Protocols
	scheme := "http://"
	transport := &http.Transport{
		Protocols: &protocols,
		HTTP2:     &http.HTTP2Config{SendPingTimeout: sendPingTimeout, PingTimeout: pingTimeout},
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return countedConn{Conn: c, m: m}, nil
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
	return peerv1connect.NewPeerClient(&http.Client{Transport: transport}, scheme+address, connect.WithReadMaxBytes(maxMessageBytes))
}

// peerNameKey is the context key of the name in a peer's certificate.
type peerNameKey struct{}

// Serve serves calls from peers on a listener until ctx is done.
func (m *Messenger) Serve(ctx context.Context, l net.Listener, h peerv1connect.PeerHandler) (err error) {
	if m.keys == nil && !isLoopback(l.Addr().String()) {
		return eris.Errorf("serve peers: %s is not a loopback address and no TLS keys are set", l.Addr())
	}
	mux := http.NewServeMux()
	mux.Handle(peerv1connect.NewPeerHandler(h, connect.WithReadMaxBytes(maxMessageBytes)))
	var protocols http.Protocols
	server := &http.Server{
		Handler:           withPeerName(mux),
		Protocols:         &protocols,
		ReadHeaderTimeout: headerTimeout,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: maxStreams, SendPingTimeout: sendPingTimeout, PingTimeout: pingTimeout},
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
	l = countedListener{Listener: l, m: m}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if m.keys == nil {
		protocols.SetUnencryptedHTTP2(true)
		return ignoreClosed(server.Serve(l))
	}
	protocols.SetHTTP2(true)
	server.TLSConfig = &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{m.keys.certificate},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    m.keys.authority,
	}
	return ignoreClosed(server.ServeTLS(l, "", ""))
}

// ignoreClosed returns nil for the error of a server that was closed by Serve.
func ignoreClosed(err error) error {
	if eris.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// withPeerName stores the name in a peer's certificate in the request's context
// for AuthorizePeer.
func withPeerName(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.TLS != nil && len(r.TLS.PeerCertificates) > 0 {
			cert := r.TLS.PeerCertificates[0]
			name := cert.Subject.CommonName
			if len(cert.DNSNames) > 0 {
				name = cert.DNSNames[0]
			}
			r = r.WithContext(context.WithValue(r.Context(), peerNameKey{}, name))
		}
		next.ServeHTTP(w, r)
	})
}

// AuthorizePeer checks that a peer's certificate has the claimed host name and that
// the host is on the host list. The error has the code PermissionDenied.
func (m *Messenger) AuthorizePeer(ctx context.Context, claimed string) error {
	if name, ok := ctx.Value(peerNameKey{}).(string); ok && name != claimed {
		return connect.NewError(connect.CodePermissionDenied, eris.Errorf("certificate of %s, message of %s", name, claimed))
	}
	if _, ok := m.tracker.Host(scheduler.HostID(claimed)); !ok {
		return connect.NewError(connect.CodePermissionDenied, eris.Errorf("host %s is not on the list", claimed))
	}
	return nil
}
