package service_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/execution"
	"wisteriaspool/coordination/kv"
	"wisteriaspool/coordination/outcome"
	"wisteriaspool/coordination/synctest"
	"wisteriaspool/standin/pipe"
	standin "wisteriaspool/standin/platform"
	"wisteriaspool/standin/service"
	"wisteriaspool/wisteriarouter/caller"
	"wisteriaspool/wisteriarouter/platform"
	router "wisteriaspool/wisteriarouter/service"
)

// cluster is a whole deployment in one process: stand-ins of the platform and
// of an order service, and routers, connected by pipes.
type cluster struct {
	network   pipe.Network
	platform  *standin.Server
	services  []*service.Service
	addresses []string // of the services, and one at which nothing listens
	routers   []*router.Runner
	cleanups  []func()

	nonIdempotent bool

	mu      sync.Mutex
	random  *rand.Rand
	results map[string][]callResult // by key
}

// callResult is what a caller was told about one call.
type callResult struct {
	outcome outcome.Outcome
	body    string // empty for a refusal
}

const (
	clusterRouters  = 3
	clusterServices = 2
	clusterKeys     = 5
	keyCallers      = 4
	callerTries     = 5
)

func newCluster(seed uint64) *cluster {
	s := &cluster{random: rand.New(rand.NewPCG(seed, seed)), results: map[string][]callResult{}}
	server, stop := standin.New(standin.Options{Seed: seed})
	s.platform = server
	s.cleanups = append(s.cleanups, s.network.Serve("platform:80", server), stop)
	for i := range clusterServices {
		svc, stop := service.New(service.Options{Seed: seed + uint64(i), ActionTime: 20 * time.Millisecond})
		svc.SetFaults(service.Faults{CutBefore: 0.1, CutAfter: 0.1, Refuse: 0.2})
		s.services = append(s.services, svc)
		s.addresses = append(s.addresses, serviceAddress(i))
		s.cleanups = append(s.cleanups, s.network.Serve(serviceAddress(i), svc), stop)
	}
	s.addresses = append(s.addresses, serviceAddress(clusterServices))
	for i := range clusterRouters {
		s.addRouter(i)
	}
	return s
}

func serviceAddress(i int) string { return fmt.Sprintf("desk-%d:80", i) }

func (s *cluster) addRouter(i int) {
	store, closeStore, err := platform.New(platform.Config{Endpoints: []string{"http://platform:80"}, DialContext: s.network.DialContext})
	if err != nil {
		panic(err)
	}
	client, closeClient := router.NewClient(router.Options{DialContext: s.network.DialContext})
	ledger, stop := execution.New(execution.Config{
		Store:  freezingStore{store, s},
		Holder: coordination.Instance(fmt.Sprint("r", i)),
	})
	s.routers = append(s.routers, &router.Runner{Planner: s, Placer: s, Retries: s, Client: client, Ledger: ledger})
	s.cleanups = append(s.cleanups, closeStore, closeClient, stop)
}

// stop stops everything in reverse order of creation.
func (s *cluster) stop() {
	for i := range s.cleanups {
		s.cleanups[len(s.cleanups)-1-i]()
	}
}

func (s *cluster) intN(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.IntN(n)
}

// freezingStore delays some calls to the platform, before or after they run,
// for longer than the dispatch limit.
type freezingStore struct {
	execution.Store
	cluster *cluster
}

func (f freezingStore) CompareAndSwap(ctx context.Context, key string, value []byte, expect kv.Revision, lease kv.Lease) kv.Result {
	f.freeze()
	defer f.freeze()
	return f.Store.CompareAndSwap(context.WithoutCancel(ctx), key, value, expect, lease)
}

func (f freezingStore) freeze() {
	if f.cluster.intN(100) < 3 {
		time.Sleep(2 * execution.DefaultDispatchLimit)
	}
}

func (s *cluster) PlanAction(caller.Action) (router.Plan, *outcome.Refusal) {
	return router.Plan{Pool: "orders", Timeout: 5 * time.Second, NonIdempotent: s.nonIdempotent}, nil
}

// Place places at a random service, or at the address at which nothing listens.
func (s *cluster) Place(context.Context, caller.PlacementRequest) (caller.Placement, *outcome.Refusal) {
	return caller.Placement{Address: s.addresses[s.intN(len(s.addresses))], Release: func() {}}, nil
}

func (s *cluster) Serving(coordination.Endpoint, coordination.Incarnation) bool { return true }

func (s *cluster) Leaving(coordination.Endpoint, coordination.Incarnation) {}

func (s *cluster) Pause(coordination.Endpoint, coordination.Incarnation, time.Duration) {}
func (s *cluster) RecordRequest(coordination.Team)                                      {}
func (s *cluster) Take(coordination.Team) bool                                          { return true }

// repeatingCaller repeats one order, each time through a random router.
type repeatingCaller struct {
	cluster *cluster
	action  caller.Action
}

func (l *repeatingCaller) run(ctx context.Context, done *sync.WaitGroup) {
	defer done.Done()
	s := l.cluster
	for range callerTries {
		ans, refusal := s.routers[s.intN(clusterRouters)].Run(ctx, l.action)
		t := callResult{outcome: ans.Outcome, body: string(ans.Body)}
		if refusal != nil {
			t = callResult{outcome: refusal.Outcome}
		}
		s.mu.Lock()
		s.results[l.action.Key] = append(s.results[l.action.Key], t)
		s.mu.Unlock()
		time.Sleep(time.Duration(s.intN(10000)) * time.Millisecond)
	}
}

// outages switches the platform off and on, and loses some of its calls and
// replies.
type outages struct{ cluster *cluster }

func (o outages) run(ctx context.Context, done *sync.WaitGroup) {
	defer done.Done()
	for ctx.Err() == nil {
		f := standin.Faults{LoseReply: 0.1, LoseCall: 0.05, Outage: o.cluster.intN(4) == 0}
		if err := o.cluster.platform.SetFaults(f); err != nil {
			panic(err)
		}
		time.Sleep(3 * time.Second)
	}
}

// order returns an action whose key carries no time. UUIDs cannot be used: the
// library derives their time from the previous one it made, outside the
// synctest bubble.
func order(i int) caller.Action {
	key := fmt.Sprint("order-", i)
	return caller.Action{
		Team: "solco", Account: "label-1", Service: "orders", Action: "book",
		Key: key, IssuedAt: time.Now().Format(time.RFC3339), Body: []byte(`{"key":"` + key + `"}`),
	}
}

// simulate runs orders against a cluster, and returns it when all calls have
// ended.
func simulate(t *testing.T, seed uint64, nonIdempotent bool) *cluster {
	t.Helper()
	var s *cluster
	synctest.Test(t, func(t *testing.T) {
		s = newCluster(seed)
		s.nonIdempotent = nonIdempotent
		defer s.stop()
		ctx, cancel := context.WithCancel(t.Context())
		var outagesDone, callersDone sync.WaitGroup
		outagesDone.Add(1)
		go outages{s}.run(ctx, &outagesDone)
		for i := range clusterKeys {
			action := order(i)
			for range keyCallers {
				callersDone.Add(1)
				go (&repeatingCaller{s, action}).run(ctx, &callersDone)
			}
		}
		callersDone.Wait()
		cancel()
		outagesDone.Wait()
	})
	return s
}

// check compares what the callers of each key were told with the runs of the
// key.
func (s *cluster) check() error {
	for key, all := range s.results {
		if err := checkResults(all, s.runs(key)); err != nil {
			return fmt.Errorf("%s: %w", key, err)
		}
	}
	return nil
}

// checkResults compares what the callers of one key were told with its runs.
func checkResults(all []callResult, runs int) error {
	if runs > 1 {
		return fmt.Errorf("ran %d times", runs)
	}
	body := ""
	denied := 0
	for _, one := range all {
		switch {
		case one.outcome == outcome.NotRun:
			denied++
		case one.outcome != outcome.Ran:
		case runs == 0:
			return errors.New("reported as run, but did not run")
		case body != "" && body != one.body:
			return errors.New("different answers")
		default:
			body = one.body
		}
	}
	if runs > 0 && denied == len(all) {
		return errors.New("reported as not run to all callers, but ran")
	}
	return nil
}

func (s *cluster) runs(key string) int {
	n := 0
	for _, d := range s.services {
		n += d.Arrivals().ByKey[key].Ran
	}
	return n
}

// Callers send the same orders through several routers, while the service
// aborts connections before and after it runs them or refuses them, the
// platform loses replies and is down, and routers freeze. According to the
// counts of the service, no order may run twice, no order that ran may be
// reported as not run to all its callers, and all callers that are told that
// it ran get the same answer.
func TestWholePathAtMostOnce(t *testing.T) {
	const seeds = 20
	runs := 0
	outcomes := map[outcome.Outcome]int{}
	for seed := range uint64(seeds) {
		s := simulate(t, seed, true)
		assert.NilError(t, s.check(), "seed %d", seed)
		for key, all := range s.results {
			runs += s.runs(key)
			for _, one := range all {
				outcomes[one.outcome]++
			}
		}
	}
	t.Logf("%d orders, %d ran; told: %v", seeds*clusterKeys, runs, outcomes)
	assert.Assert(t, runs > 0 && len(outcomes) == 3)
}

// Checks that check detects an order that runs twice. The action is not marked
// as non-idempotent, so each repeat is sent.
func TestWholePathCheckFindsOrderRunTwice(t *testing.T) {
	assert.ErrorContains(t, simulate(t, 1, false).check(), "times")
}
