package relay

// attemptResult is the result of an attempt.
type attemptResult uint8

const (
	delivered attemptResult = iota // the response was forwarded to the caller
	unsent                         // no byte of the request reached the endpoint
	withheld                       // the endpoint became unusable before a byte was sent
	declined                       // the endpoint reports that it has not run the request
	failed                         // the endpoint returned a failure response
	broken                         // no usable response arrived; the request may have run
	silent                         // the response was overdue and the request moves to another endpoint
	cut                            // the response broke off after part of it was forwarded
)

var resultNames = [...]string{"delivered", "unsent", "withheld", "declined", "failed", "broken", "silent", "cut"}

// String returns the name of e in logs and metrics.
func (e attemptResult) String() string { return resultNames[e] }

// retryPolicy decides whether a request may be retried.
type retryPolicy struct {
	idempotent bool
	attempts   int // how many times the request may be sent
}

// unsentTries is how many endpoints are tried for a request that has reached none.
// Each may cost the time of a dial.
const unsentTries = 4

// mayRetry reports whether another attempt may follow one with result e, given how
// many times the request was sent and how many endpoints were tried in vain.
func (p retryPolicy) mayRetry(e attemptResult, sends, tried int) bool {
	switch e {
	case unsent, withheld:
		return tried < unsentTries && (sends < p.attempts)
	case declined:
		return sends < p.attempts
	case failed, broken, silent, cut:
		return p.idempotent && sends < p.attempts
	default:
		return false
	}
}
