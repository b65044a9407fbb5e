package placement

import (
	"time"

	"wisteriaspool/coordination"
)

// removal is the removal of an endpoint from an owner's list.
type removal struct {
	incarnation coordination.Incarnation // of the endpoint when it was removed
	at          time.Time
}

// removedBy returns the removals to remember, each for ttl, when the list of v is replaced
// by set.
func (v *view) removedBy(now time.Time, set *Set, ttl time.Duration) map[coordination.Endpoint]removal {
	all := make(map[coordination.Endpoint]removal)
	for id, r := range v.removed {
		if now.Sub(r.at) < ttl {
			all[id] = r
		}
	}
	for id, d := range v.set.byID {
		if set.Find(id) == nil {
			all[id] = removal{incarnation: d.Incarnation, at: now}
		}
	}
	return all
}
