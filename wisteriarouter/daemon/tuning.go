package daemon

import (
	"cmp"
	"sync"

	"github.com/samber/do/v2"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/placement"
	"wisteriaspool/coordination/retry"
	"wisteriaspool/coordination/settings"
)

// tuning turns the settings in force into what placement goes by. Teams may
// share a pool, and an endpoint has one load: of several values for it the
// strictest counts.
type tuning struct {
	placement placement.Config
	capacity  map[coordination.Pool]int // requests for each endpoint
}

func newTuning(snapshots []*settings.Snapshot) *tuning {
	t := &tuning{capacity: make(map[coordination.Pool]int)}
	t.placement.AccountWeights = make(map[coordination.Account]float64)
	for _, s := range snapshots {
		for _, m := range s.Settings.Models() {
			t.model(m)
		}
		for _, each := range s.Settings.Services() {
			t.limit(each.Pool(), each.Capacity)
		}
		for account, weight := range s.Settings.Weights() {
			t.placement.AccountWeights[account] = weight
		}
	}
	return t
}

func (t *tuning) model(m settings.Model) {
	t.limit(m.Pool(), m.Capacity)
	c := &t.placement
	if c.Bound == 0 { // the first model; a bound is never zero
		c.Bound, c.WarmWait, c.QueueLimit = m.LoadBound, m.WarmWait, m.Queue
		return
	}
	c.Bound = min(c.Bound, m.LoadBound)
	c.WarmWait = min(c.WarmWait, m.WarmWait)
	c.QueueLimit = min(c.QueueLimit, m.Queue)
}

// limit notes a capacity, of which zero says nothing.
func (t *tuning) limit(p coordination.Pool, capacity int) {
	t.capacity[p] = strictest(t.capacity[p], capacity)
}

// strictest returns the smaller of two limits, of which zero is none.
func strictest(a, b int) int {
	if a == 0 || b == 0 {
		return cmp.Or(a, b)
	}
	return min(a, b)
}

// descriptor returns d with its pool's capacity.
func (t *tuning) descriptor(d placement.Descriptor) placement.Descriptor {
	d.Capacity = strictest(d.Capacity, t.capacity[d.Pool])
	return d
}

// teamRetries holds a retry budget for each team, by its share in force. It
// implements caller.RetryBudget.
type teamRetries struct {
	replica *settings.Replica
	mu      sync.Mutex
	budgets map[coordination.Team]*retry.Budget
}

// RecordRequest implements caller.RetryBudget.
func (r *teamRetries) RecordRequest(team coordination.Team) { r.budget(team).RecordRequest() }

// Take implements caller.RetryBudget.
func (r *teamRetries) Take(team coordination.Team) bool { return r.budget(team).Take() }

// retryBurst is how many retries of a team may come at once: the streams that a
// few endpoints run when they die in the same moment.
const retryBurst = 32

// budget returns the team's budget, a new one if its share has changed. Only
// teams with settings have requests, so that the map stays small.
func (r *teamRetries) budget(team coordination.Team) *retry.Budget {
	share := retry.DefaultShare
	if t, ok := r.replica.Team(team); ok {
		share = t.RetryBudget()
	}
	if share == 0 {
		share = -1 // none beyond the burst; zero would mean the default
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.budgets[team]
	if b == nil || b.Share != share {
		b = &retry.Budget{Share: share, Burst: retryBurst}
		r.budgets[team] = b
	}
	return b
}

// tune puts the settings in force into effect.
func (p *placing) tune(snapshots []*settings.Snapshot) {
	t := newTuning(snapshots)
	p.tuning.Store(t)
	p.owner.Configure(t.placement)
	p.entry.Configure(t.placement)
	p.changed()
}

func newTeamRetries(i do.Injector) (*teamRetries, error) {
	return &teamRetries{
		replica: do.MustInvoke[*teams](i).replica,
		budgets: make(map[coordination.Team]*retry.Budget),
	}, nil
}
