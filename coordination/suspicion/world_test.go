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

// fleetSim is a few routers before a pool of endpoints, some of whose requests
// crash the endpoint that runs them. It counts from the endpoints' side.
type fleetSim struct {
	mu        sync.Mutex
	rng       *rand.Rand
	endpoints map[coordination.Endpoint]*simEndpoint
	routers   map[coordination.Instance]*router
	members   []placement.Router
	runs      []runRecord
	convicted []Fingerprint // refused as poison
	fault     injectedFault
	cfg       Config
}

// injectedFault is a fault put into the routers, to see that the checker finds it.
type injectedFault int

const (
	noFault     injectedFault = iota
	noGate                    // retries at once, without asking the gate
	ownGateOnly               // each router is the gate of all its requests
)

// simEndpoint is one endpoint.
type simEndpoint struct {
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
	sim   *fleetSim
	id    coordination.Instance
	owner *placement.Owner
	entry *placement.Entry
	guard *Guard
	table *Table
	stop  func()
	set   *placement.Set
}

const (
	simPool    = coordination.Pool("m@1")
	simRestart = 6 * time.Second
)

var errUnreachable = errors.New("cut")

func newFleetSim(seed uint64, routers, endpoints int, planted injectedFault, cfg Config) *fleetSim {
	w := &fleetSim{
		rng:       rand.New(rand.NewPCG(seed, 1)),
		endpoints: make(map[coordination.Endpoint]*simEndpoint),
		routers:   make(map[coordination.Instance]*router),
		fault:     planted,
		cfg:       cfg,
	}
	for i := range endpoints {
		id := coordination.Endpoint(fmt.Sprintf("e%d", i))
		w.endpoints[id] = &simEndpoint{incarnation: 1, up: true, died: make(chan struct{})}
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

func newRouter(w *fleetSim, id coordination.Instance) *router {
	r := &router{sim: w, id: id, table: NewTable(w.cfg), set: placement.NewSet(nil)}
	r.owner = placement.NewOwner(id, placement.Config{})
	r.entry = placement.NewEntry(placement.EntryID{Instance: id, Incarnation: 1}, r.owner, r, nil, placement.Config{})
	r.guard = NewGuard(id, 1, NewGate(r.table), r, r)
	r.stop = placement.Start(r.owner, r.entry)
	return r
}

func (w *fleetSim) stop() {
	for _, r := range w.routers {
		r.stop()
	}
}

// list returns the endpoints that are up.
func (w *fleetSim) list() *placement.Set {
	w.mu.Lock()
	defer w.mu.Unlock()
	var ds []placement.Descriptor
	for id, m := range w.endpoints {
		if m.up {
			ds = append(ds, placement.Descriptor{ID: id, Pool: simPool, Incarnation: m.incarnation, Capacity: 16})
		}
	}
	return placement.NewSet(ds)
}

// update gives the router a list.
func (r *router) update(set *placement.Set) {
	routers := placement.NewRouters(r.sim.members, 0)
	for _, d := range set.LostSince(r.set) {
		r.table.RecordLoss(time.Now(), d.Pool, d.ID)
	}
	r.set = set
	r.owner.Update(set, routers)
	r.entry.Update(set, routers)
	switch r.sim.fault {
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
		set := r.sim.list()
		time.Sleep(lag)
		r.update(set)
	}
}

// Call implements Transport.
func (r *router) Call(ctx context.Context, to coordination.Instance, topic string, payload []byte) ([]byte, error) {
	time.Sleep(time.Millisecond)
	peer := r.sim.routers[to]
	if peer == nil {
		return nil, errUnreachable
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
	return nil, errUnreachable
}

// Spread implements Spreader: a rumour takes up to 600 ms to each router.
func (r *router) Spread(_ string, payload []byte) {
	for _, m := range r.sim.members {
		peer := r.sim.routers[m.ID]
		r.sim.mu.Lock()
		delay := time.Duration(r.sim.rng.IntN(600)) * time.Millisecond
		r.sim.mu.Unlock()
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
func (w *fleetSim) run(d placement.Descriptor, f Fingerprint, length time.Duration, crashes bool) end {
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
func (w *fleetSim) kill(id coordination.Endpoint, n coordination.Incarnation) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	m := w.endpoints[id]
	if !m.up || m.incarnation != n {
		return false
	}
	m.up = false
	close(m.died)
	time.AfterFunc(simRestart, func() { w.restart(id) })
	return true
}

func (w *fleetSim) restart(id coordination.Endpoint) {
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
	if r.sim.fault == noGate {
		return r.serveUngated(ctx, j)
	}
	f, refusal := r.guard.Begin(ctx, j.fingerprint, simPool)
	if f == nil {
		r.sim.recordRefusal(j, refusal)
		return false
	}
	defer f.Abandoned(context.WithoutCancel(ctx))
	var avoid []coordination.Endpoint
	for range 1 + j.retries {
		g, refusal := r.acquire(ctx, f, j, avoid)
		if g == nil {
			r.sim.recordRefusal(j, refusal)
			return false
		}
		d := g.Endpoint
		result := r.sim.run(d, j.fingerprint, j.length, j.crashes)
		g.Release()
		if result == finished {
			f.Finished(ctx)
			return true
		}
		avoid = append(avoid, d.ID)
		r.entry.Lost(ctx, d)
		ok := false
		if result == died {
			refusal, ok = f.EndpointCrashed(ctx, simPool, d.ID, d.Incarnation)
		} else {
			refusal, ok = f.EndpointFoundDead(ctx, simPool, d.ID)
		}
		if !ok {
			r.sim.recordRefusal(j, refusal)
			return false
		}
	}
	return false
}

// acquire gets a grant. If a candidate turns out to be dead on the way, the
// gate is asked before the request goes elsewhere.
func (r *router) acquire(ctx context.Context, f *TrackedRequest, j job, avoid []coordination.Endpoint) (*placement.Grant, Refusal) {
	for {
		alone := f.Alone()
		g, _ := r.entry.Acquire(ctx, placement.Request{Pool: simPool, Key: j.key, Alone: alone, Avoid: avoid})
		if g == nil {
			return nil, Refusal{}
		}
		if len(g.Lost) == 0 || f.Admitted() {
			return g, Refusal{}
		}
		lost := g.Lost[0]
		refusal, ok := f.EndpointFoundDead(ctx, simPool, lost.Endpoint)
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
		g, _ := r.entry.Acquire(ctx, placement.Request{Pool: simPool, Key: j.key, Avoid: avoid})
		if g == nil {
			return false
		}
		result := r.sim.run(g.Endpoint, j.fingerprint, j.length, j.crashes)
		g.Release()
		avoid = append(avoid, g.Endpoint.ID)
		if result == finished {
			return true
		}
	}
	return false
}

func (w *fleetSim) recordRefusal(j job, r Refusal) {
	if !r.Poison {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.convicted = append(w.convicted, j.fingerprint)
}

// crashCounts returns how many endpoints each fingerprint has crashed.
func (w *fleetSim) crashCounts() map[Fingerprint]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	killed := lo.Filter(w.runs, func(r runRecord, _ int) bool { return r.killed })
	return lo.CountValuesBy(killed, func(r runRecord) Fingerprint { return r.fingerprint })
}
