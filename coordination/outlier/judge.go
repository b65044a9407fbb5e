package outlier

import (
	"time"

	"wisteriaspool/coordination"
)

// Judge adds up what the requests of all routers showed at one endpoint, and
// decides which requests it gets. Endpoints have been seen to fail for callers
// of one availability zone only, so that each zone of routers has its own sum.
// A zone follows the others' judgement unless its own requests were served of
// late.
//
// The zero value takes the endpoint for good. Whoever owns a Judge guards it.
type Judge struct {
	// OnVerdict, if set, is told of each change of standing.
	OnVerdict func(Verdict)

	zones map[coordination.Zone]*trial
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
	In       Standing = iota // all requests
	Doubted                  // requests of which a failure can be mended
	Probed                   // a few of these, to see whether it serves again
	Excluded                 // none
)

var standings = [...]string{"in", "doubted", "probed", "excluded"}

// String returns the name of s as logs show it.
func (s Standing) String() string { return standings[s] }

const (
	// credit bounds how much served requests count for an endpoint: one that has
	// served for hours must not be given longer to fail than one that has just
	// come up.
	credit = -Served
	// scoreHalfLife is the half-life of a sum, so that a few failures far apart
	// convict nobody.
	scoreHalfLife = 10 * time.Second
	// firstPause is how long an endpoint that was taken out gets nothing. Each
	// time that a probe fails it is doubled, up to longestPause: a wrong
	// judgement costs an endpoint a second, and one that goes on failing costs
	// one request in eight seconds.
	firstPause   = time.Second
	longestPause = 8 * time.Second
	// probesAtOnce is how many probes run at the same time behind the first,
	// which runs alone: while an endpoint fails, one caller has to wait for each
	// try. probesServed is how many have to be served before the endpoint is
	// taken back; one that fails half of its requests passes once in eight times.
	probesAtOnce = 3
	probesServed = 3
	// steadyAfter is how long an endpoint has to serve behind its return before
	// its next pause is the first one again.
	steadyAfter = 10 * time.Second
	// unprobed is for how long an endpoint waits for probes. Where no request
	// may be sent twice nothing can probe it, and it is taken back untried.
	unprobed = 5 * time.Second
)

// trial is the case of one endpoint in one zone of routers.
type trial struct {
	score   float64 // sum of weights, in units of Weight
	aged    time.Time
	out     bool
	probeAt time.Time // when probes may begin
	pause   time.Duration
	served  int // probes
	back    time.Time
}

// Verdict tells that an endpoint's standing changes for a zone.
type Verdict struct {
	Zone     coordination.Zone
	Standing Standing
	Score    Weight        // what decided it
	Pause    time.Duration // before probes begin
}

// Hear takes in what a request of a zone showed that was begun at a time.
func (j *Judge) Hear(now time.Time, zone coordination.Zone, begun time.Time, w Weight) {
	if w == 0 {
		return
	}
	t := j.trial(zone)
	if t.out {
		j.probe(now, zone, t, begun, w)
		return
	}
	if !begun.After(j.failed) {
		return
	}
	if w > 0 {
		j.failed = now
	}
	t.age(now)
	t.score = max(t.score+float64(w), float64(-credit))
	j.convict(now, zone, t)
}

// Runs tells how many requests run at the endpoint that were begun since a time.
// Those that were begun before it was taken out are no probes: they may hang there
// until their callers leave.
type Runs interface {
	Since(begun time.Time) int
}

// Standing returns what the endpoint may be sent by routers of a zone. If a
// request is to wait for its turn, it also returns for how long.
func (j *Judge) Standing(now time.Time, zone coordination.Zone, runs Runs) (Standing, time.Duration) {
	if len(j.zones) == 0 {
		return In, 0
	}
	t := j.trial(zone)
	t.age(now)
	j.convict(now, zone, t)
	if t.out {
		return j.probation(now, zone, t, runs)
	}
	switch {
	case t.score >= float64(Doubt):
		return Doubted, doubtWait
	default:
		return In, 0
	}
}

// probation returns the standing of an endpoint that is taken out.
func (j *Judge) probation(now time.Time, zone coordination.Zone, t *trial, runs Runs) (Standing, time.Duration) {
	if now.Before(t.probeAt) {
		return Excluded, t.probeAt.Sub(now)
	}
	running := runs.Since(t.probeAt)
	switch {
	case running >= t.probes():
		return Excluded, probeWait
	case running == 0 && t.served == 0 && now.Sub(t.probeAt) > unprobed:
		j.restore(now, zone, t)
		return In, 0
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

// OutFor reports whether the endpoint is taken out for a zone.
func (j *Judge) OutFor(zone coordination.Zone) bool {
	t := j.zones[zone]
	return t != nil && t.out
}

func (j *Judge) trial(zone coordination.Zone) *trial {
	t := j.zones[zone]
	if t == nil {
		if j.zones == nil {
			j.zones = make(map[coordination.Zone]*trial)
		}
		t = &trial{}
		j.zones[zone] = t
	}
	return t
}

// convict takes the endpoint out for a zone if what all zones saw suffices and
// the zone's own requests do not speak for the endpoint.
func (j *Judge) convict(now time.Time, zone coordination.Zone, t *trial) {
	if t.out || t.score < 0 {
		return
	}
	others := 0.0
	for _, o := range j.zones {
		if o != t {
			o.age(now)
			others += max(o.score, 0)
		}
	}
	score := t.score + min(others, float64(Conviction))
	if score < float64(Conviction) {
		return
	}
	if t.pause == 0 || now.Sub(t.back) > steadyAfter {
		t.pause = firstPause
	} else {
		t.pause = min(2*t.pause, longestPause)
	}
	t.out = true
	t.rest(now)
	j.tell(Verdict{Zone: zone, Standing: Excluded, Score: Weight(min(score, float64(2*Conviction))), Pause: t.pause})
}

// probe takes in what a request showed while the endpoint is out. Those that
// were begun before say nothing new.
func (j *Judge) probe(now time.Time, zone coordination.Zone, t *trial, begun time.Time, w Weight) {
	if begun.Before(t.probeAt) {
		return
	}
	if w > 0 {
		t.pause = min(2*t.pause, longestPause)
		t.rest(now)
		j.tell(Verdict{Zone: zone, Standing: Excluded, Score: w, Pause: t.pause})
		return
	}
	t.served++
	if t.served == probesServed {
		j.restore(now, zone, t)
	}
}

// restore takes the endpoint back. Its probes speak for it, so that it is not
// taken out again on the word of zones that have not probed it yet.
func (j *Judge) restore(now time.Time, zone coordination.Zone, t *trial) {
	t.out, t.back = false, now
	t.score, t.aged = float64(probesServed*Served), now
	j.tell(Verdict{Zone: zone, Standing: In})
}

func (j *Judge) tell(v Verdict) {
	if j.OnVerdict != nil {
		j.OnVerdict(v)
	}
}

// probes returns how many probes may run now.
func (t *trial) probes() int {
	if t.served == 0 {
		return 1
	}
	return probesAtOnce
}

// rest begins a pause without requests.
func (t *trial) rest(now time.Time) {
	t.served, t.probeAt = 0, now.Add(t.pause)
}

func (t *trial) age(now time.Time) {
	t.score *= halving(now.Sub(t.aged), scoreHalfLife)
	t.aged = now
}
