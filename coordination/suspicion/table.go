package suspicion

import (
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"

	"wisteriaspool/coordination"
)

// Table holds the records of fingerprints and the recent endpoint losses that
// one router knows of.
type Table struct {
	cfg Config

	mu         sync.Mutex
	records    map[Fingerprint]*Record
	attributed map[EndpointLifetime]Fingerprint // convicted request that ran alone when it crashed the endpoint
	losses     map[coordination.Endpoint]time.Time
	lastLoss   map[coordination.Pool]time.Time // time of the last loss

	refused   map[Fingerprint]bool      // convicted parts of prompts
	explained map[EndpointLifetime]bool // crashed by one of them
	parts     *Table                    // of the parts of prompts; nil for none
}

// NewTable returns an empty table.
func NewTable(cfg Config) *Table {
	return &Table{
		cfg:        cfg.withDefaults(),
		records:    make(map[Fingerprint]*Record),
		attributed: make(map[EndpointLifetime]Fingerprint),
		losses:     make(map[coordination.Endpoint]time.Time),
		lastLoss:   make(map[coordination.Pool]time.Time),
	}
}

// RecordLoss records the death of an endpoint from any source, and reports
// whether it is part of a mass loss. After the loss of an availability zone,
// running all affected requests in isolation would take hours. Losses are
// counted by endpoint rather than by incarnation: a list may name the next
// incarnation of an endpoint that is not back yet, and a single death would be
// counted twice.
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

// Advice tells a router how to handle a request.
type Advice int

// Kinds of advice.
const (
	Run     Advice = iota
	AskGate        // ask the gate first
	Refuse         // convicted
)

// Check returns how to handle a request. With Refuse, retryAfter is the time
// until the conviction expires.
func (t *Table) Check(now time.Time, f Fingerprint, p coordination.Pool) (a Advice, retryAfter time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.find(now, f)
	switch t.state(now, r) {
	case Convicted:
		if t.trialDue(now, r) {
			return AskGate, 0
		}
		return Refuse, t.refusedUntil(r).Sub(now)
	case Suspect, Exempt:
		return AskGate, 0
	}
	if t.cfg.Parts {
		return Run, 0
	}
	lost, ok := t.lastLoss[p]
	if t.cfg.Always || ok && now.Sub(lost) < t.cfg.LossWindow {
		return AskGate, 0
	}
	return Run, 0
}

// Find returns the record of a fingerprint and the state derived from it.
func (t *Table) Find(now time.Time, f Fingerprint) (Record, State) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.find(now, f)
	return r, t.state(now, r)
}

// state derives the state of a fingerprint from its record. A crash is
// attributed to another request if that request ran without other suspects on
// the same endpoint and was convicted of it: a common prompt may well have run
// on both endpoints that a crashing request took down. Only one such crash is
// discounted, since several concurrent crashing requests could otherwise
// discount each other's crashes indefinitely. A request with a discounted crash stays
// a suspect until it completes, since it may crash endpoints as well.
//
// A request that never ran without other suspects when it crashed is convicted
// only after Config.Hold, so that the record of another request's conviction
// has time to arrive. Otherwise a common prompt that ran beside the crashing
// request both times would be refused to its callers in the meantime, as
// happened to one or two callers in 2 of 2,100 seeded runs with 7 routers.
// Until then the request stays a suspect, of which no copy starts.
//
// A request whose crashes were found late may have been sent again before it was a
// suspect, beside the one that crashed both endpoints. It stays a suspect until it has
// crashed an endpoint on its own, or another one more.
func (t *Table) state(now time.Time, r Record) State {
	if t.cfg.Parts {
		return t.partState(r)
	}
	n := t.count(r, t.attributedToOther)
	switch {
	case n.own >= crashesToConvict && !n.alone && now.Before(n.last.Time().Add(t.cfg.Hold)):
		return Suspect
	case n.own >= crashesToConvict && n.late && !n.alone && n.own < lateCrashesToConvict:
		return Suspect
	case n.own >= crashesToConvict:
		return Convicted
	case n.own > 0, n.discounted:
		return Suspect
	default:
		return Clear
	}
}

// crashCount is how many crashes of a record count against its request.
type crashCount struct {
	own         int
	alone, late bool // one of them at least
	last        UnixMillis
	discounted  bool // another crash is attributed to another request
}

// count counts the crashes of a record; toOther reports whether a crash of a
// request is attributed to another one.
func (t *Table) count(r Record, toOther func(Crash, Fingerprint) bool) (n crashCount) {
	excused := false
	for _, c := range r.Crashes {
		switch {
		case t.parts != nil && t.parts.Explains(c.lifetime()):
		case c.Excused && !excused:
			excused = true
		case !n.discounted && toOther(c, r.Fingerprint):
			n.discounted = true
		default:
			n.own++
			n.alone = n.alone || c.Alone
			n.late = n.late || slices.Contains(r.Late, c.lifetime())
			n.last = max(n.last, c.At)
		}
	}
	return n
}

// attributedToOther reports whether another request is known to have caused a
// crash. That request must be convicted without those of its own crashes that are
// attributed to a third one: an innocent request that meets two crashing ones in
// turn, the second time as the only suspect, would otherwise excuse the second.
func (t *Table) attributedToOther(c Crash, f Fingerprint) bool {
	if !t.recordedForOther(c, f) {
		return false
	}
	r := t.records[t.attributed[c.lifetime()]]
	return r != nil && t.count(*r, t.recordedForOther).own >= crashesToConvict
}

// recordedForOther is attributedToOther without the check of the other request.
func (t *Table) recordedForOther(c Crash, f Fingerprint) bool {
	by, decided := t.attributed[c.lifetime()]
	return decided && by != f && !c.Alone
}

// attributeCrashes attributes crashes to the request of a record if it has
// enough crashes for a conviction: those in which it ran without other
// suspects.
func (t *Table) attributeCrashes(r *Record) {
	if len(r.Crashes) < crashesToConvict {
		return
	}
	for _, c := range r.Crashes {
		if c.Alone {
			t.attributed[c.lifetime()] = r.Fingerprint
		}
	}
}

// forget removes a record and the attribution of its crashes.
func (t *Table) forget(r *Record) {
	delete(t.records, r.Fingerprint)
	if t.refused[r.Fingerprint] {
		t.updateRefused()
	}
	for _, c := range r.Crashes {
		if t.attributed[c.lifetime()] == r.Fingerprint {
			delete(t.attributed, c.lifetime())
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

// Merge adds a record received by gossip and reports whether it changed the
// table and has to be passed on.
func (t *Table) Merge(now time.Time, r Record) bool {
	// The limit keeps a forged or wrong expiry from retaining a record
	// indefinitely.
	r.Expires = min(r.Expires, unixMillis(now.Add(t.cfg.ConvictTTL)))
	if r.Expires <= unixMillis(now) {
		return false
	}
	// The clock of the sending router may be ahead. A crash time in the future
	// would hold its suspects until then, and a clear time in the future would
	// discount later crashes.
	r.Cleared, r.Tried, r.Served = min(r.Cleared, unixMillis(now)), min(r.Tried, unixMillis(now)), min(r.Served, unixMillis(now))
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
	if t.cfg.Parts && (t.refused[r.Fingerprint] || convicts(*known)) {
		t.updateRefused()
	}
	return news
}

// addCrash adds a crash and returns the merged record with its state.
func (t *Table) addCrash(now time.Time, f Fingerprint, c Crash) (Record, State) {
	return t.addReported(now, GateRequest{Fingerprint: f, Crash: &c})
}

// addReported adds the crash that m reports and returns the merged record with its state.
func (t *Table) addReported(now time.Time, m GateRequest) (Record, State) {
	f, c := m.Fingerprint, *m.Crash
	var late []EndpointLifetime
	if m.Late {
		late = []EndpointLifetime{c.lifetime()}
	}
	if t.cfg.Parts {
		c.At = unixMillis(now) // one clock for all crashes of a part, as the time between them counts
	}
	r, _ := t.Find(now, f)
	// Only one crash is excused. Otherwise a crashing request could itself keep
	// up the losses that excuse it.
	if !t.cfg.Parts && lo.SomeBy(r.Crashes, func(old Crash) bool { return old.Excused && !old.sameIncarnation(c) }) {
		c.Excused = false
	}
	ttl := t.cfg.SuspectTTL
	if len(r.Crashes) > 0 && !r.Crashes[0].sameIncarnation(c) {
		ttl = t.cfg.ConvictTTL
	}
	t.Merge(now, Record{Fingerprint: f, Crashes: []Crash{c}, Late: late, Served: m.servedAt(now), Pool: m.Pool, Expires: unixMillis(now.Add(ttl))})
	return t.Find(now, f)
}

// clearCrashes discounts all crashes of a suspect up to now and returns the
// record with its state.
func (t *Table) clearCrashes(now time.Time, f Fingerprint) (Record, State) {
	expires := unixMillis(now.Add(t.cfg.SuspectTTL))
	t.Merge(now, Record{Fingerprint: f, Cleared: unixMillis(now), Expires: expires})
	return t.Find(now, f)
}

// evict keeps the table within its limit: it removes expired records, then the
// least important one. The caller holds t.mu.
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

// lessImportant reports whether a is to be evicted before b: by state, then by
// expiry, then by fingerprint so that the order is total.
func (t *Table) lessImportant(now time.Time, a, b *Record) bool {
	if x, y := t.state(now, *a), t.state(now, *b); x != y {
		return x < y
	}
	if a.Expires != b.Expires {
		return a.Expires < b.Expires
	}
	return a.Fingerprint < b.Fingerprint
}

// Counts returns the numbers of suspects and of convicted requests.
func (t *Table) Counts(now time.Time) (suspects, convicted int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	live := lo.Filter(lo.Values(t.records), func(r *Record, _ int) bool { return r.Expires > unixMillis(now) })
	suspects = lo.CountBy(live, func(r *Record) bool { return t.state(now, *r) == Suspect })
	convicted = lo.CountBy(live, func(r *Record) bool { return t.state(now, *r) == Convicted })
	return suspects, convicted
}
