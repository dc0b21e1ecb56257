package coordinator

// Features selects the optional parts of a coordinator. A deployment's settings
// and configuration call for them; without any, requests are decided by tier,
// priority, deadline and free slots alone.
type Features struct {
	// FairShares divides the work of a pool among the workspaces of a tier.
	FairShares bool
	// Ejection takes upstreams that fail requests out of service by their
	// responses.
	Ejection bool
	// Overflow redirects requests to other failure domains by forecast wait
	// instead of by free slots.
	Overflow bool
	// TokenRoom limits the tokens and unread prompts of an upstream.
	TokenRoom bool
	// Pacing adapts the load of an upstream that has started or recovered to its
	// responses.
	Pacing bool
}

// Option configures a Coordinator.
type Option func(*Coordinator)

// WithFeatures enables optional parts.
func WithFeatures(f Features) Option {
	return func(c *Coordinator) {
		c.features = f
		if f.FairShares {
			c.order = byShare
		}
	}
}
