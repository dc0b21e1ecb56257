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

// handler answers gossip from admitted hosts.
type handler struct {
	peerv1connect.UnimplementedPeerHandler
	m *messenger.Messenger
	// reached and admitted count the calls that came and that were answered.
	reached, admitted *atomic.Int32
}

// Gossip answers an admitted host.
func (h handler) Gossip(ctx context.Context, req *peerv1.GossipRequest) (*peerv1.GossipReply, error) {
	h.reached.Add(1)
	if err := h.m.AuthorizePeer(ctx, req.Host); err != nil {
		return nil, err
	}
	h.admitted.Add(1)
	return &peerv1.GossipReply{Host: "server"}, nil
}

// authority signs certificates.
type authority struct {
	t    *testing.T
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
	pem  []byte
}

// newAuthority makes an authority.
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

// keys returns the keys of a host.
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

func TestOnlyListedHostsWithTheirOwnCertificateAreAdmitted(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	tests := map[string]struct {
		keys    *messenger.Keys
		claimed string
		// reached and admitted say how far the call comes.
		reached, admitted bool
	}{
		"listed host":           {keys: ours.keys("friend"), claimed: "friend", reached: true, admitted: true},
		"not on the list":       {keys: ours.keys("stranger"), claimed: "stranger", reached: true},
		"claims another's name": {keys: ours.keys("stranger"), claimed: "friend", reached: true},
		"of another authority":  {keys: theirs.keys("friend"), claimed: "friend"},
		"without a certificate": {claimed: "friend"},
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	k := tracker.New(scheduler.NewHost("server", "d", "r"))
	k.SetHosts([]scheduler.Host{scheduler.NewHost("friend", "d", "r")})
	server := messenger.New(k, ours.keys("server"))
	h := handler{m: server, reached: new(atomic.Int32), admitted: new(atomic.Int32)}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = server.Serve(ctx, l, h) }()
	for name, x := range tests {
		t.Run(name, func(t *testing.T) {
			k := tracker.New(scheduler.NewHost("client", "d", "r"))
			k.SetHosts([]scheduler.Host{scheduler.NewHost("server", "d", "r", scheduler.WithAddress(address))})
			client, err := messenger.New(k, x.keys).Client("server")
			if err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
			defer cancel()
			_, err = client.Gossip(ctx, &peerv1.GossipRequest{Host: x.claimed})
			reached, admitted := h.reached.Swap(0) == 1, h.admitted.Swap(0) == 1
			if reached != x.reached || admitted != x.admitted || (err == nil) != x.admitted {
				t.Errorf("reached %v, admitted %v, %v; want %v, %v", reached, admitted, err, x.reached, x.admitted)
			}
			if x.reached && !x.admitted && connect.CodeOf(err) != connect.CodePermissionDenied {
				t.Errorf("refused with %v, want permission denied", err)
			}
		})
	}
}

func TestClearTextStaysOnLoopback(t *testing.T) {
	k := tracker.New(scheduler.NewHost("a", "d", "r"))
	k.SetHosts([]scheduler.Host{scheduler.NewHost("b", "d", "r", scheduler.WithAddress("10.0.0.1:1"))})
	m := messenger.New(k, nil)
	if _, err := m.Client("b"); err == nil {
		t.Error("a message in the clear would leave the machine")
	}
	if _, err := m.Client("c"); err == nil {
		t.Error("a host that is not on the list gets messages")
	}
}
