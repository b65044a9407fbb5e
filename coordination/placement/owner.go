package placement

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/outlier"
)

// ownerShards is the number of locks over the endpoints of an owner.
const ownerShards = 16

// Owner counts the requests at the endpoints that this router owns and grants
// or declines new ones. It starts nothing: the router calls [Owner.Tick] a few
// times a second.
type Owner struct {
	self   coordination.Instance
	cfg    atomic.Pointer[Config]
	shards [ownerShards]ownerShard

	view      atomic.Pointer[view]
	decisions decisionCounts

	mu    sync.Mutex // orders updates of view and guards what follows
	pools map[coordination.Pool]*poolLoad
	sums  map[coordination.Pool]*poolSums

	silentRoots map[coordination.Instance]time.Time // when each was found silent
	mutedRoots  map[coordination.Instance]time.Time // since when each has left reports unanswered

	entriesMu sync.Mutex
	heard     map[EntryID]time.Time

	onOutlier func(OutlierChange) // nil if nobody wants to know
}

// ownerShard holds a part of the endpoints under its own lock.
type ownerShard struct {
	mu    sync.Mutex
	loads map[coordination.Endpoint]*endpointLoad
}

// NewOwner returns the owner side of the router self, which owns nothing until
// its first [Owner.Update].
func NewOwner(self coordination.Instance, cfg Config) *Owner {
	o := &Owner{
		self:        self,
		pools:       make(map[coordination.Pool]*poolLoad),
		sums:        make(map[coordination.Pool]*poolSums),
		silentRoots: make(map[coordination.Instance]time.Time),
		mutedRoots:  make(map[coordination.Instance]time.Time),
		heard:       make(map[EntryID]time.Time),
	}
	for i := range o.shards {
		o.shards[i].loads = make(map[coordination.Endpoint]*endpointLoad)
	}
	o.view.Store(&view{set: NewSet(nil), routers: NewRouters(nil, 0)})
	o.Configure(cfg)
	return o
}

// Configure puts new settings in force.
func (o *Owner) Configure(cfg Config) {
	cfg = cfg.withDefaults()
	o.cfg.Store(&cfg)
}

func (o *Owner) shard(id coordination.Endpoint) *ownerShard {
	return &o.shards[xxhash.Sum64String(string(id))%ownerShards]
}

// Update takes new lists of endpoints and routers. Endpoints that this router
// now owns are counted from what they report and entries register; those it no
// longer owns are forgotten, and their waiting requests are passed on.
func (o *Owner) Update(set *Set, routers *Routers) {
	o.update(time.Now(), set, routers)
}

func (o *Owner) update(now time.Time, set *Set, routers *Routers) {
	o.mu.Lock()
	defer o.mu.Unlock()
	old := o.view.Load()
	o.view.Store(&view{set: set, routers: routers})
	for _, name := range set.Pools() {
		o.poolLoad(name).list(set.Len(name))
	}
	for _, d := range set.byID {
		if routers.Owner(d.ID, d.Zone) == o.self {
			o.own(now, *d, old)
		}
	}
	for i := range o.shards {
		o.shards[i].disown(o.self, set, routers)
	}
	o.lapseDead(now, old.routers, routers)
}

// own starts or updates the count of an endpoint.
func (o *Owner) own(now time.Time, d Descriptor, last *view) {
	cfg := o.cfg.Load()
	s := o.shard(d.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.loads[d.ID]
	if l != nil && l.desc.Incarnation == d.Incarnation {
		l.desc = d
		if d.State == Leaving {
			l.leave()
			l.replyNextToAll(Gone)
		}
		return
	}
	if l != nil && l.desc.Incarnation > d.Incarnation {
		return // an older list
	}
	if l != nil {
		l.retire(Lost)
	}
	// Somebody may have placed requests there before, unless the endpoint has
	// only now come up or restarted before our eyes.
	var settled time.Time
	old := last.set.Find(d.ID)
	seen := old != nil && old.Incarnation == d.Incarnation
	if seen || last.routers.Len() == 0 {
		settled = now.Add(cfg.Grace)
	}
	l = newEndpointLoad(d, o.poolLoad(d.Pool), settled)
	l.detector.OnChange = func(v outlier.Change) { l.outlierChanged(v, o.onOutlier) }
	s.loads[d.ID] = l
}

// disown forgets the endpoints that are gone or not owned by self.
func (s *ownerShard) disown(self coordination.Instance, set *Set, routers *Routers) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.loads {
		d := set.Find(id)
		switch {
		case d == nil:
			l.retire(Lost)
			delete(s.loads, id)
		case routers.Owner(id, d.Zone) != self:
			l.retire(NotOwner)
			delete(s.loads, id)
		}
	}
}

// lapseDead ends the grants of entries that have died or restarted. An entry
// that was never listed may be newer than the list, and is left alone.
func (o *Owner) lapseDead(now time.Time, before, routers *Routers) {
	for _, e := range o.entries() {
		m, ok := routers.Find(e.Instance)
		_, listed := before.Find(e.Instance)
		if ok && m.Incarnation > e.Incarnation || !ok && listed {
			o.lapse(now, e)
		}
	}
}

// poolLoad returns the load of a pool. The caller holds o.mu.
func (o *Owner) poolLoad(name coordination.Pool) *poolLoad {
	p := o.pools[name]
	if p == nil {
		p = &poolLoad{name: name}
		o.pools[name] = p
	}
	return p
}

// Leaving marks an incarnation of an endpoint as leaving from any first sign
// of it: the endpoint's own word, or a rumour. It cannot be taken back.
func (o *Owner) Leaving(id coordination.Endpoint, n coordination.Incarnation) {
	s := o.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.loads[id]; l != nil && l.desc.Incarnation == n {
		l.leave()
		l.replyNextToAll(Gone)
	}
}

// Report takes an endpoint's own word on its load.
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
		l.leave()
		l.replyNextToAll(Gone)
	}
	l.learn(now, r, cfg)
	l.dispatch(now, cfg)
}

// Tick does what only time brings about: it lapses the grants of entries that
// have gone silent, ages reports and serves queues.
func (o *Owner) Tick() { o.tick(time.Now()) }

func (o *Owner) tick(now time.Time) {
	cfg := o.cfg.Load()
	for _, e := range o.silent(now, cfg.EntryLease) {
		o.lapse(now, e)
	}
	for i := range o.shards {
		o.shards[i].tick(now, cfg)
	}
}

func (s *ownerShard) tick(now time.Time, cfg *Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.loads {
		l.forget(now)
		l.refresh(now, cfg)
		l.dispatch(now, cfg)
	}
}
