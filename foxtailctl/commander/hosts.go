package commander

import (
	"crypto/rand"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"foxtaillug.org/contract"
)

const (
	// callTimeout limits a call to a host.
	callTimeout = 2 * time.Second
	// pollInterval is the interval between status requests while waiting.
	pollInterval = 100 * time.Millisecond
	// minPepperBytes is the minimum length of the key pepper.
	minPepperBytes = 16
)

// hostFlags are the flags of commands that query hosts.
type hostFlags struct {
	Hosts []string `help:"IP addresses and ports of hosts' admin interfaces, separated by commas." required:"" env:"FOXTAILCTL_HOSTS" sep:","`
}

// getJSON decodes the response of a host's admin interface at a path. It
// returns false if there is no such resource.
func getJSON(host, path string, v any) (found bool, err error) {
	client := http.Client{Timeout: callTimeout}
	resp, err := client.Get("http://" + host + path)
	if err != nil {
		return false, err
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusOK:
		return true, decode(resp.Body, v)
	case http.StatusNotFound:
		return false, nil
	default:
		return false, eris.Errorf("%s: %s", host, resp.Status)
	}
}

// hostStatus is the status of the host at an address, or the error of querying
// it.
type hostStatus struct {
	Address string `json:"address"`
	Error   string `json:"error,omitempty"`
	contract.HostStatus
}

// statusCmd shows the status of hosts.
type statusCmd struct {
	hostFlags `embed:""`
	Wait      uint64        `help:"Wait until this version or a newer one is in force on every host."`
	Timeout   time.Duration `help:"Maximum time to wait." default:"10s"`
	Upstreams bool          `help:"Show the upstreams of each host."`
}

// Run queries and prints the status of the hosts. With --wait it first waits for
// a version to be in force on all of them, until the timeout.
func (c statusCmd) Run(o output) error {
	end := time.Now().Add(c.Timeout)
	for {
		list, answered := c.query()
		if c.Wait == 0 || inForce(list, c.Wait) || time.Now().After(end) {
			return c.show(o, list, answered)
		}
		time.Sleep(pollInterval)
	}
}

// query gets the status of every host and counts those that answered.
func (c statusCmd) query() (list []hostStatus, answered int) {
	for _, host := range c.Hosts {
		var s hostStatus
		if _, err := getJSON(host, "/status", &s); err != nil {
			s.Error = err.Error()
		} else {
			answered++
		}
		s.Address = host
		list = append(list, s)
	}
	return list, answered
}

// inForce reports whether a version or a newer one is in force on every host.
func inForce(list []hostStatus, version uint64) bool {
	for _, s := range list {
		if s.Error != "" || s.Version < version {
			return false
		}
	}
	return true
}

// show prints the status of the hosts.
func (c statusCmd) show(o output, list []hostStatus, answered int) error {
	err := o.print(list, func(w io.Writer) {
		t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		_, _ = fmt.Fprintln(t, "ADDRESS\tHOST\tREADY\tVERSION\tDIGEST\tSINCE\tIN PROGRESS")
		for _, s := range list {
			if s.Error != "" {
				_, _ = fmt.Fprintf(t, "%s\t-\tunreachable\t-\t-\t-\t-\n", s.Address)
				continue
			}
			_, _ = fmt.Fprintf(t, "%s\t%s\t%v\t%d\t%.12s\t%s\t%d\n", s.Address, s.Host, s.Ready, s.Version, s.Digest, s.InForceSince.Format(time.RFC3339), s.InProgress)
		}
		_ = t.Flush()
		if c.Upstreams {
			showUpstreams(w, list)
		}
	})
	switch {
	case err != nil:
		return err
	case answered == 0:
		return errUnreachable
	case c.Wait > 0 && !inForce(list, c.Wait):
		return eris.Wrapf(errTimeout, "version %d is not in force on every host", c.Wait)
	}
	return nil
}

// showUpstreams prints the upstreams of each host.
func showUpstreams(w io.Writer, list []hostStatus) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "\nHOST\tUPSTREAM\tSLOTS\tLIMIT\tRUNNING\tCOLD\tSTATE")
	for _, s := range list {
		for _, u := range s.Upstreams {
			_, _ = fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%v\t%s\n", s.Host, u.Name, u.Slots, u.Limit, u.Running, u.Cold, u.State)
		}
	}
	_ = t.Flush()
}

// explainCmd shows how a request was handled.
type explainCmd struct {
	hostFlags `embed:""`
	RequestID string `arg:"" help:"Value of the response's Foxtail-Request-Id header."`
}

// Run queries the hosts in turn until one has a record of the request.
func (c explainCmd) Run(o output) error {
	answered := 0
	for _, host := range c.Hosts {
		var e contract.Explanation
		found, err := getJSON(host, "/explain/"+url.PathEscape(c.RequestID), &e)
		if err != nil {
			continue
		}
		answered++
		if found {
			return o.print(e, func(w io.Writer) { writeExplanation(w, e) })
		}
	}
	if answered == 0 {
		return errUnreachable
	}
	return eris.Wrapf(errInvalid, "no host that answered has a record of request %s", c.RequestID)
}

// writeExplanation prints an explanation as text.
func writeExplanation(w io.Writer, e contract.Explanation) {
	_, _ = fmt.Fprintf(w, "request %s of workspace %s (tier %s) for %s at %s\n", e.RequestID, e.Workspace, e.Tier, e.Pool, e.At.Format(time.RFC3339))
	if e.Owner != "" {
		_, _ = fmt.Fprintf(w, "requested a slot from host %s and waited %d ms\n", e.Owner, e.WaitedMs)
	}
	if e.Dispatches > 0 {
		_, _ = fmt.Fprintf(w, "dispatched once, to %s\n", e.Upstream)
	} else {
		_, _ = fmt.Fprintln(w, "not dispatched")
	}
	_, _ = fmt.Fprintf(w, "ended %s %s after %d ms\n", e.Outcome, e.Reason, e.TotalMs)
}

// keygenCmd creates an API key.
type keygenCmd struct {
	Pepper string `help:"Secret with which API keys are hashed, or @PATH of a file that holds it; the same as on the hosts." required:"" env:"FOXTAIL_KEY_PEPPER"`
	Key    string `help:"API key to hash instead of a new one."`
}

// Run prints the key and its hash.
func (c keygenCmd) Run(o output) error {
	pepper := []byte(c.Pepper)
	if path, ok := strings.CutPrefix(c.Pepper, "@"); ok {
		b, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		pepper = []byte(strings.TrimSpace(string(b)))
	}
	if len(pepper) < minPepperBytes {
		return eris.Wrapf(errInvalid, "--pepper must have at least %d bytes", minPepperBytes)
	}
	key := c.Key
	if key == "" {
		key = "fx-" + rand.Text()
	}
	hash := contract.HashKey(pepper, key)
	return o.print(map[string]string{"key": key, "keyHash": hash}, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "key      %s\nkeyHash  %s\n", key, hash)
	})
}

// completionCmd prints a completion script.
type completionCmd struct {
	Shell string `arg:"" enum:"bash,zsh,fish" help:"bash, zsh or fish."`
}

// commandNames are the commands that the completion scripts offer.
const commandNames = "check bundle diff status explain shares keygen version completion"

// completionScripts maps each shell to its completion script.
var completionScripts = map[string]string{
	"bash": "complete -o default -W '" + commandNames + "' foxtailctl\n",
	"zsh":  "#compdef foxtailctl\n_arguments '1:command:(" + commandNames + ")' '*:file:_files'\n",
	"fish": "complete -c foxtailctl -n __fish_use_subcommand -a '" + commandNames + "'\n",
}

// Run prints the script.
func (c completionCmd) Run(o output) error {
	_, err := io.WriteString(o.w, completionScripts[c.Shell])
	return err
}
