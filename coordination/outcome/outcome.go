// Package outcome says truthfully what became of a request: it ran, it was not
// run, or nobody can tell. The rules stand here only, so that no path of a
// router can word them differently.
package outcome

import "fmt"

// Header carries the outcome of a request, in answers to callers as in answers
// of endpoints.
const Header = "X-Outcome"

// Outcome tells what became of a request. Its zero value is Unknown, so that a
// forgotten case claims nothing.
type Outcome int

// The outcomes of a request.
const (
	// Unknown means that the request may have run, wholly or in part.
	Unknown Outcome = iota
	// Ran means that an endpoint answered the request whole.
	Ran
	// NotRun means that no endpoint ran or will run any of the request.
	NotRun
)

// String returns the name of o as headers, bodies, logs and metrics show it.
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

// UnmarshalText implements encoding.TextUnmarshaler. Only the exact names are
// accepted.
func (o *Outcome) UnmarshalText(text []byte) error {
	parsed, err := Parse(string(text))
	if err != nil {
		return err
	}
	*o = parsed
	return nil
}

// Parse returns the outcome named s. It returns Unknown and an error for
// anything but the exact names.
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
