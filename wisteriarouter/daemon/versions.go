package daemon

import (
	"context"
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
	notes   map[coordination.Pool]map[string]time.Time                       // when this router first saw each note
	latest  map[coordination.Pool]kv.Revision                                // of the latest note
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
		notes:     make(map[coordination.Pool]map[string]time.Time),
		latest:    make(map[coordination.Pool]kv.Revision),
	}
	do.MustInvoke[*mirror.Mirror](i).Observe(h.applyChanges)
	do.MustInvoke[*placer](i).observe(h.update)
	ctx, cancel := context.WithCancel(context.Background())
	go h.loop(ctx)
	onStop(i, cancel)
	return h, nil
}

// applyChanges reads the notes in the store.
func (h *versionHistory) applyChanges(n mirror.Changes) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, item := range n.Items {
		pool, ok := platform.MixedPool(item.Key)
		switch {
		case !ok:
		case item.Deleted:
			delete(h.notes[pool], item.Key)
		default:
			if h.notes[pool] == nil {
				h.notes[pool] = make(map[string]time.Time)
			}
			h.notes[pool][item.Key] = time.Now()
			h.latest[pool] = max(h.latest[pool], item.Revision)
		}
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
	select {
	case h.changed <- struct{}{}:
	default:
	}
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
	h.addRecent(time.Now(), pool, versions)
	return len(versions) <= 1 && len(h.notes[pool]) == 0
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

// unnoted returns the mixed pools of which the store has no recent note.
func (h *versionHistory) unnoted() []coordination.Pool {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	var pools []coordination.Pool
	for pool := range h.current {
		versions := make(versionSet)
		h.addRecent(now, pool, versions)
		recent := false
		for _, seen := range h.notes[pool] {
			recent = recent || now.Sub(seen) < noteInterval
		}
		if len(versions) > 1 && !recent {
			pools = append(pools, pool)
		}
	}
	return pools
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
