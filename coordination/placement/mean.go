package placement

import (
	"math"
	"sync"
	"time"

	"wisteriaspool/coordination"
)

// poolLoad is an owner's view of the load of one pool: the exact sum over its
// own endpoints and the last total received from the pool's root, see
// [Routers.Root]. The zero value knows only the own part.
type poolLoad struct {
	mu sync.Mutex
	poolState

	// The fields below are guarded by the owner's lock.
	lastReport        time.Time // when a report was last sent to the root
	reportedEndpoints int       // own endpoints in that report
	reportChanged     time.Time // when that number last changed
}

// poolState holds the fields of a poolLoad that mu guards. It has no pointers, so that
// [Owner.Preview] can decide with a copy.
type poolState struct {
	name      coordination.Pool
	count     int // requests at own endpoints
	endpoints int // own endpoints that are not leaving
	listed    int // endpoints of the pool in the instance list
	evacuated int // listed endpoints that are evacuated

	fleet float64 // share of the fleet's routers that this one sees

	others          int // requests at endpoints of other owners
	othersEndpoints int
	drift           float64 // moving average of the change of others between exchanges
	interval        time.Duration
	lastReply       time.Time // when the root last answered
	lastComplete    time.Time // when the sums last covered all listed endpoints

	maxRejections   int // within a second, of each endpoint; zero for any number
	rejectionsUntil time.Time

	reportsPace bool    // some endpoint has reported its pace
	speed       float64 // sum of the speeds of own endpoints
	othersSpeed float64
}

// add adds to the sums over the own endpoints.
func (p *poolLoad) add(count, endpoints int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.count += count
	p.endpoints += endpoints
	if p.count < 0 || p.endpoints < 0 {
		panic("placement: negative load of pool " + string(p.name))
	}
}

// setView sets the numbers of the pool's endpoints in the instance list that take
// requests and that are evacuated, and the share of the fleet's routers that this one
// sees.
func (p *poolLoad) setView(open, evacuated int, fleet float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listed, p.evacuated, p.fleet = open+evacuated, evacuated, fleet
}

// fleetShare returns the share of the fleet's routers that this one sees.
func (p *poolLoad) fleetShare() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fleet
}

const (
	// driftMargin is by how many average changes the load of other owners is
	// assumed to have fallen since the last exchange. Without it, 1% of
	// placements use a mean that is higher than the actual one.
	driftMargin = 2.0

	// driftSmoothing is the weight of the latest change in the moving average.
	driftSmoothing = 0.2
)

// admit counts one more request at an endpoint that runs count requests, if the
// endpoint stays within its limit. The mean is read and updated under one lock,
// so that concurrent admissions at two endpoints cannot rely on the same sum.
// weight is the endpoint's share of load. The limit returned for an admitted request is
// that of weight 1, as entries use it for all endpoints of the pool.
func (p *poolLoad) admit(now time.Time, count int, weight float64, cfg *Config) (limit int, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	limit = p.limit(now, weight, cfg)
	if count+1 > limit {
		return limit, false
	}
	if weight != 1 {
		limit = p.limit(now, 1, cfg)
	}
	p.count++
	return limit, true
}

// meanLoad returns the mean load of the pool including one more request.
func (p *poolLoad) meanLoad(now time.Time, cfg *Config) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mean(now, cfg)
}

// markReportsPace records that some endpoint of the pool reports its pace.
func (p *poolLoad) markReportsPace() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reportsPace = true
}

// paceReported reports whether some endpoint of the pool has reported its pace.
func (p *poolLoad) paceReported() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reportsPace
}

// boundFor returns the maximum number of requests at an endpoint whose share of load is weight.
func (p *poolLoad) boundFor(now time.Time, weight float64, cfg *Config) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.limit(now, weight, cfg)
}

// addSpeed adds to the sum of the speeds of own endpoints.
func (p *poolLoad) addSpeed(d float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.speed += d
}

// meanSpeed returns the mean speed of the pool's endpoints, of the own ones if the root
// has not answered for longer than the mean load is used.
func (p *poolLoad) meanSpeed(now time.Time, cfg *Config) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	speed, n := p.speed, p.endpoints
	if !p.lastReply.IsZero() && now.Sub(p.lastReply) < cfg.MeanTTL {
		speed, n = speed+p.othersSpeed, n+p.othersEndpoints
	}
	if n <= 0 || speed <= 0 {
		return 1
	}
	return speed / float64(n)
}

// limit returns the maximum number of requests at an endpoint. Evacuated endpoints
// count in the mean like any others: the bound is relative to what the whole pool
// carries. If so many are evacuated that the others could not carry all requests
// within the bound, the limit is their own mean and one more. The caller holds p.mu.
// weight is the endpoint's share of load. An endpoint may always run one request, so that
// it is measured.
func (p *poolLoad) limit(now time.Time, weight float64, cfg *Config) int {
	mean := p.mean(now, cfg)
	limit := cfg.boundOf(p.name).weightedLimit(weight, mean)
	if open := p.listed - p.evacuated; p.evacuated > 0 && open > 0 {
		spare := limitOf(float64(p.listed)/float64(open), mean) + 1
		if weight < 1 {
			spare = int(float64(spare) * weight)
		}
		limit = max(limit, spare)
	}
	return limit
}

// mean returns the mean load of the pool including one more request. The caller
// holds p.mu.
func (p *poolLoad) mean(now time.Time, cfg *Config) float64 {
	own := float64(p.count + 1)
	ownEndpoints := float64(max(p.endpoints, 1))
	age := now.Sub(p.lastReply)
	if p.lastReply.IsZero() || age >= 2*cfg.MeanTTL {
		return own / ownEndpoints
	}
	n := p.endpointCount(now)
	others := float64(p.others)
	// The margin is capped at half of the headroom that the bound leaves above
	// the mean. Some endpoint is then still below the bound, so that the margin
	// alone never causes a refusal.
	others -= min(p.drift*p.staleness(age), others*(1-1/cfg.boundOf(p.name).Bound)/2)
	whole := (own + others) / n
	if age <= cfg.MeanTTL {
		return whole
	}
	// The root has not answered for longer than MeanTTL. Shift gradually to the
	// own mean to avoid a sudden change of the limits.
	part := float64(age-cfg.MeanTTL) / float64(cfg.MeanTTL)
	return whole*(1-part) + own/ownEndpoints*part
}

// partialTTL is how long sums that cover only part of a pool are divided by the
// number of all its listed endpoints.
const partialTTL = 3 * time.Second

// endpointCount returns the divisor of the mean. Listed endpoints may be
// missing from the sums because they have just joined, their owner has died, or
// the root has not heard from all owners. Counting them keeps the mean from
// being too high. An owner that stays partitioned would then refuse everything,
// so this ends after partialTTL.
func (p *poolLoad) endpointCount(now time.Time) float64 {
	summed := max(p.endpoints+p.othersEndpoints, 1)
	if now.Sub(p.lastComplete) > partialTTL {
		return float64(summed)
	}
	return float64(max(p.listed, summed))
}

// minCoverage is the fraction of a pool's endpoints that the sums must cover to
// count as complete.
const minCoverage = 7.0 / 8

// sumsIncomplete reports whether the sums do not cover the listed endpoints, within
// partialTTL after they last did or after this owner's part changed. This
// happens when many routers start or stop, and endpoints are counted by no
// owner or by several. The caller holds the owner's lock.
func (p *poolLoad) sumsIncomplete(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.endpoints == 0 || !p.coversListed() && min(now.Sub(p.lastComplete), now.Sub(p.reportChanged)) <= partialTTL
}

// coversListed reports whether the sums cover nearly as many endpoints as are
// listed. The caller holds p.mu.
func (p *poolLoad) coversListed() bool { return nearlyEqual(p.endpoints+p.othersEndpoints, p.listed) }

// nearlyEqual reports whether two numbers of endpoints differ by no more than
// minCoverage allows.
func nearlyEqual(a, b int) bool { return float64(min(a, b)) >= minCoverage*float64(max(a, b)) }

// staleness returns by how many average changes the load of other owners may
// have fallen since the last exchange. It grows with every missed exchange.
func (p *poolLoad) staleness(age time.Duration) float64 {
	if p.interval <= 0 {
		return driftMargin
	}
	return driftMargin * max(float64(age)/float64(p.interval), 1)
}

// applyTotal stores the total received from the root. mine is this owner's part
// of it, as last reported.
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
	p.othersSpeed = max(total.Speed.ratio()-mine.Speed.ratio(), 0)
	if summed := p.endpoints + p.othersEndpoints; summed >= p.listed && p.coversListed() {
		p.lastComplete = now
	}
	p.lastReply = now
}

// ownSums returns the sums over the own endpoints.
func (p *poolLoad) ownSums() (count, endpoints int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.count, p.endpoints
}

// ownSpeed returns the sum of the speeds of the own endpoints.
func (p *poolLoad) ownSpeed() Percent {
	p.mu.Lock()
	defer p.mu.Unlock()
	return percentOf(p.speed)
}

// limitOf returns ceil(bound*mean) and tolerates floating-point rounding
// errors, so that 1.25*8 yields 10 and not 11.
func limitOf(bound, mean float64) int {
	return int(math.Ceil(bound*mean - 1e-9))
}
