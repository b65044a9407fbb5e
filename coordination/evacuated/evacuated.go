// Package evacuated tracks the availability zones that operators have evacuated.
// Endpoints of such a zone get no new requests until the zone is restored; those
// that they already run go on. The package does no I/O.
package evacuated

import (
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/placement"
)

// Zones holds the evacuated availability zones. The zero value has none and is
// ready for use. It is safe for concurrent use.
type Zones struct {
	mu        sync.RWMutex
	evacuated map[coordination.Zone]bool
	restored  map[coordination.Zone]time.Time
}

// Evacuate evacuates a zone and reports whether it was not evacuated before. The
// zone need not have any endpoints yet.
func (z *Zones) Evacuate(zone coordination.Zone) bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	if z.evacuated[zone] {
		return false
	}
	if z.evacuated == nil {
		z.evacuated = make(map[coordination.Zone]bool)
	}
	z.evacuated[zone] = true
	return true
}

// Restore ends the evacuation of a zone. It counts as restored at now even if this
// router did not know that it was evacuated: the router may have missed a short
// evacuation, in which the endpoints became cold.
func (z *Zones) Restore(now time.Time, zone coordination.Zone) {
	z.mu.Lock()
	defer z.mu.Unlock()
	delete(z.evacuated, zone)
	if z.restored == nil {
		z.restored = make(map[coordination.Zone]time.Time)
	}
	z.restored[zone] = now
}

// Set evacuates the given zones and restores all others. It returns those that were
// not evacuated before, and those that were.
func (z *Zones) Set(now time.Time, zones []coordination.Zone) (evacuated, restored []coordination.Zone) {
	_, restored = lo.Difference(zones, z.List())
	for _, zone := range restored {
		z.Restore(now, zone)
	}
	for _, zone := range zones {
		if z.Evacuate(zone) {
			evacuated = append(evacuated, zone)
		}
	}
	return evacuated, restored
}

// Evacuated reports whether a zone is evacuated.
func (z *Zones) Evacuated(zone coordination.Zone) bool {
	z.mu.RLock()
	defer z.mu.RUnlock()
	return z.evacuated[zone]
}

// List returns the evacuated zones, sorted.
func (z *Zones) List() []coordination.Zone {
	z.mu.RLock()
	defer z.mu.RUnlock()
	names := lo.Keys(z.evacuated)
	slices.Sort(names)
	return names
}

// Empty reports whether no zone was ever evacuated, so that Apply changes nothing.
func (z *Zones) Empty() bool {
	z.mu.RLock()
	defer z.mu.RUnlock()
	return len(z.evacuated) == 0 && len(z.restored) == 0
}

// Apply returns d as its zone requires. A leaving endpoint keeps its state.
func (z *Zones) Apply(d placement.Descriptor) placement.Descriptor {
	z.mu.RLock()
	defer z.mu.RUnlock()
	if z.evacuated[d.Zone] && d.State != placement.Leaving {
		d.State = placement.Evacuated
	}
	d.Restored = z.restored[d.Zone]
	return d
}
