// Package retry limits retries to a share of the requests, so that a failure
// that affects many requests at once is not amplified by retries of all of
// them. A limit of retries per request would not prevent that.
package retry

import "sync"

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
	// DefaultBurst; a negative burst allows no retries.
	Burst float64

	mu    sync.Mutex
	spent float64 // retries taken and not yet refilled
}

// RecordRequest counts a request, which adds Share of a retry.
func (b *Budget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent = max(b.spent-b.share(), 0)
}

// Take takes one retry and reports whether one was available.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spent+1 > b.burst() {
		return false
	}
	b.spent++
	return true
}

// Left returns the number of retries available now.
func (b *Budget) Left() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return int(max(b.burst()-b.spent, 0))
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
