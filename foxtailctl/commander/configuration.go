package commander

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"

	"foxtaillug.org/contract"
	"foxtaillug.org/contract/bundler"
	"foxtaillug.org/contract/parser"
)

const (
	// fileMode and dirMode are the permissions of a bundle's files and
	// directories.
	fileMode = 0o644
	dirMode  = 0o755
)

// readConfig reads and checks a configuration file.
func readConfig(path string) (doc contract.Document, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return doc, err
	}
	return parser.Parse(path, text)
}

// checkCmd checks a configuration file.
type checkCmd struct {
	File string `arg:"" help:"Configuration file." type:"existingfile"`
}

// fault is the JSON output format of a parser.Fault.
type fault struct {
	File    string `json:"file"`
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Message string `json:"message"`
	Hint    string `json:"hint,omitempty"`
}

// Run prints the faults of the file.
func (c checkCmd) Run(o output) error {
	doc, err := readConfig(c.File)
	var faults parser.Faults
	if err != nil && !eris.As(err, &faults) {
		return err
	}
	list := []fault{}
	for _, f := range faults {
		list = append(list, fault{File: f.File(), Line: f.Line(), Column: f.Column(), Message: f.Message(), Hint: f.Hint()})
	}
	err = o.print(list, func(w io.Writer) {
		for _, f := range faults {
			_, _ = fmt.Fprintln(w, f)
		}
		if len(faults) == 0 {
			_, _ = fmt.Fprintf(w, "%s: version %d is valid: %d upstreams, %d workspaces\n", c.File, doc.Version, len(doc.Upstreams), len(doc.Workspaces))
		}
	})
	if err == nil && len(faults) > 0 {
		return eris.Wrapf(errInvalid, "%d faults", len(faults))
	}
	return err
}

// bundleCmd writes the values to publish.
type bundleCmd struct {
	File string `arg:"" help:"Configuration file." type:"existingfile"`
	Out  string `help:"Directory to write the values to, one file per key." required:"" type:"path"`
}

// Run writes the parts first and the manifest last, the order in which they
// must be published.
func (c bundleCmd) Run(o output) error {
	doc, err := readConfig(c.File)
	if err != nil {
		return err
	}
	b, err := bundler.Encode(doc)
	if err != nil {
		return err
	}
	keys := make([]string, 0, len(b.Digests())+1)
	for _, digest := range b.Digests() {
		key := bundler.PartKeyPrefix + digest
		if err := writeValue(c.Out, key, b.Part(digest)); err != nil {
			return err
		}
		keys = append(keys, key)
	}
	if err := writeValue(c.Out, bundler.ManifestKey, b.Manifest()); err != nil {
		return err
	}
	keys = append(keys, bundler.ManifestKey)
	return o.print(map[string]any{"version": doc.Version, "digest": b.Version().Digest(), "keys": keys}, func(w io.Writer) {
		for _, key := range keys {
			_, _ = fmt.Fprintln(w, key)
		}
	})
}

// writeValue writes a value to the file that its key names below dir.
func writeValue(dir, key string, value []byte) error {
	path := filepath.Join(dir, filepath.FromSlash(key))
	if err := os.MkdirAll(filepath.Dir(path), dirMode); err != nil {
		return err
	}
	return os.WriteFile(path, value, fileMode)
}

// diffCmd describes the changes between two configuration files.
type diffCmd struct {
	From string `arg:"" help:"Configuration file that is in force." type:"existingfile"`
	To   string `arg:"" help:"New configuration file." type:"existingfile"`
}

// Run prints one line per change.
func (c diffCmd) Run(o output) error {
	from, err := readConfig(c.From)
	if err != nil {
		return err
	}
	to, err := readConfig(c.To)
	if err != nil {
		return err
	}
	lines := bundler.Diff(from, to)
	if to.Version <= from.Version && len(lines) > 0 {
		lines = append(lines, fmt.Sprintf("the version must be raised above %d, or no host will apply it", from.Version))
	}
	return o.print(lines, func(w io.Writer) {
		for _, l := range lines {
			_, _ = fmt.Fprintln(w, l)
		}
		if len(lines) == 0 {
			_, _ = fmt.Fprintln(w, "no changes")
		}
	})
}

// decode decodes a JSON response.
func decode(r io.Reader, v any) error {
	return eris.Wrap(json.NewDecoder(r).Decode(v), "decode response")
}
