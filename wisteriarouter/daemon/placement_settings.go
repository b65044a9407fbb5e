package daemon

import (
	"cmp"
	"sync"
	"time"

	"github.com/samber/do/v2"
	"github.com/samber/lo"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/placement"
	"wisteriaspool/coordination/retry"
	"wisteriaspool/coordination/settings"
	"wisteriaspool/wisteriarouter/event"
)

// placementSettings holds the settings of all teams in the form that placement
// needs. Teams may share a pool, and an endpoint has one load, so the strictest
// of several values applies.
type placementSettings struct {
	placement placement.Config
	capacity  map[coordination.Pool]int // maximum number of requests for each endpoint
	evacuated []coordination.Zone
}

func newPlacementSettings(snapshots []*settings.Snapshot) *placementSettings {
	t := &placementSettings{capacity: make(map[coordination.Pool]int)}
	t.placement.AccountWeights = make(map[coordination.Account]float64)
	for _, s := range snapshots {
		for _, m := range s.Settings.Models() {
			t.addModel(m)
		}
		for _, each := range s.Settings.Services() {
			t.addCapacity(each.Pool(), each.Capacity)
		}
		for account, weight := range s.Settings.Weights() {
			t.placement.AccountWeights[account] = weight
		}
		t.evacuated = lo.Union(t.evacuated, s.Settings.EvacuatedZones())
	}
	return t
}

func (s *placementSettings) addModel(m settings.Model) {
	s.addCapacity(m.Pool(), m.Capacity)
	c := &s.placement
	if c.Bound == 0 { // the first model; a bound is never zero
		c.Bound, c.WarmWait, c.QueueLimit = m.LoadBound, m.WarmWait, m.Queue
		return
	}
	c.Bound = min(c.Bound, m.LoadBound)
	c.WarmWait = min(c.WarmWait, m.WarmWait)
	c.QueueLimit = min(c.QueueLimit, m.Queue)
}

// addCapacity applies a capacity to a pool; zero means no limit.
func (s *placementSettings) addCapacity(p coordination.Pool, capacity int) {
	s.capacity[p] = strictest(s.capacity[p], capacity)
}

// strictest returns the smaller of two limits; zero means no limit.
func strictest(a, b int) int {
	if a == 0 || b == 0 {
		return cmp.Or(a, b)
	}
	return min(a, b)
}

// descriptor returns d with the capacity limited to that of its pool.
func (s *placementSettings) descriptor(d placement.Descriptor) placement.Descriptor {
	d.Capacity = strictest(d.Capacity, s.capacity[d.Pool])
	return d
}

// teamRetries holds a retry budget for each team, with the share from its
// settings. It implements caller.RetryBudget.
type teamRetries struct {
	replica *settings.Replica
	mu      sync.Mutex
	budgets map[coordination.Team]*retry.Budget
}

// RecordRequest implements caller.RetryBudget.
func (r *teamRetries) RecordRequest(team coordination.Team) { r.budget(team).RecordRequest() }

// Take implements caller.RetryBudget.
func (r *teamRetries) Take(team coordination.Team) bool { return r.budget(team).Take() }

// retryBurst is the number of retries that a team may make at once: the streams
// that a few endpoints run when they fail at the same time.
const retryBurst = 32

// budget returns the team's budget and replaces it if the share has changed.
// Only teams with settings have requests, so the map stays small.
func (r *teamRetries) budget(team coordination.Team) *retry.Budget {
	share := retry.DefaultShare
	if t, ok := r.replica.Team(team); ok {
		share = t.RetryBudget()
	}
	if share == 0 {
		share = -1 // no retries beyond the burst; zero would select the default share
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

// applySettings applies the settings of all teams to placement.
func (p *placer) applySettings(snapshots []*settings.Snapshot) {
	t := newPlacementSettings(snapshots)
	p.settings.Store(t)
	in, out := p.zones.Set(time.Now(), t.evacuated)
	for _, zone := range in {
		p.log.Emit(event.ZoneEvacuated, event.F("availability-zone", zone), event.F("endpoints", p.countEndpoints(zone)))
	}
	for _, zone := range out {
		p.log.Emit(event.ZoneRestored, event.F("availability-zone", zone), event.F("endpoints", p.countEndpoints(zone)))
	}
	p.owner.Configure(t.placement)
	p.entry.Configure(t.placement)
	p.signalChange()
}

func newTeamRetries(i do.Injector) (*teamRetries, error) {
	return &teamRetries{
		replica: do.MustInvoke[*teamSettings](i).replica,
		budgets: make(map[coordination.Team]*retry.Budget),
	}, nil
}
