package outlier

import (
	"time"

	"wisteriaspool/coordination"
)

// Detector adds up what the requests of all routers showed at one endpoint, and
// decides which requests it gets. Endpoints have been seen to fail for callers
// of one availability zone only, so that each zone of routers has its own sum.
// A zone follows what the others found unless its own requests were served of
// late.
//
// The zero value takes the endpoint for good. Whoever owns a Detector guards it.
type Detector struct {
	// OnChange, if set, is told of each change of standing.
	OnChange func(Change)

	zones map[coordination.Zone]*zoneState
	// failed is when the last failure was heard of. One long prompt holds up all
	// requests at an engine, and one reset breaks all its streams: requests that
	// were begun before such a moment say it once. Nor do those that were begun
	// before and are served speak for the endpoint as it is now.
	failed time.Time
}

// Standing is what an endpoint may be sent.
type Standing uint8

// The standings of an endpoint. The zero value is that of a good one.
const (
	InService Standing = iota // all requests
	Doubted                   // requests of which a failure can be mended
	Probed                    // a few of these, to see whether it serves again
	Ejected                   // none
)

var standings = [...]string{"in", "doubted", "probed", "ejected"}

// String returns the name of s as logs show it.
func (s Standing) String() string { return standings[s] }

const (
	// maxCredit bounds how much served requests count for an endpoint: one that has
	// served for hours must not be given longer to fail than one that has just
	// come up.
	maxCredit = -SuccessWeight
	// scoreHalfLife is the half-life of a sum, so that a few failures far apart
	// eject nobody.
	scoreHalfLife = 10 * time.Second
	// basePause is how long an endpoint that was taken out gets nothing. Each
	// time that a probe fails it is doubled, up to longestPause: a wrong
	// ejection costs an endpoint a second, and one that goes on failing costs
	// one request in eight seconds.
	basePause = time.Second
	maxPause  = 8 * time.Second
	// maxConcurrentProbes is how many probes run at the same time behind the first,
	// which runs alone: while an endpoint fails, one caller has to wait for each
	// try. probesServed is how many have to be served before the endpoint is
	// taken back; one that fails half of its requests passes once in eight times.
	maxConcurrentProbes = 3
	probesToRestore     = 3
	// backoffResetAfter is how long an endpoint has to serve behind its return before
	// its next pause is the first one again.
	backoffResetAfter = 10 * time.Second
	// maxUnprobed is for how long an endpoint waits for probes. Where no request
	// may be sent twice nothing can probe it, and it is taken back untried.
	maxUnprobed = 5 * time.Second
)

// zoneState is what routers of one availability zone saw of the endpoint.
type zoneState struct {
	score        float64 // sum of weights, in units of Weight
	decayedAt    time.Time
	ejected      bool
	probesFrom   time.Time // when probes may begin
	pause        time.Duration
	probesPassed int // probes
	restoredAt   time.Time
}

// Change tells that an endpoint's standing changes for a zone.
type Change struct {
	Zone     coordination.Zone
	Standing Standing
	Score    Weight        // what decided it
	Pause    time.Duration // before probes begin
}

// Observe takes in what a request of a zone showed that was begun at a time.
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

// RunningRequests tells how many requests run at the endpoint that were begun since a time.
// Those that were begun before it was taken out are no probes: they may hang there
// until their callers leave.
type RunningRequests interface {
	Since(begun time.Time) int
}

// Standing returns what the endpoint may be sent by routers of a zone. If a
// request is to wait for its turn, it also returns for how long.
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

// ejectedStanding returns the standing of an endpoint that is taken out.
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
	// probeWait is when to look again at an endpoint that runs its probes.
	probeWait = 200 * time.Millisecond
	// doubtWait is when to look again at an endpoint in doubt.
	doubtWait = 500 * time.Millisecond
)

// EjectedFor reports whether the endpoint is taken out for a zone.
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

// eject takes the endpoint out for a zone if what all zones saw suffices and
// the zone's own requests do not speak for the endpoint.
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

// probe takes in what a request showed while the endpoint is out. Those that
// were begun before say nothing new.
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

// restore takes the endpoint back. Its probes speak for it, so that it is not
// taken out again on the word of zones that have not probed it yet.
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

// probes returns how many probes may run now.
func (z *zoneState) probes() int {
	if z.probesPassed == 0 {
		return 1
	}
	return maxConcurrentProbes
}

// startPause begins a pause without requests.
func (z *zoneState) startPause(now time.Time) {
	z.probesPassed, z.probesFrom = 0, now.Add(z.pause)
}

func (z *zoneState) decay(now time.Time) {
	z.score *= decayFactor(now.Sub(z.decayedAt), scoreHalfLife)
	z.decayedAt = now
}
