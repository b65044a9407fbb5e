package placement

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/outlier"
)

// ownerShards is the number of locks that guard the endpoints of an owner.
const ownerShards = 16

// Owner counts the requests at the endpoints that this router owns and admits
// or rejects new ones. It starts no goroutines; [Start] calls [Owner.Tick]
// several times a second.
type Owner struct {
	self   coordination.Instance
	cfg    atomic.Pointer[Config]
	shards [ownerShards]ownerShard

	view      atomic.Pointer[view]
	decisions decisionCounts

	mu    sync.Mutex // serializes updates of view and guards the fields below
	peak  fleetPeak
	pools map[coordination.Pool]*poolLoad
	sums  map[coordination.Pool]*poolSums

	skippedRoots map[coordination.Instance]time.Time // when each root was last skipped
	failingRoots map[coordination.Instance]time.Time // since when each root has not answered

	entriesMu sync.Mutex
	lastHeard map[EntryID]time.Time

	onOutlier  func(OutlierChange)  // may be nil
	onCapacity func(CapacityStatus) // may be nil
}

// ownerShard holds part of the endpoints under its own lock.
type ownerShard struct {
	mu    sync.Mutex
	loads map[coordination.Endpoint]*endpointLoad
}

// NewOwner returns the owner role of router self. It owns no endpoints before
// the first [Owner.Update].
func NewOwner(self coordination.Instance, cfg Config) *Owner {
	o := &Owner{
		self:         self,
		pools:        make(map[coordination.Pool]*poolLoad),
		sums:         make(map[coordination.Pool]*poolSums),
		skippedRoots: make(map[coordination.Instance]time.Time),
		failingRoots: make(map[coordination.Instance]time.Time),
		lastHeard:    make(map[EntryID]time.Time),
	}
	for i := range o.shards {
		o.shards[i].loads = make(map[coordination.Endpoint]*endpointLoad)
	}
	o.view.Store(&view{set: NewSet(nil), routers: NewRouters(nil, 0)})
	o.Configure(cfg)
	return o
}

// Configure replaces the settings.
func (o *Owner) Configure(cfg Config) {
	cfg = cfg.withDefaults()
	o.cfg.Store(&cfg)
}

func (o *Owner) shard(id coordination.Endpoint) *ownerShard {
	return &o.shards[xxhash.Sum64String(string(id))%ownerShards]
}

// Update applies new lists of endpoints and routers. The load of newly owned
// endpoints is taken from their reports and from registrations of entries.
// Endpoints that are no longer owned are dropped and their queued requests
// passed on.
func (o *Owner) Update(set *Set, routers *Routers) {
	o.update(time.Now(), set, routers)
}

func (o *Owner) update(now time.Time, set *Set, routers *Routers) {
	o.mu.Lock()
	defer o.mu.Unlock()
	old := o.view.Load()
	o.view.Store(&view{set: set, routers: routers, removed: old.removedBy(now, set, o.cfg.Load().LostTTL)})
	fleet := o.peak.share(now, routers.Len())
	for _, d := range set.byID {
		o.poolLoad(d.Pool)
	}
	for name, p := range o.pools {
		p.setView(set.Len(name), set.evacuated[name], fleet)
	}
	for _, d := range set.byID {
		if routers.Owner(d.ID, d.Zone) == o.self {
			o.ownEndpoint(now, *d, old)
		}
	}
	for i := range o.shards {
		o.shards[i].dropUnowned(o.self, set, routers)
	}
	o.expireDeadEntries(now, old.routers, routers)
}

// ownEndpoint starts or updates the load count of an endpoint.
func (o *Owner) ownEndpoint(now time.Time, d Descriptor, last *view) {
	cfg := o.cfg.Load()
	s := o.shard(d.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.loads[d.ID]
	if l != nil && l.desc.Incarnation == d.Incarnation {
		l.desc = d
		switch d.State {
		case Leaving:
			l.markLeaving()
			l.replyNextToAll(EndpointLeaving)
		case Evacuated:
			l.replyNextToAll(EndpointEvacuated)
		}
		return
	}
	if l != nil && l.desc.Incarnation > d.Incarnation {
		return // from an outdated list
	}
	if l != nil {
		l.retire(EndpointLost)
	}
	// Other owners may have admitted requests here before, unless the endpoint
	// was first listed or restarted while this router was running.
	var settled time.Time
	old := last.set.Find(d.ID)
	seen := old != nil && old.Incarnation == d.Incarnation
	if seen || last.routers.Len() == 0 {
		settled = now.Add(cfg.Grace)
	}
	l = newEndpointLoad(d, o.poolLoad(d.Pool), settled)
	if !settled.IsZero() {
		l.takenOver, l.nextCold = now, now.Add(coldStartDelay)
	}
	l.detector.OnChange = func(v outlier.Change) { l.outlierChanged(v, o.onOutlier) }
	s.loads[d.ID] = l
}

// Forget drops an endpoint, so that it may be listed again as an earlier incarnation.
func (o *Owner) Forget(id coordination.Endpoint) {
	s := o.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.loads[id]; l != nil {
		l.retire(EndpointLost)
		delete(s.loads, id)
	}
}

// dropUnowned drops endpoints that are gone or not owned by self.
func (s *ownerShard) dropUnowned(self coordination.Instance, set *Set, routers *Routers) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.loads {
		d := set.Find(id)
		switch {
		case d == nil:
			l.retire(EndpointLost)
			delete(s.loads, id)
		case routers.Owner(id, d.Zone) != self:
			l.retire(NotOwner)
			delete(s.loads, id)
		}
	}
}

// expireDeadEntries ends the grants of entries that have died or restarted. An
// entry that was never listed may be newer than the list and is kept.
func (o *Owner) expireDeadEntries(now time.Time, before, routers *Routers) {
	for _, e := range o.entries() {
		m, ok := routers.Find(e.Instance)
		_, listed := before.Find(e.Instance)
		if ok && m.Incarnation > e.Incarnation || !ok && listed {
			o.expireEntry(now, e)
		}
	}
}

// poolLoad returns the load of a pool, creating it if needed. The caller holds
// o.mu.
func (o *Owner) poolLoad(name coordination.Pool) *poolLoad {
	p := o.pools[name]
	if p == nil {
		p = &poolLoad{poolState: poolState{name: name, fleet: 1}}
		o.pools[name] = p
	}
	return p
}

// MarkLeaving marks an incarnation of an endpoint as leaving. The source may be
// the endpoint itself or gossip. The mark is final.
func (o *Owner) MarkLeaving(id coordination.Endpoint, n coordination.Incarnation) {
	s := o.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.loads[id]; l != nil && l.desc.Incarnation == n {
		l.markLeaving()
		l.replyNextToAll(EndpointLeaving)
	}
}

// Report applies an endpoint's load report.
func (o *Owner) Report(r Report) { o.report(time.Now(), r) }

func (o *Owner) report(now time.Time, r Report) {
	cfg := o.cfg.Load()
	s := o.shard(r.Endpoint)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.loads[r.Endpoint]
	if l == nil || l.desc.Incarnation != r.Incarnation {
		return
	}
	if r.Leaving {
		l.markLeaving()
		l.replyNextToAll(EndpointLeaving)
	}
	l.applyReport(now, r, cfg)
	l.dispatch(now, cfg)
}

// Tick does the periodic work: it expires the grants of silent entries, ages
// load reports and serves the queues.
func (o *Owner) Tick() { o.tick(time.Now()) }

func (o *Owner) tick(now time.Time) {
	cfg := o.cfg.Load()
	for _, e := range o.expiredEntries(now, cfg.EntryLease) {
		o.expireEntry(now, e)
	}
	for i := range o.shards {
		o.shards[i].tick(now, cfg, o.onCapacity)
	}
}

func (s *ownerShard) tick(now time.Time, cfg *Config, notify func(CapacityStatus)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.loads {
		l.pruneReleased(now)
		l.refresh(now, cfg)
		l.notifyCapacity(now, cfg, notify)
		l.dispatch(now, cfg)
	}
}
