package placement

import (
	"time"

	"github.com/samber/lo"

	"wisteriaspool/coordination"
)

// Release ends grants and withdraws queued requests. The reply answers the
// notices in the batch.
func (o *Owner) Release(b ReleaseBatch) ReleaseReply { return o.release(time.Now(), b) }

func (o *Owner) release(now time.Time, b ReleaseBatch) (r ReleaseReply) {
	o.entryAlive(now, b.Entry)
	for _, n := range b.Notices {
		if o.recordEvidence(now, n, b.Entry) {
			r.Ejected = append(r.Ejected, n.Endpoint)
		}
	}
	for _, r := range b.Releases {
		o.recordEvidence(now, r.notice(), b.Entry)
		o.end(now, GrantID{Entry: b.Entry, Sequence: r.Sequence}, r)
	}
	for _, e := range b.Lost {
		o.markLost(now, e)
	}
	return r
}

// notice returns the outcome weight of a release as a Notice.
func (r Release) notice() Notice {
	return Notice{Endpoint: r.Endpoint, Sequence: r.Sequence, Evidence: r.Evidence}
}

// markLost marks an endpoint as dead because an entry found it so, ahead of the
// instance list.
func (o *Owner) markLost(now time.Time, e LostEndpoint) {
	s := o.shard(e.Endpoint)
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.loads[e.Endpoint]; l != nil && l.desc.Incarnation == e.Incarnation {
		l.lostAt = now
		l.replyNextToAll(EndpointLost)
	}
}

// end ends one grant or withdraws one queued request.
func (o *Owner) end(now time.Time, id GrantID, r Release) {
	s := o.shard(r.Endpoint)
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.loads[r.Endpoint]; l != nil {
		l.end(now, id, r, o.cfg.Load())
	}
}

// end ends the grant of a released request.
func (l *endpointLoad) end(now time.Time, id GrantID, r Release, cfg *Config) {
	if g, ok := l.grants[id]; ok {
		l.removeGrant(now, id)
		if r.Rejected && l.pool.rejectionLimit(now) > 0 {
			l.recordRejection(now)
		}
		l.service.observe(now.Sub(g.start), now)
		l.turnover.observe(now.Sub(g.start), r.Ran.Duration())
		l.observeWork(now, g, r.Work, cfg)
		l.rememberRelease(now, id)
	} else if !l.withdraw(id) {
		l.endUnknown(now, id)
	}
	l.refresh(now, cfg)
	l.dispatch(now, cfg)
}

// withdraw answers and removes a queued request that its entry has given up.
func (l *endpointLoad) withdraw(id GrantID) bool {
	for _, w := range l.queue.waiters() {
		if w.id == id {
			l.queue.remove(w)
			w.reply(AdmitReply{Decision: Refused, Code: Cancelled})
			return true
		}
	}
	return false
}

// endUnknown handles the first release of a grant that this owner has not seen.
// The admission has not arrived yet, or a former owner granted it.
func (l *endpointLoad) endUnknown(now time.Time, id GrantID) {
	if _, again := l.released[id]; again {
		return
	}
	l.rememberRelease(now, id)
	if l.unaccounted > 0 {
		l.unaccounted--
	}
}

// Register applies an entry's list of the grants it holds here.
func (o *Owner) Register(m Register) { o.register(time.Now(), m) }

func (o *Owner) register(now time.Time, m Register) {
	o.entryAlive(now, m.Entry)
	byEndpoint := lo.KeyBy(m.Held, func(h HeldGrants) coordination.Endpoint { return h.Endpoint })
	known := lo.KeyBy(m.Known, func(k KnownCapacity) coordination.Endpoint { return k.Endpoint })
	cfg := o.cfg.Load()
	for i := range o.shards {
		s := &o.shards[i]
		s.mu.Lock()
		for id, l := range s.loads {
			l.register(now, m, byEndpoint[id], cfg)
			if k, ok := known[id]; ok {
				l.seed(now, k, cfg)
			}
		}
		s.mu.Unlock()
	}
}

func (l *endpointLoad) register(now time.Time, m Register, h HeldGrants, cfg *Config) {
	listed := make(map[Sequence]bool, len(h.Grants))
	for _, g := range h.Grants {
		listed[g.Sequence] = true
		if h.Incarnation == l.desc.Incarnation {
			l.adopt(now, GrantID{Entry: m.Entry, Sequence: g.Sequence}, g)
		}
	}
	ended := lo.Filter(lo.Keys(l.grants), func(id GrantID, _ int) bool {
		return id.Entry == m.Entry && id.Sequence <= m.UpTo && !listed[id.Sequence]
	})
	for _, id := range ended {
		l.removeGrant(now, id)
	}
	l.refresh(now, cfg)
	l.dispatch(now, cfg)
}

// adopt counts a grant made by another owner. A request that the endpoint's
// report already counted as unaccounted is not counted twice.
func (l *endpointLoad) adopt(now time.Time, id GrantID, g HeldGrant) {
	if _, ok := l.grants[id]; ok || g.Flags&HeldPending != 0 {
		return
	}
	if _, ok := l.released[id]; ok {
		return
	}
	start := now.Add(-g.Age.Duration())
	l.addGrant(now, id, activeGrant{start: start, isolated: g.Flags&HeldIsolated != 0})
	if l.unaccounted > 0 && !start.After(l.report.Observed) {
		l.unaccounted--
	}
}

// entryAlive records a message from an entry and expires its earlier
// incarnations.
func (o *Owner) entryAlive(now time.Time, e EntryID) {
	for _, old := range o.markHeard(now, e) {
		o.expireEntry(now, old)
	}
}

// markHeard records when an entry was last heard. If it is new, markHeard
// returns its earlier incarnations: a restarted process no longer runs its
// former requests.
func (o *Owner) markHeard(now time.Time, e EntryID) []EntryID {
	o.entriesMu.Lock()
	defer o.entriesMu.Unlock()
	_, known := o.lastHeard[e]
	o.lastHeard[e] = now
	if known {
		return nil
	}
	return lo.Filter(lo.Keys(o.lastHeard), func(old EntryID, _ int) bool {
		return old.Instance == e.Instance && old.Incarnation < e.Incarnation
	})
}

// entries returns the entries that have been heard from.
func (o *Owner) entries() []EntryID {
	o.entriesMu.Lock()
	defer o.entriesMu.Unlock()
	return lo.Keys(o.lastHeard)
}

// expiredEntries returns the entries not heard from for longer than lease.
func (o *Owner) expiredEntries(now time.Time, lease time.Duration) []EntryID {
	o.entriesMu.Lock()
	defer o.entriesMu.Unlock()
	return lo.Keys(lo.PickBy(o.lastHeard, func(_ EntryID, at time.Time) bool {
		return now.Sub(at) > lease
	}))
}

// expireEntry ends all grants and queued requests of an entry. Requests that
// still run remain counted by the endpoint's report.
func (o *Owner) expireEntry(now time.Time, e EntryID) {
	o.entriesMu.Lock()
	delete(o.lastHeard, e)
	o.entriesMu.Unlock()
	cfg := o.cfg.Load()
	for i := range o.shards {
		s := &o.shards[i]
		s.mu.Lock()
		for _, l := range s.loads {
			l.expireEntry(now, e, cfg)
		}
		s.mu.Unlock()
	}
}

func (l *endpointLoad) expireEntry(now time.Time, e EntryID, cfg *Config) {
	for _, id := range lo.Keys(l.grants) {
		if id.Entry == e {
			l.removeGrant(now, id)
		}
	}
	for _, w := range l.queue.waiters() {
		if w.id.Entry == e {
			l.queue.remove(w)
			w.reply(AdmitReply{Decision: Refused, Code: Cancelled})
		}
	}
	l.refresh(now, cfg)
	l.dispatch(now, cfg)
}
