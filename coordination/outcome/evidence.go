package outcome

import (
	"sync"

	"wisteriaspool/coordination"
)

// attemptState is the known state of one attempt of a request.
type attemptState int

const (
	begun    attemptState = iota // bytes may have been sent
	written                      // bytes were written to a connection
	unsent                       // certainly no byte has left this process
	declined                     // the endpoint reported that it did not run the attempt
	answered                     // the endpoint answered completely
)

// Evidence collects what is known about the attempts of one request. Begin has
// to be called before the first byte of an attempt can be sent: from then on
// the attempt counts as sent until the contrary is certain. The zero value is a
// request without attempts. Evidence is safe for concurrent use.
type Evidence struct {
	mu       sync.Mutex
	attempts map[coordination.Attempt]attemptState
}

// Begin records that an attempt is about to be sent. It has no effect on an
// attempt that was already begun.
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

// Written records that bytes of the attempt were written to a connection. They
// may have reached the endpoint even if the connection broke right after.
func (e *Evidence) Written(a coordination.Attempt) {
	e.transition(a, written, begun, unsent)
}

// NothingSent records that no byte of the attempt has left this process, for
// example because no connection could be established. It is ignored if bytes
// were written or the endpoint has answered or declined.
func (e *Evidence) NothingSent(a coordination.Attempt) {
	e.transition(a, unsent, begun)
}

// Declined records that the endpoint reported that it did not and will not run
// the attempt.
func (e *Evidence) Declined(a coordination.Attempt) {
	e.transition(a, declined, begun, written, unsent)
}

// Answered records that the endpoint answered the attempt completely. This
// state is final.
func (e *Evidence) Answered(a coordination.Attempt) {
	e.transition(a, answered, begun, written, unsent, declined)
}

// transition sets the state of a to next if the current state is one of from.
// An attempt that was never begun counts as begun, since evidence about it
// shows that it exists.
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

// Outcome derives the outcome from all attempts. It is Ran if any attempt was
// answered completely, NotRun if every attempt is certainly unsent or declined
// by its endpoint, also for a request without attempts, and Unknown otherwise.
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

// Attempts returns the number of attempts begun.
func (e *Evidence) Attempts() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.attempts)
}
