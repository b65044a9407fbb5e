// Package retry limits retries to a share of the requests, so that a failure
// that affects many requests at once is not amplified by retries of all of
// them. A limit of retries per request would not prevent that.
package retry

import (
	"math/rand/v2"
	"sync"
)

// Defaults of the fields of Budget.
const (
	DefaultShare = 0.1
	DefaultBurst = 10
)

// Budget is a token bucket of retries that is filled by requests. The zero
// value is full and allows retries for DefaultShare of the requests. It is safe
// for concurrent use.
type Budget struct {
	// Share is the number of retries that each request adds. Zero means
	// DefaultShare; a negative share adds none, which leaves only the burst.
	Share float64

	// Burst is the maximum number of retries that accumulate. Zero means
	// DefaultBurst; a negative burst allows no retries. A burst below 1, such as
	// one router's part of the burst of a large fleet, allows a retry with the
	// probability that its value gives. Routers that would wait for a whole retry
	// would never make one.
	Burst float64

	// Rand returns random numbers in [0, 1). Nil means [rand.Float64].
	Rand func() float64

	mu      sync.Mutex
	spent   float64 // retries taken and not yet refilled
	limited bool    // by earned
	earned  float64 // credit at the start and what requests have added since, less retries taken
}

// Limit makes the budget begin with a number of retries in place of a full burst. Further
// ones accumulate with requests. The routers of a fleet that restarts would else take the
// burst again with each start.
func (b *Budget) Limit(credit float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limited, b.earned = true, credit
}

// RecordRequest counts a request, which adds Share of a retry.
func (b *Budget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent = max(b.spent-b.share(), 0)
	b.earned = min(b.earned+b.share(), b.burst())
}

// Take takes one retry and reports whether one was available.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.burst() < 1 {
		return b.takeFraction()
	}
	if b.left() < 1 {
		return false
	}
	b.take(1)
	return true
}

// takeFraction takes all that is left, which is less than one retry, and reports
// true with the probability that it gives. On average, the retries of many routers
// are as many as their budgets add up to. b.mu must be held.
func (b *Budget) takeFraction() bool {
	left := b.left()
	if left <= 0 {
		return false
	}
	b.take(left)
	return b.random() < left
}

// left returns what may be taken now. b.mu must be held.
func (b *Budget) left() float64 {
	left := b.burst() - b.spent
	if b.limited {
		left = min(left, b.earned)
	}
	return max(left, 0)
}

// take takes n retries. b.mu must be held.
func (b *Budget) take(n float64) {
	b.spent += n
	b.earned -= n
}

func (b *Budget) random() float64 {
	if b.Rand == nil {
		return rand.Float64()
	}
	return b.Rand()
}

// SetBurst changes Burst while the budget is in use. The retries already taken
// stay taken.
func (b *Budget) SetBurst(burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Burst = burst
}

// Left returns the number of retries available now.
func (b *Budget) Left() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return int(b.left())
}

func (b *Budget) share() float64 {
	if b.Share == 0 {
		return DefaultShare
	}
	return max(b.Share, 0)
}

func (b *Budget) burst() float64 {
	if b.Burst == 0 {
		return DefaultBurst
	}
	return max(b.Burst, 0)
}
