package placement

import (
	"math"
	"sync"
	"time"

	"wisteriaspool/coordination"
)

// poolLoad is what an owner knows of the load of one pool: the exact sum over
// its own endpoints, and the total that the pool's root last told it. The zero
// value is a pool of which only the own part is known.
type poolLoad struct {
	mu        sync.Mutex
	name      coordination.Pool
	count     int // requests at own endpoints
	endpoints int // own endpoints that take new work
	listed    int // endpoints of the pool in the instance list

	others            int // requests at endpoints of other owners
	othersEndpoints   int
	drift             float64 // usual change of others from one exchange to the next
	interval          time.Duration
	lastReply         time.Time // when the root last answered
	lastReport        time.Time // when the root was last told; guarded by the owner's lock
	reportedEndpoints int       // own endpoints that it was told of; guarded by the owner's lock
	reportChanged     time.Time // when it was last told of another number; guarded by the owner's lock
	lastComplete      time.Time // when the sums last covered all listed endpoints
}

// add adds to the sums over own endpoints.
func (p *poolLoad) add(count, endpoints int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.count += count
	p.endpoints += endpoints
	if p.count < 0 || p.endpoints < 0 {
		panic("placement: negative load of pool " + string(p.name))
	}
}

// setListed notes how many endpoints of the pool the instance setListed has.
func (p *poolLoad) setListed(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listed = n
}

const (
	// driftMargin is how many times the usual change between two exchanges the
	// other owners' load is taken to have fallen since the last one. Without
	// it, one placement in a hundred relies on a mean that is no more.
	driftMargin = 2.0

	// driftSmoothing is the weight of the latest change in the usual one.
	driftSmoothing = 0.2
)

// admit counts one more request at an endpoint that runs count, if that keeps
// the endpoint within bound times the mean. Reading the mean and adding to it
// is one step under the lock, so that admissions at two endpoints cannot both
// rely on the same sum.
func (p *poolLoad) admit(now time.Time, count int, cfg *Config) (limit int, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	limit = cfg.boundOf(p.name).limit(p.mean(now, cfg))
	if count+1 > limit {
		return limit, false
	}
	p.count++
	return limit, true
}

// mean returns the mean load of the pool with one more request.
func (p *poolLoad) mean(now time.Time, cfg *Config) float64 {
	own := float64(p.count + 1)
	ownEndpoints := float64(max(p.endpoints, 1))
	age := now.Sub(p.lastReply)
	if p.lastReply.IsZero() || age >= 2*cfg.MeanTTL {
		return own / ownEndpoints
	}
	n := p.endpointCount(now)
	others := float64(p.others)
	// With half of what the bound leaves above the mean, some endpoint is still
	// under the bound, so that the margin never refuses by itself.
	others -= min(p.drift*p.staleness(age), others*(1-1/cfg.boundOf(p.name).Bound)/2)
	whole := (own + others) / n
	if age <= cfg.MeanTTL {
		return whole
	}
	// The root has been silent for long: lean on the own part more and more,
	// rather than jump from one mean to another.
	part := float64(age-cfg.MeanTTL) / float64(cfg.MeanTTL)
	return whole*(1-part) + own/ownEndpoints*part
}

// partialTTL is for how long sums that cover only a part of a pool are taken
// for those of the whole.
const partialTTL = 3 * time.Second

// endpointCount returns by how many endpoints the sums are divided. Some that are
// listed may not be in the sums yet: they have just joined, their owner has
// died, or the root has not heard from all owners. Counting those keeps the
// mean from being too high. But an owner that stays cut off from the others
// would so refuse everything, hence the time limit.
func (p *poolLoad) endpointCount(now time.Time) float64 {
	summed := max(p.endpoints+p.othersEndpoints, 1)
	if now.Sub(p.lastComplete) > partialTTL {
		return float64(summed)
	}
	return float64(max(p.listed, summed))
}

// minCoverage is the part of a pool's endpoints below which its sums are partial.
const minCoverage = 7.0 / 8

// unsettled reports whether the sums do not fit the list of endpoints, for some time
// after they did or this owner's part changed: many routers have started, or are
// gone, and endpoints are counted by none or by several. The caller holds the owner's
// lock.
func (p *poolLoad) unsettled(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.endpoints == 0 || !p.coversListed() && min(now.Sub(p.lastComplete), now.Sub(p.reportChanged)) <= partialTTL
}

// coversListed reports whether the sums cover nearly as many endpoints as are listed. The
// caller holds p.mu.
func (p *poolLoad) coversListed() bool { return nearlyEqual(p.endpoints+p.othersEndpoints, p.listed) }

// nearlyEqual reports whether two numbers of endpoints are nearly the same.
func nearlyEqual(a, b int) bool { return float64(min(a, b)) >= minCoverage*float64(max(a, b)) }

// staleness returns by how many usual changes the others' load may have fallen
// since the last exchange. It grows with every exchange that is missed.
func (p *poolLoad) staleness(age time.Duration) float64 {
	if p.interval <= 0 {
		return driftMargin
	}
	return driftMargin * max(float64(age)/float64(p.interval), 1)
}

// applyTotal takes the root's total, of which mine is what this owner had reported.
func (p *poolLoad) applyTotal(now time.Time, total, mine PoolSum) {
	p.mu.Lock()
	defer p.mu.Unlock()
	others, endpoints := max(total.Count-mine.Count, 0), max(total.Endpoints-mine.Endpoints, 0)
	if !p.lastReply.IsZero() {
		if nearlyEqual(endpoints, p.othersEndpoints) {
			change := math.Abs(float64(others - p.others))
			p.drift += driftSmoothing * (change - p.drift)
		}
		p.interval = now.Sub(p.lastReply)
	}
	p.others, p.othersEndpoints = others, endpoints
	if summed := p.endpoints + p.othersEndpoints; summed >= p.listed && p.coversListed() {
		p.lastComplete = now
	}
	p.lastReply = now
}

// ownSums returns the sums over ownSums endpoints.
func (p *poolLoad) ownSums() (count, endpoints int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.count, p.endpoints
}

// limitOf returns ceil(bound*mean), forgiving the rounding of floats: 1.25*8
// must not become 11.
func limitOf(bound, mean float64) int {
	return int(math.Ceil(bound*mean - 1e-9))
}
