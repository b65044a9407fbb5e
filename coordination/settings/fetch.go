package settings

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/samber/lo"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/kv"
)

const (
	maxFetches  = 4 // values that a router asks for at a time
	maxAttempts = 40
	peerTimeout = time.Second
	fetchPause  = 100 * time.Millisecond
	smallFleet  = 8                // routers that may all ask the origin
	spreadEach  = time.Millisecond // spread of the first questions, per router
	spreadMost  = 600 * time.Millisecond

	loadPeers       = 3
	loadPause       = 250 * time.Millisecond
	watcherPatience = time.Second     // with peers, before a watcher asks the platform
	loadPatience    = 4 * time.Second // the same for the others
	awaitValues     = 2 * time.Second
)

// fetch gets one value from peers.
type fetch struct {
	s      *Sync
	team   coordination.Team
	origin coordination.Instance
}

// want starts to fetch a value that the replica lacks, unless a fetch for the
// team is under way, which then goes on to the later position.
func (s *Sync) want(team coordination.Team, p Position, origin coordination.Instance) {
	if s.holds(team, p) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil {
		return
	}
	before, running := s.wanted[team]
	if !running || before.Before(p) {
		s.wanted[team] = p
	}
	if running {
		return
	}
	s.group.Add(1)
	go (&fetch{s: s, team: team, origin: origin}).run()
}

// holds reports whether the replica has p of team, or later, or has refused a
// value that is no earlier.
func (s *Sync) holds(team coordination.Team, p Position) bool {
	in, ok := s.replica.Snapshot(team)
	if ok && !in.Position.Before(p) {
		return true
	}
	return s.replica.refusedAt(team) == p.Revision
}

// refusedAt returns the revision of the value of team that was refused, or
// zero.
func (r *Replica) refusedAt(team coordination.Team) kv.Revision {
	r.mu.RLock()
	defer r.mu.RUnlock()
	st, ok := r.teams[team]
	if !ok || st.refused == nil {
		return 0
	}
	return st.refused.Revision
}

// run asks peers until the replica has what is wanted. At first it asks any
// router, so that the value spreads over the fleet as the rumour did; only
// then the origin, which alone is sure to have it.
func (f *fetch) run() {
	defer f.s.group.Done()
	defer f.done()
	members := len(f.s.peers.Members())
	if !coordination.Sleep(f.s.ctx, coordination.Jitter(min(time.Duration(max(members, 1))*spreadEach, spreadMost))) {
		return
	}
	for attempt := range maxAttempts {
		p := f.position()
		if f.s.holds(f.team, p) {
			return
		}
		f.ask(f.peer(attempt, members), p)
		if f.s.holds(f.team, f.position()) {
			return
		}
		if !coordination.Sleep(f.s.ctx, coordination.Jitter(fetchPause)) {
			return
		}
	}
}

func (f *fetch) position() Position {
	f.s.mu.Lock()
	defer f.s.mu.Unlock()
	return f.s.wanted[f.team]
}

func (f *fetch) done() {
	f.s.mu.Lock()
	defer f.s.mu.Unlock()
	delete(f.s.wanted, f.team)
}

// peer chooses whom to ask.
func (f *fetch) peer(attempt, members int) coordination.Instance {
	small := members <= smallFleet
	if f.origin != f.s.cfg.Self && (small && attempt%2 == 0 || !small && attempt%3 == 2) {
		return f.origin
	}
	others := f.s.others()
	if len(others) == 0 {
		return f.origin
	}
	near := lo.Filter(others, func(m Member, _ int) bool { return m.Zone == f.s.cfg.Zone })
	if attempt%2 == 0 && len(near) > 0 {
		return lo.Sample(near).Instance
	}
	return lo.Sample(others).Instance
}

// ask asks one peer and offers its answer to the replica.
func (f *fetch) ask(peer coordination.Instance, p Position) {
	select {
	case f.s.calls <- struct{}{}:
		defer func() { <-f.s.calls }()
	case <-f.s.ctx.Done():
		return
	}
	f.s.count(func(st *Stats) { st.Fetches++ })
	var a valueAnswer
	if !f.s.call(peer, topicValue, encode(valueRequest{Team: f.team, From: p}), &a) || !a.Found {
		return
	}
	f.s.replica.Offer(f.team, kv.Pair{Key: Key(f.team), Value: a.Data, Revision: a.Revision})
}

// call asks a peer and reports whether it answered well.
func (s *Sync) call(peer coordination.Instance, topic string, request []byte, answer any) bool {
	ctx, cancel := context.WithTimeout(s.ctx, peerTimeout)
	defer cancel()
	data, err := s.peers.Call(ctx, peer, topic, request)
	return err == nil && cbor.Unmarshal(data, answer) == nil
}

func (s *Sync) others() []Member {
	return lo.Filter(s.peers.Members(), func(m Member, _ int) bool { return m.Instance != s.cfg.Self })
}

// index asks a peer what it has in force and wants what the replica lacks.
func (s *Sync) index(peer coordination.Instance) (a indexAnswer, ok bool) {
	s.count(func(st *Stats) { st.Indexes++ })
	if !s.call(peer, topicIndex, nil, &a) {
		return a, false
	}
	for _, e := range a.Teams {
		if ValidTeam(e.Team) {
			s.want(e.Team, e.Position, peer)
		}
	}
	return a, true
}

// checkDrift asks the router that confirmed last what it has in force, if its
// settings have differed from ours for longer than a change takes to spread.
// It mends what a lost rumour left behind.
func (s *Sync) checkDrift() {
	own := s.replica.Fingerprint()
	s.mu.Lock()
	now := time.Now()
	c := s.fresh
	if c.Origin == "" || c.Origin == s.cfg.Self || c.Fingerprint == own || !s.loaded {
		s.driftAt = time.Time{}
		s.mu.Unlock()
		return
	}
	if s.driftAt.IsZero() {
		s.driftAt = now
	}
	if c.Fingerprint != s.indexFor {
		s.indexAt = time.Time{}
	}
	due := now.Sub(s.driftAt) >= driftAfter && !now.Before(s.indexAt) && len(s.wanted) == 0
	if due {
		s.indexFor = c.Fingerprint
		s.indexAt = now.Add(driftPause + rand.N(driftPause))
	}
	s.mu.Unlock()
	if due {
		s.index(c.Origin)
	}
}

// loader gets the settings that a new router starts from.
type loader struct{ s *Sync }

// run loads from peers, and from the platform if no peer has them. Peers come
// first: they know of accepted changes that the platform may have lost to
// somebody who put an old value back, and they answer during an outage. Those
// that are to watch give up on peers before the others do, so that a fleet
// that starts as a whole does not ask the platform all at once.
func (l *loader) run() {
	defer l.s.group.Done()
	start := time.Now()
	for !l.fromPeers() && !l.fromPlatform(time.Since(start)) {
		if !coordination.Sleep(l.s.ctx, coordination.Jitter(loadPause)) {
			return
		}
	}
	l.s.setReady()
}

func (l *loader) fromPlatform(waited time.Duration) bool {
	patience := loadPatience
	if l.s.isWatcher() {
		patience = watcherPatience
	}
	if waited < patience {
		return false
	}
	_, ok := l.s.list(l.s.ctx)
	return ok
}

// fromPeers asks a few peers. It reports whether one of them had loaded its
// settings and all of these have come.
func (l *loader) fromPeers() bool {
	loaded := false
	for _, m := range lo.Samples(l.s.others(), loadPeers) {
		a, ok := l.s.index(m.Instance)
		if !ok || !a.Loaded || !l.await(a.Teams) {
			continue
		}
		loaded = true
		l.s.takeAge(a.Age)
	}
	return loaded
}

// takeAge takes over when a peer last saw the platform confirm.
func (s *Sync) takeAge(milliseconds int64) {
	if milliseconds < 0 {
		return
	}
	at := time.Now().Add(-time.Duration(milliseconds) * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	if at.After(s.freshAt) {
		s.freshAt = at
	}
}

// await waits until the replica holds all of teams, or gives up.
func (l *loader) await(teams []indexEntry) bool {
	deadline := time.Now().Add(awaitValues)
	for time.Now().Before(deadline) {
		if lo.EveryBy(teams, func(e indexEntry) bool { return l.s.holds(e.Team, e.Position) }) {
			return true
		}
		if !coordination.Sleep(l.s.ctx, coordination.Jitter(fetchPause/2)) {
			return false
		}
	}
	return false
}
