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
	maxConcurrentFetches = 4 // values that a router fetches at a time
	maxFetchAttempts     = 40
	peerCallTimeout      = time.Second
	fetchRetryInterval   = 100 * time.Millisecond
	smallFleetSize       = 8                // largest fleet in which all routers may ask the origin first
	fetchJitterPerRouter = time.Millisecond // largest random delay before the first request, per router in the fleet
	maxFetchJitter       = 600 * time.Millisecond

	loadPeerCount      = 3
	loadRetryInterval  = 250 * time.Millisecond
	watcherPeerWait    = time.Second     // time for which a starting watcher tries peers only
	nonWatcherPeerWait = 4 * time.Second // the same for other routers
	loadValuesTimeout  = 2 * time.Second
)

// fetcher fetches the current value of one team from peers.
type fetcher struct {
	s      *Sync
	team   coordination.Team
	origin coordination.Instance
}

// requestValue starts a fetch if the replica has nothing at p or later for team.
// If a fetch for the team is running, it raises that fetch's target instead.
func (s *Sync) requestValue(team coordination.Team, p Position, origin coordination.Instance) {
	if s.hasOrRefused(team, p) {
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
	go (&fetcher{s: s, team: team, origin: origin}).run()
}

// hasOrRefused reports whether the replica has a value of team at p or later, or
// has refused the value at p's revision.
func (s *Sync) hasOrRefused(team coordination.Team, p Position) bool {
	snapshot, ok := s.replica.Snapshot(team)
	if ok && !snapshot.Position.Before(p) {
		return true
	}
	return s.replica.refusedRevision(team) == p.Revision
}

// refusedRevision returns the revision of the last refused value of team, or zero.
func (r *Replica) refusedRevision(team coordination.Team) kv.Revision {
	r.mu.RLock()
	defer r.mu.RUnlock()
	st, ok := r.teams[team]
	if !ok || st.refused == nil {
		return 0
	}
	return st.refused.Revision
}

// run asks peers until the replica has the target. In a large fleet it asks
// random routers first, so that the load of serving the value spreads with the
// gossip, and only then the origin, the one router certain to have the value.
func (f *fetcher) run() {
	defer f.s.group.Done()
	defer f.done()
	members := len(f.s.peers.Members())
	if !coordination.Sleep(f.s.ctx, coordination.Jitter(min(time.Duration(max(members, 1))*fetchJitterPerRouter, maxFetchJitter))) {
		return
	}
	for attempt := range maxFetchAttempts {
		p := f.target()
		if f.s.hasOrRefused(f.team, p) {
			return
		}
		f.fetchFrom(f.choosePeer(attempt, members), p)
		if f.s.hasOrRefused(f.team, f.target()) {
			return
		}
		if !coordination.Sleep(f.s.ctx, coordination.Jitter(fetchRetryInterval)) {
			return
		}
	}
}

func (f *fetcher) target() Position {
	f.s.mu.Lock()
	defer f.s.mu.Unlock()
	return f.s.wanted[f.team]
}

func (f *fetcher) done() {
	f.s.mu.Lock()
	defer f.s.mu.Unlock()
	delete(f.s.wanted, f.team)
}

// choosePeer returns the peer to ask in the given attempt. Every second choice
// among other routers prefers the own availability zone.
func (f *fetcher) choosePeer(attempt, members int) coordination.Instance {
	small := members <= smallFleetSize
	if f.origin != f.s.cfg.Self && (small && attempt%2 == 0 || !small && attempt%3 == 2) {
		return f.origin
	}
	others := f.s.otherMembers()
	if len(others) == 0 {
		return f.origin
	}
	sameZone := lo.Filter(others, func(m Member, _ int) bool { return m.Zone == f.s.cfg.Zone })
	if attempt%2 == 0 && len(sameZone) > 0 {
		return lo.Sample(sameZone).Instance
	}
	return lo.Sample(others).Instance
}

// fetchFrom requests the value from peer and offers the response to the replica.
func (f *fetcher) fetchFrom(peer coordination.Instance, p Position) {
	select {
	case f.s.fetchSlots <- struct{}{}:
		defer func() { <-f.s.fetchSlots }()
	case <-f.s.ctx.Done():
		return
	}
	f.s.count(func(st *Stats) { st.Fetches++ })
	var a valueAnswer
	if !f.s.callPeer(peer, topicValue, encode(valueRequest{Team: f.team, From: p}), &a) || !a.Found {
		return
	}
	f.s.replica.Offer(f.team, kv.Pair{Key: Key(f.team), Value: a.Data, Revision: a.Revision})
}

// callPeer calls a peer, decodes its response into answer and reports whether
// both succeeded.
func (s *Sync) callPeer(peer coordination.Instance, topic string, request []byte, answer any) bool {
	ctx, cancel := context.WithTimeout(s.ctx, peerCallTimeout)
	defer cancel()
	data, err := s.peers.Call(ctx, peer, topic, request)
	return err == nil && cbor.Unmarshal(data, answer) == nil
}

func (s *Sync) otherMembers() []Member {
	return lo.Filter(s.peers.Members(), func(m Member, _ int) bool { return m.Instance != s.cfg.Self })
}

// queryIndex asks a peer for the positions it has in force and starts to fetch
// the values that the replica lacks.
func (s *Sync) queryIndex(peer coordination.Instance) (a indexAnswer, ok bool) {
	s.count(func(st *Stats) { st.Indexes++ })
	if !s.callPeer(peer, topicIndex, nil, &a) {
		return a, false
	}
	for _, e := range a.Teams {
		if ValidTeam(e.Team) {
			s.requestValue(e.Team, e.Position, peer)
		}
	}
	return a, true
}

// checkDrift queries the index of the router that confirmed last if its settings
// have differed from those of this router for longer than a change takes to
// spread. It recovers changes whose rumor was lost.
func (s *Sync) checkDrift() {
	own := s.replica.Fingerprint()
	s.mu.Lock()
	now := time.Now()
	c := s.lastConfirmation
	if c.Origin == "" || c.Origin == s.cfg.Self || c.Fingerprint == own || !s.loaded {
		s.driftSince = time.Time{}
		s.mu.Unlock()
		return
	}
	if s.driftSince.IsZero() {
		s.driftSince = now
	}
	if c.Fingerprint != s.indexedFingerprint {
		s.nextIndexAt = time.Time{}
	}
	due := now.Sub(s.driftSince) >= driftThreshold && !now.Before(s.nextIndexAt) && len(s.wanted) == 0
	if due {
		s.indexedFingerprint = c.Fingerprint
		s.nextIndexAt = now.Add(driftQueryInterval + rand.N(driftQueryInterval))
	}
	s.mu.Unlock()
	if due {
		s.queryIndex(c.Origin)
	}
}

// loader loads the initial settings of a router.
type loader struct{ s *Sync }

// run loads the settings from peers, or from the platform if no peer has them.
// Peers come first because they know accepted changes that are lost in the
// platform if an old value was restored there, and because they respond during
// an outage. Watchers fall back to the platform sooner than other routers, so
// that a fleet that starts as a whole does not query the platform all at once.
func (l *loader) run() {
	defer l.s.group.Done()
	start := time.Now()
	for !l.fromPeers() && !l.fromPlatform(time.Since(start)) {
		if !coordination.Sleep(l.s.ctx, coordination.Jitter(loadRetryInterval)) {
			return
		}
	}
	l.s.setReady()
}

func (l *loader) fromPlatform(waited time.Duration) bool {
	peerWait := nonWatcherPeerWait
	if l.s.shouldWatch() {
		peerWait = watcherPeerWait
	}
	if waited < peerWait {
		return false
	}
	_, ok := l.s.list(l.s.ctx)
	return ok
}

// fromPeers asks a few random peers. It reports whether one of them had loaded
// its settings and the replica now has all of these.
func (l *loader) fromPeers() bool {
	loaded := false
	for _, m := range lo.Samples(l.s.otherMembers(), loadPeerCount) {
		a, ok := l.s.queryIndex(m.Instance)
		if !ok || !a.Loaded || !l.awaitValues(a.Teams) {
			continue
		}
		loaded = true
		l.s.mergeConfirmationAge(a.Age)
	}
	return loaded
}

// mergeConfirmationAge adopts a peer's time since the last confirmation, in
// milliseconds, if it is more recent. Negative means that there was none.
func (s *Sync) mergeConfirmationAge(milliseconds int64) {
	if milliseconds < 0 {
		return
	}
	at := time.Now().Add(-time.Duration(milliseconds) * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	if at.After(s.lastConfirmedAt) {
		s.lastConfirmedAt = at
	}
}

// awaitValues waits until the replica has all of teams. It reports false after
// loadValuesTimeout.
func (l *loader) awaitValues(teams []indexEntry) bool {
	deadline := time.Now().Add(loadValuesTimeout)
	for time.Now().Before(deadline) {
		if lo.EveryBy(teams, func(e indexEntry) bool { return l.s.hasOrRefused(e.Team, e.Position) }) {
			return true
		}
		if !coordination.Sleep(l.s.ctx, coordination.Jitter(fetchRetryInterval/2)) {
			return false
		}
	}
	return false
}
