package placement

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/samber/lo"
	"gotest.tools/v3/assert"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/synctest"
)

// event is the start or end of a request, or the joining or leaving of an
// endpoint, as recorded at the endpoint.
type event struct {
	at       time.Time
	endpoint coordination.Endpoint
	running  int // change of the number of running requests
	live     int // 1 if the endpoint joins, -1 if it leaves, otherwise 0
}

// history records events.
type history struct {
	mu     sync.Mutex
	events []event
	load   map[coordination.Endpoint]int
}

func (h *history) add(e event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	e.at = time.Now()
	h.events = append(h.events, e)
	h.load[e.endpoint] += e.running
}

func (h *history) running(e coordination.Endpoint) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.load[e]
}

// boundResult summarizes how well the placements of a history kept the bound.
type boundResult struct {
	placed  int
	over    int // placements that exceeded the bound
	worst   int // largest excess of a placement, in requests
	refused int
}

// check replays the events in order. A placement exceeds the bound if the
// endpoint then runs more than ceil(bound * mean) requests, with the mean taken
// over the live endpoints. slack is added to the total, for requests that end
// while a grant is being sent.
func (h *history) check(bound float64, slack int) (v boundResult) {
	load := make(map[coordination.Endpoint]int)
	live := make(map[coordination.Endpoint]bool)
	total := 0
	for _, e := range h.events {
		if e.live != 0 {
			live[e.endpoint] = e.live > 0
			total += e.live * load[e.endpoint]
			continue
		}
		load[e.endpoint] += e.running
		if !live[e.endpoint] {
			continue
		}
		total += e.running
		if e.running < 0 {
			continue
		}
		v.placed++
		n := lo.CountBy(lo.Values(live), func(b bool) bool { return b })
		excess := load[e.endpoint] - limitOf(bound, float64(total+slack)/float64(n))
		if excess > 0 {
			v.over++
			v.worst = max(v.worst, excess)
		}
	}
	return v
}

// fleetTest applies a seeded load to a fleet.
type fleetTest struct {
	*fleet
	h         history
	rng       *rand.Rand
	members   []Router
	endpoints []Descriptor
	length    time.Duration
	rate      int // per second
	wg        sync.WaitGroup
	refused   int
}

func newFleetTest(seed uint64, routers, endpoints int, cfg Config) *fleetTest {
	tr := &fleetTest{
		rng:       rand.New(rand.NewPCG(seed, 7)),
		members:   testRouters(routers),
		endpoints: testEndpoints(endpoints),
		length:    10 * time.Second,
		rate:      4 * endpoints,
	}
	tr.fleet = newFleet(tr.members, tr.endpoints, cfg)
	tr.h.load = make(map[coordination.Endpoint]int)
	for _, d := range tr.endpoints {
		tr.h.add(event{endpoint: d.ID, live: 1})
	}
	return tr
}

// run runs the load, injects faults halfway and checks the history.
func (tr *fleetTest) run(ctx context.Context, faults func(*fleetTest), slack int) boundResult {
	stop := tr.start()
	ctx, cancel := context.WithCancel(ctx)
	tr.wg.Go(func() { tr.reports(ctx) })
	time.Sleep(2 * time.Second)
	var load sync.WaitGroup
	load.Go(func() { tr.arrivals(ctx, &load) })
	time.Sleep(tr.length / 2)
	if faults != nil {
		faults(tr)
	}
	load.Wait()
	cancel()
	tr.wg.Wait()
	stop()
	return tr.h.check(1.25, slack)
}

// arrivals sends requests through random routers. Half of them prefer the
// endpoints of one owner, so that only the bound keeps the load of these
// endpoints down.
func (tr *fleetTest) arrivals(ctx context.Context, wg *sync.WaitGroup) {
	victim, r := tr.busiestOwner(), NewRouters(tr.members, 0)
	hot := lo.FilterMap(tr.endpoints, func(d Descriptor, _ int) (coordination.Endpoint, bool) {
		return d.ID, r.Owner(d.ID, d.Zone) == victim
	})
	for i := range int(tr.length.Seconds()) * tr.rate {
		time.Sleep(time.Second / time.Duration(tr.rate))
		m := tr.members[tr.rng.IntN(len(tr.members))]
		hold := time.Duration(500+tr.rng.IntN(3000)) * time.Millisecond
		req := Request{Pool: testPool, Key: Key(i)}
		if tr.rng.IntN(2) == 0 {
			req.Hint = HintOf(hot[tr.rng.IntN(len(hot))], 1)
		}
		wg.Go(func() { tr.request(ctx, m.ID, req, hold) })
	}
}

func (tr *fleetTest) request(ctx context.Context, id coordination.Instance, req Request, hold time.Duration) {
	tr.wait(id)
	if tr.isDead(id) {
		return
	}
	g, _ := tr.nodes[id].entry.Acquire(ctx, req)
	tr.mu.Lock()
	if g == nil {
		tr.refused++
	}
	tr.mu.Unlock()
	if g == nil || tr.isDead(id) {
		return
	}
	tr.h.add(event{endpoint: g.Endpoint.ID, running: 1})
	time.Sleep(hold)
	tr.h.add(event{endpoint: g.Endpoint.ID, running: -1})
	tr.wait(id)
	if !tr.isDead(id) {
		g.Release()
	}
}

func (tr *fleetTest) kill(id coordination.Instance) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.dead[id] = true
}

// reports passes the endpoints' load reports to the owners, 0.5 s late.
func (tr *fleetTest) reports(ctx context.Context) {
	for ctx.Err() == nil && tr.fault == noFault {
		at := time.Now()
		tr.mu.Lock()
		es := tr.endpoints
		tr.mu.Unlock()
		loads := lo.Map(es, func(d Descriptor, _ int) Report {
			return Report{Endpoint: d.ID, Incarnation: d.Incarnation, Running: tr.h.running(d.ID), Observed: at}
		})
		time.Sleep(500 * time.Millisecond)
		for _, m := range tr.members {
			for _, r := range loads {
				tr.nodes[m.ID].owner.Report(r)
			}
		}
	}
}

// updateAll updates the lists of all routers that are alive, one after another.
func (tr *fleetTest) updateAll(es []Descriptor, members []Router, gap time.Duration) {
	set, routers := NewSet(es), NewRouters(members, 0)
	for _, m := range tr.members {
		time.Sleep(gap)
		if !tr.isDead(m.ID) {
			tr.nodes[m.ID].update(set, routers)
		}
	}
}

// Guards against an endpoint that carries more than its bound and slows down
// the streams on it. A single owner has no lag, so that no placement may exceed
// the bound.
func TestOneOwnerNeverExceedsTheBound(t *testing.T) {
	for seed := range uint64(5) {
		synctest.Test(t, func(t *testing.T) {
			v := newFleetTest(seed, 1, 12, Config{}).run(t.Context(), nil, 0)
			assert.Equal(t, v.over, 0, "seed %d: %+v", seed, v)
			assert.Assert(t, v.placed > 400)
		})
	}
}

// busiestOwner returns the router that owns the most endpoints.
func (tr *fleetTest) busiestOwner() coordination.Instance {
	r := NewRouters(tr.members, 0)
	counts := lo.CountValuesBy(tr.endpoints, func(d Descriptor) coordination.Instance { return r.Owner(d.ID, d.Zone) })
	ids := lo.Keys(counts)
	return slices.MaxFunc(ids, func(a, b coordination.Instance) int {
		return cmp.Or(cmp.Compare(counts[a], counts[b]), cmp.Compare(a, b))
	})
}

func (tr *fleetTest) membersWithout(id coordination.Instance) []Router {
	return lo.Filter(tr.members, func(m Router, _ int) bool { return m.ID != id })
}

// killOwner kills an owner. The routers that take over its endpoints must not
// count from zero, or they would admit a second full load.
func killOwner(tr *fleetTest) {
	dead := tr.busiestOwner()
	tr.kill(dead)
	time.Sleep(300 * time.Millisecond)
	tr.updateAll(tr.endpoints, tr.membersWithout(dead), 50*time.Millisecond)
}

// killOwnerAtOnce kills an owner and removes it from the lists immediately,
// while its endpoints still run all their requests.
func killOwnerAtOnce(tr *fleetTest) {
	dead := tr.busiestOwner()
	tr.kill(dead)
	tr.updateAll(tr.endpoints, tr.membersWithout(dead), 5*time.Millisecond)
}

// freezeOwner pauses an owner for longer than its peers wait. It resumes with
// outdated counts while some requests still address it as the owner.
func freezeOwner(tr *fleetTest) {
	id := tr.busiestOwner()
	wake := make(chan struct{})
	tr.mu.Lock()
	tr.frozen[id] = wake
	tr.mu.Unlock()
	time.Sleep(time.Second)
	tr.updateAll(tr.endpoints, tr.membersWithout(id), 100*time.Millisecond)
	time.Sleep(2 * time.Second)
	tr.mu.Lock()
	delete(tr.frozen, id)
	close(wake)
	tr.mu.Unlock()
	tr.updateAll(tr.endpoints, tr.members, 200*time.Millisecond)
}

// splitLists gives routers different lists for 2 s, so that two of them act as
// owner of the same endpoints.
func splitLists(tr *fleetTest) {
	id := tr.busiestOwner()
	set, short := NewSet(tr.endpoints), NewRouters(tr.membersWithout(id), 0)
	for _, m := range tr.members[:len(tr.members)/2] {
		tr.nodes[m.ID].update(set, short)
	}
	time.Sleep(2 * time.Second)
	tr.updateAll(tr.endpoints, tr.members, 100*time.Millisecond)
}

// killEntry kills a router that holds grants, which are then never released.
func killEntry(tr *fleetTest) {
	id := tr.members[0].ID
	tr.kill(id)
	time.Sleep(2 * time.Second)
	tr.updateAll(tr.endpoints, tr.membersWithout(id), 50*time.Millisecond)
}

// flap makes endpoints join and leave within 0.3 s.
func flap(tr *fleetTest) {
	for i := range 3 {
		es := slices.Clone(tr.endpoints)
		joined := testEndpoints(len(es) + 1)[len(es)]
		joined.Incarnation = coordination.Incarnation(i + 1)
		es[i].State = Leaving
		tr.h.add(event{endpoint: joined.ID, live: 1})
		tr.h.add(event{endpoint: es[i].ID, live: -1})
		tr.updateAll(append(es, joined), tr.members, 30*time.Millisecond)
		time.Sleep(300 * time.Millisecond)
		es[i].State = Live
		es[i].Incarnation += 100
		tr.mu.Lock()
		tr.endpoints = es
		tr.mu.Unlock()
		tr.h.add(event{endpoint: joined.ID, live: -1})
		tr.h.add(event{endpoint: es[i].ID, live: 1})
		tr.updateAll(es, tr.members, 30*time.Millisecond)
	}
}

// Limits for a fleet of a few routers whose mean lags by 0.1 s or more: the
// fraction of placements over the bound, and the largest excess in requests.
const (
	maxOverShare = 0.025
	maxOverBy    = 3
)

func (v boundResult) withinTolerance() bool {
	return float64(v.over) <= maxOverShare*float64(v.placed) && v.worst <= maxOverBy
}

func TestBoundHoldsUnderFaults(t *testing.T) {
	tests := []struct {
		name   string
		faults func(*fleetTest)
	}{
		{"steady", nil},
		{"owner killed", killOwner},
		{"owner killed, missed at once", killOwnerAtOnce},
		{"owner frozen and back", freezeOwner},
		{"split lists", splitLists},
		{"entry killed with grants held", killEntry},
		{"endpoints join and leave within moments", flap},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			v := playSeeds(t, test.faults, noFault, Config{WarmWait: DefaultWarmWait})
			assert.Assert(t, v.withinTolerance(), "%+v", v)
			assert.Assert(t, v.refused <= v.placed/100, "%+v", v)
		})
	}
}

// playSeeds runs several seeds and adds up their results.
func playSeeds(t *testing.T, faults func(*fleetTest), fault injectedFault, cfg Config) (all boundResult) {
	for seed := range uint64(4) {
		synctest.Test(t, func(t *testing.T) {
			tr := newFleetTest(seed, 7, 12, cfg)
			tr.fault = fault
			v := tr.run(t.Context(), faults, 0)
			all.placed += v.placed
			all.over += v.over
			all.worst = max(all.worst, v.worst)
			all.refused += tr.refused
		})
	}
	t.Logf("%+v", all)
	return all
}

// Verifies that the bound check fails for each kind of fault that the owner's
// code prevents.
func TestCheckDetectsInjectedFaults(t *testing.T) {
	tests := []struct {
		name   string
		fault  injectedFault
		faults func(*fleetTest)
	}{
		{"release counted twice", releaseTwice, nil},
		{"takeover from zero", takeoverAtZero, killOwnerAtOnce},
		{"owners without a common mean", boundPerRouter, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			v := playSeeds(t, test.faults, test.fault, Config{Grace: time.Nanosecond})
			assert.Assert(t, !v.withinTolerance(), "%+v", v)
		})
	}
}
