// Package commander holds the commands of foxtailctl.
package commander

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/alecthomas/kong"
	"github.com/rotisserie/eris"
)

// Exit codes.
const (
	// ExitOK means that all is well.
	ExitOK = 0
	// ExitFault means that the input is faulty or an answer is "no".
	ExitFault = 1
	// ExitUsage means that the command line is wrong.
	ExitUsage = 2
	// ExitTimeout means that what was waited for did not come in time.
	ExitTimeout = 3
	// ExitUnreachable means that no host answered.
	ExitUnreachable = 4
)

// Version is the program's version.
const Version = "0.1.0"

var (
	// errFault says that the input is faulty; what is wrong was printed.
	errFault = eris.New("faulty")
	// errTimeout says that what was waited for did not come in time.
	errTimeout = eris.New("not in time")
	// errUnreachable says that no host answered.
	errUnreachable = eris.New("no host answered")
)

// output is where and how results are printed.
type output struct {
	w      io.Writer
	asJSON bool
}

// print prints a value as JSON, or by text.
func (o output) print(v any, text func(w io.Writer)) error {
	if !o.asJSON {
		text(o.w)
		return nil
	}
	e := json.NewEncoder(o.w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// commandLine is the program's commands and flags.
type commandLine struct {
	Output string `help:"table or json." enum:"table,json" default:"table" env:"FOXTAILCTL_OUTPUT"`

	Check      checkCmd      `cmd:"" help:"Check a configuration file and report every fault."`
	Bundle     bundleCmd     `cmd:"" help:"Make the values to publish of a configuration file."`
	Diff       diffCmd       `cmd:"" help:"Say in words what a configuration changes."`
	Status     statusCmd     `cmd:"" help:"Show what is in force on hosts."`
	Explain    explainCmd    `cmd:"" help:"Tell where and why a request went."`
	Story      storyCmd      `cmd:"" help:"Tell a request's story from hosts' logs."`
	Day        dayCmd        `cmd:"" help:"Sum hosts' logs up by time and reason."`
	Keygen     keygenCmd     `cmd:"" help:"Make an API key and the hash to configure."`
	Version    versionCmd    `cmd:"" help:"Print the version."`
	Completion completionCmd `cmd:"" help:"Print a completion script for a shell."`
}

// exited ends the command line's own processing, for help.
type exited int

// Run runs a command line and returns its exit code.
func Run(args []string, stdout, stderr io.Writer) (code int) {
	defer func() {
		if e, ok := recover().(exited); ok {
			code = int(e)
		}
	}()
	var cli commandLine
	parser, err := kong.New(&cli,
		kong.Name("foxtailctl"),
		kong.Description("Operators' client of foxtaillug. Exit codes: 0 well, 1 faulty, 2 wrong usage, 3 not in time, 4 no host answered."),
		kong.Writers(stdout, stderr),
		kong.Exit(func(code int) { panic(exited(code)) }),
	)
	if err != nil {
		return fail(stderr, err, ExitUsage)
	}
	k, err := parser.Parse(args)
	if err != nil {
		return fail(stderr, err, ExitUsage)
	}
	err = k.Run(output{w: stdout, asJSON: cli.Output == "json"})
	switch {
	case err == nil:
		return ExitOK
	case eris.Is(err, errTimeout):
		return fail(stderr, err, ExitTimeout)
	case eris.Is(err, errUnreachable):
		return fail(stderr, err, ExitUnreachable)
	default:
		return fail(stderr, err, ExitFault)
	}
}

// fail prints an error as one line and returns the exit code.
func fail(w io.Writer, err error, code int) int {
	_, _ = fmt.Fprintln(w, "foxtailctl:", err)
	return code
}

// versionCmd prints the version.
type versionCmd struct{}

// Run prints the version.
func (versionCmd) Run(o output) error {
	return o.print(map[string]string{"version": Version}, func(w io.Writer) { _, _ = fmt.Fprintln(w, Version) })
}
