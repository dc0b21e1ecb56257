package contract

// Document is a complete configuration as operators write it. Its version
// number must be raised with every change.
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

// Region is a group of failure domains with low latency between them.
type Region struct {
	Name string `yaml:"name" json:"name"`
}

// Domain is a failure domain.
type Domain struct {
	Name   string `yaml:"name" json:"name"`
	Region string `yaml:"region" json:"region"`
}

// Link is a connection of limited bandwidth between two regions.
type Link struct {
	From           string `yaml:"from" json:"from"`
	To             string `yaml:"to" json:"to"`
	BytesPerSecond int64  `yaml:"bytesPerSecond" json:"bytesPerSecond"`
}

// Tier is a class of workspaces; the first tier in the list ranks highest.
type Tier struct {
	Name string `yaml:"name" json:"name"`
	// WaitSeconds is how long a request of the tier may take in total. A
	// caller may set a shorter timeout.
	WaitSeconds float64 `yaml:"waitSeconds" json:"waitSeconds"`
}

// Model is a model that engines serve.
type Model struct {
	Name          string `yaml:"name" json:"name"`
	ContextTokens int    `yaml:"contextTokens" json:"contextTokens"`
	// OutputTokens is the response length to expect if a caller sets no limit.
	OutputTokens int `yaml:"outputTokens" json:"outputTokens"`
}

// Service is a plain service, as opposed to a model engine.
type Service struct {
	Name string `yaml:"name" json:"name"`
	// IdempotentMethods lists the HTTP methods whose calls may be sent again
	// after a failure; calls with any other method need a ticket.
	IdempotentMethods []string `yaml:"idempotentMethods" json:"idempotentMethods"`
}

// Upstream is a back end: an engine that serves a model, or an instance of a
// plain service.
type Upstream struct {
	Name    string   `yaml:"name" json:"name"`
	Domain  string   `yaml:"domain" json:"domain"`
	Address string   `yaml:"address" json:"address"`
	Models  []string `yaml:"models" json:"models,omitempty"`
	Service string   `yaml:"service" json:"service,omitempty"`
	// ColdLimit is how many requests the upstream may run at once while it is
	// in cold start.
	ColdLimit int `yaml:"coldLimit" json:"coldLimit"`
	// Limit is how many requests the upstream may run at once.
	Limit int `yaml:"limit" json:"limit"`
	// WarmUpSeconds is how long the upstream must respond successfully
	// before it may run more than ColdLimit requests.
	WarmUpSeconds float64 `yaml:"warmUpSeconds" json:"warmUpSeconds"`
	Generation    string  `yaml:"generation" json:"generation,omitempty"`
	ChecksFencing bool    `yaml:"checksFencing" json:"checksFencing,omitempty"`
}

// Workspace is one customer.
type Workspace struct {
	Name string `yaml:"name" json:"name"`
	Tier string `yaml:"tier" json:"tier"`
	// KeyHashes are the keyed hashes of the workspace's API keys, as printed
	// by foxtailctl keygen.
	KeyHashes []string `yaml:"keyHashes" json:"keyHashes"`
	// Concurrency is how many requests of the workspace may be in progress at
	// one host; 0 means no limit.
	Concurrency int `yaml:"concurrency" json:"concurrency,omitempty"`
}

// Attended lists the weekly hours during which operators respond to failures.
// Opens and Closes are times of day such as 08:30; without days, all hours are
// attended.
type Attended struct {
	TimeZone string   `yaml:"timeZone" json:"timeZone"`
	Days     []string `yaml:"days" json:"days"`
	Opens    string   `yaml:"opens" json:"opens"`
	Closes   string   `yaml:"closes" json:"closes"`
}

// Limits restricts the requests that a host accepts. Queue is a number of
// requests.
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

// Defaults of the fields that a document omits.
const (
	DefaultBodyBytes     = 4 << 20
	DefaultQueue         = 100_000
	DefaultWaitSeconds   = 60.0
	DefaultOutputTokens  = 256
	DefaultWarmUpSeconds = 5.0
)

// WithDefaults returns the document with defaults for its omitted fields.
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
			d.Upstreams[i].WarmUpSeconds = DefaultWarmUpSeconds
		}
	}
	return d
}
