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
	"testing"
	"time"

	"connectrpc.com/connect"

	"foxtaillug.org/contract/peerv1"
	"foxtaillug.org/contract/peerv1/peerv1connect"
	"foxtaillug.org/foxtaild/internal/keeper"
	"foxtaillug.org/foxtaild/internal/messenger"
	"foxtaillug.org/scheduler"
)

// handler answers gossip from admitted hosts.
type handler struct {
	peerv1connect.UnimplementedPeerHandler
	m *messenger.Messenger
}

// Gossip answers an admitted host.
func (h handler) Gossip(ctx context.Context, req *peerv1.GossipRequest) (*peerv1.GossipReply, error) {
	if err := h.m.Admit(ctx, req.Host); err != nil {
		return nil, err
	}
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
		want    connect.Code
	}{
		"listed host":           {keys: ours.keys("friend"), claimed: "friend"},
		"not on the list":       {keys: ours.keys("stranger"), claimed: "stranger", want: connect.CodePermissionDenied},
		"claims another's name": {keys: ours.keys("stranger"), claimed: "friend", want: connect.CodePermissionDenied},
		"of another authority":  {keys: theirs.keys("friend"), claimed: "friend", want: connect.CodeUnavailable},
		"without a certificate": {claimed: "friend", want: connect.CodeUnavailable},
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	k := keeper.New(scheduler.NewHost("server", "d", "r"))
	k.SetHosts([]scheduler.Host{scheduler.NewHost("friend", "d", "r")})
	server := messenger.New(k, ours.keys("server"))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = server.Serve(ctx, l, handler{m: server}) }()
	for name, x := range tests {
		t.Run(name, func(t *testing.T) {
			k := keeper.New(scheduler.NewHost("client", "d", "r"))
			k.SetHosts([]scheduler.Host{scheduler.NewHost("server", "d", "r", scheduler.WithAddress(address))})
			client, err := messenger.New(k, x.keys).Client("server")
			if err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
			defer cancel()
			_, err = client.Gossip(ctx, &peerv1.GossipRequest{Host: x.claimed})
			if (x.want == 0) != (err == nil) || (err != nil && connect.CodeOf(err) != x.want) {
				t.Errorf("got %v, want code %v", err, x.want)
			}
		})
	}
}

func TestClearTextStaysOnLoopback(t *testing.T) {
	k := keeper.New(scheduler.NewHost("a", "d", "r"))
	k.SetHosts([]scheduler.Host{scheduler.NewHost("b", "d", "r", scheduler.WithAddress("10.0.0.1:1"))})
	m := messenger.New(k, nil)
	if _, err := m.Client("b"); err == nil {
		t.Error("a message in the clear would leave the machine")
	}
	if _, err := m.Client("c"); err == nil {
		t.Error("a host that is not on the list gets messages")
	}
}
