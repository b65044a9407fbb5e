package placement

import (
	"math"
	"sync"
	"time"

	"wisteriaspool/coordination"
)

const (
	// flapHalfLife is the time in which the penalty of an endpoint halves.
	flapHalfLife = 30 * time.Second

	// flapPenalty is the penalty from which an endpoint is damped. Each
	// disappearance or restart adds one.
	flapPenalty = 2.5

	// flapShare is the fraction of its chats that a damped endpoint keeps. It
	// is not zero, so that a pool in which all endpoints flap still serves
	// requests.
	flapShare = 1.0 / 8

	// absentRetention is how long an endpoint that is no longer listed is
	// remembered.
	absentRetention = 10 * time.Minute
)

// Roster merges what a router learns about endpoints from the instance list,
// from gossip and from the endpoints themselves. The first sign that an
// incarnation is leaving is final, even if another source still reports it
// live. An endpoint that restarts repeatedly gets few chats until it is stable.
// The zero value is empty and ready for use.
type Roster struct {
	mu      sync.Mutex
	tracked map[coordination.Endpoint]*trackedEndpoint
}

// trackedEndpoint is the state of one endpoint.
type trackedEndpoint struct {
	desc    Descriptor
	present bool
	leaving coordination.Incarnation // latest incarnation known to be leaving
	suspect bool
	penalty float64
	changed time.Time // when penalty last changed; also when the endpoint was first seen
}

// Update applies an instance list and returns the resulting endpoints.
func (r *Roster) Update(list []Descriptor) *Set {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	listed := make(map[coordination.Endpoint]bool, len(list))
	for _, d := range list {
		listed[d.ID] = true
		r.track(d.ID).observe(now, d)
	}
	for id, t := range r.tracked {
		t.markListed(now, listed[id])
		if !t.present && now.Sub(t.changed) > absentRetention {
			delete(r.tracked, id)
		}
	}
	return r.set(now)
}

// MarkLeaving records that an incarnation of an endpoint is leaving. The
// endpoint need not be listed yet. It returns the resulting endpoints.
func (r *Roster) MarkLeaving(id coordination.Endpoint, n coordination.Incarnation) *Set {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.track(id)
	t.leaving = max(t.leaving, n)
	return r.set(time.Now())
}

// Forget forgets all that is known of an endpoint's incarnations, which has turned out to be
// wrong.
func (r *Roster) Forget(id coordination.Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.tracked, id)
}

// SetSuspect records whether an incarnation of an endpoint is suspected to be
// dead. It returns the resulting endpoints.
func (r *Roster) SetSuspect(id coordination.Endpoint, n coordination.Incarnation, suspect bool) *Set {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.track(id); t.desc.Incarnation == n {
		t.suspect = suspect
	}
	return r.set(time.Now())
}

func (r *Roster) track(id coordination.Endpoint) *trackedEndpoint {
	if r.tracked == nil {
		r.tracked = make(map[coordination.Endpoint]*trackedEndpoint)
	}
	t := r.tracked[id]
	if t == nil {
		t = &trackedEndpoint{changed: time.Now()}
		r.tracked[id] = t
	}
	return t
}

// set returns the listed endpoints. The caller holds r.mu.
func (r *Roster) set(now time.Time) *Set {
	var ds []Descriptor
	for _, t := range r.tracked {
		if t.present {
			ds = append(ds, t.descriptor(now))
		}
	}
	return NewSet(ds)
}

// observe applies a descriptor from a list, which may be outdated. An endpoint that was
// absent may return as an earlier incarnation: the later one was not its own.
func (t *trackedEndpoint) observe(now time.Time, d Descriptor) {
	if t.present && d.Incarnation < t.desc.Incarnation {
		return
	}
	if d.Incarnation != t.desc.Incarnation {
		t.suspect = false
	}
	if t.present && d.Incarnation > t.desc.Incarnation {
		t.addPenalty(now)
	}
	if d.State == Leaving {
		t.leaving = max(t.leaving, d.Incarnation)
	}
	t.desc, t.present = d, true
}

// markListed records whether the endpoint is in the list. A disappearance after
// the endpoint announced that it is leaving is not penalized.
func (t *trackedEndpoint) markListed(now time.Time, listed bool) {
	if listed || !t.present {
		return
	}
	t.present = false
	if t.leaving < t.desc.Incarnation {
		t.addPenalty(now)
	}
}

func (t *trackedEndpoint) addPenalty(now time.Time) {
	t.penalty = t.decayedPenalty(now) + 1
	t.changed = now
}

func (t *trackedEndpoint) decayedPenalty(now time.Time) float64 {
	return t.penalty * math.Exp2(-float64(now.Sub(t.changed))/float64(flapHalfLife))
}

// descriptor returns the endpoint with its effective state and weight.
func (t *trackedEndpoint) descriptor(now time.Time) Descriptor {
	d := t.desc
	switch {
	case t.leaving >= d.Incarnation:
		d.State = Leaving
	case t.suspect && d.State == Live:
		d.State = Suspect
	}
	if t.decayedPenalty(now) >= flapPenalty {
		d.WeightFactor = flapShare
	}
	return d
}
