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
	// while the pool was mixed have ended.
	noteInterval = 30 * time.Second
	noteTTL      = maxStreamAge + noteInterval
	// noteSpread is the range of the random delay before a note. Of all routers, which
	// see a pool become mixed at one moment, few then write one.
	noteSpread = 100 * time.Millisecond
	// noteCheckInterval is how often a router looks whether notes have to be renewed.
	noteCheckInterval = 5 * time.Second
)

// versionHistory tells which pools have endpoints of several versions of their software,
// or had within maxStreamAge. What this router has seen is kept in the platform's store
// as well, as notes that expire, so that routers that start know it, also after all have
// been killed.
type versionHistory struct {
	store     noteStore
	directory *endpoint.Directory
	log       event.Log
	changed   chan struct{} // buffered; holds a value if a pool may have become mixed

	mu      sync.Mutex
	current map[coordination.Pool]versionSet
	gone    map[coordination.Pool]map[coordination.SoftwareVersion]time.Time // when each version was last listed
	notes   map[coordination.Pool]map[string]note                            // by key
	latest  map[coordination.Pool]kv.Revision                                // of the latest note
}

// note is a note in the store that a pool is mixed.
type note struct {
	seen time.Time // when this router first saw it
	lost bool      // a restored store does not have it any more
}

type versionSet map[coordination.SoftwareVersion]bool

// noteStore is the part of the platform's store that notes need.
type noteStore interface {
	Grant(ctx context.Context, ttl time.Duration) (kv.Lease, kv.Result)
	Create(ctx context.Context, key string, value []byte, lease kv.Lease) kv.Result
}

func newVersionHistory(i do.Injector) (*versionHistory, error) {
	h := &versionHistory{
		store:     do.MustInvoke[*platform.Store](i),
		directory: do.MustInvoke[*endpoint.Directory](i),
		log:       logOf(i),
		changed:   make(chan struct{}, 1),
		current:   make(map[coordination.Pool]versionSet),
		gone:      make(map[coordination.Pool]map[coordination.SoftwareVersion]time.Time),
		notes:     make(map[coordination.Pool]map[string]note),
		latest:    make(map[coordination.Pool]kv.Revision),
	}
	do.MustInvoke[*mirror.Mirror](i).Observe(h.applyChanges)
	do.MustInvoke[*placer](i).observe(h.update)
	ctx, cancel := context.WithCancel(context.Background())
	go h.loop(ctx)
	onStop(i, cancel)
	return h, nil
}

// applyChanges reads the notes in the store. Those that a restored store has lost still
// count, and are written again.
func (h *versionHistory) applyChanges(n mirror.Changes) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, item := range n.Items {
		pool, ok := platform.MixedPool(item.Key)
		switch {
		case !ok:
		case !item.Deleted:
			if h.notes[pool] == nil {
				h.notes[pool] = make(map[string]note)
			}
			h.notes[pool][item.Key] = note{seen: time.Now()}
			h.latest[pool] = max(h.latest[pool], item.Revision)
		case !n.Restored:
			delete(h.notes[pool], item.Key)
		default:
			if lost, ok := h.notes[pool][item.Key]; ok {
				lost.lost = true
				h.notes[pool][item.Key] = lost
			}
			h.signalChange()
		}
	}
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
	h.mu.Lock()
	defer h.mu.Unlock()
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
}

// Single reports whether all endpoints of a pool have, and had for as long as a stream
// may last, one version of their software.
func (h *versionHistory) Single(pool coordination.Pool) bool {
	versions := make(versionSet)
	for _, k := range h.directory.Pool(pool) {
		versions[k.Version] = true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	h.addRecent(now, pool, versions)
	return len(versions) <= 1 && !h.noted(now, pool)
}

// noted reports whether there is a note on a pool, and forgets lost ones that would have
// ended by now. The caller holds h.mu.
func (h *versionHistory) noted(now time.Time, pool coordination.Pool) bool {
	maps.DeleteFunc(h.notes[pool], func(_ string, n note) bool { return n.lost && now.Sub(n.seen) > noteTTL })
	return len(h.notes[pool]) > 0
}

// addRecent adds to a set the versions that the endpoints of a pool have had lately. The
// caller holds h.mu.
func (h *versionHistory) addRecent(now time.Time, pool coordination.Pool, versions versionSet) {
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
		for _, pool := range h.unnoted() {
			h.note(ctx, pool)
		}
	}
}

// unnoted returns the mixed pools of which the store has no recent note, and those whose
// notes it has lost.
func (h *versionHistory) unnoted() []coordination.Pool {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	var pools []coordination.Pool
	for pool := range h.current {
		versions := make(versionSet)
		h.addRecent(now, pool, versions)
		mixed := len(versions) > 1 || h.noted(now, pool)
		if mixed && !h.hasRecentNote(now, pool, len(versions) > 1) {
			pools = append(pools, pool)
		}
	}
	return pools
}

// hasRecentNote reports whether the store has a note on a pool. While the pool is mixed, a
// note that is about to end does not count. The caller holds h.mu.
func (h *versionHistory) hasRecentNote(now time.Time, pool coordination.Pool, mixed bool) bool {
	for _, n := range h.notes[pool] {
		if !n.lost && (!mixed || now.Sub(n.seen) < noteInterval) {
			return true
		}
	}
	return false
}

// note writes that a pool is mixed. Routers that know the same notes write the same key, so
// that one of them succeeds. If that fails, the next check tries again.
func (h *versionHistory) note(ctx context.Context, pool coordination.Pool) {
	h.mu.Lock()
	mark := strconv.FormatInt(int64(h.latest[pool]), 10)
	h.mu.Unlock()
	lease, res := h.store.Grant(ctx, noteTTL)
	if res.Status == kv.Applied {
		res = h.store.Create(ctx, platform.MixedKey(pool, mark), nil, lease)
	}
	h.log.Emit(event.MixedVersions, event.F("pool", pool), event.F("status", res.Status.String()), event.F("error", errorText(res.Err)))
}
