// Program foxtaild is the daemon that runs on every host. It accepts callers'
// requests and owns upstreams.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"foxtaillug.org/foxtaild/daemon"
)

func main() {
	var s daemon.Settings
	k := kong.Parse(&s,
		kong.Name("foxtaild"),
		kong.Description("Schedules requests onto upstreams. Every flag can also be set by the environment variable shown with it. SIGTERM stops gracefully; a second one stops at once."),
	)
	d, err := daemon.New(s)
	k.FatalIfErrorf(err)
	k.FatalIfErrorf(d.Start())
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	ctx, cancel := context.WithTimeout(context.Background(), s.StopAfter)
	defer cancel()
	go func() {
		<-signals
		cancel()
	}()
	if cut := d.Stop(ctx); cut > 0 {
		os.Exit(1)
	}
}
