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
	pools map[coordination.Pool]*arrivals
}

const (
	// meetings is how many requests an endpoint should get, in the mean, while
	// a connection to it can be used again: one in fifty then comes too late.
	meetings = 4
	// leastAffinity is the least number of endpoints: what fails at one is
	// judged by how the others fare.
	leastAffinity = 3
	// arrivalsHalfLife is the half-life of the rate of requests.
	arrivalsHalfLife = 10 * time.Second
	// leastSpan keeps the first requests from passing for a high rate.
	leastSpan = time.Second
)

// Width counts a request for a pool, and returns the number of its endpoints
// that should get most of these requests, given for how long a connection can
// be used again.
func (a *Affinity) Width(now time.Time, p coordination.Pool, reusable time.Duration) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.pools[p]
	if r == nil {
		if a.pools == nil {
			a.pools = make(map[coordination.Pool]*arrivals)
		}
		r = &arrivals{aged: now}
		a.pools[p] = r
	}
	r.add(now)
	return max(int(r.perSecond()*reusable.Seconds()/meetings), leastAffinity)
}

// arrivals is a rate of requests, older ones counting less.
type arrivals struct {
	count float64
	span  time.Duration // in which they came, aged likewise
	aged  time.Time
}

func (r *arrivals) add(now time.Time) {
	passed := max(now.Sub(r.aged), 0)
	left := math.Exp2(-float64(passed) / float64(arrivalsHalfLife))
	r.count = r.count*left + 1
	r.span = time.Duration(float64(r.span)*left + float64(arrivalsHalfLife)/math.Ln2*(1-left))
	r.aged = now
}

func (r *arrivals) perSecond() float64 {
	return r.count / max(r.span, leastSpan).Seconds()
}
