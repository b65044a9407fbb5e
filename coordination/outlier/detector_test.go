package outlier

import (
	"testing"
	"time"

	"github.com/samber/lo"
	"gotest.tools/v3/assert"

	"wisteriaspool/coordination"
)

// play plays requests to one endpoint, one after the other.
type play struct {
	detector Detector
	now      time.Time
	changes  []Change
}

func newPlay() *play {
	r := &play{now: time.Unix(1000, 0)}
	r.detector.OnChange = func(c Change) { r.changes = append(r.changes, c) }
	return r
}

// hear plays a request of 50 ms, 50 ms behind the last one.
func (r *play) hear(zone coordination.Zone, w Weight) {
	begun := r.now.Add(50 * time.Millisecond)
	r.now = begun.Add(50 * time.Millisecond)
	r.detector.Hear(r.now, zone, begun, w)
}

// nRuns implements Runs.
type nRuns int

func (n nRuns) Since(time.Time) int { return int(n) }

func (r *play) standing(zone coordination.Zone) Standing {
	s, _ := r.detector.Standing(r.now, zone, nRuns(0))
	return s
}

const (
	seldom = Weight(390) // a failure of a kind that fails once in a hundred times
	often  = Weight(140) // of one that fails 14 times
)

// An endpoint fails half of its requests while its health check is good. Callers
// get its failures until it is taken out.
func TestFailingEndpointIsTakenOut(t *testing.T) {
	tests := []struct {
		name   string
		weight Weight
		most   int // requests until it is out
	}{
		{"of a kind that seldom fails", seldom, 6},
		{"of a kind that often fails", often, 30},
	}
	for _, test := range tests {
		r := newPlay()
		n := 0
		for ; r.standing("a") != Ejected && n < 100; n++ {
			w := Served
			if n%2 == 0 {
				w = test.weight
			}
			r.hear("a", w)
		}
		assert.Assert(t, n <= test.most, "%s: out after %d requests", test.name, n)
	}
}

// A good endpoint fails as often as the others of its pool. Taken out, it would
// be missed, and its callers would find their prompts uncached elsewhere.
func TestEndpointAsGoodAsOthersStays(t *testing.T) {
	r := newPlay()
	for n := range 2000 {
		w := Served
		if n%7 == 0 {
			w = often
		}
		r.hear("a", w)
	}
	assert.Equal(t, len(r.changes), 0)
}

// One long prompt holds up all that runs at an engine, and one reset breaks all
// its streams. Each of these requests tells of the same moment, and an engine
// taken out for it would lose what it has cached.
func TestOneMomentIsHeardOnce(t *testing.T) {
	r := newPlay()
	begun := r.now
	for range 20 {
		r.now = r.now.Add(time.Millisecond)
		r.detector.Hear(r.now, "a", begun, seldom)
	}
	assert.Equal(t, len(r.changes), 0)
	assert.Equal(t, r.standing("a"), Doubted)
}

// An endpoint fails only for routers of one availability zone. The others' own
// requests are served, and they go on sending them.
func TestFailureForOneZoneConcernsThatZone(t *testing.T) {
	r := newPlay()
	for range 3 {
		r.hear("b", Served)
		r.hear("a", seldom)
		r.hear("b", Served)
	}
	assert.Equal(t, r.standing("a"), Ejected)
	assert.Equal(t, r.standing("b"), In)
	assert.Assert(t, r.detector.OutFor("a") && !r.detector.OutFor("b"))
}

// Routers of another zone that have not met the endpoint of late go by those
// that have.
func TestZoneWithoutRequestsGoesByTheOthers(t *testing.T) {
	r := newPlay()
	r.hear("a", seldom)
	r.hear("a", seldom)
	assert.Equal(t, r.standing("a"), Ejected)
	assert.Equal(t, r.standing("b"), Ejected)
	assert.Assert(t, r.detector.OutFor("a") && r.detector.OutFor("b"))
}

// An endpoint that serves again is taken back by a few probes; one that goes on
// failing is probed more and more seldom, so that few callers meet it.
func TestProbesTakeBackAnEndpoint(t *testing.T) {
	r := newPlay()
	r.hear("a", seldom)
	r.hear("a", seldom)
	assert.Equal(t, r.changes[0].Pause, firstPause)

	r.now = r.now.Add(firstPause)
	assert.Equal(t, r.standing("a"), Probed)
	s, wait := r.detector.Standing(r.now, "a", nRuns(1))
	assert.Equal(t, s, Ejected, "the first probe runs alone")
	assert.Equal(t, wait, probeWait)

	r.hear("a", seldom)
	assert.Equal(t, r.changes[1].Pause, 2*firstPause)
	r.hear("a", Served)
	assert.Equal(t, len(r.changes), 2, "a request from before the pause says nothing")

	r.now = r.now.Add(2 * firstPause)
	r.hear("a", Served)
	s, _ = r.detector.Standing(r.now, "a", nRuns(probesAtOnce-1))
	assert.Equal(t, s, Probed)
	s, _ = r.detector.Standing(r.now, "a", nRuns(probesAtOnce))
	assert.Equal(t, s, Ejected)
	for range probesServed - 1 {
		r.hear("a", Served)
	}
	assert.Equal(t, r.standing("a"), In)
}

// Where no request may be sent twice nothing can probe an endpoint. It comes
// back untried after a while.
func TestEndpointThatNothingProbesComesBack(t *testing.T) {
	r := newPlay()
	r.hear("a", seldom)
	r.hear("a", seldom)
	r.now = r.now.Add(firstPause + unprobed + time.Millisecond)
	assert.Equal(t, r.standing("a"), In)
}

// Requests that may run only once hang at a mute endpoint until their callers
// leave, 3 s later. They are no probes: taken for such, they kept real ones away,
// and the endpoint came back untried while it was still mute.
func TestRequestsOfBeforeAreNoProbes(t *testing.T) {
	r := newPlay()
	r.hear("a", seldom)
	r.hear("a", seldom)
	out := r.now
	r.now = r.now.Add(firstPause)
	s, _ := r.detector.Standing(r.now, "a", runsBegun{out.Add(-time.Millisecond)})
	assert.Equal(t, s, Probed)
	s, _ = r.detector.Standing(r.now.Add(unprobed+time.Second), "a", runsBegun{r.now})
	assert.Equal(t, s, Ejected, "a probe still runs")
}

// runsBegun implements Runs by the times of their beginning.
type runsBegun []time.Time

func (r runsBegun) Since(begun time.Time) int {
	return lo.CountBy(r, func(at time.Time) bool { return !at.Before(begun) })
}

// A failure each minute is chance, however long it goes on.
func TestFailuresFarApartEjectNobody(t *testing.T) {
	r := newPlay()
	for range 60 {
		r.hear("a", seldom)
		r.now = r.now.Add(time.Minute)
	}
	assert.Equal(t, len(r.changes), 0)
}
