package commander_test

import (
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"foxtaillug.org/foxtailctl/commander"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"foxtailctl": func() { os.Exit(commander.Run(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata"})
}
