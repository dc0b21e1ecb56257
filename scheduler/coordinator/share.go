package coordinator

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"foxtaillug.org/scheduler/balancer"
	"foxtaillug.org/scheduler/sharer"
)

const (
	// maxSharers is the number of workspaces that a summary lists.
	maxSharers = 32
	// adoptTime is how long after a takeover the running requests that entry hosts report
	// are charged. Later they are those of a link that was renewed, which were charged
	// when they were granted.
	adoptTime = 3 * time.Second
	// overHold is how long a standalone host keeps to the workspaces over their share
	// that its coordinator last sent.
	overHold = 3 * time.Second
)

// class identifies the requests among which work is shared: those of a pool and tier.
type class struct {
	pool string
	tier int
}

// shares divides the work of each pool and tier among workspaces; it is unused unless
// FairShares is on.
type shares struct {
	sharers map[class]*sharer.Sharer
	// held are the workspaces over their share that the coordinator of this host has
	// sent, at heldAt.
	held   map[overKey]int
	heldAt time.Time
}

// overKey identifies a workspace in a class.
type overKey struct {
	class
	workspace string
}

// Share is the work of a workspace in one pool and tier since the start of a process.
type Share struct {
	Pool string
	Tier int
	sharer.Share
}

// OverShare names a workspace that is over its share in a pool and tier, for requests
// of Priority and less urgent ones.
type OverShare struct {
	Pool      string
	Tier      int
	Workspace string
	Priority  int
}

// claim is what a queued request may claim of its workspace's share. It is zero without
// FairShares.
type claim struct {
	// account is that of the workspace.
	account *sharer.Account
	// over is set if the workspace is over its share.
	over bool
	// work is that of the request, in seconds that it holds a slot.
	work float64
	// order is the place of the request.
	order int64
}

// place returns what a request is ordered by before lateness and time left: its tier,
// whether its workspace is over its share, its priority, and whether it is not bound to a
// version. Tiers and priorities of 65,535 and beyond share a place.
func (w *waiter) place() (n int64) {
	const most = 1<<16 - 1
	n = int64(min(max(w.Tier, 0), most))<<18 | int64(min(max(w.Priority, 0), most))<<1
	if w.share.over {
		n |= 1 << 17
	}
	if w.Version == "" {
		n |= 1
	}
	return n
}

// byShare orders queued requests like bySlack, except that those over their workspace's
// share go last in their tier. It is called for every queued request at every grant, so
// it compares places that were computed before.
func byShare(a, b *waiter) int {
	if a.share.order != b.share.order {
		return cmp.Compare(a.share.order, b.share.order)
	}
	return byTimeLeft(a, b)
}

// sharer returns the sharer of a class, creating it if needed.
func (c *Coordinator) sharer(k class, now time.Time) *sharer.Sharer {
	s := c.shares.sharers[k]
	if s == nil {
		if c.shares.sharers == nil {
			c.shares.sharers = make(map[class]*sharer.Sharer)
		}
		s = sharer.New(now)
		c.shares.sharers[k] = s
	}
	return s
}

// workOf returns the work of a request, in seconds that it holds a slot of a typical
// upstream.
func workOf(prompt, output int) float64 {
	_, total := balancer.Work(prompt, output)
	return total.Seconds()
}

// isFirst reports whether this is the first admission of a request, whose work counts as
// asked.
func (r *Request) isFirst() bool { return !r.Repeat && !r.Redirected && len(r.Exclude) == 0 }

// keepsOrder reports whether a request keeps its place in the queue whatever its
// workspace was served: the caller of a bound request has part of its response already,
// and that of a repeat has waited for its first run. A redirected request does not: if the
// domain of its callers is evacuated, it has not been ordered there.
func (r *Request) keepsOrder() bool { return r.Version != "" || r.Repeat }

// ask counts the work of a new request and sets whether it is over its workspace's share.
func (c *Coordinator) ask(w *waiter, now time.Time) {
	if !c.features.FairShares {
		return
	}
	defer c.judge(w, now)
	if w.Workspace == "" {
		return
	}
	w.share.account = c.sharer(class{w.Pool, w.Tier}, now).Account(w.Workspace, now)
	w.share.work = workOf(w.Prompt, w.Output)
	if w.isFirst() {
		w.share.account.Ask(w.share.work, now)
	}
}

// judge sets whether a queued request is over its workspace's share. A standalone host
// sees only its own load, so it goes by what its coordinator last sent.
func (c *Coordinator) judge(w *waiter, now time.Time) {
	switch {
	case w.share.account == nil || w.keepsOrder():
		w.share.over = false
	case c.fleet.Standalone && now.Sub(c.shares.heldAt) < overHold:
		from, held := c.shares.held[overKey{class{w.Pool, w.Tier}, w.Workspace}]
		w.share.over = held && w.Priority >= from
	default:
		// Without contention the level is infinite. That of the last contention no longer
		// counts, as it is not computed anew until requests wait.
		w.share.over = w.share.account.Sharer().Contended(now) && w.share.account.Over(w.Priority)
	}
	w.share.order = w.place()
}

// refreshShares computes the fair levels of a pool and which queued requests are over
// the share of their workspace.
func (c *Coordinator) refreshShares(p *pool, now time.Time) {
	if !c.features.FairShares {
		return
	}
	for _, w := range p.waiting {
		if w.share.account != nil && w.share.account.Sharer().Contend(now) {
			c.judge(w, now)
		}
	}
}

// charge charges the work of a granted request to its workspace. If the workspace is
// over its share by that, so are its queued requests at once.
func (c *Coordinator) charge(w *waiter, g *grant, now time.Time) {
	if w.share.account == nil {
		return
	}
	before := w.share.account.OverFrom()
	g.charge = w.share.account.Charge(w.Priority, w.share.work, now)
	if w.share.account.OverFrom() == before {
		return
	}
	for _, x := range c.pools[w.Pool].waiting {
		if x.share.account == w.share.account {
			c.judge(x, now)
		}
	}
}

// settle corrects the charge of a request by how it ended.
func (g *grant) settle(f Finish, now time.Time) {
	r := g.req
	switch f.Ending {
	case Unused, ConnectFailed, WrongUpstream, Rejected:
		g.charge.Settle(0, true, now)
	case Complete:
		if f.Tokens > 0 {
			g.charge.Settle(workOf(r.Prompt, f.Tokens), false, now)
		}
	default:
		work := workOf(r.Prompt, f.Tokens)
		if f.FirstToken == 0 && f.Total > 0 {
			// It ended before its prompt was processed.
			work = min(work, f.Total.Seconds())
		}
		g.charge.Settle(work, false, now)
	}
}

// adoptCharge charges a request that runs on a grant of another coordinator, of which
// this one has no sums, as it has just taken over.
func (c *Coordinator) adoptCharge(r Running, g *grant, now time.Time) {
	if !c.features.FairShares || r.Workspace == "" || now.Sub(c.tookOverAt) >= adoptTime {
		return
	}
	a := c.sharer(class{g.upstream.Pool, r.Tier}, now).Account(r.Workspace, now)
	g.charge = a.Adopt(r.Priority, workOf(r.Prompt, r.Output), now)
}

// classes returns the classes that work was counted in, sorted by pool and tier.
func (s *shares) classes() []class {
	return slices.SortedFunc(maps.Keys(s.sharers), func(a, b class) int {
		return cmp.Or(cmp.Compare(a.pool, b.pool), cmp.Compare(a.tier, b.tier))
	})
}

// busyAccount is an account that has asked for work recently.
type busyAccount struct {
	class
	account *sharer.Account
	// recent is the work that it asked at this coordinator recently, in slot seconds.
	recent float64
}

// busiest returns the accounts of the maxSharers workspaces that asked for most recently,
// in all pools and tiers.
func (c *Coordinator) busiest(now time.Time) (list []busyAccount) {
	var rows []busyAccount
	for _, k := range c.shares.classes() {
		for _, a := range c.shares.sharers[k].Busiest(maxSharers, now) {
			rows = append(rows, busyAccount{k, a, a.Recent(now)})
		}
	}
	slices.SortStableFunc(rows, func(a, b busyAccount) int { return -cmp.Compare(a.recent, b.recent) })
	listed := make(map[string]bool, maxSharers)
	for _, r := range rows {
		if !listed[r.account.Workspace()] && len(listed) == maxSharers {
			continue
		}
		listed[r.account.Workspace()] = true
		list = append(list, r)
	}
	return list
}

// reportShares returns the work of the maxSharers workspaces that asked for most recently,
// in all pools and tiers.
func (c *Coordinator) reportShares(now time.Time) (list []Share) {
	if !c.features.FairShares {
		return nil
	}
	for _, b := range c.busiest(now) {
		list = append(list, Share{b.pool, b.tier, b.account.Report()})
	}
	return list
}

// recordShares processes the shares of another coordinator's summary. One of an earlier
// build has none; the level is then computed over the others.
func (c *Coordinator) recordShares(s Summary, now time.Time) {
	if !c.features.FairShares {
		return
	}
	byClass := make(map[class][]sharer.Share)
	for _, x := range s.Shares {
		k := class{x.Pool, x.Tier}
		byClass[k] = append(byClass[k], x.Share)
	}
	for k, list := range byClass {
		c.sharer(k, now).Record(s.Domain, s.Process, list, now)
	}
}

// OverShares returns the workspaces that are over their share where requests wait, for
// entry hosts that may have to decide for themselves.
func (c *Coordinator) OverShares(now time.Time) (list []OverShare) {
	for _, k := range c.shares.classes() {
		if !c.shares.sharers[k].Contended(now) {
			continue
		}
		for _, a := range c.shares.sharers[k].Accounts() {
			if from := a.OverFrom(); from < sharer.Levels {
				list = append(list, OverShare{Pool: k.pool, Tier: k.tier, Workspace: a.Workspace(), Priority: from})
			}
		}
	}
	return list
}

// HoldShares records the workspaces over their share that the coordinator of this host
// has sent.
func (c *Coordinator) HoldShares(list []OverShare, now time.Time) {
	c.shares.held, c.shares.heldAt = make(map[overKey]int, len(list)), now
	for _, x := range list {
		c.shares.held[overKey{class{x.Pool, x.Tier}, x.Workspace}] = x.Priority
	}
}
