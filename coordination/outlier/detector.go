package outlier

import (
	"time"

	"wisteriaspool/coordination"
)

// Detector sums up the evidence from all routers about one endpoint and decides
// which requests the endpoint gets. Endpoints have been observed to fail for
// callers of a single availability zone only, so each zone of routers has its
// own sum. A zone also counts the evidence of other zones unless its own recent
// requests were successful.
//
// The zero value regards the endpoint as good. A Detector is not safe for
// concurrent use.
type Detector struct {
	// OnChange, if set, is called for each change of standing.
	OnChange func(Change)

	zones map[coordination.Zone]*zoneState
	// failed is the time of the last reported failure. One long prompt delays all
	// requests at an engine, and one reset breaks all its streams, so requests that
	// were started before a failure count only once. Successes of such requests do
	// not count either: they say nothing about the endpoint since the failure.
	failed time.Time
}

// Standing says which requests an endpoint may be sent.
type Standing uint8

// Standings of an endpoint. The zero value is that of a good one.
const (
	InService Standing = iota // all requests
	Doubted                   // requests whose failure can be repaired by a retry
	Probed                    // a few of these, to test whether it works again
	Ejected                   // none
)

var standings = [...]string{"in", "doubted", "probed", "ejected"}

// String returns the name of s used in logs.
func (s Standing) String() string { return standings[s] }

const (
	// maxCredit bounds the evidence for an endpoint: one that has been good for
	// hours must not take longer to be ejected than one that has just started.
	maxCredit = -SuccessWeight
	// scoreHalfLife is the half-life of a sum, so that occasional failures do
	// not eject an endpoint.
	scoreHalfLife = 10 * time.Second
	// basePause is how long an ejected endpoint gets no requests at first. The
	// pause doubles with each failed probe, up to maxPause: a wrong ejection
	// costs an endpoint one second, and one that keeps failing costs one
	// request in eight seconds.
	basePause = time.Second
	maxPause  = 8 * time.Second
	// maxConcurrentProbes is the number of concurrent probes once the first,
	// which runs alone, has succeeded: while an endpoint fails, one caller has
	// to wait for each probe. probesToRestore is the number of successful
	// probes after which the endpoint is restored; one that fails half of its
	// requests passes with a chance of one in eight.
	maxConcurrentProbes = 3
	probesToRestore     = 3
	// backoffResetAfter is how long an endpoint has to stay in service after it
	// was restored for its next pause to be basePause again.
	backoffResetAfter = 10 * time.Second
	// maxUnprobed is how long an endpoint waits for probes. In a pool whose
	// requests may not be retried nothing can probe it, and it is restored
	// untested.
	maxUnprobed = 5 * time.Second
)

// zoneState holds what the routers of one availability zone observed of the
// endpoint.
type zoneState struct {
	score        float64 // sum of weights, in units of Weight
	decayedAt    time.Time
	ejected      bool
	probesFrom   time.Time // start of probing
	pause        time.Duration
	probesPassed int // successful probes
	restoredAt   time.Time
}

// Change describes a change of an endpoint's standing for a zone.
type Change struct {
	Zone     coordination.Zone
	Standing Standing
	Score    Weight        // sum or weight that caused the change
	Pause    time.Duration // before probing starts
}

// Observe processes the weight w of a request from a router of zone that was
// started at begun.
func (d *Detector) Observe(now time.Time, zone coordination.Zone, begun time.Time, w Weight) {
	if w == 0 {
		return
	}
	z := d.stateOf(zone)
	if z.ejected {
		d.probe(now, zone, z, begun, w)
		return
	}
	if !begun.After(d.failed) {
		return
	}
	if w > 0 {
		d.failed = now
	}
	z.decay(now)
	z.score = max(z.score+float64(w), float64(-maxCredit))
	d.eject(now, zone, z)
}

// RunningRequests counts the requests running at the endpoint that were started
// since a time. Requests started before the ejection are not probes: they may
// hang until their callers leave.
type RunningRequests interface {
	Since(begun time.Time) int
}

// Standing returns the standing of the endpoint for routers of a zone. For a
// request that has to wait, it also returns how long to wait before asking
// again.
func (d *Detector) Standing(now time.Time, zone coordination.Zone, runs RunningRequests) (Standing, time.Duration) {
	if len(d.zones) == 0 {
		return InService, 0
	}
	z := d.stateOf(zone)
	z.decay(now)
	d.eject(now, zone, z)
	if z.ejected {
		return d.ejectedStanding(now, zone, z, runs)
	}
	switch {
	case z.score >= float64(DoubtThreshold):
		return Doubted, doubtWait
	default:
		return InService, 0
	}
}

// ejectedStanding returns the standing of an ejected endpoint.
func (d *Detector) ejectedStanding(now time.Time, zone coordination.Zone, z *zoneState, runs RunningRequests) (Standing, time.Duration) {
	if now.Before(z.probesFrom) {
		return Ejected, z.probesFrom.Sub(now)
	}
	running := runs.Since(z.probesFrom)
	switch {
	case running >= z.probes():
		return Ejected, probeWait
	case running == 0 && z.probesPassed == 0 && now.Sub(z.probesFrom) > maxUnprobed:
		d.restore(now, zone, z)
		return InService, 0
	default:
		return Probed, 0
	}
}

const (
	// probeWait is the interval before asking again for an endpoint whose
	// probes are running.
	probeWait = 200 * time.Millisecond
	// doubtWait is the interval before asking again for a doubted endpoint.
	doubtWait = 500 * time.Millisecond
)

// EjectedFor reports whether the endpoint is ejected for a zone.
func (d *Detector) EjectedFor(zone coordination.Zone) bool {
	z := d.zones[zone]
	return z != nil && z.ejected
}

func (d *Detector) stateOf(zone coordination.Zone) *zoneState {
	z := d.zones[zone]
	if z == nil {
		if d.zones == nil {
			d.zones = make(map[coordination.Zone]*zoneState)
		}
		z = &zoneState{}
		d.zones[zone] = z
	}
	return z
}

// eject ejects the endpoint for a zone if the evidence from all zones suffices
// and the zone's own evidence is not in favour of the endpoint.
func (d *Detector) eject(now time.Time, zone coordination.Zone, z *zoneState) {
	if z.ejected || z.score < 0 {
		return
	}
	others := 0.0
	for _, o := range d.zones {
		if o != z {
			o.decay(now)
			others += max(o.score, 0)
		}
	}
	score := z.score + min(others, float64(EjectThreshold))
	if score < float64(EjectThreshold) {
		return
	}
	if z.pause == 0 || now.Sub(z.restoredAt) > backoffResetAfter {
		z.pause = basePause
	} else {
		z.pause = min(2*z.pause, maxPause)
	}
	z.ejected = true
	z.startPause(now)
	d.notify(Change{Zone: zone, Standing: Ejected, Score: Weight(min(score, float64(2*EjectThreshold))), Pause: z.pause})
}

// probe processes the weight of a request that ended while the endpoint is
// ejected. Requests started before probing began are ignored.
func (d *Detector) probe(now time.Time, zone coordination.Zone, z *zoneState, begun time.Time, w Weight) {
	if begun.Before(z.probesFrom) {
		return
	}
	if w > 0 {
		z.pause = min(2*z.pause, maxPause)
		z.startPause(now)
		d.notify(Change{Zone: zone, Standing: Ejected, Score: w, Pause: z.pause})
		return
	}
	z.probesPassed++
	if z.probesPassed == probesToRestore {
		d.restore(now, zone, z)
	}
}

// restore puts the endpoint back into service. The score starts with the
// evidence of the successful probes, so that evidence from zones that have not
// probed the endpoint yet does not eject it again.
func (d *Detector) restore(now time.Time, zone coordination.Zone, z *zoneState) {
	z.ejected, z.restoredAt = false, now
	z.score, z.decayedAt = float64(probesToRestore*SuccessWeight), now
	d.notify(Change{Zone: zone, Standing: InService})
}

func (d *Detector) notify(c Change) {
	if d.OnChange != nil {
		d.OnChange(c)
	}
}

// probes returns the number of probes that may run concurrently.
func (z *zoneState) probes() int {
	if z.probesPassed == 0 {
		return 1
	}
	return maxConcurrentProbes
}

// startPause starts a pause without requests.
func (z *zoneState) startPause(now time.Time) {
	z.probesPassed, z.probesFrom = 0, now.Add(z.pause)
}

func (z *zoneState) decay(now time.Time) {
	z.score *= decayFactor(now.Sub(z.decayedAt), scoreHalfLife)
	z.decayedAt = now
}
