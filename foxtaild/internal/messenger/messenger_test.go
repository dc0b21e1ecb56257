package messenger_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"

	"foxtaillug.org/contract/peerv1"
	"foxtaillug.org/contract/peerv1/peerv1connect"
	"foxtaillug.org/foxtaild/internal/messenger"
	"foxtaillug.org/foxtaild/internal/tracker"
	"foxtaillug.org/scheduler"
)

// handler answers gossip requests from authorized hosts.
type handler struct {
	peerv1connect.UnimplementedPeerHandler
	m *messenger.Messenger
	// reached counts the calls received, authorized those answered.
	reached, authorized *atomic.Int32
}

// Gossip answers an authorized host.
func (h handler) Gossip(ctx context.Context, req *peerv1.GossipRequest) (*peerv1.GossipReply, error) {
	h.reached.Add(1)
	if err := h.m.AuthorizePeer(ctx, req.Host); err != nil {
		return nil, err
	}
	h.authorized.Add(1)
	return &peerv1.GossipReply{Host: "server"}, nil
}

// authority signs certificates.
type authority struct {
	t    *testing.T
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
	pem  []byte
}

// newAuthority returns an authority with a new key.
func newAuthority(t *testing.T) authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return authority{t: t, key: key, cert: cert, pem: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})}
}

// keys returns keys with a certificate for a host.
func (a authority) keys(name string) *messenger.Keys {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: name}, DNSNames: []string{name}, NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	private, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	k, err := messenger.NewKeys(
		pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: private}),
		a.pem,
	)
	if err != nil {
		a.t.Fatal(err)
	}
	return k
}

func TestOnlyListedHostsWithTheirOwnCertificateAreAuthorized(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	tests := map[string]struct {
		keys    *messenger.Keys
		claimed string
		// reached is whether the call reaches the handler, authorized whether
		// it is answered.
		reached, authorized bool
	}{
		"listed host":                      {keys: ours.keys("listed"), claimed: "listed", reached: true, authorized: true},
		"unlisted host":                    {keys: ours.keys("unlisted"), claimed: "unlisted", reached: true},
		"certificate of another host":      {keys: ours.keys("unlisted"), claimed: "listed", reached: true},
		"certificate by another authority": {keys: theirs.keys("listed"), claimed: "listed"},
		"no certificate":                   {claimed: "listed"},
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	tr := tracker.New(scheduler.NewHost("server", "d", "r"))
	tr.SetHosts([]scheduler.Host{scheduler.NewHost("listed", "d", "r")})
	server := messenger.New(tr, ours.keys("server"))
	h := handler{m: server, reached: new(atomic.Int32), authorized: new(atomic.Int32)}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = server.Serve(ctx, l, h) }()
	for name, x := range tests {
		t.Run(name, func(t *testing.T) {
			tr := tracker.New(scheduler.NewHost("client", "d", "r"))
			tr.SetHosts([]scheduler.Host{scheduler.NewHost("server", "d", "r", scheduler.WithAddress(address))})
			client, err := messenger.New(tr, x.keys).Client("server")
			if err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
			defer cancel()
			_, err = client.Gossip(ctx, &peerv1.GossipRequest{Host: x.claimed})
			reached, authorized := h.reached.Swap(0) == 1, h.authorized.Swap(0) == 1
			if reached != x.reached || authorized != x.authorized || (err == nil) != x.authorized {
				t.Errorf("reached %v, authorized %v, error %v; want reached %v, authorized %v", reached, authorized, err, x.reached, x.authorized)
			}
			if x.reached && !x.authorized && connect.CodeOf(err) != connect.CodePermissionDenied {
				t.Errorf("got error %v, want code permission denied", err)
			}
		})
	}
}

func TestUnencryptedConnectionsAreLimitedToLoopback(t *testing.T) {
	tr := tracker.New(scheduler.NewHost("a", "d", "r"))
	tr.SetHosts([]scheduler.Host{scheduler.NewHost("b", "d", "r", scheduler.WithAddress("10.0.0.1:1"))})
	m := messenger.New(tr, nil)
	if _, err := m.Client("b"); err == nil {
		t.Error("client for an address other than loopback without TLS keys")
	}
	if _, err := m.Client("c"); err == nil {
		t.Error("client for a host that is not on the host list")
	}
}
