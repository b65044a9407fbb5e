package outcome

import (
	"sync"

	"wisteriaspool/coordination"
)

// attemptState is what is known about one attempt of a request.
type attemptState int

const (
	begun    attemptState = iota // bytes may have been sent, for all we know
	written                      // bytes were handed to a connection
	unsent                       // certainly no byte left this process
	declined                     // the endpoint said that it did not run it
	answered                     // the endpoint answered whole
)

// Evidence gathers what is known about the attempts of one request. Begin goes
// before the first byte of an attempt can leave: from then on the attempt
// counts as sent until the opposite is certain. The zero value is a request
// without attempts. Evidence is safe for concurrent use.
type Evidence struct {
	mu       sync.Mutex
	attempts map[coordination.Attempt]attemptState
}

// Begin records that an attempt is about to be sent. Beginning an attempt
// again changes nothing.
func (e *Evidence) Begin(a coordination.Attempt) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.attempts == nil {
		e.attempts = make(map[coordination.Attempt]attemptState)
	}
	if _, ok := e.attempts[a]; !ok {
		e.attempts[a] = begun
	}
}

// Written records that bytes of the attempt were handed to a connection. They
// may have reached the endpoint even if the connection broke right after.
func (e *Evidence) Written(a coordination.Attempt) {
	e.transition(a, written, begun, unsent)
}

// NothingSent records that no byte of the attempt left this process, for
// example because no connection could be made. It is ignored once bytes were
// written, or the endpoint has spoken.
func (e *Evidence) NothingSent(a coordination.Attempt) {
	e.transition(a, unsent, begun)
}

// Declined records that the endpoint itself said that it did not and will not
// run the attempt.
func (e *Evidence) Declined(a coordination.Attempt) {
	e.transition(a, declined, begun, written, unsent)
}

// Answered records that the endpoint answered the attempt whole. Nothing takes
// that back.
func (e *Evidence) Answered(a coordination.Attempt) {
	e.transition(a, answered, begun, written, unsent, declined)
}

// transition sets the state of a to next if it is one of from. An attempt that was
// never begun counts as begun: evidence about it shows that it exists.
func (e *Evidence) transition(a coordination.Attempt, next attemptState, from ...attemptState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.attempts == nil {
		e.attempts = make(map[coordination.Attempt]attemptState)
	}
	state := e.attempts[a]
	for _, f := range from {
		if state == f {
			e.attempts[a] = next
			return
		}
	}
	e.attempts[a] = state
}

// Outcome folds the evidence. One whole answer means Ran. NotRun needs every
// attempt to be certainly unsent or declined by its endpoint; a request
// without attempts is NotRun, too. All else is Unknown.
func (e *Evidence) Outcome() Outcome {
	e.mu.Lock()
	defer e.mu.Unlock()
	result := NotRun
	for _, state := range e.attempts {
		switch state {
		case answered:
			return Ran
		case unsent, declined:
		default:
			result = Unknown
		}
	}
	return result
}

// Attempts returns how many attempts were begun.
func (e *Evidence) Attempts() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.attempts)
}
