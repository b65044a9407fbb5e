package placement

import (
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/capacity"
)

// KnownCapacity is what an entry last heard of the capacity of an endpoint. A new owner
// begins with it.
type KnownCapacity struct {
	_           struct{} `cbor:",toarray"`
	Endpoint    coordination.Endpoint
	Incarnation coordination.Incarnation
	Pace        Percent
	Limit       int // zero for none
	Age         Millis
}

// knownTTL is how long an entry remembers the capacity of an endpoint. A new owner is
// known within a second.
const knownTTL = 3 * time.Second

// knownTable holds what an entry last heard of the capacity of endpoints. The zero value
// is ready for use.
type knownTable struct {
	mu     sync.Mutex
	known  map[coordination.Endpoint]heardCapacity
	pruned time.Time
}

type heardCapacity struct {
	incarnation coordination.Incarnation
	pace        Percent
	limit       int
	at          time.Time
}

// record records what an owner's reply tells of the capacity of d.
func (t *knownTable) record(now time.Time, d *Descriptor, r AdmitReply) {
	if r.Pace == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.known == nil {
		t.known = make(map[coordination.Endpoint]heardCapacity)
	}
	t.prune(now)
	t.known[d.ID] = heardCapacity{incarnation: d.Incarnation, pace: r.Pace, limit: r.Capacity, at: now}
}

// pace returns how long work takes at d by the last reply of its owner, zero if none is
// remembered.
func (t *knownTable) pace(now time.Time, d *Descriptor) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if k := t.known[d.ID]; k.incarnation == d.Incarnation && now.Sub(k.at) < knownTTL {
		return k.pace.ratio()
	}
	return 0
}

// prune removes what is older than knownTTL. The caller holds t.mu.
func (t *knownTable) prune(now time.Time) {
	if now.Sub(t.pruned) < knownTTL {
		return
	}
	t.pruned = now
	for id, k := range t.known {
		if now.Sub(k.at) >= knownTTL {
			delete(t.known, id)
		}
	}
}

// byOwner returns what is known of the endpoints that each owner has in v.
func (t *knownTable) byOwner(now time.Time, v *view) map[coordination.Instance][]KnownCapacity {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prune(now)
	all := make(map[coordination.Instance][]KnownCapacity)
	for _, id := range t.endpoints() {
		d, k := v.set.Find(id), t.known[id]
		if d == nil || d.Incarnation != k.incarnation || now.Sub(k.at) >= knownTTL {
			continue
		}
		if o := v.routers.Owner(id, d.Zone); o != "" {
			all[o] = append(all[o], KnownCapacity{Endpoint: id, Incarnation: k.incarnation, Pace: k.pace, Limit: k.limit, Age: millis(now.Sub(k.at))})
		}
	}
	return all
}

// endpoints returns the known endpoints in order. The caller holds t.mu.
func (t *knownTable) endpoints() []coordination.Endpoint {
	ids := lo.Keys(t.known)
	slices.Sort(ids)
	return ids
}

// seed applies what an entry knows of the endpoint's capacity. Once this owner has
// observations of its own, entries only return what it has told them, as if it were new:
// an idle endpoint would stay slow.
func (l *endpointLoad) seed(now time.Time, k KnownCapacity, cfg *Config) {
	if k.Incarnation != l.desc.Incarnation || l.observed {
		return
	}
	// A pool of which some owner tells a pace is measured.
	if cfg.boundOf(l.desc.Pool).Capacity == capacity.Reported {
		l.pool.markReportsPace()
	}
	l.estimate.Seed(now, capacity.Snapshot{Pace: capacity.Pace(k.Pace.ratio()), Limit: k.Limit, Age: k.Age.Duration()})
}
