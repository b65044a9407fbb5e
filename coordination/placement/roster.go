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

	// flapPenalty is the penalty, one for each disappearance or restart, from
	// which on an endpoint is damped.
	flapPenalty = 2.5

	// flapShare is the share of its chats that a damped endpoint keeps. It is
	// not nothing: if all endpoints flap, all are damped, and serve.
	flapShare = 1.0 / 8

	// absentRetention is how long an endpoint that has gone is remembered.
	absentRetention = 10 * time.Minute
)

// Roster makes one list of endpoints out of what a router learns from the
// instance list, from rumours and from the endpoints themselves. The first sign
// that an incarnation is leaving is final, whichever source still calls it
// live; and an endpoint that comes and goes gets few chats until it is steady.
// The zero value is empty and ready for use.
type Roster struct {
	mu      sync.Mutex
	tracked map[coordination.Endpoint]*trackedEndpoint
}

// trackedEndpoint is what is known of one endpoint.
type trackedEndpoint struct {
	desc    Descriptor
	present bool
	leaving coordination.Incarnation // the latest one seen to leave
	suspect bool
	penalty float64
	changed time.Time // of penalty, and when last present
}

// Update takes the instance list and returns the endpoints as they stand.
func (r *Roster) Update(list []Descriptor) *Set {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	listed := make(map[coordination.Endpoint]bool, len(list))
	for _, d := range list {
		listed[d.ID] = true
		r.track(d.ID).observe(now, d)
	}
	for id, l := range r.tracked {
		l.markListed(now, listed[id])
		if !l.present && now.Sub(l.changed) > absentRetention {
			delete(r.tracked, id)
		}
	}
	return r.set(now)
}

// MarkLeaving notes that an incarnation of an endpoint is leaving, from any source,
// also before the instance list knows the endpoint.
func (r *Roster) MarkLeaving(id coordination.Endpoint, n coordination.Incarnation) *Set {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.track(id)
	l.leaving = max(l.leaving, n)
	return r.set(time.Now())
}

// SetSuspect notes whether an incarnation of an endpoint is suspected to be dead.
func (r *Roster) SetSuspect(id coordination.Endpoint, n coordination.Incarnation, suspect bool) *Set {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l := r.track(id); l.desc.Incarnation == n {
		l.suspect = suspect
	}
	return r.set(time.Now())
}

func (r *Roster) track(id coordination.Endpoint) *trackedEndpoint {
	if r.tracked == nil {
		r.tracked = make(map[coordination.Endpoint]*trackedEndpoint)
	}
	l := r.tracked[id]
	if l == nil {
		l = &trackedEndpoint{changed: time.Now()}
		r.tracked[id] = l
	}
	return l
}

// set returns the present endpoints. The caller holds r.mu.
func (r *Roster) set(now time.Time) *Set {
	var ds []Descriptor
	for _, l := range r.tracked {
		if l.present {
			ds = append(ds, l.descriptor(now))
		}
	}
	return NewSet(ds)
}

// observe takes a descriptor from a list, which may be older than what is known.
func (l *trackedEndpoint) observe(now time.Time, d Descriptor) {
	if d.Incarnation < l.desc.Incarnation {
		return
	}
	if l.present && d.Incarnation > l.desc.Incarnation {
		l.addPenalty(now)
	}
	if d.Incarnation > l.desc.Incarnation {
		l.suspect = false
	}
	if d.State == Leaving {
		l.leaving = max(l.leaving, d.Incarnation)
	}
	l.desc, l.present = d, true
}

// markListed notes whether the endpoint was in the list. One that had said it would
// leave has not flapped.
func (l *trackedEndpoint) markListed(now time.Time, listed bool) {
	if listed || !l.present {
		return
	}
	l.present = false
	if l.leaving < l.desc.Incarnation {
		l.addPenalty(now)
	}
}

func (l *trackedEndpoint) addPenalty(now time.Time) {
	l.penalty = l.decayedPenalty(now) + 1
	l.changed = now
}

func (l *trackedEndpoint) decayedPenalty(now time.Time) float64 {
	return l.penalty * math.Exp2(-float64(now.Sub(l.changed))/float64(flapHalfLife))
}

// descriptor returns the endpoint as placement should see it.
func (l *trackedEndpoint) descriptor(now time.Time) Descriptor {
	d := l.desc
	switch {
	case l.leaving >= d.Incarnation:
		d.State = Leaving
	case l.suspect:
		d.State = Suspect
	}
	if l.decayedPenalty(now) >= flapPenalty {
		d.WeightFactor = flapShare
	}
	return d
}
