// Package outcome determines what became of a request: it ran, it did not run,
// or that is unknown. All parts of a router use these rules, so that they
// cannot report outcomes differently.
package outcome

import "fmt"

// Header is the HTTP header that carries the outcome of a request, in answers
// to callers and in answers from endpoints.
const Header = "X-Outcome"

// Outcome says what became of a request. The zero value is Unknown, so that an
// unhandled case makes no false claim.
type Outcome int

// Outcomes of a request.
const (
	// Unknown means that the request may have run, completely or in part.
	Unknown Outcome = iota
	// Ran means that an endpoint answered the request completely.
	Ran
	// NotRun means that no endpoint has run or will run any part of the
	// request.
	NotRun
)

// String returns the name of o used in headers, bodies, logs and metrics.
func (o Outcome) String() string {
	switch o {
	case Ran:
		return "ran"
	case NotRun:
		return "not-run"
	default:
		return "unknown"
	}
}

// MarshalText implements encoding.TextMarshaler.
func (o Outcome) MarshalText() ([]byte, error) {
	return []byte(o.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler. It accepts the exact names
// only.
func (o *Outcome) UnmarshalText(text []byte) error {
	parsed, err := Parse(string(text))
	if err != nil {
		return err
	}
	*o = parsed
	return nil
}

// Parse returns the outcome named s, or Unknown and an error if s is not
// exactly the name of an outcome.
func Parse(s string) (Outcome, error) {
	switch s {
	case "ran":
		return Ran, nil
	case "not-run":
		return NotRun, nil
	case "unknown":
		return Unknown, nil
	}
	return Unknown, fmt.Errorf("outcome: %q is none of ran, not-run, unknown", s)
}
