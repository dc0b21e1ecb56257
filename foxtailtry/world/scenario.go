package world

import (
	"os"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/rotisserie/eris"
)

// Scenario is what a trial runs with, beside the configuration. The fields
// are its YAML format.
type Scenario struct {
	// Hosts are the entry hosts.
	Hosts []HostSpec `yaml:"hosts"`
	// Generations say how fast engines of each hardware generation are.
	Generations map[string]Speed `yaml:"generations"`
	// ColdSeconds is how long an engine's cold start lasts.
	ColdSeconds float64 `yaml:"coldSeconds"`
	// ReportLagSeconds is how old load reports are.
	ReportLagSeconds float64 `yaml:"reportLagSeconds"`
	// ServiceMs is how long a call of a plain service takes.
	ServiceMs float64 `yaml:"serviceMs"`
	// RequestsPerSecond is the load called 1.0.
	RequestsPerSecond float64 `yaml:"requestsPerSecond"`
	// Drain is the failure domain that leaves and returns.
	Drain string `yaml:"drain"`
	// Callers are the kinds of requests.
	Callers []Caller `yaml:"callers"`
}

// HostSpec is an entry host.
type HostSpec struct {
	Name   string `yaml:"name"`
	Domain string `yaml:"domain"`
}

// Speed is how fast an engine is, in milliseconds.
type Speed struct {
	PrefillMsPerToken float64 `yaml:"prefillMsPerToken"`
	TokenMs           float64 `yaml:"tokenMs"`
	BatchSlowdown     float64 `yaml:"batchSlowdown"`
	// MaxBatch bounds the requests an engine computes at a time.
	MaxBatch int `yaml:"maxBatch"`
}

// Caller is one kind of requests.
type Caller struct {
	Workspace    string `yaml:"workspace"`
	Model        string `yaml:"model"`
	Service      string `yaml:"service"`
	Weight       int    `yaml:"weight"`
	PromptTokens [2]int `yaml:"promptTokens"`
	OutputTokens [2]int `yaml:"outputTokens"`
	// Prefixes is how many prompt beginnings the callers share.
	Prefixes int `yaml:"prefixes"`
}

// ReadScenario reads a scenario and checks it.
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

// milliseconds turns a number of milliseconds into a duration.
func milliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}

// secondsOf turns a number of seconds into a duration.
func secondsOf(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
