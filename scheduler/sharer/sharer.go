package sharer

import (
	"math"
	"time"
)

const (
	// window is the time constant of the decay while requests wait. A new coordinator
	// and two that were parted must be fair again within 3 s.
	window = 2 * time.Second
	// idleWindow is the time constant while no request waits. Work that is served when
	// nobody waits is taken from nobody, so a burst into idle room is soon forgotten.
	idleWindow = 200 * time.Millisecond
	// contendedFor is how long contention counts after the last waiting request; queues
	// of a busy pool are empty for a few milliseconds at times.
	contendedFor = 300 * time.Millisecond
	// marginShare is the margin as a fraction of a large request. With a whole one,
	// workspaces at their share are found within it for longer, and in a pool of 12 slots
	// those that ask for little were served 0.977 beside them in place of 0.994.
	marginShare = 0.25
	// maxLarge bounds what counts as a large request, in slot seconds: one of the callers, 2,950 prompt and 280 output tokens. With an unbounded margin, one
	// workspace with a few huge requests would suspend the shares of all.
	maxLarge = 1.5
	// refreshInterval is the time between two computations of the fair level. Charges
	// count at once, against the last level.
	refreshInterval = 45 * time.Millisecond
	// accountTTL is how long a workspace without requests is kept.
	accountTTL = time.Minute
	// reportTTL is how long reports of another source count. Those that were not renewed
	// for longer are a new baseline when they resume, so that work served on the other
	// side of a partition is not held against anybody afterwards.
	reportTTL = time.Second
	// maxAge bounds the exponent of the weights, see Sharer.age.
	maxAge = 30
	// negligible is the work, in slot seconds, below which a sum counts as 0.
	negligible = 1e-6
)

// Levels is the number of priorities within a tier; those beyond share the last.
const Levels = 8

// sums are the work of a workspace that was asked and served by priority, in slot
// seconds.
type sums struct {
	asked  float64
	served [Levels]float64
}

// total returns the work served at all priorities.
func (s *sums) total() (sum float64) {
	for _, x := range s.served {
		sum += x
	}
	return sum
}

// add adds other sums.
func (s *sums) add(o *sums) {
	s.asked += o.asked
	for i, x := range o.served {
		s.served[i] += x
	}
}

// scale multiplies the sums.
func (s *sums) scale(factor float64) {
	s.asked *= factor
	for i := range s.served {
		s.served[i] *= factor
	}
}

// Account holds what a Sharer knows of one workspace.
type Account struct {
	sharer    *Sharer
	workspace string
	// recent are the decaying sums of this process, at the scale of the sharer, and
	// totals those since its start.
	recent, totals sums
	// all is recent and what other sources report, as of the last refresh, with what
	// was charged here since.
	all sums
	// overFrom is the first priority at which the workspace is over its share.
	overFrom int
	usedAt   time.Time
}

// Sharer divides the work of one pool and tier. It is not safe for concurrent use.
type Sharer struct {
	accounts map[string]*Account
	// list holds the accounts in the order of their first use, so that sums of floats do
	// not depend on the order of a map.
	list    []*Account
	sources map[string]*source
	// age is the time since the base of the weights, in time constants, and base that
	// from the start to the base. Instead of all sums decaying, new work is added with
	// the weight exp(age).
	age, base float64
	// lastWeight is exp(age) at the age weighedAt.
	weighedAt, lastWeight float64
	at                    time.Time
	// contendedAt is when a request was last seen waiting.
	contendedAt, refreshedAt time.Time
	// level is the fair level and margin the excess that is not over a share, both as
	// of the last refresh and at the scale of the sums. largest decays like the sums.
	level, margin, largest float64
	// demands is scratch space of fairLevel.
	demands []float64
}

// New returns a Sharer without workspaces.
func New(now time.Time) *Sharer {
	return &Sharer{
		accounts: make(map[string]*Account),
		sources:  make(map[string]*source),
		at:       now,
		level:    math.Inf(1),
		// exp(0), the weight at the start.
		lastWeight: 1,
	}
}

// Account returns the account of a workspace and creates it if needed.
func (s *Sharer) Account(workspace string, now time.Time) *Account {
	a := s.accounts[workspace]
	if a == nil {
		a = &Account{sharer: s, workspace: workspace, overFrom: Levels}
		s.accounts[workspace] = a
		s.list = append(s.list, a)
	}
	a.usedAt = now
	return a
}

// Sharer returns the sharer that an account belongs to.
func (a *Account) Sharer() *Sharer { return a.sharer }

// Workspace returns the name of the account's workspace.
func (a *Account) Workspace() string { return a.workspace }

// clampLevel returns the index of a priority.
func clampLevel(priority int) int { return min(max(priority, 0), Levels-1) }

// Over reports whether requests of a priority are over the workspace's share: whether
// the work served at this and higher priorities exceeds the fair level. So a workspace
// over its share loses its least urgent requests first.
func (a *Account) Over(priority int) bool { return clampLevel(priority) >= a.overFrom }

// OverFrom returns the first priority at which the workspace is over its share, Levels
// if there is none.
func (a *Account) OverFrom() int { return a.overFrom }

// Contend records that a request waits, and refreshes the fair level if the last refresh
// is refreshInterval ago. It reports whether the level was refreshed at this time.
func (s *Sharer) Contend(now time.Time) (refreshed bool) {
	if !now.Equal(s.contendedAt) {
		s.weight(now)
		s.contendedAt = now
		if now.Sub(s.refreshedAt) >= refreshInterval {
			s.Refresh(now)
		}
	}
	return now.Equal(s.refreshedAt)
}

// Contended reports whether a request waits or did shortly before.
func (s *Sharer) Contended(now time.Time) bool { return now.Sub(s.contendedAt) < contendedFor }

// weight advances the clock and returns the weight of work at this time.
func (s *Sharer) weight(now time.Time) float64 {
	if d := now.Sub(s.at); d > 0 {
		contended := min(d, max(0, s.contendedAt.Add(contendedFor).Sub(s.at)))
		s.age += contended.Seconds()/window.Seconds() + (d-contended).Seconds()/idleWindow.Seconds()
		s.at = now
	}
	if s.age == s.weighedAt {
		return s.lastWeight
	}
	if s.age > maxAge {
		s.rescale(math.Exp(-s.age))
		s.base += s.age
		s.age = 0
	}
	s.weighedAt, s.lastWeight = s.age, math.Exp(s.age)
	return s.lastWeight
}

// rescale multiplies all sums.
func (s *Sharer) rescale(factor float64) {
	for _, a := range s.list {
		a.recent.scale(factor)
		a.all.scale(factor)
	}
	for _, o := range s.sources {
		for _, r := range o.rows {
			r.recent.scale(factor)
		}
	}
	if !math.IsInf(s.level, 1) {
		s.level *= factor
	}
	s.margin *= factor
	s.largest *= factor
}

// Ask counts work asked, in slot seconds.
func (a *Account) Ask(work float64, now time.Time) {
	w := a.sharer.weight(now)
	a.recent.asked += work * w
	a.all.asked += work * w
	a.totals.asked += work
	a.sharer.largest = max(a.sharer.largest, min(work, maxLarge)*w)
}

// Charge is work that was charged when a request was granted.
type Charge struct {
	account *Account
	// work is in slot seconds, at the time of the grant.
	work  float64
	level int
	// age is the age of the sharer at the grant, since its start.
	age float64
	// counted is set if the totals contain the work.
	counted bool
}

// Charge charges the forecast work of a granted request, in slot seconds.
func (a *Account) Charge(priority int, work float64, now time.Time) Charge {
	c := a.charge(0, priority, work, now)
	c.counted = true
	a.totals.served[c.level] += work
	return c
}

// Adopt charges a running request that another process has granted, as asked and served.
// Both are left out of the totals: the other process has reported them.
func (a *Account) Adopt(priority int, work float64, now time.Time) Charge {
	return a.charge(work, priority, work, now)
}

// charge adds work asked and served.
func (a *Account) charge(asked float64, priority int, served float64, now time.Time) Charge {
	s := a.sharer
	weight := s.weight(now)
	c := Charge{account: a, work: served, level: clampLevel(priority), age: s.base + s.age}
	a.add(asked, c.level, served, weight)
	return c
}

// add adds work to the sums of the account and updates whether it is over its share.
func (a *Account) add(asked float64, level int, served, weight float64) {
	for _, x := range [...]*sums{&a.recent, &a.all} {
		x.asked = max(0, x.asked+asked*weight)
		x.served[level] = max(0, x.served[level]+served*weight)
	}
	a.judge()
}

// Settle corrects a charge by the work that the request has really taken, in slot
// seconds; notRun gives the charge back and leaves the work asked. The zero Charge is
// ignored.
func (c Charge) Settle(work float64, notRun bool, now time.Time) {
	a := c.account
	if a == nil {
		return
	}
	s := a.sharer
	weight := s.weight(now)
	diff := work - c.work
	if diff < 0 {
		// What was charged too much has decayed since the grant.
		weight = math.Exp(c.age - s.base)
	}
	asked := diff
	if notRun {
		asked = 0
	}
	a.usedAt = now
	a.add(asked, c.level, diff, weight)
	if c.counted {
		a.totals.served[c.level] += diff
		a.totals.asked += asked
	}
}

// judge sets from which priority on the account is over its share.
func (a *Account) judge() {
	a.overFrom = Levels
	limit := a.sharer.level + a.sharer.margin
	sum := 0.0
	for i, x := range a.all.served {
		if sum += x; sum > limit {
			a.overFrom = i
			return
		}
	}
}

// Refresh computes the fair level and which workspaces are over their share, and
// forgets workspaces without requests.
func (s *Sharer) Refresh(now time.Time) {
	weight := s.weight(now)
	s.refreshedAt = now
	s.forget(now)
	for _, a := range s.list {
		a.all = a.recent
	}
	s.addSources(now)
	s.level = s.fairLevel(weight * negligible)
	s.margin = marginShare * s.largest
	for _, a := range s.list {
		a.judge()
	}
}

// fairLevel returns the level at which the sum of min(demand, level) is the work served,
// at the scale of the sums. The demand of a workspace is what it asked or, if its
// requests waited so long that the work asked has decayed further, what it was served.
// It is infinite if no more was asked than served.
func (s *Sharer) fairLevel(tolerance float64) (level float64) {
	s.demands = s.demands[:0]
	served, demanded := 0.0, 0.0
	for _, a := range s.list {
		total := a.all.total()
		d := max(a.all.asked, total)
		served += total
		demanded += d
		s.demands = append(s.demands, d)
	}
	if demanded <= served*(1+1e-9)+tolerance {
		return math.Inf(1)
	}
	// Each step takes out the demands that are below the level, so that it rises until
	// no more are.
	for {
		rest, n := served, 0
		for _, d := range s.demands {
			if d < level {
				rest -= d
			} else {
				n++
			}
		}
		if n == 0 || rest <= level*float64(n)*(1+1e-9) {
			return level
		}
		level = rest / float64(n)
	}
}

// Level returns the fair level as of the last refresh, in slot seconds; infinite
// without contention.
func (s *Sharer) Level(now time.Time) float64 { return s.level / s.weight(now) }

// Load returns the recent work that a workspace asked and was served as of the last
// refresh, in slot seconds.
func (a *Account) Load(now time.Time) (asked, served float64) {
	w := a.sharer.weight(now)
	return a.all.asked / w, a.all.total() / w
}

// Accounts returns the accounts in the order of their first use. The caller must not
// change the list.
func (s *Sharer) Accounts() []*Account { return s.list }

// forget removes the accounts that were not used for accountTTL.
func (s *Sharer) forget(now time.Time) {
	kept := s.list[:0]
	for _, a := range s.list {
		if now.Sub(a.usedAt) > accountTTL {
			delete(s.accounts, a.workspace)
			continue
		}
		kept = append(kept, a)
	}
	clear(s.list[len(kept):])
	s.list = kept
}
