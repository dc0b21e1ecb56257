package coordinator

import "cmp"

// OrderByTierOnly disables the order by slack: within a tier, requests are
// served in order of arrival.
func (c *Coordinator) OrderByTierOnly() {
	c.order = func(a, b *waiter) int { return cmp.Compare(a.Tier, b.Tier) }
}

// DisableEarlyRejection lets requests wait as long as they may, however
// unlikely they are to get a slot.
func (c *Coordinator) DisableEarlyRejection() { c.rejectEarly = false }

// IgnoreCold raises the bounds so far that the rate onto cold upstreams is not
// limited.
func (c *Coordinator) IgnoreCold() { c.bounds.ColdFactor, c.bounds.ColdAllowance = 1000, 1000 }
