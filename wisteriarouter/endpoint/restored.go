package endpoint

import (
	"time"

	"wisteriaspool/coordination"
	"wisteriaspool/wisteriarouter/event"
	"wisteriaspool/wisteriarouter/platform"
)

// returnHold is how long an endpoint whose entry had been removed stays removed when a
// restored store has its entry again. The store removes the entry of an endpoint that does
// not renew it after some four seconds.
const returnHold = 5 * time.Second

// latestTTL is how long the latest entry of an endpoint is remembered after its removal. It
// exceeds the age of any copy from which the store is restored.
const latestTTL = 2 * time.Minute

// latestEntry tells which entry of an endpoint is the latest known one.
type latestEntry struct {
	incarnation coordination.Incarnation
	sequence    int64
	removedAt   time.Time // zero while the entry exists
}

// precedes reports whether an entry is later than the latest known one.
func (l latestEntry) precedes(e platform.Entry) bool {
	if e.Incarnation != l.incarnation {
		return e.Incarnation > l.incarnation
	}
	return e.Sequence > l.sequence
}

// ApplyRestored applies the differences of a store that has been restored from a copy. Its
// entries may be older than what is known: they return endpoints that have left since, and
// lack those that have started since, until these write their entries again.
func (t *EntryTracker) ApplyRestored(changes []Change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.recoveredAt = now
	var later []Change
	for _, c := range changes {
		known, ok := t.latest[c.ID]
		switch {
		case c.Removed || !ok || known.precedes(c.Entry):
			later = append(later, c)
		case known.removedAt.IsZero():
			t.removalTimers.cancel(c.ID)
		default:
			t.scheduleReturn(c)
		}
	}
	t.apply(now, later)
}

// recordEntry records the latest entry of an endpoint. The caller holds t.mu.
func (t *EntryTracker) recordEntry(e platform.Entry) {
	if t.latest == nil {
		t.latest = make(map[coordination.Endpoint]latestEntry)
	}
	t.latest[e.ID] = latestEntry{incarnation: e.Incarnation, sequence: e.Sequence}
}

// recordRemoved records that the entry of an endpoint has been removed, and forgets those
// that were removed long ago. The caller holds t.mu.
func (t *EntryTracker) recordRemoved(now time.Time, id coordination.Endpoint) {
	if l, ok := t.latest[id]; ok && l.removedAt.IsZero() {
		l.removedAt = now
		t.latest[id] = l
	}
	for id, l := range t.latest {
		if !l.removedAt.IsZero() && now.Sub(l.removedAt) > latestTTL {
			delete(t.latest, id)
		}
	}
}

// scheduleReturn applies an entry after returnHold unless a later change of the endpoint
// comes before. The caller holds t.mu.
func (t *EntryTracker) scheduleReturn(c Change) {
	t.returnTimers.cancel(c.ID)
	if t.returnTimers == nil {
		t.returnTimers = make(endpointTimers)
	}
	t.returnTimers[c.ID] = time.AfterFunc(returnHold, func() { t.applyReturned(c) })
	t.Log.Emit(event.EndpointNotReturned, event.F("endpoint", c.ID), event.F("for-ms", returnHold.Milliseconds()))
}

func (t *EntryTracker) applyReturned(c Change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.returnTimers[c.ID] != nil {
		t.apply(time.Now(), []Change{c})
	}
}
