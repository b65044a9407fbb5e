package suspicion

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/samber/lo"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/placement"
)

// world is a few routers before a pool of endpoints, some of whose requests
// crash the endpoint that runs them. It counts from the endpoints' side.
type world struct {
	mu        sync.Mutex
	rng       *rand.Rand
	endpoints map[coordination.Endpoint]*machine
	routers   map[coordination.Instance]*router
	members   []placement.Router
	runs      []runRecord
	convicted []Fingerprint // refused as poison
	planted   plant
	cfg       Config
}

// plant is a fault put into the routers, to see that the checker finds it.
type plant int

const (
	sound       plant = iota
	ungated           // retries at once, without asking the gate
	ownGateOnly       // each router is the gate of all its requests
)

// machine is one endpoint.
type machine struct {
	incarnation coordination.Incarnation
	up          bool
	died        chan struct{}
}

// runRecord is one run as the endpoint saw it.
type runRecord struct {
	fingerprint Fingerprint
	endpoint    coordination.Endpoint
	incarnation coordination.Incarnation
	start, end  time.Time
	killed      bool // the request itself crashed the endpoint
}

type router struct {
	world *world
	id    coordination.Instance
	owner *placement.Owner
	entry *placement.Entry
	guard *Guard
	table *Table
	stop  func()
	set   *placement.Set
}

const (
	worldPool    = coordination.Pool("m@1")
	worldRestart = 6 * time.Second
)

var errCut = errors.New("cut")

func newWorld(seed uint64, routers, endpoints int, planted plant, cfg Config) *world {
	w := &world{
		rng:       rand.New(rand.NewPCG(seed, 1)),
		endpoints: make(map[coordination.Endpoint]*machine),
		routers:   make(map[coordination.Instance]*router),
		planted:   planted,
		cfg:       cfg,
	}
	for i := range endpoints {
		id := coordination.Endpoint(fmt.Sprintf("e%d", i))
		w.endpoints[id] = &machine{incarnation: 1, up: true, died: make(chan struct{})}
	}
	w.members = lo.Times(routers, func(i int) placement.Router {
		return placement.Router{ID: coordination.Instance(fmt.Sprintf("r%d", i)), Incarnation: 1}
	})
	for _, m := range w.members {
		w.routers[m.ID] = newRouter(w, m.ID)
	}
	for _, r := range w.routers {
		r.update(w.list())
	}
	return w
}

func newRouter(w *world, id coordination.Instance) *router {
	r := &router{world: w, id: id, table: NewTable(w.cfg), set: placement.NewSet(nil)}
	r.owner = placement.NewOwner(id, placement.Config{})
	r.entry = placement.NewEntry(placement.EntryID{Instance: id, Incarnation: 1}, r.owner, r, nil, placement.Config{})
	r.guard = NewGuard(id, 1, NewGate(r.table), r, r)
	r.stop = placement.Start(r.owner, r.entry)
	return r
}

func (w *world) stop() {
	for _, r := range w.routers {
		r.stop()
	}
}

// list returns the endpoints that are up.
func (w *world) list() *placement.Set {
	w.mu.Lock()
	defer w.mu.Unlock()
	var ds []placement.Descriptor
	for id, m := range w.endpoints {
		if m.up {
			ds = append(ds, placement.Descriptor{ID: id, Pool: worldPool, Incarnation: m.incarnation, Capacity: 16})
		}
	}
	return placement.NewSet(ds)
}

// update gives the router a list.
func (r *router) update(set *placement.Set) {
	routers := placement.NewRouters(r.world.members, 0)
	for _, d := range set.LostSince(r.set) {
		r.table.Lost(time.Now(), d.Pool, d.ID)
	}
	r.set = set
	r.owner.Update(set, routers)
	r.entry.Update(set, routers)
	switch r.world.planted {
	case ownGateOnly:
		r.guard.placer.Store(placerBox{ownGate(r.id)})
	default:
		r.guard.placer.Store(placerBox{routers})
	}
}

type ownGate coordination.Instance

func (g ownGate) Place(uint64) coordination.Instance { return coordination.Instance(g) }

// loop gives the routers new lists with a lag of their own each.
func (r *router) loop(ctx context.Context, lag time.Duration) {
	for ctx.Err() == nil {
		set := r.world.list()
		time.Sleep(lag)
		r.update(set)
	}
}

// Call implements Transport.
func (r *router) Call(ctx context.Context, to coordination.Instance, topic string, payload []byte) ([]byte, error) {
	time.Sleep(time.Millisecond)
	peer := r.world.routers[to]
	if peer == nil {
		return nil, errCut
	}
	switch topic {
	case TopicGate:
		return peer.guard.HandleGate(ctx, payload)
	case placement.TopicAdmit:
		return peer.owner.HandleAdmit(ctx, payload)
	case placement.TopicRelease:
		return peer.owner.HandleRelease(ctx, payload)
	case placement.TopicRegister:
		return peer.owner.HandleRegister(ctx, payload)
	case placement.TopicSum:
		return peer.owner.HandleSum(ctx, payload)
	}
	return nil, errCut
}

// Spread implements Spreader: a rumour takes up to 600 ms to each router.
func (r *router) Spread(_ string, payload []byte) {
	for _, m := range r.world.members {
		peer := r.world.routers[m.ID]
		r.world.mu.Lock()
		delay := time.Duration(r.world.rng.IntN(600)) * time.Millisecond
		r.world.mu.Unlock()
		time.AfterFunc(delay, func() { _, _ = peer.guard.HandleRecord(context.Background(), payload) })
	}
}

// end tells how a run at an endpoint ended.
type end int

const (
	finished end = iota
	died
	refused
)

// run runs a request at an endpoint for d. A crashing one takes the endpoint
// with it at its end.
func (w *world) run(d placement.Descriptor, f Fingerprint, length time.Duration, crashes bool) end {
	w.mu.Lock()
	m := w.endpoints[d.ID]
	if !m.up || m.incarnation != d.Incarnation {
		w.mu.Unlock()
		return refused
	}
	gone := m.died
	w.mu.Unlock()
	rec := runRecord{fingerprint: f, endpoint: d.ID, incarnation: d.Incarnation, start: time.Now()}
	result := finished
	select {
	case <-gone:
		result = died
	case <-time.After(length):
		if crashes {
			rec.killed = w.kill(d.ID, d.Incarnation)
			result = died
		}
	}
	rec.end = time.Now()
	w.mu.Lock()
	w.runs = append(w.runs, rec)
	w.mu.Unlock()
	return result
}

// kill ends an incarnation of an endpoint; it restarts a while later.
func (w *world) kill(id coordination.Endpoint, n coordination.Incarnation) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	m := w.endpoints[id]
	if !m.up || m.incarnation != n {
		return false
	}
	m.up = false
	close(m.died)
	time.AfterFunc(worldRestart, func() { w.restart(id) })
	return true
}

func (w *world) restart(id coordination.Endpoint) {
	w.mu.Lock()
	defer w.mu.Unlock()
	m := w.endpoints[id]
	m.up, m.incarnation, m.died = true, m.incarnation+1, make(chan struct{})
}

// job is a request of the world.
type job struct {
	fingerprint Fingerprint
	key         placement.Key
	length      time.Duration
	crashes     bool
	retries     int
}

// serve takes a request through the router, as the daemon does, and reports
// whether it ran to its end.
func (r *router) serve(ctx context.Context, j job) bool {
	if r.world.planted == ungated {
		return r.serveUngated(ctx, j)
	}
	f, refusal := r.guard.Begin(ctx, j.fingerprint, worldPool)
	if f == nil {
		r.world.note(j, refusal)
		return false
	}
	defer f.Abandoned(context.WithoutCancel(ctx))
	var avoid []coordination.Endpoint
	for range 1 + j.retries {
		g, refusal := r.acquire(ctx, f, j, avoid)
		if g == nil {
			r.world.note(j, refusal)
			return false
		}
		d := g.Endpoint
		result := r.world.run(d, j.fingerprint, j.length, j.crashes)
		g.Release()
		if result == finished {
			f.Finished(ctx)
			return true
		}
		avoid = append(avoid, d.ID)
		r.entry.ReportLost(ctx, d)
		ok := false
		if result == died {
			refusal, ok = f.Crashed(ctx, worldPool, d.ID, d.Incarnation)
		} else {
			refusal, ok = f.FoundDead(ctx, worldPool, d.ID)
		}
		if !ok {
			r.world.note(j, refusal)
			return false
		}
	}
	return false
}

// acquire gets a grant. If a candidate turns out to be dead on the way, the
// gate is asked before the request goes elsewhere.
func (r *router) acquire(ctx context.Context, f *Follow, j job, avoid []coordination.Endpoint) (*placement.Grant, Refusal) {
	for {
		alone := f.Alone()
		g, _ := r.entry.Acquire(ctx, placement.Request{Pool: worldPool, Key: j.key, Alone: alone, Avoid: avoid})
		if g == nil {
			return nil, Refusal{}
		}
		if len(g.Lost) == 0 || f.Asked() {
			return g, Refusal{}
		}
		lost := g.Lost[0]
		refusal, ok := f.FoundDead(ctx, worldPool, lost.Endpoint)
		if ok && f.Alone() == alone {
			return g, Refusal{}
		}
		g.Release()
		if !ok {
			return nil, refusal
		}
	}
}

func (r *router) serveUngated(ctx context.Context, j job) bool {
	var avoid []coordination.Endpoint
	for range 1 + j.retries {
		g, _ := r.entry.Acquire(ctx, placement.Request{Pool: worldPool, Key: j.key, Avoid: avoid})
		if g == nil {
			return false
		}
		result := r.world.run(g.Endpoint, j.fingerprint, j.length, j.crashes)
		g.Release()
		avoid = append(avoid, g.Endpoint.ID)
		if result == finished {
			return true
		}
	}
	return false
}

func (w *world) note(j job, r Refusal) {
	if !r.Poison {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.convicted = append(w.convicted, j.fingerprint)
}

// lost returns how many endpoints each fingerprint has crashed.
func (w *world) lost() map[Fingerprint]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	killed := lo.Filter(w.runs, func(r runRecord, _ int) bool { return r.killed })
	return lo.CountValuesBy(killed, func(r runRecord) Fingerprint { return r.fingerprint })
}
