// Program rig-2 runs a case of the review against the system's own processes on loopback
// addresses: it is the platform, the servers and the clients.
//
// It exits with 1 if the case's rule was broken, with 0 if it held and with 2 if the case
// could not run. TROUBLE=0 in the environment leaves the disruption out.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// bench is what a case works with.
type bench struct {
	net     *network
	store   *store
	fleet   *fleet
	log     *record
	trouble bool
}

// cases holds the cases by name. Each returns whether its rule was broken.
var cases = map[string]func(*bench) (broken bool, err error){
	"poison": poison,
	"silent": silent,
	"seeds":  seeds,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig-2 CASE FOLDER")
		os.Exit(2)
	}
	broken, err := runCase(os.Args[1], os.Args[2])
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	case broken:
		fmt.Println("rule broken")
		os.Exit(1)
	}
	fmt.Println("rule held")
}

// runCase runs a case and writes record.txt into a folder.
func runCase(name, folder string) (broken bool, err error) {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return false, err
	}
	defer func() { _ = f.Close() }()
	if _, err := os.Stat(binary); err != nil {
		return false, errors.Join(errSetup, err)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return false, err
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	b := &bench{log: &record{f: f, since: time.Now()}, trouble: os.Getenv("TROUBLE") != "0"}
	if b.net, err = newNetwork(); err != nil {
		return false, err
	}
	if b.store, err = newStore(fmt.Sprintf("%s9:%d", b.net.prefix, storePort)); err != nil {
		return false, err
	}
	b.store.put("op/config", deployment())
	b.fleet = &fleet{dir: dir, store: b.store.address, log: b.log, memory: 284}
	defer b.fleet.stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		b.fleet.stop()
		os.Exit(2)
	}()
	b.log.line("case %s, trouble %v", name, b.trouble)
	broken, err = cases[name](b)
	b.log.line("broken: %v, error: %v", broken, err)
	return broken, err
}

// server starts a server of a service in a zone at an address of its own.
func (b *bench) server(o serverOptions) *server {
	return newServer(b.store, b.log, fmt.Sprintf("%s:%d", b.net.address(), 8308), o)
}
