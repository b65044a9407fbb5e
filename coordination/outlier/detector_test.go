package outlier

import (
	"testing"
	"time"

	"github.com/samber/lo"
	"gotest.tools/v3/assert"

	"wisteriaspool/coordination"
)

// detectorTest feeds a Detector with consecutive requests to one endpoint.
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

// observe reports a request of 50 ms that starts 50 ms after the last one.
func (r *detectorTest) observe(zone coordination.Zone, w Weight) {
	begun := r.now.Add(50 * time.Millisecond)
	r.now = begun.Add(50 * time.Millisecond)
	r.detector.Observe(r.now, zone, begun, w)
}

// nRuns implements RunningRequests with a constant number.
type nRuns int

func (n nRuns) Since(time.Time) int { return int(n) }

func (r *detectorTest) standing(zone coordination.Zone) Standing {
	s, _ := r.detector.Standing(r.now, zone, nRuns(0))
	return s
}

const (
	rareFailure     = Weight(390) // failure of a kind of which 1 in 100 requests fails
	frequentFailure = Weight(140) // failure of a kind of which 14 in 100 requests fail
)

// Guards against sending requests to an endpoint that fails half of them while
// its health check passes.
func TestFailingEndpointIsEjected(t *testing.T) {
	tests := []struct {
		name   string
		weight Weight
		most   int // requests until the ejection
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
		assert.Assert(t, n <= test.most, "%s: ejected after %d requests", test.name, n)
	}
}

// Guards against the ejection of an endpoint that fails as often as the others
// of its pool, which costs capacity and the prompts that it has cached.
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

// Guards against counting one incident several times. A long prompt delays
// everything that runs at an engine, and a reset breaks all its streams; an
// ejection for it would lose the engine's cache.
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

// An endpoint that fails only for routers of one availability zone stays in
// service for zones whose own requests succeed.
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

// A zone without recent requests to the endpoint uses the evidence of the other
// zones.
func TestZoneWithoutRequestsUsesOtherZones(t *testing.T) {
	r := newDetectorTest()
	r.observe("a", rareFailure)
	r.observe("a", rareFailure)
	assert.Equal(t, r.standing("a"), Ejected)
	assert.Equal(t, r.standing("b"), Ejected)
	assert.Assert(t, r.detector.EjectedFor("a") && r.detector.EjectedFor("b"))
}

// A recovered endpoint is restored after a few probes. One that keeps failing
// is probed at growing intervals, so that few callers are affected.
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
	assert.Equal(t, len(r.changes), 2, "a request from before the pause is ignored")

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

// In a pool whose requests may not be retried nothing can probe an endpoint,
// which is then restored untested after maxUnprobed.
func TestUnprobedEndpointIsRestored(t *testing.T) {
	r := newDetectorTest()
	r.observe("a", rareFailure)
	r.observe("a", rareFailure)
	r.now = r.now.Add(basePause + maxUnprobed + time.Millisecond)
	assert.Equal(t, r.standing("a"), InService)
}

// Guards against counting requests from before the ejection as probes. Requests
// that may run only once hang at an unresponsive endpoint until their callers
// leave after 3 s; counted as probes, they kept out real ones, and the endpoint
// was restored untested while it still did not respond.
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

// runsBegun implements RunningRequests by start times.
type runsBegun []time.Time

func (r runsBegun) Since(begun time.Time) int {
	return lo.CountBy(r, func(at time.Time) bool { return !at.Before(begun) })
}

// One failure a minute does not eject an endpoint, however long that continues.
func TestFailuresFarApartEjectNobody(t *testing.T) {
	r := newDetectorTest()
	for range 60 {
		r.observe("a", rareFailure)
		r.now = r.now.Add(time.Minute)
	}
	assert.Equal(t, len(r.changes), 0)
}
