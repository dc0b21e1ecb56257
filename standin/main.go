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

// headerTimeout is the longest time that a caller may take to send a request
// header.
const headerTimeout = 10 * time.Second

// commandLine holds the flags and commands of the program.
type commandLine struct {
	Listen   string      `help:"IP and port to listen on." required:"" env:"FOXTAILSTAND_LISTEN"`
	Engine   engineCmd   `cmd:"" help:"Run a stand-in model engine."`
	Service  serviceCmd  `cmd:"" help:"Run a stand-in booking service."`
	Platform platformCmd `cmd:"" help:"Run a stand-in platform."`
}

// engineCmd runs a stand-in model engine.
type engineCmd struct {
	Name         string        `help:"Name of the engine in its statistics and epochs." default:"engine"`
	Model        string        `help:"Model served." default:"model"`
	Prefill      time.Duration `help:"Prefill time of one prompt token." default:"50us"`
	TokenTime    time.Duration `help:"Time between tokens." default:"10ms"`
	Slowdown     float64       `help:"Fraction by which each further request in the batch slows down all of them." default:"0.05"`
	ColdFor      time.Duration `help:"Duration of a cold start." default:"2s"`
	ColdLimit    int           `help:"Concurrent requests that a cold engine handles; one more crashes it." default:"2"`
	ReportLag    time.Duration `help:"Minimum age of load reports." default:"200ms"`
	PoisonMarker string        `help:"Crash the engine when a prompt contains this text."`
	Seed         uint64        `help:"Seed of the random part of epochs." default:"1"`
}

// handler returns the HTTP interface of a new engine.
func (c engineCmd) handler() (http.Handler, error) {
	return engine.New(engine.Config{
		Name: c.Name, Model: c.Model,
		PrefillPerToken: c.Prefill, TokenTime: c.TokenTime, BatchSlowdown: c.Slowdown,
		ColdFor: c.ColdFor, ColdLimit: c.ColdLimit, ReportLag: c.ReportLag,
		CacheBlocks: defaultCacheBlocks, PoisonMarker: c.PoisonMarker, Seed: c.Seed,
	}).Handler(), nil
}

// defaultCacheBlocks is the capacity of the prefix cache, in blocks.
const defaultCacheBlocks = 4096

// serviceCmd runs a stand-in booking service.
type serviceCmd struct {
	Delay time.Duration `help:"Time that each call takes." default:"20ms"`
}

// handler returns the HTTP interface of a new service.
func (c serviceCmd) handler() (http.Handler, error) {
	return service.New(c.Delay).Handler(), nil
}

// platformCmd runs a stand-in platform.
type platformCmd struct {
	Lag   time.Duration `help:"Lag of the host list." default:"500ms"`
	Hosts string        `help:"JSON file with the initial host list." type:"existingfile"`
}

// handler returns the HTTP interface of a new platform with the hosts of the
// file, if one is given.
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

// standIn is a command that returns the handler to serve.
type standIn interface {
	handler() (http.Handler, error)
}

func main() {
	var cli commandLine
	k := kong.Parse(&cli, kong.Name("foxtailstand"), kong.Description("Runs stand-ins for the systems that foxtaillug works with."))
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
