package contract

// Document is the whole configuration as operators write it.
type Document struct {
	Version    uint64      `yaml:"version" json:"version,omitempty"`
	Regions    []Region    `yaml:"regions" json:"regions,omitempty"`
	Domains    []Domain    `yaml:"domains" json:"domains,omitempty"`
	Links      []Link      `yaml:"links" json:"links,omitempty"`
	Tiers      []Tier      `yaml:"tiers" json:"tiers,omitempty"`
	Models     []Model     `yaml:"models" json:"models,omitempty"`
	Services   []Service   `yaml:"services" json:"services,omitempty"`
	Upstreams  []Upstream  `yaml:"upstreams" json:"upstreams,omitempty"`
	Workspaces []Workspace `yaml:"workspaces" json:"workspaces,omitempty"`
	Attended   Attended    `yaml:"attended" json:"attended,omitzero"`
	Limits     Limits      `yaml:"limits" json:"limits,omitzero"`
	Drains     Drains      `yaml:"drains" json:"drains,omitzero"`
}

// Region is a place whose failure domains are close to each other.
type Region struct {
	Name string `yaml:"name" json:"name"`
}

// Domain is a failure domain.
type Domain struct {
	Name   string `yaml:"name" json:"name"`
	Region string `yaml:"region" json:"region"`
}

// Link is a narrow connection between two regions.
type Link struct {
	From           string `yaml:"from" json:"from"`
	To             string `yaml:"to" json:"to"`
	BytesPerSecond int64  `yaml:"bytesPerSecond" json:"bytesPerSecond"`
}

// Tier is a standing; the first in the list is the highest.
type Tier struct {
	Name string `yaml:"name" json:"name"`
	// WaitSeconds is how long a request of the tier may take in all when
	// its caller names no time.
	WaitSeconds float64 `yaml:"waitSeconds" json:"waitSeconds"`
}

// Model is what engines serve.
type Model struct {
	Name          string `yaml:"name" json:"name"`
	ContextTokens int    `yaml:"contextTokens" json:"contextTokens"`
	// OutputTokens is the length expected where a caller sets no limit.
	OutputTokens int `yaml:"outputTokens" json:"outputTokens"`
}

// Service is a plain service beside the engines.
type Service struct {
	Name string `yaml:"name" json:"name"`
	// IdempotentMethods lists the HTTP methods that may be repeated; calls
	// by any other need a ticket.
	IdempotentMethods []string `yaml:"idempotentMethods" json:"idempotentMethods"`
}

// Upstream is one back end.
type Upstream struct {
	Name    string   `yaml:"name" json:"name"`
	Domain  string   `yaml:"domain" json:"domain"`
	Address string   `yaml:"address" json:"address"`
	Models  []string `yaml:"models" json:"models,omitempty"`
	Service string   `yaml:"service" json:"service,omitempty"`
	// ColdLimit is how many requests the upstream tolerates in cold start.
	ColdLimit int `yaml:"coldLimit" json:"coldLimit"`
	// Limit is how many requests it runs at most.
	Limit int `yaml:"limit" json:"limit"`
	// WarmUpSeconds is how long it must answer well to get more than
	// ColdLimit.
	WarmUpSeconds float64 `yaml:"warmUpSeconds" json:"warmUpSeconds"`
	Generation    string  `yaml:"generation" json:"generation,omitempty"`
	ChecksFencing bool    `yaml:"checksFencing" json:"checksFencing,omitempty"`
}

// Workspace is one customer.
type Workspace struct {
	Name string `yaml:"name" json:"name"`
	Tier string `yaml:"tier" json:"tier"`
	// KeyHashes are keyed hashes of the API keys, as foxtailctl keygen
	// prints them.
	KeyHashes []string `yaml:"keyHashes" json:"keyHashes"`
	// Concurrency bounds the requests in progress at one host; 0 is no
	// bound.
	Concurrency int `yaml:"concurrency" json:"concurrency,omitempty"`
}

// Attended is when somebody looks after failures.
type Attended struct {
	TimeZone string   `yaml:"timeZone" json:"timeZone"`
	Days     []string `yaml:"days" json:"days"`
	Opens    string   `yaml:"opens" json:"opens"`
	Closes   string   `yaml:"closes" json:"closes"`
}

// Limits bound what a host takes in.
type Limits struct {
	BodyBytes int `yaml:"bodyBytes" json:"bodyBytes"`
	Queue     int `yaml:"queue" json:"queue"`
}

// Drains lists what operators have taken out of service.
type Drains struct {
	Domains   []string `yaml:"domains" json:"domains,omitempty"`
	Upstreams []string `yaml:"upstreams" json:"upstreams,omitempty"`
	Hosts     []string `yaml:"hosts" json:"hosts,omitempty"`
}

// Defaults of fields that a document leaves out.
const (
	DefaultBodyBytes    = 4 << 20
	DefaultQueue        = 100_000
	DefaultWaitSeconds  = 60.0
	DefaultOutputTokens = 256
	DefaultWarmUp       = 5.0
)

// WithDefaults returns the document with omitted fields filled in.
func (d Document) WithDefaults() Document {
	if d.Limits.BodyBytes == 0 {
		d.Limits.BodyBytes = DefaultBodyBytes
	}
	if d.Limits.Queue == 0 {
		d.Limits.Queue = DefaultQueue
	}
	for i := range d.Tiers {
		if d.Tiers[i].WaitSeconds == 0 {
			d.Tiers[i].WaitSeconds = DefaultWaitSeconds
		}
	}
	for i := range d.Models {
		if d.Models[i].OutputTokens == 0 {
			d.Models[i].OutputTokens = DefaultOutputTokens
		}
	}
	for i := range d.Upstreams {
		if d.Upstreams[i].WarmUpSeconds == 0 {
			d.Upstreams[i].WarmUpSeconds = DefaultWarmUp
		}
	}
	return d
}
