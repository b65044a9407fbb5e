// Package retry limits retries to a share of the requests, so that a failure
// which hits many requests at once is not made worse by all of them coming
// back. A count per request would allow just that.
package retry

import "sync"

// Defaults of a Budget.
const (
	DefaultShare = 0.1
	DefaultBurst = 10
)

// Budget is a token bucket fed by requests. The zero value is full and allows
// retries for DefaultShare of the requests. It is safe for concurrent use.
type Budget struct {
	// Share is the number of retries that each request earns. Zero means
	// DefaultShare; a negative share allows none beyond the burst.
	Share float64

	// Burst is the number of retries that may be saved up. Zero means
	// DefaultBurst; a negative burst allows no retry at all.
	Burst float64

	mu    sync.Mutex
	spent float64 // of the burst
}

// RecordRequest notes a request, which earns a share of a retry.
func (b *Budget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent = max(b.spent-b.share(), 0)
}

// Take spends one retry and reports whether there was one left.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spent+1 > b.burst() {
		return false
	}
	b.spent++
	return true
}

// Left returns the number of retries that could be taken now.
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
