// Package commander implements the commands of foxtailctl.
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
	// ExitOK means success.
	ExitOK = 0
	// ExitFault means that the input is invalid or that what was looked for
	// doesn't exist.
	ExitFault = 1
	// ExitUsage means that the command line is invalid.
	ExitUsage = 2
	// ExitTimeout means that the awaited state was not reached in time.
	ExitTimeout = 3
	// ExitUnreachable means that no host responded.
	ExitUnreachable = 4
)

// Version is the program's version.
const Version = "0.1.0"

var (
	// errInvalid is wrapped by errors of invalid input and of searches without a
	// result.
	errInvalid = eris.New("invalid input")
	// errTimeout is wrapped by errors that exit with ExitTimeout.
	errTimeout = eris.New("timed out")
	// errUnreachable is returned if no host responded.
	errUnreachable = eris.New("no host answered")
)

// output is the destination and the format of results.
type output struct {
	w      io.Writer
	asJSON bool
}

// print prints v as JSON, or calls text for the table format.
func (o output) print(v any, text func(w io.Writer)) error {
	if !o.asJSON {
		text(o.w)
		return nil
	}
	e := json.NewEncoder(o.w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// commandLine defines the program's commands and flags.
type commandLine struct {
	Output string `help:"Output format: table or json." enum:"table,json" default:"table" env:"FOXTAILCTL_OUTPUT"`

	Check      checkCmd      `cmd:"" help:"Check a configuration file and report every fault."`
	Bundle     bundleCmd     `cmd:"" help:"Encode a configuration file as the values to publish."`
	Diff       diffCmd       `cmd:"" help:"Describe the changes between two configuration files."`
	Status     statusCmd     `cmd:"" help:"Show the status of hosts and the configuration in force."`
	Explain    explainCmd    `cmd:"" help:"Show where a request was dispatched, how it ended and why."`
	Story      storyCmd      `cmd:"" help:"Show what happened to a request, from hosts' logs."`
	Day        dayCmd        `cmd:"" help:"Summarize hosts' logs by time and reason."`
	Terms      termsCmd      `cmd:"" help:"Show what upstreams have said of themselves, from hosts' logs."`
	Shares     sharesCmd     `cmd:"" help:"Show the shares of workspaces and the state of pools, from hosts' metrics."`
	Keygen     keygenCmd     `cmd:"" help:"Create an API key and its hash for the configuration."`
	Version    versionCmd    `cmd:"" help:"Print the version."`
	Completion completionCmd `cmd:"" help:"Print a completion script for a shell."`
}

// exitCode is the panic value by which Run returns when kong exits, such as
// after printing help.
type exitCode int

// Run runs a command line and returns its exit code.
func Run(args []string, stdout, stderr io.Writer) (code int) {
	defer func() {
		if e, ok := recover().(exitCode); ok {
			code = int(e)
		}
	}()
	var cli commandLine
	parser, err := kong.New(&cli,
		kong.Name("foxtailctl"),
		kong.Description("Operators' client of foxtaillug. Exit codes: 0 success, 1 invalid input or nothing found, 2 usage error, 3 timeout, 4 no host answered."),
		kong.Writers(stdout, stderr),
		kong.Exit(func(code int) { panic(exitCode(code)) }),
	)
	if err != nil {
		return printError(stderr, err, ExitUsage)
	}
	k, err := parser.Parse(args)
	if err != nil {
		return printError(stderr, err, ExitUsage)
	}
	err = k.Run(output{w: stdout, asJSON: cli.Output == "json"})
	switch {
	case err == nil:
		return ExitOK
	case eris.Is(err, errTimeout):
		return printError(stderr, err, ExitTimeout)
	case eris.Is(err, errUnreachable):
		return printError(stderr, err, ExitUnreachable)
	default:
		return printError(stderr, err, ExitFault)
	}
}

// printError prints an error as one line and returns code.
func printError(w io.Writer, err error, code int) int {
	_, _ = fmt.Fprintln(w, "foxtailctl:", err)
	return code
}

// versionCmd prints the version.
type versionCmd struct{}

// Run prints the version.
func (versionCmd) Run(o output) error {
	return o.print(map[string]string{"version": Version}, func(w io.Writer) { _, _ = fmt.Fprintln(w, Version) })
}
