// Package endpoint maintains the router's view of the endpoints. It combines
// the platform's list, which lags, the endpoints' own reports, and what other
// routers have observed.
package endpoint

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/lo"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/placement"
	"wisteriaspool/wisteriarouter/platform"
)

// Report is the state that an endpoint reports of itself.
type Report struct {
	ID          coordination.Endpoint
	Incarnation coordination.Incarnation
	Leaving     bool
	Capacity    int
}

// Info describes one endpoint.
type Info struct {
	placement.Descriptor
	Kind    platform.Kind
	Address string
}

// Leaving reports whether the endpoint is shutting down.
func (i Info) Leaving() bool { return i.State == placement.Leaving }

// missedListLimit is the number of consecutive lists that must omit an endpoint
// before it is removed. A single list may be truncated, and removing a live
// endpoint would move its chats to endpoints without their KV caches.
const missedListLimit = 2

// Directory holds the merged state of all endpoints. The zero value is empty
// and ready for use. It is safe for concurrent use.
type Directory struct {
	// OnLeaving, if set, is called once for each incarnation that is found to
	// be leaving. It must be set before the directory is used.
	OnLeaving func(id coordination.Endpoint, n coordination.Incarnation)

	mu           sync.Mutex
	entries      map[coordination.Endpoint]*entry
	leaving      map[coordination.Endpoint]coordination.Incarnation
	newlyLeaving []leavingMark
	snapshot     atomic.Pointer[snapshot]
	watchers     []func()
	forgetters   []func(coordination.Endpoint)
}

// OnForget registers fn to be called when all that is known of an endpoint's incarnations
// has turned out to be wrong. It must be called before the directory is used.
func (d *Directory) OnForget(fn func(coordination.Endpoint)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.forgetters = append(d.forgetters, fn)
}

// Watch registers fn to be called after each change of the endpoints.
func (d *Directory) Watch(fn func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.watchers = append(d.watchers, fn)
}

// leavingMark records that an incarnation of an endpoint is leaving.
type leavingMark struct {
	id          coordination.Endpoint
	incarnation coordination.Incarnation
}

// maxLeaving limits the number of recorded leaving endpoints, which would
// otherwise grow without bound as endpoints come and go under new names.
const maxLeaving = 16384

type entry struct {
	Info
	missedLists int // consecutive lists that omitted it
}

// snapshot is an immutable view of the directory for readers.
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

// Find returns the endpoint with the given id.
func (d *Directory) Find(id coordination.Endpoint) (Info, bool) {
	info, ok := d.current().byID[id]
	return info, ok
}

// Pool returns the endpoints of a pool, sorted by id. The caller must not
// modify the slice.
func (d *Directory) Pool(p coordination.Pool) []Info { return d.current().pools[p] }

// Pools returns the names of the pools that have endpoints, sorted.
func (d *Directory) Pools() []coordination.Pool {
	names := lo.Keys(d.current().pools)
	slices.Sort(names)
	return names
}

// All returns all endpoints, sorted by id. The caller must not modify the
// slice.
func (d *Directory) All() []Info { return d.current().all }

func compareByID(a, b Info) int { return cmp.Compare(a.ID, b.ID) }

// Update applies a complete list from the platform. The list lags, so it does
// not replace a newer incarnation or bring back an incarnation that is known to
// be leaving.
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

// Apply applies individual changes of the platform's list: new or changed
// entries, and the ids of removed endpoints.
func (d *Directory) Apply(entries []platform.Entry, removed []coordination.Endpoint) {
	d.mutate(func() {
		for _, l := range entries {
			d.upsert(l)
		}
		for _, id := range removed {
			delete(d.entries, id)
		}
	})
}

// Supersedes reports whether a later incarnation of an endpoint is known than n.
func (d *Directory) Supersedes(id coordination.Endpoint, n coordination.Incarnation) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.entries[id]
	return e != nil && e.Incarnation > n || d.leaving[id] > n
}

// Replace applies an entry whose incarnation is earlier than one that was known. What was
// known of the endpoint is forgotten.
func (d *Directory) Replace(l platform.Entry) {
	d.mutate(func() {
		delete(d.entries, l.ID)
		delete(d.leaving, l.ID)
	})
	d.mu.Lock()
	forgetters := d.forgetters
	d.mu.Unlock()
	for _, fn := range forgetters {
		fn(l.ID)
	}
	d.Apply([]platform.Entry{l}, nil)
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
	e.Version = l.Version
	e.ColdUntil = coldUntil(time.Now(), e.ColdUntil, l.ColdFor)
	if l.State != platform.Live {
		d.markLeaving(l.ID, l.Incarnation)
	}
}

// coldTolerance is by how much the reports of a cold endpoint may differ without a
// change of the list. They count down, and arrive with varying delays.
const coldTolerance = 500 * time.Millisecond

// coldUntil returns the time until which an endpoint is taken to be cold that has
// just reported to stay so for left, at most coldTolerance too late. last is the
// result of its previous report.
func coldUntil(now, last time.Time, left time.Duration) time.Time {
	if left <= 0 {
		return time.Time{}
	}
	until := now.Add(left + coldTolerance)
	if !last.IsZero() && until.Sub(last).Abs() < coldTolerance {
		return last
	}
	return until
}

// ApplyReport applies an endpoint's own report. Reports of unknown endpoints
// and of older incarnations are ignored.
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

// RecordLeaving records that an incarnation of an endpoint is leaving, as
// observed by this router or another one. This is final for the incarnation: an
// endpoint that is shutting down never accepts work again.
func (d *Directory) RecordLeaving(id coordination.Endpoint, n coordination.Incarnation) {
	d.mutate(func() { d.markLeaving(id, n) })
}

// HasLeft reports whether an incarnation of an endpoint, or a later one, is known to be
// leaving.
func (d *Directory) HasLeft(id coordination.Endpoint, n coordination.Incarnation) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	last, ok := d.leaving[id]
	return ok && n <= last
}

func (d *Directory) markLeaving(id coordination.Endpoint, n coordination.Incarnation) {
	if last, ok := d.leaving[id]; ok && n <= last {
		return
	}
	d.leaving[id] = n
	d.newlyLeaving = append(d.newlyLeaving, leavingMark{id, n})
	d.prune()
}

// prune removes the leaving marks of unlisted endpoints once there are
// maxLeaving marks. Until then they are kept, so that a lagging list does not
// bring such an endpoint back.
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

// mutate runs fn with the lock held, publishes a new snapshot, and then calls
// the callbacks without the lock, so that they may query the directory.
func (d *Directory) mutate(fn func()) {
	marks, watchers := d.publish(fn)
	for _, m := range marks {
		if d.OnLeaving != nil {
			d.OnLeaving(m.id, m.incarnation)
		}
	}
	for _, watcher := range watchers {
		watcher()
	}
}

// publish runs fn with the lock held and publishes the resulting snapshot. It
// returns the new leaving marks, and the watchers to call if the snapshot has
// changed.
func (d *Directory) publish(fn func()) (marks []leavingMark, watchers []func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.entries == nil {
		d.entries = make(map[coordination.Endpoint]*entry)
		d.leaving = make(map[coordination.Endpoint]coordination.Incarnation)
	}
	fn()
	marks, d.newlyLeaving = d.newlyLeaving, nil
	next := d.buildSnapshot()
	if equalSnapshots(d.current(), next) {
		return marks, nil
	}
	d.snapshot.Store(next)
	return marks, d.watchers
}

func (d *Directory) buildSnapshot() *snapshot {
	s := &snapshot{
		byID:  make(map[coordination.Endpoint]Info, len(d.entries)),
		pools: make(map[coordination.Pool][]Info),
	}
	for id, e := range d.entries {
		info := e.Info
		info.State = placement.Live
		if n, ok := d.leaving[id]; ok && info.Incarnation <= n {
			info.State = placement.Leaving
		}
		s.byID[id] = info
		s.all = append(s.all, info)
	}
	slices.SortFunc(s.all, compareByID)
	for _, info := range s.all {
		s.pools[info.Pool] = append(s.pools[info.Pool], info)
	}
	return s
}

func equalSnapshots(a, b *snapshot) bool {
	if len(a.byID) != len(b.byID) {
		return false
	}
	for id, info := range a.byID {
		if b.byID[id] != info {
			return false
		}
	}
	return true
}
