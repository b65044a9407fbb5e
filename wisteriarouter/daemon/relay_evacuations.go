package daemon

import (
	"sync"
	"time"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/mirror"
	"wisteriaspool/platform"
	"wisteriaspool/wisteriarouter/event"
)

// evacuationHold is how long an availability zone stays evacuated, or not, that a restored
// store has otherwise. The copy may be older than the operators' latest change, which they
// write again.
const evacuationHold = 5 * time.Second

// evacuations evacuates and restores availability zones as the store says.
type evacuations struct {
	placer *placer
	log    event.Log

	mu   sync.Mutex
	held map[coordination.Zone]*heldEvacuation
}

func newEvacuations(p *placer, log event.Log) *evacuations {
	return &evacuations{placer: p, log: log, held: make(map[coordination.Zone]*heldEvacuation)}
}

// applyChanges applies changes of the store. Those of a restore take effect after
// evacuationHold unless a later change of the zone comes before.
func (e *evacuations) applyChanges(n mirror.Changes) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var changes []evacuationChange
	for _, item := range n.Items {
		zone, ok := platform.EvacuatedZone(item.Key)
		if !ok {
			continue
		}
		delete(e.held, zone)
		c := evacuationChange{zone: zone, item: item, changes: n}
		if n.Restored {
			h := &heldEvacuation{evacuationChange: c, evacuations: e}
			e.held[zone] = h
			time.AfterFunc(evacuationHold, h.run)
			continue
		}
		changes = append(changes, c)
	}
	e.apply(changes)
}

// evacuationChange evacuates an availability zone or restores it.
type evacuationChange struct {
	zone    coordination.Zone
	item    mirror.Item
	changes mirror.Changes
}

// heldEvacuation is a change that a restore of the store has brought.
type heldEvacuation struct {
	evacuationChange
	evacuations *evacuations
}

func (h *heldEvacuation) run() {
	e := h.evacuations
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.held[h.zone] != h {
		return
	}
	delete(e.held, h.zone)
	e.apply([]evacuationChange{h.evacuationChange})
}

// apply makes changes and logs them once requests are placed by them. The caller holds e.mu.
func (e *evacuations) apply(changes []evacuationChange) {
	if len(changes) == 0 {
		return
	}
	kinds := make([]event.Kind, len(changes))
	for i, c := range changes {
		if c.item.Deleted {
			e.placer.zones.Restore(time.Now(), c.zone)
			kinds[i] = event.ZoneRestored
		} else if e.placer.zones.Evacuate(c.zone) {
			kinds[i] = event.ZoneEvacuated
		}
	}
	e.placer.update()
	for i, c := range changes {
		if kinds[i] != (event.Kind{}) {
			e.logChange(kinds[i], c)
		}
	}
}

func (e *evacuations) logChange(kind event.Kind, c evacuationChange) {
	e.log.Emit(kind,
		event.F("availability-zone", c.zone),
		event.F("endpoints", e.placer.countEndpoints(c.zone)),
		event.F("revision", c.item.Revision.Number()),
		event.F("from", sourceName(c.changes.From)),
		event.F("behind-ms", c.changes.Behind.Milliseconds()),
		event.F("unconfirmed-ms", c.changes.Unconfirmed.Milliseconds()),
	)
}
