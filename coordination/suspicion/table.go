package suspicion

import (
	"sync"
	"time"

	"github.com/samber/lo"

	"wisteriaspool/coordination"
)

// Table holds what one router knows of fingerprints and of lost endpoints.
type Table struct {
	cfg Config

	mu         sync.Mutex
	records    map[Fingerprint]*Record
	attributed map[incarnationKey]Fingerprint // convicted of this crash, alone there
	losses     map[coordination.Endpoint]time.Time
	lastLoss   map[coordination.Pool]time.Time // of the last loss
}

// incarnationKey names one incarnation of an endpoint.
type incarnationKey struct {
	endpoint    coordination.Endpoint
	incarnation coordination.Incarnation
}

// NewTable returns an empty table.
func NewTable(cfg Config) *Table {
	return &Table{
		cfg:        cfg.withDefaults(),
		records:    make(map[Fingerprint]*Record),
		attributed: make(map[incarnationKey]Fingerprint),
		losses:     make(map[coordination.Endpoint]time.Time),
		lastLoss:   make(map[coordination.Pool]time.Time),
	}
}

// RecordLoss notes the death of an endpoint from any source, and reports whether many
// died at the same moment. Isolating all that a lost zone ran would take hours.
// Endpoints are counted, not their lives: a list may name the next incarnation
// of one that has not come back yet, and one death would look like two.
func (t *Table) RecordLoss(now time.Time, p coordination.Pool, e coordination.Endpoint) (mass bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for l, at := range t.losses {
		if now.Sub(at) > t.cfg.MassWindow {
			delete(t.losses, l)
		}
	}
	t.losses[e] = now
	t.lastLoss[p] = now
	return len(t.losses) >= t.cfg.MassLoss
}

// Advice tells an entry what to do with a request.
type Advice int

// The kinds of advice.
const (
	Run     Advice = iota
	AskGate        // ask the gate first
	Refuse         // convicted
)

// Check advises on a request; retryAfter goes with Refuse.
func (t *Table) Check(now time.Time, f Fingerprint, p coordination.Pool) (a Advice, retryAfter time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.find(now, f)
	switch t.state(now, r) {
	case Convicted:
		return Refuse, r.Expires.Time().Sub(now)
	case Suspect:
		return AskGate, 0
	}
	lost, ok := t.lastLoss[p]
	if t.cfg.Always || ok && now.Sub(lost) < t.cfg.LossWindow {
		return AskGate, 0
	}
	return Run, 0
}

// Find returns what is known of a fingerprint, and what follows from it.
func (t *Table) Find(now time.Time, f Fingerprint) (Record, State) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.find(now, f)
	return r, t.state(now, r)
}

// state returns what follows from a record. A crash beside a suspect that ran
// alone there and was convicted of it is that one's doing: a common prompt may
// well have run at both endpoints that a crashing request took. One such crash
// is excused and no more, since several crashing requests at a time can seem to
// excuse one another for ever.
//
// A request that never ran alone when it crashed is convicted only once the
// rumour of another one's conviction has had time to come. Until then a common
// prompt that ran beside the crashing request both times would be refused to
// those who ask it meanwhile: in 2 of 2,100 seeded runs of 7 routers one or two
// callers were. It stays a suspect, of which no copy starts.
func (t *Table) state(now time.Time, r Record) State {
	own := 0
	alone, excused := false, false
	var last UnixMillis
	for _, c := range r.Crashes {
		switch {
		case c.Mass:
		case !excused && t.attributedToOther(c, r.Fingerprint):
			excused = true
		default:
			own++
			alone = alone || c.Alone
			last = max(last, c.At)
		}
	}
	switch {
	case own >= crashesToConvict && !alone && now.Before(last.Time().Add(t.cfg.Hold)):
		return Suspect
	case own >= crashesToConvict:
		return Convicted
	case own > 0:
		return Suspect
	default:
		return Clear
	}
}

// attributedToOther reports whether another request is known to have caused a crash.
func (t *Table) attributedToOther(c Crash, f Fingerprint) bool {
	by, decided := t.attributed[c.incarnationKey()]
	return decided && by != f && !c.Alone
}

// attributeCrashes notes the crashes that a convicted record explains.
func (t *Table) attributeCrashes(r *Record) {
	if len(r.Crashes) < crashesToConvict {
		return
	}
	for _, c := range r.Crashes {
		if c.Alone {
			t.attributed[c.incarnationKey()] = r.Fingerprint
		}
	}
}

// forget drops a record and what it explains.
func (t *Table) forget(r *Record) {
	delete(t.records, r.Fingerprint)
	for _, c := range r.Crashes {
		if t.attributed[c.incarnationKey()] == r.Fingerprint {
			delete(t.attributed, c.incarnationKey())
		}
	}
}

func (t *Table) find(now time.Time, f Fingerprint) Record {
	r := t.records[f]
	if r == nil {
		return Record{Fingerprint: f}
	}
	if !now.Before(r.Expires.Time()) {
		t.forget(r)
		return Record{Fingerprint: f}
	}
	return *r
}

// Merge takes a record from a rumour and reports whether it was news, which is
// to be passed on.
func (t *Table) Merge(now time.Time, r Record) bool {
	// A forged or mistaken expiry must not keep a record for ever.
	r.Expires = min(r.Expires, unixMillis(now.Add(t.cfg.ConvictTTL)))
	if r.Expires <= unixMillis(now) {
		return false
	}
	// The clock of the router that told may be ahead. A crash in the future would
	// hold its suspects for as long, and one forgiven there would never count.
	r.Cleared = min(r.Cleared, unixMillis(now))
	r.Crashes = lo.Map(r.Crashes, func(c Crash, _ int) Crash {
		c.At = min(c.At, unixMillis(now))
		return c
	})
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.records[r.Fingerprint]
	if known == nil {
		known = &Record{Fingerprint: r.Fingerprint}
		t.records[r.Fingerprint] = known
		t.evict(now, r.Fingerprint)
	}
	news := known.merge(r)
	t.attributeCrashes(known)
	return news
}

// addCrash adds a addCrash and returns the merged record.
func (t *Table) addCrash(now time.Time, f Fingerprint, c Crash) (Record, State) {
	r, _ := t.Find(now, f)
	// Only one crash is forgiven. Were each, a crashing request could keep up
	// by itself the losses that excuse it.
	if lo.SomeBy(r.Crashes, func(old Crash) bool { return old.Mass && !old.sameIncarnation(c) }) {
		c.Mass = false
	}
	ttl := t.cfg.SuspectTTL
	if len(r.Crashes) > 0 && !r.Crashes[0].sameIncarnation(c) {
		ttl = t.cfg.ConvictTTL
	}
	t.Merge(now, Record{Fingerprint: f, Crashes: []Crash{c}, Expires: unixMillis(now.Add(ttl))})
	return t.Find(now, f)
}

// clearCrashes forgives all crashes of a suspect until now and returns the record.
func (t *Table) clearCrashes(now time.Time, f Fingerprint) (Record, State) {
	expires := unixMillis(now.Add(t.cfg.SuspectTTL))
	t.Merge(now, Record{Fingerprint: f, Cleared: unixMillis(now), Expires: expires})
	return t.Find(now, f)
}

// evict keeps the table within its limit: it drops what has expired, then the
// record that matters least. The caller holds t.mu.
func (t *Table) evict(now time.Time, keep Fingerprint) {
	if len(t.records) <= t.cfg.Limit {
		return
	}
	var worst *Record
	for f, r := range t.records {
		if r.Expires <= unixMillis(now) {
			t.forget(r)
			continue
		}
		if f != keep && (worst == nil || t.lessImportant(now, r, worst)) {
			worst = r
		}
	}
	if len(t.records) > t.cfg.Limit && worst != nil {
		t.forget(worst)
	}
}

// lessImportant reports whether a matters less than b.
func (t *Table) lessImportant(now time.Time, a, b *Record) bool {
	if x, y := t.state(now, *a), t.state(now, *b); x != y {
		return x < y
	}
	if a.Expires != b.Expires {
		return a.Expires < b.Expires
	}
	return a.Fingerprint < b.Fingerprint
}

// Counts returns the number of suspects and convictions that are known.
func (t *Table) Counts(now time.Time) (suspects, convicted int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	live := lo.Filter(lo.Values(t.records), func(r *Record, _ int) bool { return r.Expires > unixMillis(now) })
	suspects = lo.CountBy(live, func(r *Record) bool { return t.state(now, *r) == Suspect })
	convicted = lo.CountBy(live, func(r *Record) bool { return t.state(now, *r) == Convicted })
	return suspects, convicted
}
