package capacity

import (
	"math"
	"time"
)

// uppers are the upper ends of the buckets of concurrency.
var uppers = [...]int{1, 2, 3, 4, 6, 8, 12, 16, 24, 32, 48, 64, 96, 128, 192, 256, 384, 512, 768, 1024}

const (
	bucketHalfLife = 4 * time.Second
	// Least weight of a bucket in use. The first completions at a concurrency are the short
	// ones; from a weight of 6 on, a batch engine was limited in 6% of the time, from 10 in 3%.
	bucketMin = 10
	// Growth of the throughput as a share of proportional growth. A fixed gain of 5% asks
	// less of distant buckets than of neighbors; a batch engine reaches half of proportional
	// growth, and an endpoint past its knee none.
	elasticity = 0.2
	// Standard errors by which growth must be too small to count as none. Waiting for a
	// standard error of 0.1 in each bucket finds no limit at 40 requests/s, as low buckets
	// never get as many observations. With 1.5, growing throughput was limited more often.
	confidence = 2
	// A probe that has this weight is decided by its mean alone.
	probeWeight = 50
	// Variance that a bucket has before its own is known, and the weight of that.
	priorVariance = 0.25
	priorWeight   = 3

	judgeEvery = 100 * time.Millisecond
	// Each failed probe doubles the time to the next one, as probing costs latency. With
	// 16 s an endpoint that was fast again kept its limit for too long.
	probeFirst = 2 * time.Second
	probeLast  = 8 * time.Second
)

// limiter finds the concurrency up to which throughput grows.
type limiter struct {
	buckets [len(uppers)]bucket
	limit   int  // zero for none
	probing bool // limit was raised and is not judged yet
	judged  time.Time
	probe   time.Time // when to probe next
	wait    time.Duration
	shift   shift // of deviations from the means of the buckets
}

// bucket holds the logarithms of the paces measured at similar concurrency.
type bucket struct {
	last    time.Time
	weight  float64
	mean    float64
	square  float64 // mean of the squared deviation
	running float64 // mean concurrency
}

func (b *bucket) decay(now time.Time) {
	if now.After(b.last) {
		b.weight *= halved(now.Sub(b.last), bucketHalfLife)
		b.last = now
	}
}

// observe adds an observation to b, which has decayed to now.
func (b *bucket) observe(now time.Time, x, running float64) {
	b.last = now
	b.weight++
	d := x - b.mean
	b.mean += d / b.weight
	b.square += (d*(x-b.mean) - b.square) / b.weight
	b.running += (running - b.running) / b.weight
}

// throughput returns the logarithm of the throughput and its variance.
func (b *bucket) throughput() (mean, variance float64) {
	v := (b.square*b.weight + priorVariance*priorWeight) / (b.weight + priorWeight)
	// Decayed weights are worth twice as many equal ones.
	return math.Log(b.running) - b.mean, v / (2 * b.weight)
}

func (l *limiter) observe(now time.Time, x, running float64) {
	if !(running >= 0) {
		return
	}
	b := &l.buckets[bucketOf(running)]
	b.decay(now)
	if b.weight >= bucketMin {
		// An endpoint that becomes slow for other reasons fills up. Its high buckets would
		// then be slow and its low ones from before fast, which looks like a limit.
		if _, n := l.shift.add(x-b.mean, 0); n > 0 {
			clear(l.buckets[:])
		}
	}
	b.observe(now, x, max(running, 1))
}

// bucketOf returns the index of the bucket of a concurrency.
func bucketOf(running float64) int {
	for i, n := range uppers {
		if running <= float64(n) {
			return i
		}
	}
	return len(uppers) - 1
}

// Limit returns how many requests at once the endpoint takes well: at most slots, and
// slots if nothing is known.
func (e *Estimator) Limit(now time.Time, slots int) int {
	l := &e.limiter
	if now.Sub(l.judged) >= judgeEvery {
		l.judged = now
		l.judge(now)
	}
	if l.limit == 0 {
		return slots
	}
	return min(l.limit, slots)
}

// judge sets the limit by the buckets in use.
func (l *limiter) judge(now time.Time) {
	best, worse := l.best(now)
	at := bucketOf(float64(l.limit))
	probed := l.limit > 0 && best >= 0 && best < at && l.buckets[at].weight >= probeWeight
	switch {
	case worse || probed:
		l.lower(now, best)
	case l.limit == 0:
	case l.probing && best >= at: // throughput grew up to the limit
		l.wait = 0
		l.raise(now, best)
	case now.Before(l.probe), l.probing && l.buckets[at].weight >= bucketMin: // being measured
	default:
		l.raise(now, at)
	}
}

// best returns the bucket up to which throughput grows, negative if there is none, and
// whether it does not grow above.
func (l *limiter) best(now time.Time) (best int, worse bool) {
	best = -1
	var most, variance, from float64
	for i := range l.buckets {
		b := &l.buckets[i]
		if b.weight == 0 {
			continue
		}
		if b.decay(now); b.weight < bucketMin {
			continue
		}
		t, v := b.throughput()
		n := math.Log(b.running)
		grown := t - most - elasticity*(n-from)
		switch {
		case best < 0 || grown >= 0:
			best, most, variance, from, worse = i, t, v, n, false
		case grown < -confidence*math.Sqrt(v+variance):
			worse = true
		}
	}
	return best, worse
}

// lower limits the endpoint to the best bucket, or probes the one above if it is time.
func (l *limiter) lower(now time.Time, best int) {
	if l.limit == uppers[best] && !now.Before(l.probe) {
		l.raise(now, best)
		return
	}
	if l.limit != uppers[best] {
		l.limit, l.probing = uppers[best], false
		l.wait = min(max(2*l.wait, probeFirst), probeLast)
		l.probe = now.Add(l.wait)
	}
}

// raise moves the limit up from a bucket, and measures those above anew.
func (l *limiter) raise(now time.Time, from int) {
	clear(l.buckets[from+1:])
	l.probe, l.probing = now.Add(probeFirst), true
	l.limit = 0
	if from+1 < len(uppers) {
		l.limit = uppers[from+1]
	}
}

// seed begins with the limit of another owner.
func (l *limiter) seed(now time.Time, limit int) {
	if limit > 0 {
		l.limit, l.probe = uppers[bucketOf(float64(limit))], now.Add(probeFirst)
	}
}
