package capacity

import (
	"math"
	"math/bits"
	"sync"
	"time"

	"wisteriaspool/coordination"
)

const (
	maxGroups        = 1024
	groupIdle        = 10 * time.Minute
	groupSweep       = time.Minute
	baselineHalfLife = time.Minute // a surge of some seconds has little effect
	baselineMin      = 5           // observations before a group's average is used
	minMeasured      = 0.05
	maxMeasured      = 50
)

// Baseline tracks how long work usually takes. The router that sends requests holds it.
// It is safe for concurrent use; the zero value is ready for use.
type Baseline struct {
	mu     sync.Mutex
	groups map[groupKey]*group
	swept  time.Time
}

type groupKey struct {
	pool coordination.Pool
	kind string
	size int // powers of four of the tokens
}

type group struct {
	seen   int
	weight float64 // decayed number of observations
	mean   float64 // of the logarithm of the seconds
	last   time.Time
}

// Observe records how long a piece of work took and returns its pace, or zero while too
// little is known.
func (b *Baseline) Observe(now time.Time, w Work, took time.Duration) Pace {
	if took <= 0 {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	g := b.group(now, groupKey{w.Pool, w.Kind, (bits.Len(uint(max(w.Tokens, 0))) + 1) / 2})
	if g == nil {
		return 0
	}
	x := math.Log(took.Seconds())
	var pace Pace
	if g.seen >= baselineMin {
		pace = Pace(min(max(math.Exp(x-g.mean), minMeasured), maxMeasured))
	}
	g.seen++
	g.weight = g.weight*halved(now.Sub(g.last), baselineHalfLife) + 1
	g.mean += (x - g.mean) / g.weight
	g.last = now
	return pace
}

// group returns the group of k, or nil if there are too many.
func (b *Baseline) group(now time.Time, k groupKey) *group {
	if now.Sub(b.swept) >= groupSweep {
		b.swept = now
		for k, g := range b.groups {
			if now.Sub(g.last) >= groupIdle {
				delete(b.groups, k)
			}
		}
	}
	g := b.groups[k]
	if g == nil && len(b.groups) < maxGroups {
		if b.groups == nil {
			b.groups = make(map[groupKey]*group)
		}
		g = &group{last: now}
		b.groups[k] = g
	}
	return g
}

// halved returns what is left of 1 after d.
func halved(d, halfLife time.Duration) float64 {
	if d <= 0 {
		return 1
	}
	return math.Exp2(-float64(d) / float64(halfLife))
}
