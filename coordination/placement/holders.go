package placement

import (
	"time"

	"wisteriaspool/coordination"
)

// Holders tells which endpoint is likely to have the shared part of a request
// cached when the chosen one has not. All routers compute the same order of
// endpoints from their lists alone, so the endpoint that comes first has had
// the part, unless it is new; then the one that was first before it has. The
// zero value knows no endpoints.
type Holders struct {
	set   *Set
	since map[coordination.Endpoint]time.Time // when each was first listed
}

const (
	// settleTime is how long an endpoint has to be listed until it is taken to
	// hold the parts that lead to it: most shared parts are asked for again
	// within it.
	settleTime = 15 * time.Second
	// sameAge is the span within which endpoints count as of the same age, as
	// when a whole fleet starts.
	sameAge = 3 * time.Second
)

// holderRanks is how many endpoints are looked at. If the first two have come
// up only now, the third has the part.
const holderRanks = 4

// NewHolders returns the holders among endpoints, which may be leaving: those
// still hand out what they have cached.
func NewHolders(now time.Time, endpoints []Descriptor, old *Holders) *Holders {
	h := &Holders{since: make(map[coordination.Endpoint]time.Time, len(endpoints))}
	kept := make([]Descriptor, 0, len(endpoints))
	for _, d := range endpoints {
		at, known := old.seen(d)
		if !known {
			at = now
		}
		h.since[d.ID] = at
		d.State = Live
		d.Warming = 0
		kept = append(kept, d)
	}
	h.set = NewSet(kept)
	return h
}

// seen returns since when an incarnation of an endpoint is known.
func (h *Holders) seen(d Descriptor) (time.Time, bool) {
	if h == nil || h.set == nil {
		// The first list of a router that has just started: the endpoints were
		// there before it.
		return time.Time{}, true
	}
	old := h.set.Find(d.ID)
	if old == nil || old.Incarnation != d.Incarnation {
		return time.Time{}, false
	}
	return h.since[d.ID], true
}

// Source returns the endpoint from which the chosen one should fetch the shared
// part of a request with this key, or nil if it is likely to have it itself.
// A source that has nothing costs next to nothing.
func (h *Holders) Source(now time.Time, pool coordination.Pool, key Key, chosen coordination.Endpoint) *Descriptor {
	if h == nil || h.set == nil {
		return nil
	}
	var buf [inlineCandidates]*Descriptor
	ranked := h.set.Candidates(buf[:0], pool, key, 0, holderRanks)
	born := h.since[chosen]
	first := len(ranked) > 0 && ranked[0].ID == chosen
	if first && now.Sub(born) >= settleTime {
		return nil
	}
	for _, d := range ranked {
		if d.ID != chosen && h.has(born, h.since[d.ID], first) {
			return d
		}
	}
	return nil
}

// has reports whether an endpoint has had the parts of a key longer than the
// chosen one. One that comes before the chosen one in the order has, unless it
// is newer; one that comes behind it has only if it is older.
func (h *Holders) has(chosen, other time.Time, chosenFirst bool) bool {
	if chosenFirst {
		return chosen.Sub(other) > sameAge
	}
	return other.Sub(chosen) < sameAge
}
