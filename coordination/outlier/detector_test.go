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
	d := &detectorTest{now: time.Unix(1000, 0)}
	d.detector.OnChange = func(c Change) { d.changes = append(d.changes, c) }
	return d
}

// observe reports a request of 50 ms that starts 50 ms after the last one.
func (d *detectorTest) observe(zone coordination.Zone, w Weight) {
	begun := d.now.Add(50 * time.Millisecond)
	d.now = begun.Add(50 * time.Millisecond)
	d.detector.Observe(d.now, zone, begun, w)
}

// nRuns implements RunningRequests with a constant number.
type nRuns int

func (n nRuns) Since(time.Time) int { return int(n) }

func (d *detectorTest) standing(zone coordination.Zone) Standing {
	s, _ := d.detector.Standing(d.now, zone, nRuns(0))
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
		d := newDetectorTest()
		n := 0
		for ; d.standing("a") != Ejected && n < 100; n++ {
			w := SuccessWeight
			if n%2 == 0 {
				w = test.weight
			}
			d.observe("a", w)
		}
		assert.Assert(t, n <= test.most, "%s: ejected after %d requests", test.name, n)
	}
}

// Guards against the ejection of an endpoint that fails as often as the others
// of its pool, which costs capacity and the prompts that it has cached.
func TestEndpointAsGoodAsOthersStays(t *testing.T) {
	d := newDetectorTest()
	for n := range 2000 {
		w := SuccessWeight
		if n%7 == 0 {
			w = frequentFailure
		}
		d.observe("a", w)
	}
	assert.Equal(t, len(d.changes), 0)
}

// Guards against counting one incident several times. A long prompt delays
// everything that runs at an engine, and a reset breaks all its streams; an
// ejection for it would lose the engine's cache.
func TestIncidentCountsOnce(t *testing.T) {
	d := newDetectorTest()
	begun := d.now
	for range 20 {
		d.now = d.now.Add(time.Millisecond)
		d.detector.Observe(d.now, "a", begun, rareFailure)
	}
	assert.Equal(t, len(d.changes), 0)
	assert.Equal(t, d.standing("a"), Doubted)
}

// An endpoint that fails only for routers of one availability zone stays in
// service for zones whose own requests succeed.
func TestFailureForOneZoneConcernsThatZone(t *testing.T) {
	d := newDetectorTest()
	for range 3 {
		d.observe("b", SuccessWeight)
		d.observe("a", rareFailure)
		d.observe("b", SuccessWeight)
	}
	assert.Equal(t, d.standing("a"), Ejected)
	assert.Equal(t, d.standing("b"), InService)
	assert.Assert(t, d.detector.EjectedFor("a") && !d.detector.EjectedFor("b"))
}

// A zone without recent requests to the endpoint uses the evidence of the other
// zones.
func TestZoneWithoutRequestsUsesOtherZones(t *testing.T) {
	d := newDetectorTest()
	d.observe("a", rareFailure)
	d.observe("a", rareFailure)
	assert.Equal(t, d.standing("a"), Ejected)
	assert.Equal(t, d.standing("b"), Ejected)
	assert.Assert(t, d.detector.EjectedFor("a") && d.detector.EjectedFor("b"))
}

// A recovered endpoint is restored after a few probes. One that keeps failing
// is probed at growing intervals, so that few callers are affected.
func TestProbesRestoreEndpoint(t *testing.T) {
	d := newDetectorTest()
	d.observe("a", rareFailure)
	d.observe("a", rareFailure)
	assert.Equal(t, d.changes[0].Pause, basePause)

	d.now = d.now.Add(basePause)
	assert.Equal(t, d.standing("a"), Probed)
	s, wait := d.detector.Standing(d.now, "a", nRuns(1))
	assert.Equal(t, s, Ejected, "the first probe runs alone")
	assert.Equal(t, wait, probeWait)

	d.observe("a", rareFailure)
	assert.Equal(t, d.changes[1].Pause, 2*basePause)
	d.observe("a", SuccessWeight)
	assert.Equal(t, len(d.changes), 2, "a request from before the pause is ignored")

	d.now = d.now.Add(2 * basePause)
	d.observe("a", SuccessWeight)
	s, _ = d.detector.Standing(d.now, "a", nRuns(maxConcurrentProbes-1))
	assert.Equal(t, s, Probed)
	s, _ = d.detector.Standing(d.now, "a", nRuns(maxConcurrentProbes))
	assert.Equal(t, s, Ejected)
	for range probesToRestore - 1 {
		d.observe("a", SuccessWeight)
	}
	assert.Equal(t, d.standing("a"), InService)
}

// In a pool whose requests may not be retried nothing can probe an endpoint,
// which is then restored untested after maxUnprobed.
func TestUnprobedEndpointIsRestored(t *testing.T) {
	d := newDetectorTest()
	d.observe("a", rareFailure)
	d.observe("a", rareFailure)
	d.now = d.now.Add(basePause + maxUnprobed + time.Millisecond)
	assert.Equal(t, d.standing("a"), InService)
}

// Guards against counting requests from before the ejection as probes. Requests
// that may run only once hang at an unresponsive endpoint until their callers
// leave after 3 s; counted as probes, they kept out real ones, and the endpoint
// was restored untested while it still did not respond.
func TestRequestsBeforeEjectionAreNoProbes(t *testing.T) {
	d := newDetectorTest()
	d.observe("a", rareFailure)
	d.observe("a", rareFailure)
	out := d.now
	d.now = d.now.Add(basePause)
	s, _ := d.detector.Standing(d.now, "a", runsBegun{out.Add(-time.Millisecond)})
	assert.Equal(t, s, Probed)
	s, _ = d.detector.Standing(d.now.Add(maxUnprobed+time.Second), "a", runsBegun{d.now})
	assert.Equal(t, s, Ejected, "a probe still runs")
}

// runsBegun implements RunningRequests by start times.
type runsBegun []time.Time

func (r runsBegun) Since(begun time.Time) int {
	return lo.CountBy(r, func(at time.Time) bool { return !at.Before(begun) })
}

// One failure a minute does not eject an endpoint, however long that continues.
func TestFailuresFarApartEjectNobody(t *testing.T) {
	d := newDetectorTest()
	for range 60 {
		d.observe("a", rareFailure)
		d.now = d.now.Add(time.Minute)
	}
	assert.Equal(t, len(d.changes), 0)
}
