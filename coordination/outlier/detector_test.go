package outlier

import (
	"testing"
	"time"

	"github.com/samber/lo"
	"gotest.tools/v3/assert"

	"wisteriaspool/coordination"
)

// detectorTest plays requests to one endpoint, one after the other.
type detectorTest struct {
	detector Detector
	now      time.Time
	changes  []Change
}

func newDetectorTest() *detectorTest {
	r := &detectorTest{now: time.Unix(1000, 0)}
	r.detector.OnChange = func(c Change) { r.changes = append(r.changes, c) }
	return r
}

// observe plays a request of 50 ms, 50 ms behind the last one.
func (r *detectorTest) observe(zone coordination.Zone, w Weight) {
	begun := r.now.Add(50 * time.Millisecond)
	r.now = begun.Add(50 * time.Millisecond)
	r.detector.Observe(r.now, zone, begun, w)
}

// nRuns implements Runs.
type nRuns int

func (n nRuns) Since(time.Time) int { return int(n) }

func (r *detectorTest) standing(zone coordination.Zone) Standing {
	s, _ := r.detector.Standing(r.now, zone, nRuns(0))
	return s
}

const (
	rareFailure     = Weight(390) // a failure of a kind that fails once in a hundred times
	frequentFailure = Weight(140) // of one that fails 14 times
)

// An endpoint fails half of its requests while its health check is good. Callers
// get its failures until it is taken out.
func TestFailingEndpointIsEjected(t *testing.T) {
	tests := []struct {
		name   string
		weight Weight
		most   int // requests until it is out
	}{
		{"of a kind that seldom fails", rareFailure, 6},
		{"of a kind that often fails", frequentFailure, 30},
	}
	for _, test := range tests {
		r := newDetectorTest()
		n := 0
		for ; r.standing("a") != Ejected && n < 100; n++ {
			w := SuccessWeight
			if n%2 == 0 {
				w = test.weight
			}
			r.observe("a", w)
		}
		assert.Assert(t, n <= test.most, "%s: out after %d requests", test.name, n)
	}
}

// A good endpoint fails as often as the others of its pool. Taken out, it would
// be missed, and its callers would find their prompts uncached elsewhere.
func TestEndpointAsGoodAsOthersStays(t *testing.T) {
	r := newDetectorTest()
	for n := range 2000 {
		w := SuccessWeight
		if n%7 == 0 {
			w = frequentFailure
		}
		r.observe("a", w)
	}
	assert.Equal(t, len(r.changes), 0)
}

// One long prompt holds up all that runs at an engine, and one reset breaks all
// its streams. Each of these requests tells of the same moment, and an engine
// taken out for it would lose what it has cached.
func TestIncidentCountsOnce(t *testing.T) {
	r := newDetectorTest()
	begun := r.now
	for range 20 {
		r.now = r.now.Add(time.Millisecond)
		r.detector.Observe(r.now, "a", begun, rareFailure)
	}
	assert.Equal(t, len(r.changes), 0)
	assert.Equal(t, r.standing("a"), Doubted)
}

// An endpoint fails only for routers of one availability zone. The others' own
// requests are served, and they go on sending them.
func TestFailureForOneZoneConcernsThatZone(t *testing.T) {
	r := newDetectorTest()
	for range 3 {
		r.observe("b", SuccessWeight)
		r.observe("a", rareFailure)
		r.observe("b", SuccessWeight)
	}
	assert.Equal(t, r.standing("a"), Ejected)
	assert.Equal(t, r.standing("b"), InService)
	assert.Assert(t, r.detector.EjectedFor("a") && !r.detector.EjectedFor("b"))
}

// Routers of another zone that have not met the endpoint of late go by those
// that have.
func TestZoneWithoutRequestsUsesOtherZones(t *testing.T) {
	r := newDetectorTest()
	r.observe("a", rareFailure)
	r.observe("a", rareFailure)
	assert.Equal(t, r.standing("a"), Ejected)
	assert.Equal(t, r.standing("b"), Ejected)
	assert.Assert(t, r.detector.EjectedFor("a") && r.detector.EjectedFor("b"))
}

// An endpoint that serves again is taken back by a few probes; one that goes on
// failing is probed more and more seldom, so that few callers meet it.
func TestProbesRestoreEndpoint(t *testing.T) {
	r := newDetectorTest()
	r.observe("a", rareFailure)
	r.observe("a", rareFailure)
	assert.Equal(t, r.changes[0].Pause, basePause)

	r.now = r.now.Add(basePause)
	assert.Equal(t, r.standing("a"), Probed)
	s, wait := r.detector.Standing(r.now, "a", nRuns(1))
	assert.Equal(t, s, Ejected, "the first probe runs alone")
	assert.Equal(t, wait, probeWait)

	r.observe("a", rareFailure)
	assert.Equal(t, r.changes[1].Pause, 2*basePause)
	r.observe("a", SuccessWeight)
	assert.Equal(t, len(r.changes), 2, "a request from before the pause says nothing")

	r.now = r.now.Add(2 * basePause)
	r.observe("a", SuccessWeight)
	s, _ = r.detector.Standing(r.now, "a", nRuns(maxConcurrentProbes-1))
	assert.Equal(t, s, Probed)
	s, _ = r.detector.Standing(r.now, "a", nRuns(maxConcurrentProbes))
	assert.Equal(t, s, Ejected)
	for range probesToRestore - 1 {
		r.observe("a", SuccessWeight)
	}
	assert.Equal(t, r.standing("a"), InService)
}

// Where no request may be sent twice nothing can probe an endpoint. It comes
// back untried after a while.
func TestUnprobedEndpointIsRestored(t *testing.T) {
	r := newDetectorTest()
	r.observe("a", rareFailure)
	r.observe("a", rareFailure)
	r.now = r.now.Add(basePause + maxUnprobed + time.Millisecond)
	assert.Equal(t, r.standing("a"), InService)
}

// Requests that may run only once hang at a mute endpoint until their callers
// leave, 3 s later. They are no probes: taken for such, they kept real ones away,
// and the endpoint came back untried while it was still mute.
func TestRequestsBeforeEjectionAreNoProbes(t *testing.T) {
	r := newDetectorTest()
	r.observe("a", rareFailure)
	r.observe("a", rareFailure)
	out := r.now
	r.now = r.now.Add(basePause)
	s, _ := r.detector.Standing(r.now, "a", runsBegun{out.Add(-time.Millisecond)})
	assert.Equal(t, s, Probed)
	s, _ = r.detector.Standing(r.now.Add(maxUnprobed+time.Second), "a", runsBegun{r.now})
	assert.Equal(t, s, Ejected, "a probe still runs")
}

// runsBegun implements Runs by the times of their beginning.
type runsBegun []time.Time

func (r runsBegun) Since(begun time.Time) int {
	return lo.CountBy(r, func(at time.Time) bool { return !at.Before(begun) })
}

// A failure each minute is chance, however long it goes on.
func TestFailuresFarApartEjectNobody(t *testing.T) {
	r := newDetectorTest()
	for range 60 {
		r.observe("a", rareFailure)
		r.now = r.now.Add(time.Minute)
	}
	assert.Equal(t, len(r.changes), 0)
}
