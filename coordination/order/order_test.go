package order_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/kv/kvtest"
	"wisteriaspool/coordination/order"
	"wisteriaspool/coordination/synctest"
)

// sentOrder is an order as an engine received it.
type sentOrder struct {
	at      time.Time
	fencing order.FencingToken
	order   order.Order
	target  order.Target
}

// stateKey identifies one piece of an engine's state.
type stateKey struct {
	kind order.Kind
	name string
}

// loaded holds the version of each piece of state of an engine. A repeated
// order changes nothing.
type loaded map[stateKey]string

// site is a pool of engines and the routers that send them orders.
type site struct {
	mu       sync.Mutex
	plan     order.Plan
	assigned map[coordination.Instance]bool
	targets  []order.Target
	highest  map[order.Target]order.FencingToken
	state    map[order.Target]loaded
	history  []sentOrder
	ignores  bool // the engines accept outdated fencing tokens
	loss     float64
	random   *rand.Rand
	frozen   map[coordination.Instance]chan struct{}
}

func newSite(seed uint64, engines int) *site {
	s := &site{
		assigned: make(map[coordination.Instance]bool),
		highest:  make(map[order.Target]order.FencingToken),
		state:    make(map[order.Target]loaded),
		frozen:   make(map[coordination.Instance]chan struct{}),
		random:   rand.New(rand.NewPCG(seed, 0)),
	}
	for n := range engines {
		s.targets = append(s.targets, order.Target{Endpoint: coordination.Endpoint(fmt.Sprintf("e%d", n+1)), Incarnation: 1})
	}
	return s
}

func (s *site) setPlan(version string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.plan = order.Plan{{Kind: order.LoadModel, Name: "m", Version: version}, {Kind: order.LoadAdapter, Name: "a", Version: version}}
}

func (s *site) setAssigned(id coordination.Instance, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.assigned[id] = on
}

// view is the site as seen by one router.
type view struct {
	*site
	self coordination.Instance
	old  *order.Plan // plan of a router with outdated settings
}

func (v view) AssignedPools() []coordination.Pool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.assigned[v.self] {
		return []coordination.Pool{"m"}
	}
	return nil
}

func (v view) Targets(coordination.Pool) []order.Target { return v.targets }

func (v view) Plan(coordination.Pool) order.Plan {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.old != nil {
		return *v.old
	}
	return v.plan
}

// Order implements order.EngineClient. The order of a frozen router stays in
// transit until the router resumes.
func (v view) Order(ctx context.Context, t order.Target, o order.Order, f order.FencingToken) order.Result {
	v.mu.Lock()
	frozen := v.frozen[v.self]
	v.mu.Unlock()
	if frozen != nil {
		<-frozen
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if f < v.highest[t] && !v.ignores {
		return order.Fenced
	}
	v.highest[t] = max(v.highest[t], f)
	if v.state[t] == nil {
		v.state[t] = make(loaded)
	}
	v.state[t][stateKey{o.Kind, o.Name}] = o.Version
	v.history = append(v.history, sentOrder{at: time.Now(), fencing: f, order: o, target: t})
	if v.random.Float64() < v.loss {
		return order.Unknown
	}
	return order.Taken
}

func (s *site) freeze(id coordination.Instance) (wake func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ch := make(chan struct{})
	s.frozen[id] = ch
	return func() {
		s.mu.Lock()
		delete(s.frozen, id)
		s.mu.Unlock()
		close(ch)
	}
}

// problems checks that orders are at least pace apart and that every engine
// ends in the state of the plan.
func (s *site) problems(pace time.Duration) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []string
	for _, t := range s.targets {
		for _, o := range s.plan {
			if got := s.state[t][stateKey{o.Kind, o.Name}]; got != o.Version {
				found = append(found, fmt.Sprintf("%s ends with %s %s at %q, want %q", t.Endpoint, o.Kind, o.Name, got, o.Version))
			}
		}
	}
	for i := 1; i < len(s.history); i++ {
		if gap := s.history[i].at.Sub(s.history[i-1].at); gap < pace {
			found = append(found, fmt.Sprintf("two loads %v apart", gap))
		}
	}
	return found
}

func (s *site) start(store order.Store, id coordination.Instance, old *order.Plan) func() {
	v := view{site: s, self: id, old: old}
	_, stop := order.New(order.Config{Self: id}, store, v, v)
	return stop
}

func TestOrdersReachEveryEngineAtTheirPace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(1, 4)
		s.setPlan("1")
		s.setAssigned("r1", true)
		s.setAssigned("r2", true) // two routers are assigned the same pool
		store := kvtest.New()
		for _, id := range []coordination.Instance{"r1", "r2"} {
			defer s.start(store, id, nil)()
		}
		time.Sleep(2 * time.Minute)
		assert.Equal(t, len(s.problems(5*time.Second)), 0, "%q", s.problems(5*time.Second))
		s.setPlan("2")
		time.Sleep(2 * time.Minute)
		assert.Equal(t, len(s.problems(5*time.Second)), 0, "%q", s.problems(5*time.Second))
	})
}

// A holder is frozen, with an order from outdated settings in transit, for
// longer than its lease. Another router takes over with newer settings. Then
// the first one resumes and its order arrives. An engine that ignores fencing
// tokens carries it out, and would serve the outdated version permanently if
// the new holder did not send its orders again.
func TestOrderOfFrozenHolderIsOverwritten(t *testing.T) {
	for _, ignores := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			s := newSite(2, 3)
			s.ignores = ignores
			s.setPlan("1")
			old := s.plan
			s.setPlan("2")
			store := kvtest.New()
			s.setAssigned("r1", true)
			wake := s.freeze("r1")
			stop1 := s.start(store, "r1", &old)
			time.Sleep(5 * time.Second)
			s.setAssigned("r2", true)
			stop2 := s.start(store, "r2", nil)
			time.Sleep(35 * time.Second)
			s.setAssigned("r1", false)
			wake()
			time.Sleep(2 * time.Minute)
			stop1()
			stop2()
			assert.Equal(t, len(s.problems(0)), 0, "ignores %v: %q", ignores, s.problems(0))
		})
	}
}

// Answers of engines and of the platform are lost, and the platform has an
// outage. Orders must be sent again until they are acknowledged.
func TestLostAnswers(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			s := newSite(seed, 3)
			s.loss = 0.3
			s.setPlan("1")
			store := kvtest.New()
			random := rand.New(rand.NewPCG(seed, 1))
			var mu sync.Mutex
			lose := func(string, string) bool {
				mu.Lock()
				defer mu.Unlock()
				return random.Float64() < 0.2
			}
			store.SetFaults(kvtest.Faults{LoseReply: lose})
			for _, id := range []coordination.Instance{"r1", "r2", "r3"} {
				s.setAssigned(id, true)
				defer s.start(store, id, nil)()
			}
			time.Sleep(time.Minute)
			store.SetFaults(kvtest.Faults{Down: true})
			s.setPlan("2")
			time.Sleep(time.Minute)
			store.SetFaults(kvtest.Faults{LoseReply: lose})
			time.Sleep(4 * time.Minute)
			assert.Equal(t, len(s.problems(0)), 0, "seed %d: %q", seed, s.problems(0))
		})
	}
}

// The check must detect an engine that was left out and loads that come too
// close together; otherwise its passing proves nothing.
func TestCheckCatchesInjectedFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(1, 2)
		s.setPlan("1")
		v := view{site: s, self: "r1"}
		for _, o := range s.plan {
			v.Order(t.Context(), s.targets[0], o, 1)
		}
		assert.Equal(t, len(s.problems(time.Second)), 3, "%q", s.problems(time.Second))
	})
}
