// Package memory bounds how many bytes a router holds for requests, and shares them among
// client accounts.
//
// Each request opens holds, and takes bytes before it allocates them. An account may hold
// as many bytes as are free, or a multiple of it for small requests. So one account alone
// never takes all, accounts that hold as much as they may have equal shares, and what an
// account may hold adapts to how many others there are.
package memory

import (
	"sync"
	"time"

	"wisteriaspool/coordination"
)

// Bytes is a number of bytes of memory.
type Bytes int64

const (
	// smallHold is the size up to which a hold is small.
	smallHold Bytes = 64 << 10
	// smallFactor is how many times the free bytes an account may hold after a small hold
	// has grown. Small requests of an account are served beside its large ones.
	smallFactor = 4
)

// Budget is a number of bytes that requests may hold at once. A nil Budget has no limit.
// It is safe for concurrent use.
type Budget struct {
	limit Bytes

	mu       sync.Mutex
	total    Bytes
	peak     Bytes
	refused  int
	accounts map[coordination.Account]Bytes
	meanHold time.Duration // how long holds that are not small last, a moving average
}

// NewBudget returns a budget of limit bytes.
func NewBudget(limit Bytes) *Budget {
	return &Budget{limit: limit, accounts: make(map[coordination.Account]Bytes)}
}

// Open returns an empty hold for a request of an account.
func (b *Budget) Open(a coordination.Account) *Hold {
	if b == nil {
		return nil
	}
	return &Hold{budget: b, account: a}
}

// Usage is how much of a budget is used.
type Usage struct {
	Limit   Bytes
	Held    Bytes
	Peak    Bytes // most bytes that were held at once
	Refused int   // how many times a hold could not grow
}

// Usage returns how much of the budget is used.
func (b *Budget) Usage() Usage {
	if b == nil {
		return Usage{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return Usage{Limit: b.limit, Held: b.total, Peak: b.peak, Refused: b.refused}
}

const (
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 3 * time.Second
)

// RetryAfter returns when a request that was refused for want of memory may return: when
// those that hold it now have ended.
func (b *Budget) RetryAfter() time.Duration {
	if b == nil {
		return minRetryAfter
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return min(max(b.meanHold, minRetryAfter), maxRetryAfter)
}

// Hold is the bytes that a part of a request holds. A nil Hold has no limit. It must be
// closed. It is not safe for concurrent use.
type Hold struct {
	budget  *Budget
	account coordination.Account
	size    Bytes
	since   time.Time // when it got its first bytes
}

// Take makes the hold n bytes larger, and reports whether its account may have them. If
// not, the hold remains as it was.
func (h *Hold) Take(n Bytes) bool {
	if h == nil {
		return true
	}
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	free := b.limit - b.total - n
	allowed := free
	if h.size+n <= smallHold {
		allowed = free * smallFactor
	}
	if free < 0 || b.accounts[h.account]+n > allowed {
		b.refused++
		return false
	}
	if h.size == 0 {
		h.since = time.Now()
	}
	h.size += n
	b.total += n
	b.peak = max(b.peak, b.total)
	b.accounts[h.account] += n
	return true
}

// meanHoldShare is the share 1/n of the latest hold in the moving average.
const meanHoldShare = 8

// Close returns all bytes. Further calls do nothing.
func (h *Hold) Close() {
	if h == nil || h.size == 0 {
		return
	}
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.size > smallHold {
		b.meanHold += (time.Since(h.since) - b.meanHold) / meanHoldShare
	}
	b.total -= h.size
	b.accounts[h.account] -= h.size
	if b.accounts[h.account] == 0 {
		delete(b.accounts, h.account)
	}
	h.size = 0
}
