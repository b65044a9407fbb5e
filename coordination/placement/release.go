package placement

import (
	"time"

	"github.com/samber/lo"

	"wisteriaspool/coordination"
)

// Release ends grants, and withdraws requests that still wait. It answers the
// notices in the batch.
func (o *Owner) Release(b ReleaseBatch) ReleaseReply { return o.release(time.Now(), b) }

func (o *Owner) release(now time.Time, b ReleaseBatch) (r ReleaseReply) {
	o.hear(now, b.Entry)
	for _, n := range b.Notices {
		if o.see(now, n, b.Entry) {
			r.Out = append(r.Out, n.Endpoint)
		}
	}
	for _, r := range b.Releases {
		o.see(now, r.notice(), b.Entry)
		o.end(now, GrantID{Entry: b.Entry, Sequence: r.Sequence}, r.Endpoint)
	}
	for _, e := range b.Lost {
		o.lose(now, e)
	}
	return r
}

// notice returns what a release tells of its endpoint.
func (r Release) notice() Notice {
	return Notice{Endpoint: r.Endpoint, Sequence: r.Sequence, Seen: r.Seen}
}

// lose takes an entry's word that an endpoint is dead, before any list says so.
func (o *Owner) lose(now time.Time, e LostEndpoint) {
	s := o.shard(e.Endpoint)
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.loads[e.Endpoint]; l != nil && l.desc.Incarnation == e.Incarnation {
		l.lost = now
		l.replyNextToAll(Lost)
	}
}

// end ends one grant, or withdraws one waiting request.
func (o *Owner) end(now time.Time, id GrantID, endpoint coordination.Endpoint) {
	s := o.shard(endpoint)
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.loads[endpoint]; l != nil {
		l.end(now, id, o.cfg.Load())
	}
}

func (l *endpointLoad) end(now time.Time, id GrantID, cfg *Config) {
	if g, ok := l.grants[id]; ok {
		l.drop(now, id)
		l.service.observe(now.Sub(g.start), now)
		l.remember(now, id)
	} else if !l.withdraw(id) {
		l.endUnknown(now, id)
	}
	l.refresh(now, cfg)
	l.dispatch(now, cfg)
}

// withdraw answers a waiting request whose entry has given it up.
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

// endUnknown takes the release of a grant that this owner has not seen, once:
// either the admission is still on its way, or a former owner granted it.
func (l *endpointLoad) endUnknown(now time.Time, id GrantID) {
	if _, again := l.released[id]; again {
		return
	}
	l.remember(now, id)
	if l.unknown > 0 {
		l.unknown--
	}
}

// Register takes an entry's list of what it holds here.
func (o *Owner) Register(m Register) { o.register(time.Now(), m) }

func (o *Owner) register(now time.Time, m Register) {
	o.hear(now, m.Entry)
	byEndpoint := lo.KeyBy(m.Held, func(h HeldGrants) coordination.Endpoint { return h.Endpoint })
	cfg := o.cfg.Load()
	for i := range o.shards {
		s := &o.shards[i]
		s.mu.Lock()
		for id, l := range s.loads {
			l.register(now, m, byEndpoint[id], cfg)
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
		l.drop(now, id)
	}
	l.refresh(now, cfg)
	l.dispatch(now, cfg)
}

// adopt counts a grant that another owner gave. If the endpoint's report
// counted it among the unknown, it is not counted twice.
func (l *endpointLoad) adopt(now time.Time, id GrantID, g HeldGrant) {
	if _, ok := l.grants[id]; ok || g.Flags&HeldPending != 0 {
		return
	}
	if _, ok := l.released[id]; ok {
		return
	}
	start := now.Add(-g.Age.Duration())
	l.hold(now, id, held{start: start, alone: g.Flags&HeldAlone != 0})
	if l.unknown > 0 && !start.After(l.report.Observed) {
		l.unknown--
	}
}

// hear notes a sign of life of an entry.
func (o *Owner) hear(now time.Time, e EntryID) {
	for _, old := range o.note(now, e) {
		o.lapse(now, old)
	}
}

// note marks an entry as heard, and returns its earlier lives if it is new: a
// process that has restarted no longer runs what it held before.
func (o *Owner) note(now time.Time, e EntryID) []EntryID {
	o.entriesMu.Lock()
	defer o.entriesMu.Unlock()
	_, known := o.heard[e]
	o.heard[e] = now
	if known {
		return nil
	}
	return lo.Filter(lo.Keys(o.heard), func(old EntryID, _ int) bool {
		return old.Instance == e.Instance && old.Incarnation < e.Incarnation
	})
}

// entries returns the entries heard from.
func (o *Owner) entries() []EntryID {
	o.entriesMu.Lock()
	defer o.entriesMu.Unlock()
	return lo.Keys(o.heard)
}

// silent returns the entries not heard from for a lease.
func (o *Owner) silent(now time.Time, lease time.Duration) []EntryID {
	o.entriesMu.Lock()
	defer o.entriesMu.Unlock()
	return lo.Keys(lo.PickBy(o.heard, func(_ EntryID, at time.Time) bool {
		return now.Sub(at) > lease
	}))
}

// lapse ends all that an entry holds. If its requests still run, the
// endpoint's report goes on counting them.
func (o *Owner) lapse(now time.Time, e EntryID) {
	o.entriesMu.Lock()
	delete(o.heard, e)
	o.entriesMu.Unlock()
	cfg := o.cfg.Load()
	for i := range o.shards {
		s := &o.shards[i]
		s.mu.Lock()
		for _, l := range s.loads {
			l.lapse(now, e, cfg)
		}
		s.mu.Unlock()
	}
}

func (l *endpointLoad) lapse(now time.Time, e EntryID, cfg *Config) {
	for _, id := range lo.Keys(l.grants) {
		if id.Entry == e {
			l.drop(now, id)
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
