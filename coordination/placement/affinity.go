package placement

import (
	"math"
	"sync"
	"time"

	"wisteriaspool/coordination"
)

// Affinity computes how many endpoints of a pool a router should prefer for
// requests that have nothing cached anywhere. If a few requests a second were
// spread over a large pool, each connection would be closed as idle before the next
// request to its endpoint. The zero value is ready for use.
type Affinity struct {
	mu    sync.Mutex
	pools map[coordination.Pool]*arrivalRate
}

const (
	// requestsPerEndpoint is the mean number of requests that an endpoint should
	// get within the time for which a connection to it can be reused. With 4, one
	// request in fifty comes too late for reuse.
	requestsPerEndpoint = 4
	// minSubsetSize is the least number of endpoints. Failures at one endpoint are
	// judged by comparison with the others.
	minSubsetSize = 3
	// arrivalsHalfLife is the half-life of the request rate.
	arrivalsHalfLife = 10 * time.Second
	// minArrivalWindow keeps the first requests from being taken for a high rate.
	minArrivalWindow = time.Second
)

// SubsetSize counts a request for a pool, and returns the number of its endpoints
// that should get most of these requests. A connection can be reused within
// reusable of its last use.
func (a *Affinity) SubsetSize(now time.Time, p coordination.Pool, reusable time.Duration) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.pools[p]
	if r == nil {
		if a.pools == nil {
			a.pools = make(map[coordination.Pool]*arrivalRate)
		}
		r = &arrivalRate{updated: now}
		a.pools[p] = r
	}
	r.add(now)
	return r.subsetSize(reusable)
}

// PreviewSubsetSize returns what SubsetSize would, without counting a request.
func (a *Affinity) PreviewSubsetSize(now time.Time, p coordination.Pool, reusable time.Duration) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := arrivalRate{updated: now}
	if known := a.pools[p]; known != nil {
		r = *known
	}
	r.add(now)
	return r.subsetSize(reusable)
}

func (r *arrivalRate) subsetSize(reusable time.Duration) int {
	return max(int(r.perSecond()*reusable.Seconds()/requestsPerEndpoint), minSubsetSize)
}

// arrivalRate is an exponentially decaying rate of requests.
type arrivalRate struct {
	count   float64
	window  time.Duration // time in which they arrived, decayed likewise
	updated time.Time
}

func (r *arrivalRate) add(now time.Time) {
	passed := max(now.Sub(r.updated), 0)
	left := math.Exp2(-float64(passed) / float64(arrivalsHalfLife))
	r.count = r.count*left + 1
	r.window = time.Duration(float64(r.window)*left + float64(arrivalsHalfLife)/math.Ln2*(1-left))
	r.updated = now
}

func (r *arrivalRate) perSecond() float64 {
	return r.count / max(r.window, minArrivalWindow).Seconds()
}
