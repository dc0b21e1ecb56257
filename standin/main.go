package main

import (
	"encoding/json"
	"log/slog"
	"net/http"
	"os"
	"time"

	"github.com/alecthomas/kong"

	"foxtaillug.org/standin/engine"
	"foxtaillug.org/standin/platform"
	"foxtaillug.org/standin/service"
)

// headerTimeout bounds how long a stand-in waits for a request's head.
const headerTimeout = 10 * time.Second

// commandLine is the program's flags.
type commandLine struct {
	Listen   string      `help:"IP and port to listen on." required:"" env:"FOXTAILSTAND_LISTEN"`
	Engine   engineCmd   `cmd:"" help:"Run a stand-in model engine."`
	Service  serviceCmd  `cmd:"" help:"Run a stand-in booking service."`
	Platform platformCmd `cmd:"" help:"Run a stand-in platform."`
}

// engineCmd runs an engine.
type engineCmd struct {
	Name         string        `help:"Name in answers." default:"engine"`
	Model        string        `help:"Model served." default:"model"`
	Prefill      time.Duration `help:"Time for one prompt token." default:"50us"`
	TokenTime    time.Duration `help:"Time between tokens." default:"10ms"`
	Slowdown     float64       `help:"Part by which each request in the batch slows all." default:"0.05"`
	ColdFor      time.Duration `help:"Length of a cold start." default:"2s"`
	ColdLimit    int           `help:"Requests tolerated in cold start." default:"2"`
	ReportLag    time.Duration `help:"Age of load reports." default:"200ms"`
	PoisonMarker string        `help:"Text that crashes the engine."`
	Seed         uint64        `help:"Seed of epochs." default:"1"`
}

// handler returns the engine's interface.
func (c engineCmd) handler() (http.Handler, error) {
	return engine.New(engine.Config{
		Name: c.Name, Model: c.Model,
		PrefillPerToken: c.Prefill, TokenTime: c.TokenTime, BatchSlowdown: c.Slowdown,
		ColdFor: c.ColdFor, ColdLimit: c.ColdLimit, ReportLag: c.ReportLag,
		CacheBlocks: defaultCacheBlocks, PoisonMarker: c.PoisonMarker, Seed: c.Seed,
	}).Handler(), nil
}

// defaultCacheBlocks is the size of an engine's prefix cache.
const defaultCacheBlocks = 4096

// serviceCmd runs a booking service.
type serviceCmd struct {
	Delay time.Duration `help:"Time a call takes." default:"20ms"`
}

// handler returns the service's interface.
func (c serviceCmd) handler() (http.Handler, error) {
	return service.New(c.Delay).Handler(), nil
}

// platformCmd runs a platform.
type platformCmd struct {
	Lag   time.Duration `help:"Lag of the host list." default:"500ms"`
	Hosts string        `help:"JSON file with the first host list." type:"existingfile"`
}

// handler returns the platform's interface.
func (c platformCmd) handler() (http.Handler, error) {
	p := platform.New(c.Lag)
	if c.Hosts == "" {
		return p.Handler(), nil
	}
	text, err := os.ReadFile(c.Hosts)
	if err != nil {
		return nil, err
	}
	var hosts []platform.Host
	if err := json.Unmarshal(text, &hosts); err != nil {
		return nil, err
	}
	p.SetHosts(hosts)
	return p.Handler(), nil
}

// standIn is a command that makes a handler.
type standIn interface {
	handler() (http.Handler, error)
}

func main() {
	var cli commandLine
	k := kong.Parse(&cli, kong.Name("foxtailstand"), kong.Description("Stand-ins of the systems that foxtaillug meets."))
	var s standIn
	switch k.Command() {
	case "engine":
		s = cli.Engine
	case "service":
		s = cli.Service
	default:
		s = cli.Platform
	}
	h, err := s.handler()
	k.FatalIfErrorf(err)
	slog.New(slog.NewJSONHandler(os.Stderr, nil)).Info("listening", "standIn", k.Command(), "address", cli.Listen)
	server := &http.Server{Addr: cli.Listen, Handler: h, ReadHeaderTimeout: headerTimeout}
	k.FatalIfErrorf(server.ListenAndServe())
}
