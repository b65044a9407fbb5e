package daemon

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/do/v2"
	"github.com/samber/lo"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/membership"
	"wisteriaspool/coordination/outcome"
	"wisteriaspool/coordination/outlier"
	"wisteriaspool/coordination/placement"
	"wisteriaspool/coordination/retry"
	"wisteriaspool/coordination/route"
	"wisteriaspool/wisteriarouter/config"
	"wisteriaspool/wisteriarouter/endpoint"
	"wisteriaspool/wisteriarouter/event"
	"wisteriaspool/wisteriarouter/peer"
	"wisteriaspool/wisteriarouter/relay"
	"wisteriaspool/wisteriarouter/upstream"
)

// newRelayBasePlacer makes placing for endpoints that are not asked for their
// loads: each such question has a price, and the owners' grants say the same.
func newRelayBasePlacer(i do.Injector) (*placer, error) {
	p := buildPlacer(i, nil, relayConfig)
	p.watchLists()
	p.startLoop(i)
	return p, nil
}

// relayConfig is what placement goes by before the first desired state. A
// router that is killed is back within seconds; until its lease has run out,
// its requests count at the owners.
var relayConfig = placement.Config{
	Grace:      250 * time.Millisecond,
	EntryLease: 3 * time.Second,
	// An endpoint that has died is back within seconds, or its entry is gone.
	// One that lives and was taken for dead, by a packet that was lost, would
	// be missed; if it is the only one of its pool, all is refused meanwhile.
	LostTTL: time.Second,
	// A router has one request at an endpoint in the mean; three are a burst.
	FallbackLimit: 3,
}

// applyBounds puts the applyBounds of a desired state's pools in force.
func (p *placer) applyBounds(s route.State, cfg *config.Relay) {
	c := relayConfig
	c.Bound, c.Slack, c.Overcommit = cfg.LoadFactor, cfg.LoadSlack, engineOvercommit
	c.Pools = make(map[coordination.Pool]placement.PoolBound)
	for name, pool := range s.Pools {
		if !pool.Engine {
			c.Pools[name] = placement.PoolBound{Bound: plainBound, Slack: plainSlack, Overcommit: plainOvercommit}
		}
	}
	p.owner.Configure(c)
	p.entry.Configure(c)
	p.signalChange()
}

// plainBound is the bound of a plain service, whose endpoints have nothing
// cached: as even as can be.
const (
	plainBound = 1.25
	plainSlack = 2
	// plainOvercommit is half of an endpoint's slots: 30 ms of 60 ms of work.
	plainOvercommit = 0.5
	// engineOvercommit is less, since a stream lasts a second and more.
	engineOvercommit = 0.25
)

// relayPlacer implements relay.Placer.
type relayPlacer struct {
	*placer
	holders atomic.Pointer[placement.CacheHolders]
	monitor outlier.Monitor

	subsetKey placement.Key // this router's
	affinity  placement.Affinity
	conns     reusePredictor
}

// reusePredictor tells for how long connections to a group of endpoints can be used
// again.
type reusePredictor interface {
	Reusable(group string) time.Duration
}

func newRelayPlacer(i do.Injector) (*relayPlacer, error) {
	p := &relayPlacer{placer: do.MustInvoke[*placer](i), conns: do.MustInvoke[*upstream.Client](i)}
	p.subsetKey = placement.KeyOf(coordination.Chat(p.self))
	p.observe(p.updateHolders)
	return p, nil
}

// updateHolders takes in a change of the updateHolders of endpoints.
func (p *relayPlacer) updateHolders(listed []endpoint.Known) {
	if len(listed) == 0 {
		return
	}
	all := lo.Map(listed, func(k endpoint.Known, _ int) placement.Descriptor { return k.Descriptor })
	p.holders.Store(placement.NewCacheHolders(time.Now(), all, p.holders.Load()))
}

// Place implements relay.Placer.
func (p *relayPlacer) Place(ctx context.Context, w relay.Want) (relay.Place, *outcome.Refusal) {
	req := placement.Request{
		Pool:         w.Pool,
		Key:          placement.KeyOf(coordination.Chat(w.Key)),
		Account:      w.Account,
		Priority:     w.Priority,
		Isolated:     w.Alone,
		Avoid:        w.Exclude,
		NonRetryable: w.Once,
		NoWait:       w.Now,
		Target:       w.Target,
		Waited:       time.Since(w.Arrived),
	}
	if !w.Cached {
		req.SubsetKey = p.subsetKey
		req.SubsetSize = p.affinity.SubsetSize(time.Now(), w.Pool, p.conns.Reusable(string(w.Pool)))
	}
	g, k, refusal := p.acquire(ctx, req, w.Start)
	if refusal != nil {
		return relay.Place{}, refusal
	}
	seen := &observer{monitor: &p.monitor, grant: g, request: outlier.Request{Pool: w.Pool, Endpoint: k.ID, Kind: w.Kind}}
	place := relay.Place{
		Patience:    p.monitor.FirstByteLimit(time.Now(), seen.request),
		Observer:    seen,
		Endpoint:    k.ID,
		Incarnation: g.Endpoint.Incarnation,
		Address:     k.Address,
		Rank:        g.Rank,
		Release:     g.Release,
	}
	if w.Cached {
		place.Cache = p.cacheSource(w.Pool, req.Key, k.ID)
	}
	return place, nil
}

// cacheSource returns the address of the endpoint that has the request's shared
// parts if the chosen one has not.
func (p *relayPlacer) cacheSource(pool coordination.Pool, key placement.Key, chosen coordination.Endpoint) string {
	d := p.holders.Load().Source(pool, key, chosen)
	if d == nil {
		return ""
	}
	k, ok := p.directory.Find(d.ID)
	if !ok {
		return ""
	}
	return k.Address
}

// poolRetries holds a retry budget for each pool. It implements relay.Retries.
// The share is that of all requests, so that it holds for the fleet if each
// router keeps it; of the burst each router has its part.
type poolRetries struct {
	share float64
	burst int
	log   event.Log

	mu      sync.Mutex
	routers int // the most seen: routers that are cut off do not all take more
	budgets map[coordination.Pool]*retry.Budget
}

func newPoolRetries(i do.Injector) (*poolRetries, error) {
	cfg := settingsOf(i).Relay
	r := &poolRetries{share: cfg.RetryShare, burst: cfg.RetryBurst, log: logOf(i), routers: 1, budgets: make(map[coordination.Pool]*retry.Budget)}
	do.MustInvoke[*peer.Node](i).OnChange(r.setMembers)
	return r, nil
}

// setMembers takes in a new list of routers.
func (r *poolRetries) setMembers(all []membership.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(all) > r.routers {
		r.routers = len(all)
		clear(r.budgets)
	}
}

// configure takes in new settings of this router.
func (r *poolRetries) configure(cfg config.Relay) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.share != cfg.RetryShare || r.burst != cfg.RetryBurst {
		r.share, r.burst = cfg.RetryShare, cfg.RetryBurst
		clear(r.budgets)
	}
}

func (r *poolRetries) budget(p coordination.Pool) *retry.Budget {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.budgets[p]
	if b == nil {
		b = &retry.Budget{Share: r.share, Burst: float64(r.burst) / float64(r.routers)}
		r.budgets[p] = b
	}
	return b
}

// remaining returns what is remaining of each budget.
func (r *poolRetries) remaining() map[coordination.Pool]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return lo.MapValues(r.budgets, func(b *retry.Budget, _ coordination.Pool) int { return b.Left() })
}

// Request implements relay.Retries.
func (r *poolRetries) Request(p coordination.Pool) { r.budget(p).RecordRequest() }

// Take implements relay.Retries.
func (r *poolRetries) Take(p coordination.Pool) bool { return r.budget(p).Take() }
