package execution

import (
	"sync/atomic"
	"time"

	"wisteriaspool/coordination/kv"
)

// claim is what one call of Begin does to own a record.
type claim struct {
	path        string
	record      Record
	answerLimit int // the longest answer to keep, in bytes
	lease       kv.Lease
	start       time.Time   // of Begin
	expect      kv.Revision // that the create expects
	unconfirmed bool        // a create got no answer and may stand, or may yet land
}

// The life of a token.
const (
	tokenHeld int32 = iota
	tokenDispatched
	tokenSettled
)

// Token is the right to run one action, once. It ends in a call of Finish or
// of Abandon.
type Token struct {
	claim    claim
	revision kv.Revision
	limit    time.Duration
	state    atomic.Int32
}

// Dispatch claims the only dispatch, and tells whether it may be made. It is
// to be called right before sending. A router that was frozen since Begin for
// longer than the dispatch limit finds out here: its record could have been
// created at the very end of its lease, so it must not be relied on. A freeze
// that comes after this check makes the dispatch late, but nobody else has run
// or will run the action, since the record is never taken over.
func (t *Token) Dispatch() bool {
	if elapsed(t.claim.start) > t.limit {
		return false
	}
	return t.state.CompareAndSwap(tokenHeld, tokenDispatched)
}

// settle ends the token, and panics if it had ended: two ends of one action
// contradict each other.
func (t *Token) settle() {
	if t.state.Swap(tokenSettled) == tokenSettled {
		panic("execution: token settled twice")
	}
}
