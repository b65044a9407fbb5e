package execution

import (
	"sync/atomic"
	"time"

	"wisteriaspool/coordination/kv"
)

// claim is the state of one attempt of Begin to create a record.
type claim struct {
	path        string
	record      Record
	answerLimit int // maximum size of the answer to store, in bytes
	lease       kv.Lease
	start       time.Time   // of Begin
	expect      kv.Revision // revision that the create expects
	unconfirmed bool        // a create got no answer and may have taken effect, or may do so later
}

// States of a token.
const (
	tokenIssued int32 = iota
	tokenDispatched
	tokenSettled
)

// Token is the right to run one action, once. It must be ended with Finish or
// Abandon.
type Token struct {
	claim    claim
	revision kv.Revision
	limit    time.Duration
	state    atomic.Int32
}

// Dispatch claims the only dispatch and reports whether the action may be sent.
// Call it right before sending. It returns false if the router was paused for
// longer than the dispatch limit since Begin: the record could have been
// created at the very end of its lease and must not be relied on. A pause after
// this check makes the dispatch late, but no other router has run or will run
// the action, since the record is never taken over.
func (t *Token) Dispatch() bool {
	if elapsed(t.claim.start) > t.limit {
		return false
	}
	return t.state.CompareAndSwap(tokenIssued, tokenDispatched)
}

// settle ends the token. It panics if the token has already ended, since an
// action must not be given two outcomes.
func (t *Token) settle() {
	if t.state.Swap(tokenSettled) == tokenSettled {
		panic("execution: token settled twice")
	}
}
