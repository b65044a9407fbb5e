package daemon

import (
	"context"
	"maps"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/samber/do/v2"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/kv"
	"wisteriaspool/coordination/mirror"
	"wisteriaspool/coordination/origin"
	"wisteriaspool/platform"
	"wisteriaspool/wisteriarouter/endpoint"
	"wisteriaspool/wisteriarouter/event"
)

const (
	// maxStreamAge is how long after its beginning a stream may be taken up, over all
	// tries of its caller.
	maxStreamAge = time.Minute
	// noteInterval is the time between two notes on a pool that stays mixed. Each note
	// lasts for maxStreamAge longer, so that one exists until the streams that began
	// while the pool was mixed have ended, also if all routers are killed meanwhile.
	noteInterval = 30 * time.Second
	// noteSlack is for how long a note may be due: until the next check, or while the
	// store takes none.
	noteSlack = 30 * time.Second
	noteTTL   = maxStreamAge + noteInterval + noteSlack
	// noteSpread is the range of the random delay before a note. Of all routers, which
	// see a pool become mixed at one moment, few then write one.
	noteSpread = 100 * time.Millisecond
	// noteCheckInterval is how often a router looks whether notes have to be renewed.
	noteCheckInterval = 5 * time.Second
	// recordSpread is the range of the random delay before the versions of pools are
	// recorded. All routers find at one moment, when the fleet starts, that they are not.
	recordSpread = 500 * time.Millisecond
)

// versionHistory tells which pools have endpoints of several versions of their software,
// or had within maxStreamAge. What this router has seen is kept in the platform's store
// as well, as notes that expire, so that routers that start know it, also after all have
// been killed. The store also has a lasting record of the version of each pool that has only
// one. A router that starts compares the pools with it, so that it notices a change which
// came while no router was running, or which none could note.
type versionHistory struct {
	mirror    *mirror.Mirror
	store     noteStore
	directory *endpoint.Directory
	log       event.Log
	changed   chan struct{} // buffered; holds a value if a pool may have become mixed
	observers []func(coordination.Pool)

	mu      sync.Mutex
	current map[coordination.Pool]versionSet
	gone    map[coordination.Pool]map[coordination.SoftwareVersion]time.Time // when each version was last listed
	links   poolLinks
	notes   map[platform.NotedPool]map[string]note // by key
	latest  map[platform.NotedPool]kv.Revision     // of the latest note
	// inherited is the record that this router has found in the store, and inheritedAt
	// when, which is zero before. Streams that began at these versions may be taken up.
	inherited   map[coordination.Pool]coordination.SoftwareVersion
	inheritedAt time.Time
	// knownSince is when this router had the contents of the store for the first time.
	knownSince time.Time
}

// note is a note in the store that a pool is mixed.
type note struct {
	seen    time.Time // when this router first saw it
	written time.Time // when it was written, at the earliest; zero if that is not known
	lost    bool      // a restored store does not have it any more
}

type versionSet map[coordination.SoftwareVersion]bool

// noteStore is the part of the platform's store that notes need.
type noteStore interface {
	Grant(ctx context.Context, ttl time.Duration) (kv.Lease, kv.Result)
	Create(ctx context.Context, key string, value []byte, lease kv.Lease) kv.Result
	Replace(ctx context.Context, key string, value []byte, revision kv.Revision, lease kv.Lease) kv.Result
}

func newVersionHistory(i do.Injector) (*versionHistory, error) {
	h := &versionHistory{
		mirror:    do.MustInvoke[*mirror.Mirror](i),
		store:     do.MustInvoke[*platform.Store](i),
		directory: do.MustInvoke[*endpoint.Directory](i),
		log:       logOf(i),
		changed:   make(chan struct{}, 1),
		current:   make(map[coordination.Pool]versionSet),
		gone:      make(map[coordination.Pool]map[coordination.SoftwareVersion]time.Time),
		notes:     make(map[platform.NotedPool]map[string]note),
		latest:    make(map[platform.NotedPool]kv.Revision),
	}
	h.mirror.Observe(h.applyChanges)
	do.MustInvoke[*placer](i).observe(h.update)
	ctx, cancel := context.WithCancel(context.Background())
	go h.loop(ctx)
	go h.run(ctx)
	onStop(i, cancel)
	return h, nil
}

// onMixed registers fn to be called with each pool that has become mixed. It must be called
// before the first update.
func (h *versionHistory) onMixed(fn func(coordination.Pool)) { h.observers = append(h.observers, fn) }

// reportMixed calls the observers with the pools that are mixed and were not before.
func (h *versionHistory) reportMixed(before map[coordination.Pool]bool) {
	h.mu.Lock()
	now := h.mixed(time.Now())
	h.mu.Unlock()
	for pool := range now {
		if before[pool] {
			continue
		}
		for _, fn := range h.observers {
			fn(pool)
		}
	}
}

// mixed returns the pools that have endpoints of several versions, or had lately. The caller
// holds h.mu.
func (h *versionHistory) mixed(now time.Time) map[coordination.Pool]bool {
	all := make(map[coordination.Pool]bool)
	for pool := range h.current {
		versions := make(versionSet)
		h.addRecent(now, pool, versions)
		if len(versions) > 1 || h.noted(now, pool) {
			all[pool] = true
		}
	}
	return all
}

// applyChanges reads the notes in the store. Those that a restored store has lost still
// count, and are written again.
func (h *versionHistory) applyChanges(n mirror.Changes) {
	h.reportMixed(h.applyItems(n))
}

// applyItems reads the notes and returns the pools that were mixed before.
func (h *versionHistory) applyItems(n mirror.Changes) (mixed map[coordination.Pool]bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	mixed = h.mixed(time.Now())
	if h.knownSince.IsZero() {
		h.knownSince = time.Now()
	}
	for _, item := range n.Items {
		pool, ok := platform.NotedIn(item.Key)
		switch {
		case item.Key == platform.VersionsKey:
			h.inherit(item)
		case !ok:
		case !item.Deleted:
			if h.notes[pool] == nil {
				h.notes[pool] = make(map[string]note)
			}
			h.notes[pool][item.Key] = newNote(time.Now(), n)
			h.latest[pool] = max(h.latest[pool], item.Revision)
		case !n.Restored:
			delete(h.notes[pool], item.Key)
			h.signalChange()
		default:
			if lost, ok := h.notes[pool][item.Key]; ok {
				lost.lost = true
				h.notes[pool][item.Key] = lost
			}
			h.signalChange()
		}
	}
	return mixed
}

// newNote returns a note that is among the changes of a mirror. One that the mirror has as
// its first contents, or from a restored store, may be of any age.
func newNote(now time.Time, n mirror.Changes) note {
	if n.Before == 0 || n.Restored {
		return note{seen: now}
	}
	return note{seen: now, written: now.Add(-n.Unconfirmed)}
}

// inherit reads the record of the versions if it is the first that this router sees. Later
// ones tell nothing that it has not seen itself. The caller holds h.mu.
func (h *versionHistory) inherit(item mirror.Item) {
	if !h.inheritedAt.IsZero() || item.Deleted {
		return
	}
	versions, err := platform.DecodeVersions(item.Value)
	if err != nil {
		h.log.Emit(event.SettingsInvalid, event.F("key", item.Key), event.F("revision", item.Revision.Number()), event.F("error", err.Error()))
		return
	}
	h.inherited, h.inheritedAt = versions, time.Now()
}

// signalChange makes the loop look for pools to note. It does not block.
func (h *versionHistory) signalChange() {
	select {
	case h.changed <- struct{}{}:
	default:
	}
}

// update records the versions in a list of endpoints, before requests are placed by it.
func (h *versionHistory) update(all []endpoint.Info) {
	now := time.Now()
	next := make(map[coordination.Pool]versionSet)
	for _, k := range all {
		if next[k.Pool] == nil {
			next[k.Pool] = make(versionSet)
		}
		next[k.Pool][k.Version] = true
	}
	h.reportMixed(h.replace(now, next))
}

// replace records that the pools have the versions in next and returns the pools that were
// mixed before.
func (h *versionHistory) replace(now time.Time, next map[coordination.Pool]versionSet) (mixed map[coordination.Pool]bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	mixed = h.mixed(now)
	for pool, versions := range h.current {
		for v := range versions {
			if next[pool][v] {
				continue
			}
			if h.gone[pool] == nil {
				h.gone[pool] = make(map[coordination.SoftwareVersion]time.Time)
			}
			h.gone[pool][v] = now
		}
	}
	h.current = next
	h.signalChange()
	return mixed
}

// Single reports whether all endpoints at which streams of a pool's routes may have begun have
// one version of their software, as far as this router knows.
func (h *versionHistory) Single(pool coordination.Pool) bool {
	_, single := h.only(pool)
	return single
}

// view returns what this router knows of a pool's versions.
func (h *versionHistory) view(pool coordination.Pool) origin.View {
	v, single := h.only(pool)
	return origin.View{Single: single, Version: v}
}

// recent reports whether the store has confirmed what this router knows within maxStreamAge.
func (h *versionHistory) recent() bool { return h.mirror.Age() <= maxStreamAge }

// only returns the version of a pool's endpoints, which is empty if it has none, and whether
// there is, and was for as long as a stream may last, no other, also in the pools that it shares
// routes with.
func (h *versionHistory) only(pool coordination.Pool) (v coordination.SoftwareVersion, single bool) {
	versions := make(versionSet)
	for _, k := range h.directory.Pool(pool) {
		versions[k.Version] = true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	h.addRecent(now, pool, versions)
	for v = range versions {
		break
	}
	return v, len(versions) <= 1 && !h.noted(now, pool)
}

// noted reports whether there is a note on a pool, and forgets lost ones that would have
// ended by now. The caller holds h.mu.
func (h *versionHistory) noted(now time.Time, pool coordination.Pool) bool {
	noted := platform.Noted(pool)
	maps.DeleteFunc(h.notes[noted], func(_ string, n note) bool { return n.lost && now.Sub(n.seen) > noteTTL })
	return len(h.notes[noted]) > 0
}

// addRecent adds to a set the versions at which the streams of a pool's routes may have begun
// lately. The caller holds h.mu.
func (h *versionHistory) addRecent(now time.Time, pool coordination.Pool, versions versionSet) {
	h.addOwn(now, pool, versions)
	for linked := range h.links.recent(now, pool) {
		h.addOwn(now, linked, versions)
	}
}

// addOwn adds to a set the versions that the endpoints of a pool have had lately. The caller
// holds h.mu.
func (h *versionHistory) addOwn(now time.Time, pool coordination.Pool, versions versionSet) {
	if v, ok := h.inherited[pool]; ok && now.Sub(h.inheritedAt) <= maxStreamAge {
		versions[v] = true
	}
	for v := range h.current[pool] {
		versions[v] = true
	}
	for v, at := range h.gone[pool] {
		if now.Sub(at) > maxStreamAge {
			delete(h.gone[pool], v)
			continue
		}
		versions[v] = true
	}
}

func (h *versionHistory) loop(ctx context.Context) {
	t := time.NewTicker(noteCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-h.changed:
		case <-t.C:
		}
		if len(h.unnoted()) == 0 || !coordination.Sleep(ctx, rand.N(noteSpread)) {
			continue
		}
		for pool := range h.unnoted() {
			h.note(ctx, pool)
		}
	}
}

// unnoted returns the mixed pools of which the store has no note that lasts long enough.
func (h *versionHistory) unnoted() map[coordination.Pool]bool {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	pools := h.mixed(now)
	maps.DeleteFunc(pools, func(pool coordination.Pool, _ bool) bool { return h.hasNote(pool, h.lastMixed(now, pool)) })
	return pools
}

// lastMixed returns when this router last knew a pool to have several versions, or zero if
// it never did. The caller holds h.mu.
func (h *versionHistory) lastMixed(now time.Time, pool coordination.Pool) (last time.Time) {
	if len(h.current[pool]) > 1 {
		return now
	}
	last = h.lastLinked(now, pool)
	if v, ok := h.inherited[pool]; ok && !h.current[pool][v] && h.inheritedAt.After(last) {
		last = h.inheritedAt
	}
	for v, at := range h.gone[pool] {
		if !h.current[pool][v] && at.After(last) {
			last = at
		}
	}
	return last
}

// hasNote reports whether the store has a note that lasts long enough for a pool that was
// mixed at a time, or has any note if that is zero. The caller holds h.mu.
func (h *versionHistory) hasNote(pool coordination.Pool, mixed time.Time) bool {
	for _, n := range h.notes[platform.Noted(pool)] {
		if !n.lost && (mixed.IsZero() || mixed.Sub(n.written) < noteInterval) {
			return true
		}
	}
	return false
}

// note writes that a pool is mixed. Routers that know the same notes write the same key, so
// that one of them succeeds. If that fails, the next check tries again.
func (h *versionHistory) note(ctx context.Context, pool coordination.Pool) {
	h.mu.Lock()
	mark := strconv.FormatInt(int64(h.latest[platform.Noted(pool)]), 10)
	h.mu.Unlock()
	lease, res := h.store.Grant(ctx, noteTTL)
	if res.Status == kv.Applied {
		res = h.store.Create(ctx, platform.MixedKey(pool, mark), nil, lease)
	}
	h.log.Emit(event.MixedVersions, event.F("pool", pool), event.F("status", res.Status.String()), event.F("error", errorText(res.Err)))
}

// run records the versions of pools that have one version only.
func (h *versionHistory) run(ctx context.Context) {
	t := time.NewTicker(recordSpread)
	defer t.Stop()
	h.mirror.Wait(ctx, 0, nil)
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if _, _, changed := h.unrecorded(); changed && coordination.Sleep(ctx, rand.N(recordSpread)) {
			h.record(ctx)
		}
	}
}

// unrecorded returns what the record should be, and the revision of the one in the store,
// or zero if there is none. It reports whether they differ. A pool that is mixed, or was
// lately, keeps its former record: routers that start meanwhile must not take it for one
// that has always had one version. Notes count for those that may not have seen what they
// tell of themselves: restarts would else renew them, and keep the record, without end.
func (h *versionHistory) unrecorded() (versions map[coordination.Pool]coordination.SoftwareVersion, revision kv.Revision, changed bool) {
	item, ok := h.mirror.Find(platform.VersionsKey)
	if ok {
		revision = item.Revision
		// What cannot be decoded is overwritten.
		versions, _ = platform.DecodeVersions(item.Value)
	}
	if versions == nil {
		versions = make(map[coordination.Pool]coordination.SoftwareVersion)
	}
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	seenAll := !h.knownSince.IsZero() && now.Sub(h.knownSince) > maxStreamAge+noteCheckInterval
	for pool, current := range h.current {
		all := maps.Clone(current)
		h.addRecent(now, pool, all)
		if len(all) != 1 || !seenAll && h.noted(now, pool) {
			continue
		}
		for v := range all {
			if recorded, ok := versions[pool]; !ok || recorded != v {
				versions[pool], changed = v, true
			}
		}
	}
	return versions, revision, changed
}

// record writes the record, unless another router has done so. If that fails, the next
// check tries again.
func (h *versionHistory) record(ctx context.Context) {
	versions, revision, changed := h.unrecorded()
	if !changed {
		return
	}
	res := h.store.Replace(ctx, platform.VersionsKey, platform.EncodeVersions(versions), revision, kv.Lease{})
	h.log.Emit(event.VersionsRecorded, event.F("pools", len(versions)), event.F("status", res.Status.String()), event.F("error", errorText(res.Err)))
}
