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

// newRelayPlacing makes placing for endpoints that are not asked for their
// loads: each such question has a price, and the owners' grants say the same.
func newRelayPlacing(i do.Injector) (*placing, error) {
	p := buildPlacing(i, nil, relayConfig)
	p.watch()
	p.drive(i)
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

// bounds puts the bounds of a desired state's pools in force.
func (p *placing) bounds(s route.State, cfg *config.Relay) {
	c := relayConfig
	c.Bound, c.Slack, c.Overcommit = cfg.LoadFactor, cfg.LoadSlack, engineAhead
	c.Pools = make(map[coordination.Pool]placement.PoolBound)
	for name, pool := range s.Pools {
		if !pool.Engine {
			c.Pools[name] = placement.PoolBound{Bound: plainFactor, Slack: plainSlack, Overcommit: plainAhead}
		}
	}
	p.owner.Configure(c)
	p.entry.Configure(c)
	p.changed()
}

// plainFactor is the bound of a plain service, whose endpoints have nothing
// cached: as even as can be.
const (
	plainFactor = 1.25
	plainSlack  = 2
	// plainAhead is half of an endpoint's slots: 30 ms of 60 ms of work.
	plainAhead = 0.5
	// engineAhead is less, since a stream lasts a second and more.
	engineAhead = 0.25
)

// relayPlacer implements relay.Placer.
type relayPlacer struct {
	*placing
	holders atomic.Pointer[placement.CacheHolders]
	watched outlier.Monitor

	near     placement.Key // this router's
	affinity placement.Affinity
	conns    reuser
}

// reuser tells for how long connections to a group of endpoints can be used
// again.
type reuser interface {
	Reusable(group string) time.Duration
}

func newRelayPlacer(i do.Injector) (*relayPlacer, error) {
	p := &relayPlacer{placing: do.MustInvoke[*placing](i), conns: do.MustInvoke[*upstream.Client](i)}
	p.near = placement.KeyOf(coordination.Chat(p.self))
	p.observe(p.list)
	return p, nil
}

// list takes in a change of the list of endpoints.
func (p *relayPlacer) list(listed []endpoint.Info) {
	if len(listed) == 0 {
		return
	}
	all := lo.Map(listed, func(k endpoint.Info, _ int) placement.Descriptor { return k.Descriptor })
	p.holders.Store(placement.NewCacheHolders(time.Now(), all, p.holders.Load()))
}

// Place implements relay.Placer.
func (p *relayPlacer) Place(ctx context.Context, w relay.Want) (relay.Place, *outcome.Refusal) {
	req := placement.Request{
		Pool:     w.Pool,
		Key:      placement.KeyOf(coordination.Chat(w.Key)),
		Account:  w.Account,
		Priority: w.Priority,
		Alone:    w.Alone,
		Avoid:    w.Exclude,
		Once:     w.Once,
		NoWait:   w.Now,
		Target:   w.Target,
		Waited:   time.Since(w.Arrived),
	}
	if !w.Cached {
		req.SubsetKey = p.near
		req.SubsetSize = p.affinity.SubsetSize(time.Now(), w.Pool, p.conns.Reusable(string(w.Pool)))
	}
	g, k, refusal := p.acquire(ctx, req, w.Start)
	if refusal != nil {
		return relay.Place{}, refusal
	}
	seen := &observer{watch: &p.watched, grant: g, sight: outlier.Request{Pool: w.Pool, Endpoint: k.ID, Kind: w.Kind}}
	place := relay.Place{
		Patience:    p.watched.FirstByteLimit(time.Now(), seen.sight),
		Observer:    seen,
		Endpoint:    k.ID,
		Incarnation: g.Endpoint.Incarnation,
		Address:     k.Address,
		Rank:        g.Rank,
		Release:     g.Release,
	}
	if w.Cached {
		place.Cache = p.cache(w.Pool, req.Key, k.ID)
	}
	return place, nil
}

// cache returns the address of the endpoint that has the request's shared
// parts if the chosen one has not.
func (p *relayPlacer) cache(pool coordination.Pool, key placement.Key, chosen coordination.Endpoint) string {
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
	do.MustInvoke[*peer.Node](i).OnChange(r.members)
	return r, nil
}

// members takes in a new list of routers.
func (r *poolRetries) members(all []membership.Member) {
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

// left returns what is left of each budget.
func (r *poolRetries) left() map[coordination.Pool]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return lo.MapValues(r.budgets, func(b *retry.Budget, _ coordination.Pool) int { return b.Left() })
}

// Request implements relay.Retries.
func (r *poolRetries) Request(p coordination.Pool) { r.budget(p).RecordRequest() }

// Take implements relay.Retries.
func (r *poolRetries) Take(p coordination.Pool) bool { return r.budget(p).Take() }
