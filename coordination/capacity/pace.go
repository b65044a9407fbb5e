package capacity

import (
	"math"
	"time"
)

const (
	minPace = 0.2
	maxPace = 20

	paceHalfCount = 8
	paceHalfLife  = 500 * time.Millisecond
	// A first request that takes five times as long must not make the endpoint look slow.
	pacePrior = 4

	idleBefore   = 2 * time.Second // without observations, before the pace decays to 1
	idleHalfLife = 2 * time.Second
	maxAge       = time.Minute // nothing is left of a pace, or was ever known

	// ReportTTL is how long a report counts. Reports were seen to change every few hundred
	// milliseconds.
	ReportTTL          = 300 * time.Millisecond
	correctionHalf     = 20 // observations
	correctionHalfLife = 5 * time.Second
	errorCount         = 16 // observations over which predictors are compared
)

// What is left of old observations after one more.
var (
	paceLeft       = math.Exp2(-1. / paceHalfCount)
	correctionLeft = math.Exp2(-1. / correctionHalf)
)

// Estimator estimates the pace and the limit of one endpoint. The owner of the endpoint
// holds it. It is not safe for concurrent use; the zero value is ready for use.
type Estimator struct {
	last   time.Time // latest observation of the pace, or that of a seed
	mean   float64   // logarithm of the measured pace
	weight float64
	shift  shift

	report      float64 // logarithm of the latest report
	reported    time.Time
	correction  float64 // logarithm of measured to reported
	corrected   time.Time
	corrections float64 // decayed number of observations in correction
	errMeasured float64 // mean absolute error
	errReported float64

	limiter limiter
}

// Observe records what a request shows that ran while the endpoint ran this many.
func (e *Estimator) Observe(now time.Time, o Observation, running float64) {
	before, known := e.report, e.fresh(now) // what placement had
	report, fresh := before, known          // what came with the work, else the same
	if o.Reported > 0 && o.ReportAge >= 0 && o.ReportAge < ReportTTL {
		report, fresh = logPace(o.Reported), true
		if made := now.Add(-o.ReportAge); !made.Before(e.reported) {
			e.report, e.reported = report, made
		}
	}
	if !(o.Pace > 0) {
		return
	}
	x := logPace(o.Pace)
	if fresh {
		if !known {
			before = report
		}
		e.compare(now, x, report, before)
	}
	e.measure(now, x)
	if fresh {
		x -= report
	}
	e.limiter.observe(now, x, running)
}

// compare updates the errors of both predictors, and the correction.
func (e *Estimator) compare(now time.Time, x, report, before float64) {
	e.errMeasured += (math.Abs(x-e.measured(now)) - e.errMeasured) / errorCount
	e.errReported += (math.Abs(x-before-e.correction) - e.errReported) / errorCount
	if e.corrections == 0 {
		e.corrections = pacePrior
	}
	left := max(halved(now.Sub(e.corrected), correctionHalfLife), correctionLeft)
	e.corrections = e.corrections*left + 1
	e.correction += (x - report - e.correction) / e.corrections
	e.corrected = now
}

// measure adds the logarithm of a measured pace.
func (e *Estimator) measure(now time.Time, x float64) {
	if e.weight == 0 {
		e.weight = pacePrior
	}
	e.mean = e.measured(now)
	e.weight = e.weight*max(halved(now.Sub(e.last), paceHalfLife), paceLeft) + 1
	if mean, n := e.shift.add(x, e.mean); n > 0 {
		e.mean, e.weight = mean, float64(n)
	} else {
		e.mean += (x - e.mean) / e.weight
	}
	if now.After(e.last) {
		e.last = now
	}
}

// measured returns the logarithm of the pace by the measured predictor.
func (e *Estimator) measured(now time.Time) float64 {
	return e.mean * halved(now.Sub(e.last)-idleBefore, idleHalfLife)
}

// fresh reports whether the latest report is valid.
func (e *Estimator) fresh(now time.Time) bool {
	return !e.reported.IsZero() && now.Sub(e.reported) < ReportTTL
}

// Pace returns how long work takes at the endpoint, 1 if nothing is known.
func (e *Estimator) Pace(now time.Time) Pace {
	x := e.measured(now)
	if e.fresh(now) && e.errReported <= e.errMeasured {
		x = e.report + e.correction
	}
	return clamp(Pace(math.Exp(x)))
}

// SustainedPace returns how long work takes at the endpoint by measured paces alone, 1 if
// nothing is known. It is for work that lasts longer than a report counts.
func (e *Estimator) SustainedPace(now time.Time) Pace {
	return clamp(Pace(math.Exp(e.measured(now))))
}

// Snapshot returns what e knows. Its pace is that of the latest observation.
func (e *Estimator) Snapshot(now time.Time) Snapshot {
	s := Snapshot{Pace: e.Pace(now), Limit: e.limiter.limit, Age: maxAge}
	if !e.last.IsZero() {
		s.Age = min(max(now.Sub(e.last), 0), maxAge)
	}
	if s.Age > idleBefore { // Seed lets it decay
		s.Pace = clamp(Pace(math.Exp(e.mean)))
	}
	return s
}

// Seed makes e begin with what another owner knew, unless e has newer observations.
func (e *Estimator) Seed(now time.Time, s Snapshot) {
	at := now.Add(-max(s.Age, 0))
	if !(s.Pace > 0) || s.Age >= maxAge || !e.last.IsZero() && !at.After(e.last) {
		return
	}
	e.mean, e.weight, e.last = logPace(s.Pace), pacePrior, at
	e.limiter.seed(now, s.Limit)
}

func clamp(p Pace) Pace { return min(max(p, minPace), maxPace) }

func logPace(p Pace) float64 { return math.Log(float64(clamp(p))) }

const (
	// Tolerance is the factor within which speeds count as equal. Measured paces vary by
	// that much.
	Tolerance = 1.3

	minWeight = 0.05
)

// Weight returns the share of load of an endpoint with pace p, relative to the mean of a
// pool whose mean speed is meanSpeed.
func Weight(p Pace, meanSpeed float64) float64 {
	if !(p > 0) || !(meanSpeed > 0) {
		return 1
	}
	w := 1 / (float64(p) * meanSpeed)
	if w < Tolerance && w > 1/Tolerance {
		return 1
	}
	return max(w, minWeight)
}
