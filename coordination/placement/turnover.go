package placement

import "time"

// turnover estimates the share of its time for which a place at an endpoint stays
// empty between two requests. An owner learns late that a request has ended, and the
// next one takes time to arrive. The shorter the requests are, the more of them have
// to be on their way for the endpoint to be busy. The zero value has no
// observations.
type turnover struct {
	run   time.Duration // for which entries hold a grant
	delay time.Duration // for which the owner counts a grant beyond that
}

const (
	// turnoverSmoothing is the weight of the latest request in the moving averages.
	turnoverSmoothing = 0.05

	// turnoverMargin is a factor for what the owner does not see: the way from the
	// entry to the endpoint, and that requests do not end evenly spaced.
	turnoverMargin = 2

	// maxOvercommit bounds the requests that wait at an endpoint instead of at its
	// owner, which could still send them elsewhere.
	maxOvercommit = 3
)

// observe records a request that the owner counted for held and the entry for run.
func (t *turnover) observe(held, run time.Duration) {
	if run <= 0 {
		return
	}
	delay := max(held-run, 0)
	if t.run == 0 {
		t.run, t.delay = run, delay
		return
	}
	t.run += time.Duration(turnoverSmoothing * float64(run-t.run))
	t.delay += time.Duration(turnoverSmoothing * float64(delay-t.delay))
}

// overcommit returns the fraction of an endpoint's capacity by which requests sent
// to it may exceed that capacity. When the endpoint turns slow, requests take longer
// and the fraction falls.
func (t *turnover) overcommit() float64 {
	if t.run <= 0 {
		return 0
	}
	return min(turnoverMargin*float64(t.delay)/float64(t.run), maxOvercommit)
}
