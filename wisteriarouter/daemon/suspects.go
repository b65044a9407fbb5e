package daemon

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/do/v2"
	"github.com/samber/lo"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/membership"
	"wisteriaspool/coordination/outcome"
	"wisteriaspool/coordination/placement"
	"wisteriaspool/coordination/suspicion"
	"wisteriaspool/wisteriarouter/caller"
	"wisteriaspool/wisteriarouter/endpoint"
	"wisteriaspool/wisteriarouter/event"
	"wisteriaspool/wisteriarouter/peer"
)

// claimRenewInterval is the time between two renewals of the claims on suspected
// requests that run on this router. It fits twice into the shortest time after
// which a claim expires.
const claimRenewInterval = 25 * time.Second

// crashSuspicion connects the detection of requests that crash endpoints with the
// other routers. It implements [caller.SuspectTracker].
type crashSuspicion struct {
	node        *peer.Node
	gate        *suspicion.Gate
	guard       *suspicion.Guard
	placer      *placer
	log         event.Log
	liveRouters map[coordination.Instance]bool
	table       *suspicion.Table
	mu          sync.Mutex // guards endpoints
	endpoints   *placement.Set
}

func newCrashSuspicion(i do.Injector) (*crashSuspicion, error) {
	st := stateOf(i)
	node := do.MustInvoke[*peer.Node](i)
	var cfg suspicion.Config
	if configOf(i).Relay != nil {
		cfg = relaySuspicionConfig
	}
	table := suspicion.NewTable(cfg)
	s := &crashSuspicion{
		node:        node,
		gate:        suspicion.NewGate(table),
		table:       table,
		endpoints:   placement.NewSet(nil),
		placer:      do.MustInvoke[*placer](i),
		log:         logOf(i),
		liveRouters: make(map[coordination.Instance]bool),
	}
	s.guard = suspicion.NewGuard(st.instance, st.incarnation, s.gate, s.placer.detector, recordSpreader{node})
	hasSeeds := len(configOf(i).Peers.Seeds) > 0
	if hasSeeds {
		s.guard.BeginCatchUp()
	}
	node.Handle(suspicion.TopicGate, func(ctx context.Context, _ coordination.Instance, payload []byte) ([]byte, error) {
		return s.guard.HandleGate(ctx, payload)
	})
	node.Handle(suspicion.TopicRecords, func(_ context.Context, _ coordination.Instance, payload []byte) ([]byte, error) {
		return s.guard.HandleRecords(payload)
	})
	node.OnRumor(suspicion.TopicRecord, s.handleRecord)
	node.OnChange(s.membersChanged)
	s.placer.detector.Watch(s.updateGates)
	s.placer.observe(s.endpointsChanged)
	ctx, cancel := context.WithCancel(context.Background())
	go s.loop(ctx)
	go recordComparer{guard: s.guard, node: node, log: s.log}.loop(ctx)
	if hasSeeds {
		go (&catchUp{guard: s.guard, node: node, detector: s.placer.detector, log: s.log}).run(ctx)
	}
	onStop(i, cancel)
	return s, nil
}

// recordSpreader gossips suspicion records.
type recordSpreader struct {
	node *peer.Node
}

// Spread implements [suspicion.Spreader]. Records merge by union, so each can be
// gossiped under a key of its own, the digest of the record. The digest is written
// in hexadecimal because keys are text: a router that receives a key which is not
// valid UTF-8 treats the message as malformed and closes the connection, so that
// no verdict arrives and other calls on the connection fail as well.
func (s recordSpreader) Spread(topic string, payload []byte) {
	s.node.Broadcast(topic, strconv.FormatUint(xxhash.Sum64(payload), 16), 1, payload)
}

func (s *crashSuspicion) handleRecord(_ string, _ uint64, payload []byte) {
	// A record that cannot be decoded is dropped: records are soft state, and
	// the transport has already reported the message.
	_ = s.takeOver(payload)
}

// takeOver takes over a record of another router and logs it if it is new. The error is of
// type [suspicion.ErrMalformed].
func (s *crashSuspicion) takeOver(payload []byte) error {
	isNew, err := s.guard.HandleRecord(context.Background(), payload)
	if err != nil || !isNew {
		return err
	}
	r, err := suspicion.DecodeRecord(payload)
	if err != nil {
		return err
	}
	s.log.Emit(event.RequestSuspected, event.F("fingerprint", r.Fingerprint.String()), event.F("crashes", len(r.Crashes)))
	return nil
}

// endpointsChanged records the loss of endpoints that have left the list or
// restarted without announcing it. Otherwise a router that dropped an endpoint
// before any request of its own reached it would not know that it had crashed.
func (s *crashSuspicion) endpointsChanged(all []endpoint.Info) {
	next := placement.NewSet(lo.Map(all, func(k endpoint.Info, _ int) placement.Descriptor { return k.Descriptor }))
	s.mu.Lock()
	before := s.endpoints
	s.endpoints = next
	s.mu.Unlock()
	now := time.Now()
	for _, d := range next.LostSince(before) {
		s.table.RecordLoss(now, d.Pool, d.ID)
	}
}

// membersChanged reports routers that have died to the gate. This router may also
// have become the gate for fingerprints of another one.
func (s *crashSuspicion) membersChanged(members []membership.Member) {
	now := time.Now()
	live := make(map[coordination.Instance]bool, len(members))
	for _, m := range members {
		live[m.Instance] = true
	}
	for id := range s.liveRouters {
		if !live[id] {
			s.gate.InstanceDied(now, id)
		}
	}
	s.liveRouters = live
	s.updateGates()
}

// updateGates informs the guard that gates may have moved to other routers.
func (s *crashSuspicion) updateGates() { s.guard.Update(context.Background(), s.placer.fleet.owners()) }

func (s *crashSuspicion) loop(ctx context.Context) {
	t := time.NewTicker(claimRenewInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			s.guard.Renew(ctx)
		}
	}
}

// EndpointDied implements relay.SuspectTracker. An endpoint that has announced its end
// refuses connections as planned.
func (s *crashSuspicion) EndpointDied(e coordination.Endpoint, n coordination.Incarnation) {
	if s.placer.directory.HasLeft(e, n) {
		return
	}
	for _, f := range s.guard.EndpointDied(context.Background(), e, n) {
		s.log.Emit(event.RequestSuspected, event.F("fingerprint", f.String()), event.F("endpoint", e), event.F("late", true))
	}
}

// Track implements [caller.SuspectTracker].
func (s *crashSuspicion) Track(ctx context.Context, fingerprint uint64, p coordination.Pool) (caller.TrackedRequest, *outcome.Refusal) {
	t, refusal := s.track(ctx, fingerprint, p)
	if refusal != nil {
		return nil, refusal
	}
	return t, nil
}

func (s *crashSuspicion) track(ctx context.Context, fingerprint uint64, p coordination.Pool) (*requestTracker, *outcome.Refusal) {
	f, refusal := s.guard.Begin(ctx, suspicion.Fingerprint(fingerprint), p)
	if f == nil {
		return nil, s.newRefusal(refusal, fingerprint)
	}
	return &requestTracker{crashSuspicion: s, tracked: f, pool: p, fingerprint: fingerprint}, nil
}

// newRefusal converts a refusal of the guard into one for callers and logs
// convictions.
func (s *crashSuspicion) newRefusal(r suspicion.Refusal, fingerprint uint64) *outcome.Refusal {
	if !r.Poison {
		return &outcome.Refusal{
			Code:       outcome.Overloaded,
			Message:    "the same request runs elsewhere under suspicion of crashing endpoints",
			Outcome:    outcome.NotRun,
			RetryAfter: r.RetryAfter,
		}
	}
	s.log.Emit(event.RequestConvicted, event.F("fingerprint", suspicion.Fingerprint(fingerprint).String()))
	return &outcome.Refusal{
		Code:       outcome.Poison,
		Message:    "two endpoints died while they ran this request; it is refused everywhere",
		Outcome:    outcome.NotRun,
		RetryAfter: r.RetryAfter,
	}
}

// requestTracker implements [caller.TrackedRequest].
type requestTracker struct {
	*crashSuspicion
	tracked     *suspicion.TrackedRequest
	pool        coordination.Pool
	fingerprint uint64
}

func (t *requestTracker) Alone() bool { return t.tracked.Alone() }

func (t *requestTracker) Crashed(ctx context.Context, e coordination.Endpoint, n coordination.Incarnation) *outcome.Refusal {
	return t.crashed(ctx, suspicion.Loss{Pool: t.pool, Endpoint: e, Incarnation: n})
}

func (t *requestTracker) crashed(ctx context.Context, l suspicion.Loss) *outcome.Refusal {
	t.log.Emit(event.RequestSuspected, event.F("fingerprint", suspicion.Fingerprint(t.fingerprint).String()), event.F("endpoint", l.Endpoint))
	return t.toRefusal(t.tracked.EndpointCrashed(ctx, l))
}

func (t *requestTracker) FoundDead(ctx context.Context, e coordination.Endpoint) *outcome.Refusal {
	return t.toRefusal(t.tracked.EndpointFoundDead(ctx, t.pool, e))
}

// toRefusal converts the guard's decision into a refusal, or nil if the request
// may proceed.
func (t *requestTracker) toRefusal(r suspicion.Refusal, proceed bool) *outcome.Refusal {
	if proceed {
		return nil
	}
	return t.newRefusal(r, t.fingerprint)
}

func (t *requestTracker) End(finished bool) {
	ctx := context.Background()
	if finished {
		t.tracked.Finished(ctx)
		return
	}
	t.tracked.Abandoned(ctx)
}
