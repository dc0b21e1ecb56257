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
	// callTime bounds a call to a host.
	callTime = 2 * time.Second
	// waitPause is the pause between looks while waiting.
	waitPause = 100 * time.Millisecond
	// minSecret is the shortest key pepper that is accepted, in bytes.
	minSecret = 16
)

// hostFlags name the hosts to ask.
type hostFlags struct {
	Hosts []string `help:"IP and port of hosts' admin interfaces." required:"" env:"FOXTAILCTL_HOSTS" sep:","`
}

// get reads a path of one host's admin interface.
func get(host, path string, v any) (found bool, err error) {
	client := http.Client{Timeout: callTime}
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

// hostStatus is a host's status and where it was asked.
type hostStatus struct {
	Address string `json:"address"`
	Error   string `json:"error,omitempty"`
	contract.HostStatus
}

// statusCmd shows what is in force.
type statusCmd struct {
	hostFlags `embed:""`
	Wait      uint64        `help:"Wait until this version or a newer one is in force on every host."`
	Timeout   time.Duration `help:"Longest time to wait." default:"10s"`
	Upstreams bool          `help:"Show the upstreams of each host."`
}

// Run shows the hosts, and waits if asked to.
func (c statusCmd) Run(o output) error {
	end := time.Now().Add(c.Timeout)
	for {
		list, answered := c.ask()
		if c.Wait == 0 || inForce(list, c.Wait) || time.Now().After(end) {
			return c.show(o, list, answered)
		}
		time.Sleep(waitPause)
	}
}

// ask asks every host.
func (c statusCmd) ask() (list []hostStatus, answered int) {
	for _, host := range c.Hosts {
		var s hostStatus
		if _, err := get(host, "/status", &s); err != nil {
			s.Error = err.Error()
		} else {
			answered++
		}
		s.Address = host
		list = append(list, s)
	}
	return list, answered
}

// inForce reports whether every host has a version or a newer one.
func inForce(list []hostStatus, version uint64) bool {
	for _, s := range list {
		if s.Error != "" || s.Version < version {
			return false
		}
	}
	return true
}

// show prints the hosts.
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
		return eris.Wrapf(errTimeout, "version %d is not in force everywhere", c.Wait)
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

// explainCmd tells what became of a request.
type explainCmd struct {
	hostFlags `embed:""`
	RequestID string `arg:"" help:"Foxtail-Request-Id of the answer."`
}

// Run asks every host for the request.
func (c explainCmd) Run(o output) error {
	answered := 0
	for _, host := range c.Hosts {
		var e contract.Explanation
		found, err := get(host, "/explain/"+url.PathEscape(c.RequestID), &e)
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
	return eris.Wrapf(errFault, "no host that answered knows request %s", c.RequestID)
}

// writeExplanation prints an explanation in words.
func writeExplanation(w io.Writer, e contract.Explanation) {
	_, _ = fmt.Fprintf(w, "request %s of workspace %s (tier %s) for %s at %s\n", e.RequestID, e.Workspace, e.Tier, e.Pool, e.At.Format(time.RFC3339))
	if e.Owner != "" {
		_, _ = fmt.Fprintf(w, "asked host %s and waited %d ms\n", e.Owner, e.WaitedMs)
	}
	if e.Dispatches > 0 {
		_, _ = fmt.Fprintf(w, "dispatched once, to %s\n", e.Upstream)
	} else {
		_, _ = fmt.Fprintln(w, "not dispatched")
	}
	_, _ = fmt.Fprintf(w, "ended %s %s after %d ms\n", e.Outcome, e.Reason, e.TotalMs)
}

// keygenCmd makes an API key.
type keygenCmd struct {
	Pepper string `help:"Key under which API keys are hashed, or @PATH of a file with it; the same as the hosts'." required:"" env:"FOXTAIL_KEY_PEPPER"`
	Key    string `help:"API key to hash in place of a new one."`
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
	if len(pepper) < minSecret {
		return eris.Wrapf(errFault, "--pepper must have at least %d bytes", minSecret)
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

// commandNames are the commands that shells complete.
const commandNames = "check bundle diff status explain keygen version completion"

// scripts are the completion scripts.
var scripts = map[string]string{
	"bash": "complete -o default -W '" + commandNames + "' foxtailctl\n",
	"zsh":  "#compdef foxtailctl\n_arguments '1:command:(" + commandNames + ")' '*:file:_files'\n",
	"fish": "complete -c foxtailctl -n __fish_use_subcommand -a '" + commandNames + "'\n",
}

// Run prints the script.
func (c completionCmd) Run(o output) error {
	_, err := io.WriteString(o.w, scripts[c.Shell])
	return err
}
