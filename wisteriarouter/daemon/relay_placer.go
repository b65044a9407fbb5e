package daemon

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/do/v2"
	"github.com/samber/lo"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/capacity"
	"wisteriaspool/coordination/outcome"
	"wisteriaspool/coordination/outlier"
	"wisteriaspool/coordination/pause"
	"wisteriaspool/coordination/placement"
	"wisteriaspool/coordination/route"
	"wisteriaspool/wisteriarouter/config"
	"wisteriaspool/wisteriarouter/endpoint"
	"wisteriaspool/wisteriarouter/peer"
	"wisteriaspool/wisteriarouter/relay"
	"wisteriaspool/wisteriarouter/upstream"
)

// newRelayBasePlacer creates a placer that does not poll the loads of
// endpoints: each call has a cost, and the owners' grants give the same
// information.
func newRelayBasePlacer(i do.Injector) (*placer, error) {
	p := buildPlacer(i, nil, relayPlacementConfig)
	p.watchLists()
	p.startLoop(i)
	return p, nil
}

// relayPlacementConfig configures placement before the first desired state. A router
// that is killed restarts within seconds. The requests of its earlier
// incarnation count at the owners until their lease has expired.
var relayPlacementConfig = placement.Config{
	Grace:      250 * time.Millisecond,
	EntryLease: 3 * time.Second,
	// An endpoint that has died either returns within seconds or its entry is
	// removed. One that was taken for dead because of a lost packet is still
	// usable; if it is the only one of its pool, all requests are refused
	// meanwhile.
	LostTTL: time.Second,
	// A router has one request at an endpoint on average; three allow for a
	// burst.
	FallbackLimit: 3,
}

// applyBounds applies the load bounds of a desired state's pools and the mode in which
// capacity is measured.
func (p *placer) applyBounds(s route.State, cfg *config.Relay) {
	p.capacity.Store(uint32(cfg.Capacity))
	c := relayPlacementConfig
	c.Bound, c.Slack, c.Overcommit = cfg.LoadFactor, cfg.LoadSlack, engineOvercommit
	c.Capacity = cfg.Capacity
	c.Pools = make(map[coordination.Pool]placement.PoolBound)
	for name, pool := range s.Pools {
		b := placement.PoolBound{Bound: plainBound, Slack: plainSlack, Overcommit: plainOvercommit}
		if pool.Engine {
			b = placement.PoolBound{Bound: c.Bound, Slack: c.Slack, Overcommit: c.Overcommit}
		}
		b.ColdRate, b.ColdTime, b.Capacity = pool.ColdRate, pool.ColdTime, cfg.Capacity
		c.Pools[name] = b
	}
	p.owner.Configure(c)
	p.entry.Configure(c)
	p.signalChange()
}

// capacityMode returns the mode in which capacity is measured.
func (p *placer) capacityMode() capacity.Mode { return capacity.Mode(p.capacity.Load()) }

// plainBound and plainSlack bound the load of a plain service. Its endpoints
// have no cache, so the load is kept as even as possible.
const (
	plainBound = 1.25
	plainSlack = 2
	// plainOvercommit and engineOvercommit are the least; owners allow more where
	// they observe that places stay empty for long. A stream lasts 1 s or more, so
	// that a place at an engine is seldom empty.
	plainOvercommit  = 0.5
	engineOvercommit = 0.25
)

// relayPlacer implements relay.Placer.
type relayPlacer struct {
	*placer
	holders atomic.Pointer[placement.CacheHolders]
	monitor outlier.Monitor
	// baseline tracks how long work takes in pools whose capacity is measured.
	baseline  capacity.Baseline
	reporting sync.Map // the pools whose endpoints report their pace

	regions   map[coordination.Zone]coordination.Region
	subsetKey placement.Key // this router's key for subsets of a pool
	affinity  placement.Affinity
	conns     reusePredictor
	tunnels   openTunnels
	limited   rejectionNotices
}

// openTunnels counts the connections of other routers to endpoints that go through this
// one.
type openTunnels interface {
	Open() int
}

// reusePredictor estimates for how long idle connections to a group of
// endpoints can be reused.
type reusePredictor interface {
	Reusable(group string) time.Duration
}

func newRelayPlacer(i do.Injector) (*relayPlacer, error) {
	p := &relayPlacer{
		placer:  do.MustInvoke[*placer](i),
		conns:   do.MustInvoke[*upstream.Client](i),
		tunnels: do.MustInvoke[*peer.TunnelServer](i),
	}
	p.node.OnRumor(topicPause, p.receivePause)
	p.node.OnRumor(topicRejectionLimit, p.receiveRejectionLimit)
	p.regions = configOf(i).Regions
	p.subsetKey = placement.KeyOf(coordination.Chat(p.self))
	p.observe(p.updateHolders)
	return p, nil
}

// updateHolders updates the cache holders after a change of the list of
// endpoints.
func (p *relayPlacer) updateHolders(listed []endpoint.Info) {
	if len(listed) == 0 {
		return
	}
	all := lo.Map(listed, func(k endpoint.Info, _ int) placement.Descriptor { return k.Descriptor })
	p.holders.Store(placement.NewCacheHolders(time.Now(), all, p.holders.Load()))
}

// Place implements relay.Placer.
func (p *relayPlacer) Place(ctx context.Context, r relay.PlacementRequest) (relay.Placement, *outcome.Refusal) {
	req := p.request(r)
	g, k, refusal := p.acquire(ctx, req, r.Deadline)
	if refusal != nil {
		return relay.Placement{}, refusal
	}
	seen := &observer{monitor: &p.monitor, grant: g, request: outlier.Request{Pool: r.Pool, Endpoint: k.ID, Kind: r.Kind}}
	p.measure(seen)
	place := relay.Placement{
		FirstByteLimit: p.monitor.FirstByteLimit(time.Now(), seen.request),
		Observer:       seen,
		Endpoint:       k.ID,
		Incarnation:    g.Endpoint.Incarnation,
		Version:        g.Endpoint.Version,
		Address:        k.Address,
		Rank:           g.Rank,
		Cold:           g.Cold,
		Release:        g.Release,
	}
	if r.PrefixCached {
		place.CacheSource = p.cacheSource(req, k.ID)
	}
	return place, nil
}

// measure sets up an observer for the mode in which capacity is measured.
func (p *relayPlacer) measure(o *observer) {
	switch p.capacityMode() {
	case capacity.Reported:
		o.baseline, o.reporting = &p.baseline, &p.reporting
	case capacity.Measured:
		o.baseline = &p.baseline
	}
}

// request returns the request that the owners of endpoints are asked to admit.
func (p *relayPlacer) request(r relay.PlacementRequest) placement.Request {
	return p.requestOf(r, p.affinity.SubsetSize)
}

// requestOf is like request with the function that chooses the size of a subset.
func (p *relayPlacer) requestOf(r relay.PlacementRequest, subsetSize func(time.Time, coordination.Pool, time.Duration) int) placement.Request {
	req := placement.Request{
		Pool:         r.Pool,
		Key:          placement.KeyOf(coordination.Chat(r.Key)),
		Account:      r.Account,
		Priority:     r.Priority,
		Isolated:     r.Isolated,
		Avoid:        r.Exclude,
		NonRetryable: r.NonRetryable,
		NoWait:       r.NoWait,
		Continues:    r.Continues,
		Version:      r.Version,
		Target:       r.FirstByteTarget,
		Waited:       time.Since(r.Arrived),
	}
	if r.Residency.Limited() {
		req.Allowed = func(z coordination.Zone) bool { return r.Residency.Allows(p.regions[z]) }
	}
	if !r.PrefixCached {
		req.SubsetKey = p.subsetKey
		req.SubsetSize = subsetSize(time.Now(), r.Pool, p.conns.Reusable(string(r.Pool)))
	}
	return req
}

// HasVersion implements relay.Placer.
func (p *relayPlacer) HasVersion(pool coordination.Pool, v coordination.SoftwareVersion) bool {
	return lo.SomeBy(p.directory.Pool(pool), func(k endpoint.Info) bool { return k.Version == v && !k.Leaving() })
}

// HasLeft implements relay.Placer.
func (p *relayPlacer) HasLeft(id coordination.Endpoint, n coordination.Incarnation) bool {
	return p.directory.HasLeft(id, n)
}

// Leaving implements relay.Placer. It tells the other routers, which may not hear of it
// for long if the store is unavailable.
func (p *relayPlacer) Leaving(id coordination.Endpoint, n coordination.Incarnation) {
	if p.directory.HasLeft(id, n) {
		return
	}
	p.placer.Leaving(id, n)
	p.node.Broadcast(topicLeaving, string(id), uint64(n), nil)
}

// MaySend implements relay.Placer.
func (p *relayPlacer) MaySend(id coordination.Endpoint, n coordination.Incarnation, via coordination.Instance) bool {
	// An endpoint that has started again may have another version of its software.
	k, ok := p.directory.Find(id)
	return ok && k.Incarnation == n && p.Serving(id, n) && p.pauses.Left(time.Now(), pause.Target{Endpoint: id, Incarnation: n, Via: via}) == 0
}

// PauseLeft implements relay.Placer.
func (p *relayPlacer) PauseLeft(r relay.PlacementRequest) time.Duration {
	req := p.request(r)
	return p.pauseLeft(time.Now(), &req)
}

// cacheSource returns the address of the endpoint that has the shared parts of
// the request cached, or an empty string if that is the chosen one, unknown, or in an
// availability zone where the request may not run.
func (p *relayPlacer) cacheSource(req placement.Request, chosen coordination.Endpoint) string {
	d := p.holders.Load().Source(req.Pool, req.Key, chosen)
	if d == nil || req.Allowed != nil && !req.Allowed(d.Zone) {
		return ""
	}
	k, ok := p.directory.Find(d.ID)
	if !ok {
		return ""
	}
	return k.Address
}
