package placement

import (
	"math"
	"sync"
	"time"

	"wisteriaspool/coordination"
)

// Affinity tells to how many endpoints of a pool a router keeps with requests
// that have nothing cached anywhere. Sent to all of a large pool, a few requests
// a second meet no endpoint again before its connection is closed. The zero
// value knows no requests and is ready for use.
type Affinity struct {
	mu    sync.Mutex
	pools map[coordination.Pool]*arrivalRate
}

const (
	// requestsPerEndpoint is how many requests an endpoint should get, in the mean, while
	// a connection to it can be used again: one in fifty then comes too late.
	requestsPerEndpoint = 4
	// minSubsetSize is the least number of endpoints: what fails at one is
	// judged by how the others fare.
	minSubsetSize = 3
	// arrivalsHalfLife is the half-life of the rate of requests.
	arrivalsHalfLife = 10 * time.Second
	// minArrivalWindow keeps the first requests from passing for a high rate.
	minArrivalWindow = time.Second
)

// SubsetSize counts a request for a pool, and returns the number of its endpoints
// that should get most of these requests, given for how long a connection can
// be used again.
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
	return max(int(r.perSecond()*reusable.Seconds()/requestsPerEndpoint), minSubsetSize)
}

// arrivalRate is a rate of requests, older ones counting less.
type arrivalRate struct {
	count   float64
	window  time.Duration // in which they came, aged likewise
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
