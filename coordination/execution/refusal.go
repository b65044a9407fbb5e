package execution

import (
	"fmt"
	"time"

	"wisteriaspool/coordination/kv"
	"wisteriaspool/coordination/outcome"
)

// Values of RetryAfter in the refusals of a Ledger.
const (
	retryAfterOutage       = 2 * time.Second
	retryAfterThrottle     = time.Second
	retryAfterInProgress   = time.Second
	retryAfterSilentHolder = 30 * time.Second
	retryAfterFinal        = time.Hour // another attempt with this key cannot succeed
)

func refused(code outcome.Code, message string, after time.Duration) Decision {
	return Decision{Verdict: Refused, Refusal: &outcome.Refusal{
		Code: code, Message: message, Outcome: outcome.NotRun, RetryAfter: after,
	}}
}

// unreachable refuses an action whose record could not be created. The action
// is not run even if the create took effect: only its creator could send it,
// and does not.
func unreachable(s kv.Status) Decision {
	if s == kv.Throttled {
		return throttled(retryAfterThrottle)
	}
	return refused(outcome.PlatformUnavailable, "the action could not be put on record; repeat with the same key", retryAfterOutage)
}

// throttled refuses an action that exceeds the rate that the platform allows.
func throttled(after time.Duration) Decision {
	return refused(outcome.Overloaded, "the rate of actions is at its limit; repeat with the same key", after)
}

// expired refuses a key whose record may have expired. The result of an earlier
// attempt with it can no longer be determined, so the outcome is unknown.
func expired(retention time.Duration) Decision {
	return Decision{Verdict: Expired, Refusal: &outcome.Refusal{
		Code:       outcome.KeyExpired,
		Message:    fmt.Sprintf("the idempotency key is older than %v; find out whether an earlier try ran before using a new key", retention),
		Outcome:    outcome.Unknown,
		RetryAfter: retryAfterFinal,
	}}
}

func fromFuture(ahead time.Duration) Decision {
	return Decision{Verdict: FromFuture, Refusal: &outcome.Refusal{
		Code:       outcome.Malformed,
		Message:    "the idempotency key was issued in the future; check the clock",
		Outcome:    outcome.NotRun,
		RetryAfter: ahead,
	}}
}

func keyReused() Decision {
	return Decision{Verdict: KeyReused, Refusal: &outcome.Refusal{
		Code:       outcome.Conflict,
		Message:    "the idempotency key belongs to another request",
		Outcome:    outcome.NotRun,
		RetryAfter: retryAfterFinal,
	}}
}

// unreadable refuses a request whose record cannot be decoded, such as one
// written by a newer version.
func unreadable() Decision {
	return Decision{Verdict: Refused, Refusal: &outcome.Refusal{
		Code:       outcome.Conflict,
		Message:    "the record of this idempotency key cannot be read",
		Outcome:    outcome.Unknown,
		RetryAfter: retryAfterSilentHolder,
	}}
}

// inProgress refuses a repeat while the holder has not reported. The action may
// be running, so its outcome is unknown.
func inProgress(r Record) Decision {
	refusal := &outcome.Refusal{
		Code:       outcome.InProgress,
		Message:    "an earlier try with this key is being run; repeat to get its answer",
		Outcome:    outcome.Unknown,
		RetryAfter: retryAfterInProgress,
	}
	if toUnixMilli(time.Now()) > r.Deadline {
		refusal.Message = fmt.Sprintf("an earlier try with this key has not been reported by router %s; it may have run", r.Holder)
		refusal.RetryAfter = retryAfterSilentHolder
	}
	return Decision{Verdict: InProgress, Record: r, Refusal: refusal}
}

// tooLate refuses an action that was not sent because the dispatch limit had
// passed.
func tooLate() *outcome.Refusal {
	return &outcome.Refusal{
		Code:       outcome.Deadline,
		Message:    "the router was too slow to send the action; repeat with the same key",
		Outcome:    outcome.NotRun,
		RetryAfter: retryAfterThrottle,
	}
}

// answerNotKept tells a repeat that the action ran but that its answer was not
// stored.
func answerNotKept() *outcome.Refusal {
	return &outcome.Refusal{
		Code:       outcome.Conflict,
		Message:    "the action ran; its answer was too large to keep",
		Outcome:    outcome.Ran,
		RetryAfter: retryAfterFinal,
	}
}

// lostAnswer refuses a repeat of an action that was sent but whose answer was
// lost.
func lostAnswer() *outcome.Refusal {
	return &outcome.Refusal{
		Code:       outcome.EndpointLost,
		Message:    "the action was sent and its answer was lost; it may have run and is not sent again",
		Outcome:    outcome.Unknown,
		RetryAfter: retryAfterFinal,
	}
}
