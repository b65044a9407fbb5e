package execution

import (
	"context"
	"time"

	"wisteriaspool/coordination/budget"
)

// callsPerAction is the number of platform calls that an action needs: one to
// create its record and one to finish it.
const callsPerAction = 2

// Open returns the number of open records of this router.
func (l *Ledger) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

// Drain waits until no record is open or ctx ends. It returns true if no record
// is open.
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

// allowAction reserves all calls of one action: one creates the record and one
// finishes it. If the second call were taken later, a surge could leave none,
// and actions that ran would stay in progress. If only one call is available,
// it is kept for the next action: if it were returned, each action in a surge
// would use up the single call that became available since the last one, and
// none would ever get two.
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

// refund puts back the call that was reserved for finishing a record.
func (l *Ledger) refund() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reservedCalls++
}

// mayAttempt reports whether the given attempt of a settlement may be made.
// Begin has reserved a call for the first. The budget can block only every
// second one of the others: in a surge, new actions take each call as it
// becomes available, and the key of an action that has long run would stay in
// progress for as long as the surge lasts.
func (l *Ledger) mayAttempt(try int) bool {
	if try == 0 {
		return true
	}
	ok, _ := l.allow()
	return ok || try%2 == 0
}

// reserveAnswer counts the bytes of an answer that waits to be written, and
// reports whether they fit within MaxPendingBytes. Without this limit, an
// outage that begins while many actions run would keep all their answers in
// memory.
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

// releaseAnswer releases the bytes counted by reserveAnswer.
func (l *Ledger) releaseAnswer(a *Answer) {
	if a == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pendingBytes -= len(a.Body)
}
