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

// renewInterval is the time between two renewals of the claims on suspects
// that run here; twice in the least time after which a claim lapses.
const renewInterval = 25 * time.Second

// suspects joins the decisions on crashing requests with the other routers.
type suspects struct {
	node  *peer.Node
	gate  *suspicion.Gate
	guard *suspicion.Guard
	place *placing
	log   event.Log
	known map[coordination.Instance]bool
	table *suspicion.Table
	mu    sync.Mutex // guards set
	set   *placement.Set
}

func newSuspects(i do.Injector) (*suspects, error) {
	st := stateOf(i)
	node := do.MustInvoke[*peer.Node](i)
	var cfg suspicion.Config
	if settingsOf(i).Relay != nil {
		cfg = relaySuspicion
	}
	table := suspicion.NewTable(cfg)
	s := &suspects{
		node:  node,
		gate:  suspicion.NewGate(table),
		table: table,
		set:   placement.NewSet(nil),
		place: do.MustInvoke[*placing](i),
		log:   logOf(i),
		known: make(map[coordination.Instance]bool),
	}
	s.guard = suspicion.NewGuard(st.instance, st.incarnation, s.gate, s.place.reach, spreader{node})
	node.Handle(suspicion.TopicGate, func(ctx context.Context, _ coordination.Instance, payload []byte) ([]byte, error) {
		return s.guard.HandleGate(ctx, payload)
	})
	node.OnRumor(suspicion.TopicRecord, s.hear)
	node.OnChange(s.members)
	s.place.reach.Watch(s.moved)
	s.place.observe(s.lists)
	ctx, cancel := context.WithCancel(context.Background())
	go s.loop(ctx)
	onStop(i, cancel)
	return s, nil
}

// spreader spreads records as rumours.
type spreader struct {
	node *peer.Node
}

// Spread implements suspicion.Spreader. Records merge by union, so that each
// may be a rumour of its own; the key is the record's digest. It is written in
// hexadecimal: keys are text, and a router that is sent one which is not UTF-8
// takes the message for malformed and closes the connection, so that verdicts
// reach nobody and calls between routers fail beside them.
func (s spreader) Spread(topic string, payload []byte) {
	s.node.Broadcast(topic, strconv.FormatUint(xxhash.Sum64(payload), 16), 1, payload)
}

func (s *suspects) hear(_ string, _ uint64, payload []byte) {
	// A record that cannot be read is dropped: it is soft state, and the
	// transport has already reported what it could not decode.
	if news, err := s.guard.HandleRecord(context.Background(), payload); err == nil && news {
		if r, err := suspicion.DecodeRecord(payload); err == nil {
			s.log.Emit(event.RequestSuspected, event.F("fingerprint", r.Fingerprint.String()), event.F("crashes", len(r.Crashes)))
		}
	}
}

// lists tells of endpoints that have gone from the list or restarted without
// having said so. A router that has dropped an endpoint before any request of
// its own met it there would otherwise not know that something took it.
func (s *suspects) lists(all []endpoint.Info) {
	next := placement.NewSet(lo.Map(all, func(k endpoint.Info, _ int) placement.Descriptor { return k.Descriptor }))
	s.mu.Lock()
	before := s.set
	s.set = next
	s.mu.Unlock()
	now := time.Now()
	for _, d := range next.LostSince(before) {
		s.table.RecordLoss(now, d.Pool, d.ID)
	}
}

// members tells the gate of routers that have gone, and that it may have got
// fingerprints of another one.
func (s *suspects) members(members []membership.Member) {
	now := time.Now()
	live := make(map[coordination.Instance]bool, len(members))
	for _, m := range members {
		live[m.Instance] = true
	}
	for id := range s.known {
		if !live[id] {
			s.gate.InstanceDied(now, id)
		}
	}
	s.known = live
	s.moved()
}

// moved tells the guard that gates may have moved to other routers.
func (s *suspects) moved() { s.guard.Update(context.Background(), s.place.fleet.owners()) }

func (s *suspects) loop(ctx context.Context) {
	t := time.NewTicker(renewInterval)
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

// Follow implements caller.Suspects.
func (s *suspects) Follow(ctx context.Context, fingerprint uint64, p coordination.Pool) (caller.Trail, *outcome.Refusal) {
	f, refusal := s.guard.Begin(ctx, suspicion.Fingerprint(fingerprint), p)
	if f == nil {
		return nil, s.refuse(refusal, fingerprint)
	}
	return &trail{suspects: s, follow: f, pool: p, fingerprint: fingerprint}, nil
}

// refuse words a refusal for callers.
func (s *suspects) refuse(r suspicion.Refusal, fingerprint uint64) *outcome.Refusal {
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

// trail implements caller.Trail.
type trail struct {
	*suspects
	follow      *suspicion.TrackedRequest
	pool        coordination.Pool
	fingerprint uint64
}

func (t *trail) Alone() bool { return t.follow.Alone() }

func (t *trail) Crashed(ctx context.Context, e coordination.Endpoint, n coordination.Incarnation) *outcome.Refusal {
	t.log.Emit(event.RequestSuspected, event.F("fingerprint", suspicion.Fingerprint(t.fingerprint).String()), event.F("endpoint", e))
	return t.result(t.follow.EndpointCrashed(ctx, t.pool, e, n))
}

func (t *trail) FoundDead(ctx context.Context, e coordination.Endpoint) *outcome.Refusal {
	return t.result(t.follow.EndpointFoundDead(ctx, t.pool, e))
}

// result turns the guard's word into a refusal, or nil if the request may go on.
func (t *trail) result(r suspicion.Refusal, goOn bool) *outcome.Refusal {
	if goOn {
		return nil
	}
	return t.refuse(r, t.fingerprint)
}

func (t *trail) End(finished bool) {
	ctx := context.Background()
	if finished {
		t.follow.Finished(ctx)
		return
	}
	t.follow.Abandoned(ctx)
}
