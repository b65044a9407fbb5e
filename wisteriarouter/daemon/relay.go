package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/do/v2"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/memory"
	"wisteriaspool/coordination/mirror"
	"wisteriaspool/coordination/outcome"
	"wisteriaspool/coordination/suspicion"
	"wisteriaspool/platform"
	"wisteriaspool/wisteriarouter/peer"
	"wisteriaspool/wisteriarouter/relay"
	"wisteriaspool/wisteriarouter/upstream"
)

// provideRelay registers the constructors of a router that relays plain HTTP on
// a platform whose store holds the desired state and the endpoints.
func provideRelay(i do.Injector) {
	provideShared(i)
	do.Provide(i, newStore)
	do.Provide(i, newMirror)
	do.ProvideValue(i, new(mirror.CallLog))
	do.Provide(i, newFeed)
	do.Provide(i, newRecentRouters)
	do.Provide(i, newStoreDirectory)
	do.Provide(i, newEntryTracker)
	do.Provide(i, newRelayBasePlacer)
	do.Provide(i, newConvictions)
	do.Provide(i, newVersionHistory)
	do.Provide(i, newOrigins)
	do.Provide(i, newKeyUse)
	do.Provide(i, newDesiredState)
	do.Provide(i, newRelayPlacer)
	do.Provide(i, newPoolRetries)
	do.Provide(i, newMemoryBudget)
	do.Provide(i, newDetour)
	do.Provide(i, newTunnelServer)
	do.Provide(i, newSender)
	do.Provide(i, newRelay)
	do.Provide(i, newRelayServers)
}

// newSender creates the client that sends requests to endpoints.
func newSender(i do.Injector) (*upstream.Client, error) {
	m := newDialMetrics(do.MustInvoke[*prometheus.Registry](i))
	d := do.MustInvoke[*upstream.Detour](i)
	c, cleanup := upstream.NewClient(upstream.Config{Detour: d, DialTimeout: dialTimeout, OnDial: m})
	d.OnBlocked = blockedEndpoints{planner: d.Planner, sender: c, log: logOf(i)}.record
	onStop(i, cleanup)
	return c, nil
}

// dialTimeout limits connecting to an endpoint. Connecting takes 7 ms between
// availability zones. A lost first packet is retransmitted after 1 s, by which
// time another endpoint has long answered.
const dialTimeout = 400 * time.Millisecond

func newRelay(i do.Injector) (*relay.Server, error) {
	return &relay.Server{
		Desired:         do.MustInvoke[*desiredState](i),
		Placer:          do.MustInvoke[*relayPlacer](i),
		Sender:          do.MustInvoke[*upstream.Client](i),
		Retries:         do.MustInvoke[*poolRetries](i),
		Origins:         do.MustInvoke[*origins](i),
		Suspects:        relaySuspectTracker{do.MustInvoke[*crashSuspicion](i)},
		Log:             logOf(i),
		Metrics:         relay.NewMetrics(do.MustInvoke[*prometheus.Registry](i)),
		Memory:          do.MustInvoke[*memory.Budget](i),
		Stopping:        stateOf(i).leaving.Load,
		ShutdownIn:      stateOf(i).remaining,
		ShutdownContext: stateOf(i).drainCtx,
	}, nil
}

// newMemoryBudget creates the budget of what requests hold: two fifths of the memory of
// the process. The others are for what it knows of the fleet, for connections, and for
// garbage until it is collected.
func newMemoryBudget(i do.Injector) (*memory.Budget, error) {
	return memory.NewBudget(memory.Bytes(configOf(i).Limits.Memory) * 2 / 5), nil
}

// relaySuspectTracker implements relay.SuspectTracker.
type relaySuspectTracker struct{ *crashSuspicion }

// Track implements relay.SuspectTracker.
func (s relaySuspectTracker) Track(ctx context.Context, x relay.Suspect, p coordination.Pool) (relay.TrackedRequest, *outcome.Refusal) {
	prompt, refusal, part := s.parts.guard.BeginPrompt(ctx, x.Parts, p)
	if prompt == nil {
		return nil, s.newPartRefusal(refusal, part)
	}
	t, refused := s.track(ctx, uint64(x.Request), p)
	if refused != nil {
		prompt.Abandoned(context.WithoutCancel(ctx))
		return nil, refused
	}
	return relayTrackedRequest{requestTracker: t, prompt: prompt}, nil
}

// relayTrackedRequest implements relay.TrackedRequest.
type relayTrackedRequest struct {
	*requestTracker
	prompt *suspicion.TrackedPrompt
}

func (t relayTrackedRequest) loss(p relay.Placement) suspicion.Loss {
	return suspicion.Loss{Pool: t.pool, Endpoint: p.Endpoint, Incarnation: p.Incarnation, Cold: p.Cold}
}

// Alone implements relay.TrackedRequest.
func (t relayTrackedRequest) Alone() bool { return t.prompt.Alone() || t.requestTracker.Alone() }

// Answering implements relay.TrackedRequest.
func (t relayTrackedRequest) Answering() { t.prompt.Answering() }

// Crashed implements relay.TrackedRequest. The crash counts against the parts at once, and
// against the request as a whole before any of them has to wait.
func (t relayTrackedRequest) Crashed(ctx context.Context, p relay.Placement, answering bool) *outcome.Refusal {
	if !answering {
		if refusal, part, ok := t.prompt.RecordCrash(ctx, t.loss(p)); !ok {
			return t.newPartRefusal(refusal, part)
		}
	}
	if refusal := t.crashed(ctx, t.loss(p)); refusal != nil {
		return refusal
	}
	refusal, part, ok := t.prompt.Enter(ctx)
	return t.partRefusal(refusal, part, ok)
}

// Unsettled implements relay.TrackedRequest.
func (t relayTrackedRequest) Unsettled(p relay.Placement, answering bool) {
	if !answering {
		t.prompt.AttemptUnsettled(t.loss(p))
	}
	t.tracked.AttemptUnsettled(t.loss(p))
}

// Convicted implements relay.TrackedRequest.
func (t relayTrackedRequest) Convicted() *outcome.Refusal {
	if refusal, part, convicted := t.prompt.Convicted(); convicted {
		return t.newPartRefusal(refusal, part)
	}
	refusal, convicted := t.tracked.Convicted()
	return t.toRefusal(refusal, !convicted)
}

// LatelyCompleted implements relay.TrackedRequest.
func (t relayTrackedRequest) LatelyCompleted() bool { return t.tracked.LatelyCompleted() }

// End implements relay.TrackedRequest.
func (t relayTrackedRequest) End(finished, succeeded bool) {
	if succeeded {
		t.prompt.Finished(context.Background())
	} else {
		t.prompt.Abandoned(context.Background())
	}
	t.requestTracker.End(finished)
}

// relaySuspicionConfig configures suspicion for endpoints that crash and return
// within seconds: a suspect request waits no longer than a rumor takes to reach
// the whole fleet, and the other requests of its pool are not delayed.
var relaySuspicionConfig = suspicion.Config{Hold: 200 * time.Millisecond, LossWindow: time.Millisecond}

// partSuspicionConfig configures suspicion of parts of prompts.
var partSuspicionConfig = suspicion.Config{Parts: true}

// newRelayServers starts the listeners of a relaying router.
func newRelayServers(i do.Injector) (*servers, error) {
	cfg := newServerConfig(i)
	bound := do.MustInvoke[*listeners](i)
	node := do.MustInvoke[*peer.Node](i)
	do.MustInvoke[*prometheus.Registry](i).MustRegister(&relayCollector{
		desired: do.MustInvoke[*desiredState](i),
		placer:  do.MustInvoke[*placer](i),
		retries: do.MustInvoke[*poolRetries](i),
		memory:  do.MustInvoke[*memory.Budget](i),
	})
	s := &servers{node: node, tunnels: do.MustInvoke[*peer.TunnelServer](i), log: logOf(i), failed: make(chan struct{})}
	s.peers = newServer(bound.peers, relayPeerHandler(i), cfg, s.fail)
	s.operators = newServer(bound.operators, metricsHandler(i), cfg, s.fail)
	s.readiness = newServer(bound.readiness, readinessHandler(stateOf(i)), cfg, s.fail)
	s.callers = newServer(bound.callers, do.MustInvoke[*relay.Server](i), cfg, s.fail)
	stateOf(i).inFlight = s.callers.Active
	onStop(i, s.close)
	onStop(i, do.MustInvoke[*origins](i).handOver)
	for _, each := range s.all() {
		go each.run()
	}
	ctx, cancel := context.WithCancel(context.Background())
	onStop(i, cancel)
	go relayReadiness{
		readiness: readiness{
			state:    stateOf(i),
			settings: do.MustInvoke[*desiredState](i).ready,
			node:     node,
			suspects: do.MustInvoke[*crashSuspicion](i),
			log:      s.log,
		},
		entries: do.MustInvoke[*mirror.Mirror](i),
		asked:   do.MustInvoke[*desiredState](i).asked,
	}.run(ctx)
	return s, nil
}

// relayReadiness marks the router ready once it has a desired state, has read the
// list of endpoints and has asked other routers whether they know of later ones.
type relayReadiness struct {
	readiness
	entries *mirror.Mirror
	asked   <-chan struct{}
}

func (r relayReadiness) run(ctx context.Context) {
	r.entries.Wait(ctx, 0, nil)
	select {
	case <-ctx.Done():
		return
	case <-r.asked:
	}
	r.readiness.run(ctx)
}

func readinessHandler(st *state) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !st.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}
