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
	*sharedGuard              // of whole requests
	parts        *sharedGuard // of parts of prompts; nil if requests have none
	placer       *placer
	liveRouters  map[coordination.Instance]bool
	mu           sync.Mutex // guards endpoints
	endpoints    *placement.Set
}

func newCrashSuspicion(i do.Injector) (*crashSuspicion, error) {
	node := do.MustInvoke[*peer.Node](i)
	s := &crashSuspicion{
		endpoints:   placement.NewSet(nil),
		placer:      do.MustInvoke[*placer](i),
		liveRouters: make(map[coordination.Instance]bool),
	}
	var cfg suspicion.Config
	if configOf(i).Relay != nil {
		cfg = relaySuspicionConfig
		s.parts = newSharedGuard(i, partSuspicionConfig, nil)
		s.parts.guard.OnState(s.parts.logPart)
	}
	s.sharedGuard = newSharedGuard(i, cfg, s.parts)
	node.OnChange(s.membersChanged)
	s.placer.detector.Watch(s.updateGates)
	s.placer.observe(s.endpointsChanged)
	ctx, cancel := context.WithCancel(context.Background())
	go s.loop(ctx)
	onStop(i, cancel)
	return s, nil
}

// guards returns the guards of all that crashes count against.
func (s *crashSuspicion) guards() []*sharedGuard {
	return lo.Compact([]*sharedGuard{s.sharedGuard, s.parts})
}

// sharedGuard is a guard whose records all routers of the fleet share.
type sharedGuard struct {
	node  *peer.Node
	gate  *suspicion.Gate
	guard *suspicion.Guard
	table *suspicion.Table
	log   event.Log
}

// newSharedGuard creates the guard of one kind of fingerprints. Crashes that a convicted
// fingerprint of another guard explains do not count, if other is not nil.
func newSharedGuard(i do.Injector, cfg suspicion.Config, other *sharedGuard) *sharedGuard {
	st, node, detector := stateOf(i), do.MustInvoke[*peer.Node](i), do.MustInvoke[*peer.FailureDetector](i)
	table := suspicion.NewTable(cfg)
	if other != nil {
		table.ExplainedBy(other.table)
	}
	s := &sharedGuard{node: node, table: table, gate: suspicion.NewGate(table), log: logOf(i)}
	s.guard = suspicion.NewGuard(st.instance, st.incarnation, s.gate, detector, recordSpreader{node})
	hasSeeds := len(configOf(i).Peers.Seeds) > 0
	if hasSeeds {
		s.guard.BeginCatchUp()
	}
	topics := cfg.Topics()
	node.Handle(topics.Gate, func(ctx context.Context, _ coordination.Instance, payload []byte) ([]byte, error) {
		return s.guard.HandleGate(ctx, payload)
	})
	node.Handle(topics.Records, func(_ context.Context, _ coordination.Instance, payload []byte) ([]byte, error) {
		return s.guard.HandleRecords(payload)
	})
	node.OnRumor(topics.Record, s.handleRecord)
	ctx, cancel := context.WithCancel(context.Background())
	go recordComparer{guard: s.guard, node: node, log: s.log}.loop(ctx)
	if hasSeeds {
		go (&catchUp{guard: s.guard, node: node, detector: detector, log: s.log}).run(ctx)
	}
	onStop(i, cancel)
	return s
}

// logPart logs that requests with a part of prompts are refused, or served again.
func (s *sharedGuard) logPart(r suspicion.Record, before, after suspicion.State) {
	kind := event.PartCleared
	switch {
	case after == suspicion.Convicted:
		kind = event.PartConvicted
	case after == suspicion.Exempt:
		kind = event.PartExempt
	case before != suspicion.Convicted && before != suspicion.Exempt:
		return
	}
	s.log.Emit(kind, event.F("part", r.Fingerprint.String()), event.F("pool", r.Pool), event.F("crashes", len(r.Crashes)), event.F("trials", r.Trials))
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

func (s *sharedGuard) handleRecord(_ string, _ uint64, payload []byte) {
	// A record that cannot be decoded is dropped: records are soft state, and
	// the transport has already reported the message.
	_ = s.takeOver(payload)
}

// takeOver takes over a record of another router and logs it if it is new. The error is of
// type [suspicion.ErrMalformed].
func (s *sharedGuard) takeOver(payload []byte) error {
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
			for _, g := range s.guards() {
				g.gate.InstanceDied(now, id)
			}
		}
	}
	s.liveRouters = live
	s.updateGates()
}

// updateGates informs the guards that gates may have moved to other routers.
func (s *crashSuspicion) updateGates() {
	for _, g := range s.guards() {
		g.guard.Update(context.Background(), s.placer.fleet.owners())
	}
}

func (s *crashSuspicion) loop(ctx context.Context) {
	t := time.NewTicker(claimRenewInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			for _, g := range s.guards() {
				g.guard.Renew(ctx)
			}
		}
	}
}

// EndpointDied implements relay.SuspectTracker. An endpoint that has announced its end
// refuses connections as planned.
func (s *crashSuspicion) EndpointDied(e coordination.Endpoint, n coordination.Incarnation) {
	if s.placer.directory.HasLeft(e, n) {
		return
	}
	for _, g := range s.guards() {
		for _, f := range g.guard.EndpointDied(context.Background(), e, n) {
			s.log.Emit(event.RequestSuspected, event.F("fingerprint", f.String()), event.F("endpoint", e), event.F("late", true))
		}
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

// newPartRefusal converts a refusal for a part of a prompt into one for callers.
func (s *crashSuspicion) newPartRefusal(r suspicion.Refusal, part suspicion.Fingerprint) *outcome.Refusal {
	refusal := &outcome.Refusal{
		Code:       outcome.Overloaded,
		Message:    "another request with part " + part.String() + " of its prompt runs elsewhere under suspicion of crashing endpoints",
		Outcome:    outcome.NotRun,
		RetryAfter: r.RetryAfter,
	}
	if r.Poison {
		refusal.Code, refusal.Message = outcome.Poison, "endpoints died while they ran requests with part "+part.String()+" of its prompt; such requests are refused everywhere"
	}
	return refusal
}

// partRefusal is newPartRefusal, or nil if the request may proceed.
func (s *crashSuspicion) partRefusal(r suspicion.Refusal, part suspicion.Fingerprint, proceed bool) *outcome.Refusal {
	if proceed {
		return nil
	}
	return s.newPartRefusal(r, part)
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
