package commander_test

import (
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"foxtaillug.org/foxtailctl/commander"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"foxtailctl": func() { os.Exit(commander.Run(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// TestScripts runs the scripts. The directories a to d of a script are served as those of
// hosts, at METRICS_A to METRICS_D; nothing listens at METRICS_NONE.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata", Setup: func(env *testscript.Env) error {
		for _, host := range []string{"a", "b", "c", "d", "none"} {
			s := httptest.NewServer(http.FileServer(http.Dir(filepath.Join(env.WorkDir, host))))
			env.Setenv("METRICS_"+strings.ToUpper(host), s.Listener.Addr().String())
			if host == "none" {
				s.Close()
			} else {
				env.Defer(s.Close)
			}
		}
		return nil
	}})
}

// TestExampleOfShares guards against an example in OPERATIONS.md that the command would not
// print.
func TestExampleOfShares(t *testing.T) {
	script, err := os.ReadFile("testdata/shares.txtar")
	if err != nil {
		t.Fatal(err)
	}
	_, rest, begins := strings.Cut(string(script), "-- all.txt --\n")
	want, _, ends := strings.Cut(rest, "-- one.txt --\n")
	if !begins || !ends {
		t.Fatal("the script has no all.txt before one.txt")
	}
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(page), want) {
		t.Errorf("OPERATIONS.md does not have the output\n%s", want)
	}
}
