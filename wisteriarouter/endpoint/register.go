package endpoint

import (
	"sync"
	"time"

	"wisteriaspool/coordination"
	"wisteriaspool/wisteriarouter/event"
	"wisteriaspool/wisteriarouter/platform"
)

// Change is one change of an endpoint's entry in the store.
type Change struct {
	platform.Entry
	Removed bool // the entry was removed; only ID is set
}

const (
	// recoveryHold is how long after the recovery of the store an endpoint with
	// a missing entry is kept: entries whose leases expired are written again
	// within about two seconds. It is less than the two seconds after which an
	// endpoint that left without announcing it must receive no more requests.
	recoveryHold = 1900 * time.Millisecond
	// bulkHold is how long endpoints are kept whose entries were removed
	// together although no outage of the store was detected.
	bulkHold = 1700 * time.Millisecond
	// bulkWindow and bulkFraction distinguish expired leases from endpoints
	// that end: so large a fraction of a pool does not end within so short a
	// time without announcing it.
	bulkWindow   = 500 * time.Millisecond
	bulkFraction = 0.34
	// earlierHold is how long an entry of an earlier incarnation than is known must stay
	// before it is applied. It may be a late write of a process that has ended, whose
	// successor writes again soon; or the later one was not the
	// endpoint's own.
	earlierHold = 1500 * time.Millisecond
)

// EntryTracker applies the changes of endpoints' entries to a directory. A
// removed entry means that its endpoint has left or died, unless the store was
// unavailable to all routers: then the leases of live endpoints have expired,
// and removing these endpoints would leave the router without any for some
// seconds. An outage that affects only this router is no reason to keep
// endpoints, because other routers forward the changes to it.
type EntryTracker struct {
	Directory *Directory
	// StoreUnavailable, if set, reports whether the store is unavailable to all
	// routers.
	StoreUnavailable func() bool
	Log              event.Log

	mu             sync.Mutex
	recoveredAt    time.Time // when the store last recovered
	recentRemovals []time.Time
	removalTimers  endpointTimers
	latest         map[coordination.Endpoint]latestEntry
	returnTimers   endpointTimers // of entries that a restored store has again
	earlier        map[coordination.Endpoint]*earlierEntry
}

// earlierEntry is an entry of an earlier incarnation than is known that waits for its hold.
type earlierEntry struct {
	tracker *EntryTracker
	entry   platform.Entry
	timer   *time.Timer
}

// endpointTimers holds a timer for some endpoints.
type endpointTimers map[coordination.Endpoint]*time.Timer

// cancel stops and removes the timer of an endpoint, if any.
func (t endpointTimers) cancel(id coordination.Endpoint) {
	if timer := t[id]; timer != nil {
		timer.Stop()
		delete(t, id)
	}
}

// StoreRecovered records that the store is available again after an outage for
// all routers.
func (t *EntryTracker) StoreRecovered() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recoveredAt = time.Now()
}

// Apply applies changes, which must be in the order in which they were made.
func (t *EntryTracker) Apply(changes []Change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.apply(time.Now(), changes)
}

// apply is Apply for callers that hold t.mu.
func (t *EntryTracker) apply(now time.Time, changes []Change) {
	var put []platform.Entry
	var removed []coordination.Endpoint
	for _, c := range changes {
		t.returnTimers.cancel(c.ID)
		if !c.Removed && t.Directory.Supersedes(c.ID, c.Incarnation) {
			t.removalTimers.cancel(c.ID)
			t.holdEarlier(c.Entry)
			// Which of the versions the endpoint has is not known before its next entry.
			if known, ok := t.Directory.Find(c.ID); ok && known.Version != c.Version {
				removed = append(removed, c.ID)
			}
			continue
		}
		t.dropEarlier(c.ID)
		if !c.Removed {
			t.removalTimers.cancel(c.ID)
			t.recordEntry(c.Entry)
			put = append(put, c.Entry)
			continue
		}
		t.recordRemoved(now, c.ID)
		if t.holdRemoved(now, c.ID) {
			continue
		}
		removed = append(removed, c.ID)
	}
	t.Directory.Apply(put, removed)
}

// holdEarlier applies an entry of an earlier incarnation than is known after earlierHold,
// unless the entry of a later one comes before or it is removed. The caller holds t.mu.
func (t *EntryTracker) holdEarlier(e platform.Entry) {
	if h := t.earlier[e.ID]; h != nil {
		h.entry = e
		return
	}
	if t.earlier == nil {
		t.earlier = make(map[coordination.Endpoint]*earlierEntry)
	}
	h := &earlierEntry{tracker: t, entry: e}
	h.timer = time.AfterFunc(earlierHold, h.run)
	t.earlier[e.ID] = h
}

// dropEarlier drops the entry of an earlier incarnation that is held. The caller holds t.mu.
func (t *EntryTracker) dropEarlier(id coordination.Endpoint) {
	if h := t.earlier[id]; h != nil {
		h.timer.Stop()
		delete(t.earlier, id)
	}
}

func (h *earlierEntry) run() {
	t := h.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.earlier[h.entry.ID] != h {
		return
	}
	delete(t.earlier, h.entry.ID)
	t.recordEntry(h.entry)
	t.Log.Emit(event.EndpointEarlier, event.F("endpoint", h.entry.ID), event.F("incarnation", h.entry.Incarnation))
	t.Directory.Replace(h.entry)
}

// holdRemoved delays the removal of an endpoint if its entry may come back, and
// reports whether it does. The caller holds t.mu.
func (t *EntryTracker) holdRemoved(now time.Time, id coordination.Endpoint) bool {
	info, ok := t.Directory.Find(id)
	if !ok || info.Leaving() {
		return false
	}
	d := t.holdDuration(now, len(t.Directory.Pool(info.Pool)))
	if d <= 0 {
		return false
	}
	t.removalTimers.cancel(id)
	t.scheduleRemoval(id, d)
	t.Log.Emit(event.EndpointHeld, event.F("endpoint", id), event.F("for-ms", d.Milliseconds()))
	return true
}

// holdDuration returns how long to keep an endpoint whose entry was removed at
// now, zero for not at all. endpoints is the size of its pool.
func (t *EntryTracker) holdDuration(now time.Time, endpoints int) time.Duration {
	bulk := t.recordRemoval(now, endpoints)
	switch {
	case now.Sub(t.recoveredAt) < recoveryHold:
		return recoveryHold - now.Sub(t.recoveredAt)
	case bulk:
		return bulkHold
	default:
		return 0
	}
}

// scheduleRemoval removes an endpoint after d unless the removal is canceled.
// The caller holds t.mu.
func (t *EntryTracker) scheduleRemoval(id coordination.Endpoint, d time.Duration) {
	if t.removalTimers == nil {
		t.removalTimers = make(endpointTimers)
	}
	t.removalTimers[id] = time.AfterFunc(d, func() { t.removeHeld(id) })
}

// recordRemoval records a removal and reports whether the removals within
// bulkWindow exceed bulkFraction of the pool.
func (t *EntryTracker) recordRemoval(now time.Time, endpoints int) bool {
	recent := t.recentRemovals[:0]
	for _, at := range t.recentRemovals {
		if now.Sub(at) < bulkWindow {
			recent = append(recent, at)
		}
	}
	t.recentRemovals = append(recent, now)
	return len(t.recentRemovals) > 1 && float64(len(t.recentRemovals)) > bulkFraction*float64(endpoints)
}

// removeHeld removes an endpoint whose entry has not come back. While the store
// is unavailable, a missing entry says nothing about its endpoint, and the
// removal is postponed.
func (t *EntryTracker) removeHeld(id coordination.Endpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.removalTimers[id] == nil {
		return
	}
	if t.StoreUnavailable != nil && t.StoreUnavailable() {
		t.scheduleRemoval(id, recoveryHold)
		return
	}
	if since := time.Since(t.recoveredAt); since < recoveryHold {
		t.scheduleRemoval(id, recoveryHold-since)
		return
	}
	delete(t.removalTimers, id)
	t.Directory.Apply(nil, []coordination.Endpoint{id})
}
