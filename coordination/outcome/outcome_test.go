package outcome_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/outcome"
)

func TestZeroValueClaimsNothing(t *testing.T) {
	var o outcome.Outcome
	assert.Equal(t, o, outcome.Unknown)
	var r outcome.Refusal
	assert.Equal(t, r.Outcome, outcome.Unknown)
}

func TestParse(t *testing.T) {
	for _, o := range []outcome.Outcome{outcome.Unknown, outcome.Ran, outcome.NotRun} {
		parsed, err := outcome.Parse(o.String())
		assert.NilError(t, err)
		assert.Equal(t, parsed, o)
	}
	parsed, err := outcome.Parse("Not-Run")
	assert.Equal(t, parsed, outcome.Unknown)
	assert.ErrorContains(t, err, `"Not-Run" is none of`)
}

// report is an event that the transport or the endpoint reports about an
// attempt.
type report int

const (
	began report = iota
	wrote
	sentNothing
	declined
	answered
)

// Guards against a wrong not-run. Reports about the attempts at several
// endpoints arrive in any order and more than once. A caller that is told
// not-run sends an order again under a new key, so if a byte was sent after
// all, the order could be booked twice.
func TestNotRunOnlyIfCertain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var e outcome.Evidence
		reports := map[coordination.Attempt]map[report]bool{}
		n := rapid.IntRange(0, 8).Draw(t, "n")
		for range n {
			a := coordination.Attempt(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "attempt"))
			r := report(rapid.IntRange(int(began), int(answered)).Draw(t, "report"))
			if reports[a] == nil {
				reports[a] = map[report]bool{}
			}
			reports[a][r] = true
			apply(&e, a, r)
		}
		assert.Equal(t, e.Outcome(), expectedOutcome(reports))
		assert.Equal(t, e.Attempts(), len(reports))
	})
}

func apply(e *outcome.Evidence, a coordination.Attempt, r report) {
	e.Begin(a)
	switch r {
	case wrote:
		e.Written(a)
	case sentNothing:
		e.NothingSent(a)
	case declined:
		e.Declined(a)
	case answered:
		e.Answered(a)
	}
}

// expectedOutcome derives the outcome from the set of all reports, independent
// of their order.
func expectedOutcome(reports map[coordination.Attempt]map[report]bool) outcome.Outcome {
	uncertain := false
	for _, seen := range reports {
		if seen[answered] {
			return outcome.Ran
		}
		certain := seen[declined] || (seen[sentNothing] && !seen[wrote])
		uncertain = uncertain || !certain
	}
	if uncertain {
		return outcome.Unknown
	}
	return outcome.NotRun
}

func TestRefusalBody(t *testing.T) {
	r := &outcome.Refusal{
		Code:       outcome.Overloaded,
		Message:    "the queue is full",
		Outcome:    outcome.NotRun,
		RetryAfter: 1200 * time.Millisecond,
	}
	body, err := json.Marshal(r.Envelope())
	assert.NilError(t, err)
	assert.Equal(t, string(body), `{"error":{"code":"overloaded","message":"the queue is full","outcome":"not-run","retry_after_ms":1200}}`)
	assert.Equal(t, r.RetryAfterSeconds(), 2)
	assert.Equal(t, r.Code.HTTPStatus(), http.StatusTooManyRequests)
	var back outcome.Envelope
	assert.NilError(t, json.Unmarshal(body, &back))
	assert.DeepEqual(t, back, r.Envelope())
}

func TestRetryAfterIsNeverZero(t *testing.T) {
	var r outcome.Refusal
	assert.Equal(t, r.RetryAfterSeconds(), 1)
}

func TestForeignCodeIsServerError(t *testing.T) {
	assert.Equal(t, outcome.Code("strange").HTTPStatus(), http.StatusInternalServerError)
}

func ExampleEvidence() {
	var e outcome.Evidence
	e.Begin("1")
	fmt.Println(e.Outcome())
	e.NothingSent("1")
	fmt.Println(e.Outcome())
	e.Begin("2")
	e.Written("2")
	fmt.Println(e.Outcome())
	e.Answered("2")
	fmt.Println(e.Outcome())
	// Output:
	// unknown
	// not-run
	// unknown
	// ran
}
