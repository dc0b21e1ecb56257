package testbed

import (
	"os"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/rotisserie/eris"
)

// Scenario describes the hosts, engine speeds and load of a trial; the
// configuration document describes the rest. The fields are the YAML format.
type Scenario struct {
	// Hosts are the hosts that run a daemon.
	Hosts []HostSpec `yaml:"hosts"`
	// Generations maps each hardware generation to the speed of its engines.
	Generations map[string]Speed `yaml:"generations"`
	// ColdSeconds is the duration of an engine's cold start.
	ColdSeconds float64 `yaml:"coldSeconds"`
	// ReportLagSeconds is the minimum age of load reports.
	ReportLagSeconds float64 `yaml:"reportLagSeconds"`
	// ServiceMs is the duration of a call to a plain service.
	ServiceMs float64 `yaml:"serviceMs"`
	// RequestsPerSecond is the request rate at load 1.
	RequestsPerSecond float64 `yaml:"requestsPerSecond"`
	// Drain is the failure domain that is drained and put back in service during
	// the load; empty for none.
	Drain string `yaml:"drain"`
	// Callers are the kinds of requests in the load.
	Callers []Caller `yaml:"callers"`
}

// HostSpec is a host and its failure domain.
type HostSpec struct {
	Name   string `yaml:"name"`
	Domain string `yaml:"domain"`
}

// Speed describes how fast an engine is. Times are in milliseconds;
// engine.Config describes the fields.
type Speed struct {
	PrefillMsPerToken float64 `yaml:"prefillMsPerToken"`
	TokenMs           float64 `yaml:"tokenMs"`
	BatchSlowdown     float64 `yaml:"batchSlowdown"`
	// MaxBatch limits the requests that an engine computes at a time.
	MaxBatch int `yaml:"maxBatch"`
}

// Caller is one kind of request: completions by Model or bookings of Service,
// drawn in proportion to Weight. The bounds of PromptTokens and OutputTokens
// are inclusive.
type Caller struct {
	Workspace    string `yaml:"workspace"`
	Model        string `yaml:"model"`
	Service      string `yaml:"service"`
	Weight       int    `yaml:"weight"`
	PromptTokens [2]int `yaml:"promptTokens"`
	OutputTokens [2]int `yaml:"outputTokens"`
	// Prefixes is the number of distinct prompt prefixes that these requests
	// share.
	Prefixes int `yaml:"prefixes"`
}

// ReadScenario reads a scenario from a YAML file and validates it.
func ReadScenario(path string) (s Scenario, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return s, err
	}
	if err := yaml.UnmarshalWithOptions(text, &s, yaml.Strict()); err != nil {
		return s, eris.Wrapf(err, "scenario %s", path)
	}
	switch {
	case len(s.Hosts) == 0:
		return s, eris.Errorf("scenario %s: hosts is empty", path)
	case len(s.Callers) == 0:
		return s, eris.Errorf("scenario %s: callers is empty", path)
	case s.RequestsPerSecond <= 0:
		return s, eris.Errorf("scenario %s: requestsPerSecond must be above 0", path)
	}
	return s, nil
}

// milliseconds converts a number of milliseconds to a duration.
func milliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}

// seconds converts a number of seconds to a duration.
func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
