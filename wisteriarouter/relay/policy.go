package relay

// attemptResult tells how an attempt ended.
type attemptResult uint8

const (
	delivered attemptResult = iota // the caller has the answer
	unsent                         // no byte has reached the endpoint
	declined                       // the endpoint says that it has not run the request
	failed                         // the endpoint answered with a failure of its own
	broken                         // no usable answer came; the request may have run
	silent                         // no byte of an answer came for so long that the request goes on elsewhere
	cut                            // the answer ended in its middle, after the caller had got some of it
)

var resultNames = [...]string{"delivered", "unsent", "declined", "failed", "broken", "silent", "cut"}

// String returns the name of e as logs and metrics show it.
func (e attemptResult) String() string { return resultNames[e] }

// retryPolicy says what may be repeated.
type retryPolicy struct {
	idempotent bool
	attempts   int // endpoints to which the request may be sent
}

// unsentTries is how many endpoints a request that has reached none is tried
// at. Each may cost the time of a connection that is not made.
const unsentTries = 4

// mayRetry reports whether a request that was sent a number of times, and met a
// number of endpoints in vain, may have another attempt after one that ended so.
func (p retryPolicy) mayRetry(e attemptResult, sends, met int) bool {
	switch e {
	case unsent:
		return met < unsentTries && (sends < p.attempts)
	case declined:
		return sends < p.attempts
	case failed, broken, silent, cut:
		return p.idempotent && sends < p.attempts
	default:
		return false
	}
}
