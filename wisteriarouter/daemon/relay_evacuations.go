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

// heldEvacuation is a change that a restore of the store has brought.
type heldEvacuation struct {
	evacuations *evacuations
	zone        coordination.Zone
	item        mirror.Item
	changes     mirror.Changes
}

func newEvacuations(p *placer, log event.Log) *evacuations {
	return &evacuations{placer: p, log: log, held: make(map[coordination.Zone]*heldEvacuation)}
}

// applyChanges applies changes of the store. Those of a restore take effect after
// evacuationHold unless a later change of the zone comes before.
func (e *evacuations) applyChanges(n mirror.Changes) {
	e.mu.Lock()
	defer e.mu.Unlock()
	changed := false
	for _, item := range n.Items {
		zone, ok := platform.EvacuatedZone(item.Key)
		if !ok {
			continue
		}
		delete(e.held, zone)
		if n.Restored {
			h := &heldEvacuation{evacuations: e, zone: zone, item: item, changes: n}
			e.held[zone] = h
			time.AfterFunc(evacuationHold, h.run)
			continue
		}
		e.apply(zone, item, n)
		changed = true
	}
	if changed {
		e.placer.signalChange()
	}
}

func (h *heldEvacuation) run() {
	e := h.evacuations
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.held[h.zone] != h {
		return
	}
	delete(e.held, h.zone)
	e.apply(h.zone, h.item, h.changes)
	e.placer.signalChange()
}

// apply evacuates an availability zone or restores it. The caller holds e.mu.
func (e *evacuations) apply(zone coordination.Zone, item mirror.Item, n mirror.Changes) {
	if item.Deleted {
		e.placer.zones.Restore(time.Now(), zone)
		e.logChange(event.ZoneRestored, zone, item, n)
	} else if e.placer.zones.Evacuate(zone) {
		e.logChange(event.ZoneEvacuated, zone, item, n)
	}
}

func (e *evacuations) logChange(kind event.Kind, zone coordination.Zone, item mirror.Item, n mirror.Changes) {
	e.log.Emit(kind,
		event.F("availability-zone", zone),
		event.F("endpoints", e.placer.countEndpoints(zone)),
		event.F("revision", item.Revision.Number()),
		event.F("from", sourceName(n.From)),
		event.F("behind-ms", n.Behind.Milliseconds()),
		event.F("unconfirmed-ms", n.Unconfirmed.Milliseconds()),
	)
}
