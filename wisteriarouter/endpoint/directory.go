// Package endpoint keeps what a router knows of the endpoints: from the
// platform's list, which lags, from the endpoints' own reports and from what
// other routers have noticed.
package endpoint

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/samber/lo"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/placement"
	"wisteriaspool/wisteriarouter/platform"
)

// Report is an endpoint's own word.
type Report struct {
	ID          coordination.Endpoint
	Incarnation coordination.Incarnation
	Leaving     bool
	Capacity    int
}

// Info is one endpoint as the router knows it.
type Info struct {
	placement.Descriptor
	Kind    platform.Kind
	Address string
}

// Leaving reports whether the endpoint is stopping.
func (k Info) Leaving() bool { return k.State == placement.Leaving }

// missedListLimit is in how many lists running an endpoint has to be missing before
// it is dropped. A single list may be cut short, and dropping a live endpoint
// would move its chats to cold ones.
const missedListLimit = 2

// Directory is the aggregate of all that is known of endpoints. The zero value
// is empty and ready for use. It is safe for concurrent use.
type Directory struct {
	// OnLeaving, if set, is called once for each incarnation that is first
	// seen to leave. It has to be set before the directory is used.
	OnLeaving func(id coordination.Endpoint, n coordination.Incarnation)

	mu           sync.Mutex
	entries      map[coordination.Endpoint]*entry
	leaving      map[coordination.Endpoint]coordination.Incarnation
	newlyLeaving []leavingMark
	snapshot     atomic.Pointer[snapshot]
	watchers     []func()
}

// Watch has fn called behind each change.
func (d *Directory) Watch(fn func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.watchers = append(d.watchers, fn)
}

// leavingMark says that an incarnation of an endpoint is leaving.
type leavingMark struct {
	id          coordination.Endpoint
	incarnation coordination.Incarnation
}

// maxLeaving bounds the marks of endpoints that come and go under new names.
const maxLeaving = 16384

type entry struct {
	Info
	missedLists int // lists running that did not name it
}

// snapshot is what readers see. It never changes.
type snapshot struct {
	byID  map[coordination.Endpoint]Info
	pools map[coordination.Pool][]Info
	all   []Info // sorted by id
}

var emptySnapshot snapshot

func (d *Directory) current() *snapshot {
	if s := d.snapshot.Load(); s != nil {
		return s
	}
	return &emptySnapshot
}

// Find returns an endpoint by its id.
func (d *Directory) Find(id coordination.Endpoint) (Info, bool) {
	k, ok := d.current().byID[id]
	return k, ok
}

// Pool returns the endpoints of a pool, sorted by id. Callers must not change
// the slice.
func (d *Directory) Pool(p coordination.Pool) []Info { return d.current().pools[p] }

// Pools returns the names of the pools that have endpoints, sorted.
func (d *Directory) Pools() []coordination.Pool {
	names := lo.Keys(d.current().pools)
	slices.Sort(names)
	return names
}

// All returns all endpoints, sorted by id. Callers must not change the slice.
func (d *Directory) All() []Info { return d.current().all }

func compareByID(a, b Info) int { return cmp.Compare(a.ID, b.ID) }

// Update takes in the platform's list. The list lags: an incarnation older
// than the one known, or one known to leave, is not brought back by it.
func (d *Directory) Update(list []platform.Entry) {
	d.mutate(func() {
		seen := make(map[coordination.Endpoint]bool, len(list))
		for _, l := range list {
			if l.Kind == platform.Router {
				continue
			}
			seen[l.ID] = true
			d.upsert(l)
		}
		for id, e := range d.entries {
			if seen[id] {
				continue
			}
			e.missedLists++
			if e.missedLists >= missedListLimit {
				delete(d.entries, id)
			}
		}
	})
}

// Apply takes in single changes of the platform's list: entries that are new or
// have changed, and endpoints that it no longer has.
func (d *Directory) Apply(entries []platform.Entry, gone []coordination.Endpoint) {
	d.mutate(func() {
		for _, l := range entries {
			d.upsert(l)
		}
		for _, id := range gone {
			delete(d.entries, id)
		}
	})
}

func (d *Directory) upsert(l platform.Entry) {
	e := d.entries[l.ID]
	if e == nil {
		e = &entry{}
		e.ID = l.ID
		d.entries[l.ID] = e
	}
	e.missedLists = 0
	if l.Incarnation < e.Incarnation {
		return
	}
	e.Kind = l.Kind
	e.Address = l.Address
	e.Zone = l.Zone
	e.Pool = l.Pool
	e.Incarnation = l.Incarnation
	e.Capacity = l.Capacity
	if l.State != platform.Live {
		d.markLeaving(l.ID, l.Incarnation)
	}
}

// ApplyReport takes in an endpoint's own word.
func (d *Directory) ApplyReport(r Report) {
	d.mutate(func() {
		e := d.entries[r.ID]
		if e == nil || r.Incarnation < e.Incarnation {
			return
		}
		e.Incarnation = r.Incarnation
		if r.Capacity > 0 {
			e.Capacity = r.Capacity
		}
		if r.Leaving {
			d.markLeaving(r.ID, r.Incarnation)
		}
	})
}

// RecordLeaving takes in that an incarnation of an endpoint is leaving, as noticed by
// this router or another one. That is final: an endpoint that is stopping has
// no later word that would make it take work again.
func (d *Directory) RecordLeaving(id coordination.Endpoint, n coordination.Incarnation) {
	d.mutate(func() { d.markLeaving(id, n) })
}

func (d *Directory) markLeaving(id coordination.Endpoint, n coordination.Incarnation) {
	if last, ok := d.leaving[id]; ok && n <= last {
		return
	}
	d.leaving[id] = n
	d.newlyLeaving = append(d.newlyLeaving, leavingMark{id, n})
	d.prune()
}

// prune forgets the marks of endpoints that are no longer listed once there
// are very many. A few stay, so that a list that lags does not bring one back.
func (d *Directory) prune() {
	if len(d.leaving) < maxLeaving {
		return
	}
	for id := range d.leaving {
		if d.entries[id] == nil {
			delete(d.leaving, id)
		}
	}
}

// mutate runs fn under the lock, publishes a new snapshot and then tells the
// callbacks, which may ask the directory.
func (d *Directory) mutate(fn func()) {
	fresh, watchers := d.publish(fn)
	for _, m := range fresh {
		if d.OnLeaving != nil {
			d.OnLeaving(m.id, m.incarnation)
		}
	}
	for _, watcher := range watchers {
		watcher()
	}
}

// publish returns the fresh marks and whom to tell of a change.
func (d *Directory) publish(fn func()) (fresh []leavingMark, watchers []func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.entries == nil {
		d.entries = make(map[coordination.Endpoint]*entry)
		d.leaving = make(map[coordination.Endpoint]coordination.Incarnation)
	}
	fn()
	fresh, d.newlyLeaving = d.newlyLeaving, nil
	next := d.buildSnapshot()
	if equalSnapshots(d.current(), next) {
		return fresh, nil
	}
	d.snapshot.Store(next)
	return fresh, d.watchers
}

func (d *Directory) buildSnapshot() *snapshot {
	s := &snapshot{
		byID:  make(map[coordination.Endpoint]Info, len(d.entries)),
		pools: make(map[coordination.Pool][]Info),
	}
	for id, e := range d.entries {
		k := e.Info
		k.State = placement.Live
		if n, ok := d.leaving[id]; ok && k.Incarnation <= n {
			k.State = placement.Leaving
		}
		s.byID[id] = k
		s.all = append(s.all, k)
	}
	slices.SortFunc(s.all, compareByID)
	for _, k := range s.all {
		s.pools[k.Pool] = append(s.pools[k.Pool], k)
	}
	return s
}

func equalSnapshots(a, b *snapshot) bool {
	if len(a.byID) != len(b.byID) {
		return false
	}
	for id, k := range a.byID {
		if b.byID[id] != k {
			return false
		}
	}
	return true
}
