package daemon

import (
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"foxtaillug.org/foxtaild/internal/messenger"
)

// minSecretBytes is the minimum length of a secret key.
const minSecretBytes = 16

// Settings are the daemon's flags and environment variables. The command-line
// library requires exported fields.
type Settings struct {
	Host     string `help:"This host's name on the platform's host list." required:"" env:"FOXTAIL_HOST"`
	Domain   string `help:"Failure domain this host is in." required:"" env:"FOXTAIL_DOMAIN"`
	Region   string `help:"Region this host is in." required:"" env:"FOXTAIL_REGION"`
	Listen   string `help:"IP and port for callers." default:"127.0.0.1:8080" env:"FOXTAIL_LISTEN"`
	Peers    string `help:"IP and port for other hosts." default:"127.0.0.1:8081" env:"FOXTAIL_PEERS"`
	Admin    string `help:"IP and port for health, metrics and status." default:"127.0.0.1:8082" env:"FOXTAIL_ADMIN"`
	Platform string `help:"IP and port of the platform's configuration service." required:"" env:"FOXTAIL_PLATFORM"`

	KeyPepper string `help:"Key under which API keys are hashed, or @PATH of a file with it; the same on all hosts." required:"" env:"FOXTAIL_KEY_PEPPER"`
	TicketKey string `help:"Key under which tickets are issued, or @PATH of a file with it; the same on all hosts." required:"" env:"FOXTAIL_TICKET_KEY"`

	TLSCertificate string `help:"PEM of this host's certificate, or @PATH. Without it peers communicate unencrypted, on loopback only." env:"FOXTAIL_TLS_CERTIFICATE"`
	TLSKey         string `help:"PEM of the certificate's key, or @PATH." env:"FOXTAIL_TLS_KEY"`
	TLSAuthority   string `help:"PEM of the authority that signs all hosts' certificates, or @PATH." env:"FOXTAIL_TLS_AUTHORITY"`

	ListLag   time.Duration `help:"Maximum delay until a change of the host list is seen." default:"3s" env:"FOXTAIL_LIST_LAG"`
	Loan      time.Duration `help:"How long a leased share of an upstream stays valid." default:"2s" env:"FOXTAIL_LOAN"`
	StopAfter time.Duration `help:"Maximum time a graceful stop waits for requests to end." default:"120s" env:"FOXTAIL_STOP_AFTER"`

	LogLevel  string  `help:"debug, info, warn or error." enum:"debug,info,warn,error" default:"info" env:"FOXTAIL_LOG_LEVEL"`
	TraceOTLP string  `help:"URL of an OTLP/HTTP endpoint for traces." env:"FOXTAIL_TRACE_OTLP"`
	TraceLog  bool    `help:"Write traces to standard output as JSON lines." env:"FOXTAIL_TRACE_LOG"`
	TraceRate float64 `help:"Fraction of requests that are traced, from 0 to 1." default:"0" env:"FOXTAIL_TRACE_RATE"`
}

// Validate checks the settings. The error is a single line that names the flag.
func (s Settings) Validate() error {
	addresses := map[string]string{"--listen": s.Listen, "--peers": s.Peers, "--admin": s.Admin, "--platform": s.Platform}
	for flag, a := range addresses {
		if _, err := netip.ParseAddrPort(a); err != nil {
			return eris.Errorf("%s: %q is not an IP address and port, such as 10.0.0.7:8080", flag, a)
		}
	}
	if s.TraceRate < 0 || s.TraceRate > 1 {
		return eris.Errorf("--trace-rate: %v is not from 0 to 1", s.TraceRate)
	}
	if s.Loan <= 0 || s.ListLag < 0 || s.StopAfter <= 0 {
		return eris.New("--loan and --stop-after must be above 0 and --list-lag must not be negative")
	}
	if (s.TLSCertificate == "") != (s.TLSKey == "") || (s.TLSCertificate == "") != (s.TLSAuthority == "") {
		return eris.New("--tls-certificate, --tls-key and --tls-authority must be set together")
	}
	if s.TLSCertificate == "" && !netip.MustParseAddrPort(s.Peers).Addr().IsLoopback() {
		return eris.Errorf("--peers: %s is not a loopback address, so --tls-certificate, --tls-key and --tls-authority are required", s.Peers)
	}
	return nil
}

// secret returns the value of a setting, or the content of the file that it names
// as @PATH.
func secret(flag, value string) ([]byte, error) {
	path, ok := strings.CutPrefix(value, "@")
	if !ok {
		return []byte(value), nil
	}
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Errorf("%s: %v", flag, err)
	}
	return []byte(strings.TrimSpace(string(b))), nil
}

// longSecret reads a secret key and checks its length.
func longSecret(flag, value string) ([]byte, error) {
	b, err := secret(flag, value)
	if err == nil && len(b) < minSecretBytes {
		err = eris.Errorf("%s: must have at least %d bytes", flag, minSecretBytes)
	}
	return b, err
}

// keys returns the keys for mutual TLS, or nil for unencrypted communication.
func (s Settings) keys() (*messenger.Keys, error) {
	if s.TLSCertificate == "" {
		return nil, nil
	}
	certificate, err := secret("--tls-certificate", s.TLSCertificate)
	if err != nil {
		return nil, err
	}
	key, err := secret("--tls-key", s.TLSKey)
	if err != nil {
		return nil, err
	}
	authority, err := secret("--tls-authority", s.TLSAuthority)
	if err != nil {
		return nil, err
	}
	return messenger.NewKeys(certificate, key, authority)
}
