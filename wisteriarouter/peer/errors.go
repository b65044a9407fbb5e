package peer

import (
	"context"
	"errors"
	"fmt"

	"wisteriaspool/coordination"
)

// Failure classifies how far a call got before it failed.
type Failure int

// The kinds of failure of a call.
const (
	// NotConnected means that the request was not delivered.
	NotConnected Failure = iota + 1
	// Lost means that the request may have been delivered, but no answer was
	// received.
	Lost
	// Rejected means that the peer did not handle the request, because it has no
	// handler for the topic or is handling too many calls.
	Rejected
	// Failed means that the peer's handler returned an error.
	Failed
)

// String returns the name of f as used in logs and metrics.
func (f Failure) String() string {
	switch f {
	case NotConnected:
		return "not-connected"
	case Lost:
		return "lost"
	case Rejected:
		return "turned-away"
	case Failed:
		return "failed"
	default:
		return "unknown"
	}
}

// CallError is the error returned by Node.Call and Node.Notify.
type CallError struct {
	Failure Failure
	Peer    coordination.Instance
	Topic   string
	Err     error
}

// Error implements error.
func (e *CallError) Error() string {
	return fmt.Sprintf("peer: call %s at %s: %s: %v", e.Topic, e.Peer, e.Failure, e.Err)
}

// Unwrap returns the underlying error.
func (e *CallError) Unwrap() error {
	return e.Err
}

// Unhandled reports whether the peer is alive and did not handle the request.
func (e *CallError) Unhandled() bool { return e.Failure == Rejected }

// MaybeDelivered reports whether the peer's handler may have run.
func (e *CallError) MaybeDelivered() bool {
	return e.Failure == Lost || e.Failure == Failed
}

var (
	errClosed        = errors.New("connection closed")
	errUnknownMember = errors.New("unknown member")
	errQueueFull     = errors.New("queue full")
	errTooLarge      = errors.New("message too large")
	errSelf          = errors.New("this router itself")
	errNoHandler     = errors.New("no handler for the topic")
	errTooManyCalls  = errors.New("too many calls")
	errStopped       = errors.New("node stopped")
	errOtherFleet    = errors.New("router of another fleet")
	errOtherVersion  = errors.New("other major version of the protocol")
	errNotHello      = errors.New("first message is not a hello")
	errTooManyConns  = errors.New("too many connections")
	errPeerTimeout   = errors.New("connection silent for too long")
	errDuplicate     = errors.New("another connection is kept")
)

// refusal returns the error that a peer has answered with a text.
func refusal(text string) error {
	for _, known := range []error{errTooManyCalls, context.DeadlineExceeded, context.Canceled} {
		if text == known.Error() {
			return known
		}
	}
	return errors.New(text)
}
