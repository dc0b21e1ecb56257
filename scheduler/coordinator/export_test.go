package coordinator

import "cmp"

// OrderByTierOnly switches the order by slack off: within a tier the longest
// waiting go first.
func (c *Coordinator) OrderByTierOnly() {
	c.order = func(a, b *waiter) int { return cmp.Compare(a.Tier, b.Tier) }
}

// ForecastNothing lets requests wait to the end, however little their chance.
func (c *Coordinator) ForecastNothing() { c.rejectEarly = false }

// IgnoreCold treats cold upstreams as warm.
func (c *Coordinator) IgnoreCold() { c.bounds.ColdFactor, c.bounds.ColdAllowance = 1000, 1000 }
