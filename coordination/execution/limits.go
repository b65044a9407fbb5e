package execution

import (
	"context"
	"time"

	"wisteriaspool/coordination/budget"
)

// callsPerAction is how many calls to the platform an action needs.
const callsPerAction = 2

// Open returns how many records this router holds open.
func (l *Ledger) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

// Drain waits until no record is open, or ctx ends, and tells which it was.
func (l *Ledger) Drain(ctx context.Context) bool {
	l.mu.Lock()
	if l.open == 0 {
		l.mu.Unlock()
		return true
	}
	if l.idle == nil {
		l.idle = make(chan struct{})
	}
	idle := l.idle
	l.mu.Unlock()
	select {
	case <-idle:
		return true
	case <-ctx.Done():
		return false
	}
}

func (l *Ledger) acquire() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open >= l.cfg.MaxOpen {
		return false
	}
	l.open++
	return true
}

func (l *Ledger) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open--
	if l.open == 0 && l.idle != nil {
		close(l.idle)
		l.idle = nil
	}
}

// allow takes one call from the budget.
func (l *Ledger) allow() (ok bool, retryAfter time.Duration) {
	if l.cfg.Budget == nil {
		return true, 0
	}
	return l.cfg.Budget.Allow(budget.Actions)
}

// allowAction takes the calls of one action up front: one creates the record
// and one finishes it. Taken late, the second one would not be left in a surge,
// and actions that ran would stay in progress. If there is only one call left
// it is kept for the next action: given up, each action of a surge would use up
// the single call that came since the last one, and none would ever get two.
func (l *Ledger) allowAction() (ok bool, retryAfter time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.reservedCalls < callsPerAction {
		if ok, retryAfter = l.allow(); !ok {
			return false, retryAfter
		}
		l.reservedCalls++
	}
	l.reservedCalls -= callsPerAction
	return true, 0
}

// refund takes back the call that would have finished a record.
func (l *Ledger) refund() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reservedCalls++
}

// mayAttempt tells whether the given try of a settlement may be made. Begin has
// paid for the first. Of the others the budget can hold back every second one
// only: in a surge new actions take each call as it comes, and a key whose
// action has long run would stay in progress for as long as the surge lasts.
func (l *Ledger) mayAttempt(try int) bool {
	if try == 0 {
		return true
	}
	ok, _ := l.allow()
	return ok || try%2 == 0
}

// reserveAnswer counts the bytes of an answer that waits to be put on record, and tells
// whether there is room for it. Without a bound an outage that begins while
// many actions run would reserveAnswer all their answers in memory.
func (l *Ledger) reserveAnswer(a *Answer) bool {
	if a == nil {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pendingBytes+len(a.Body) > l.cfg.MaxPendingBytes {
		return false
	}
	l.pendingBytes += len(a.Body)
	return true
}

// releaseAnswer takes back what hold counted.
func (l *Ledger) releaseAnswer(a *Answer) {
	if a == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pendingBytes -= len(a.Body)
}
