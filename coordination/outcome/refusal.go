package outcome

import (
	"fmt"
	"net/http"
	"time"
)

// Code names the reason of a refusal, as docs/PROTOCOLS.md lists them.
type Code string

// The reasons for which a request is refused.
const (
	Malformed           Code = "malformed"
	TooLarge            Code = "too-large"
	UnknownTeam         Code = "unknown-team"
	UnknownModel        Code = "unknown-model"
	UnknownService      Code = "unknown-service"
	MissingAccount      Code = "missing-account"
	MissingKey          Code = "missing-key"
	KeyExpired          Code = "key-expired"
	Overloaded          Code = "overloaded"
	Deadline            Code = "deadline"
	Poison              Code = "poison"
	PlatformUnavailable Code = "platform-unavailable"
	Stopping            Code = "stopping"
	EndpointLost        Code = "endpoint-lost"
	InProgress          Code = "in-progress"
	Conflict            Code = "conflict"
)

// statuses holds the HTTP status of each code.
var statuses = map[Code]int{
	Malformed:           http.StatusBadRequest,
	TooLarge:            http.StatusRequestEntityTooLarge,
	UnknownTeam:         http.StatusNotFound,
	UnknownModel:        http.StatusNotFound,
	UnknownService:      http.StatusNotFound,
	MissingAccount:      http.StatusBadRequest,
	MissingKey:          http.StatusBadRequest,
	KeyExpired:          http.StatusGone,
	Overloaded:          http.StatusTooManyRequests,
	Deadline:            http.StatusServiceUnavailable,
	Poison:              http.StatusUnprocessableEntity,
	PlatformUnavailable: http.StatusServiceUnavailable,
	Stopping:            http.StatusServiceUnavailable,
	EndpointLost:        http.StatusBadGateway,
	InProgress:          http.StatusConflict,
	Conflict:            http.StatusConflict,
}

// HTTPStatus returns the HTTP status that goes with c; 500 if c is none of the
// package's codes.
func (c Code) HTTPStatus() int {
	if status, ok := statuses[c]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// Refusal is the typed answer to a request that gets no answer of an endpoint.
// It implements error, so that errors.As finds it.
type Refusal struct {
	Code       Code
	Message    string        // for people; says what to do
	Outcome    Outcome       // Unknown unless set
	RetryAfter time.Duration // when to come back; callers see whole seconds, at least one
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("outcome: %s (%s): %s", r.Code, r.Outcome, r.Message)
}

// RetryAfterSeconds returns the value of the Retry-After header: RetryAfter in
// whole seconds, rounded up, at least one.
func (r *Refusal) RetryAfterSeconds() int {
	return max(1, int((r.RetryAfter+time.Second-1)/time.Second))
}

// Envelope is the JSON body of a refusal.
type Envelope struct {
	Error EnvelopeError `json:"error"`
}

// EnvelopeError is what an Envelope holds.
type EnvelopeError struct {
	Code         Code    `json:"code"`
	Message      string  `json:"message"`
	Outcome      Outcome `json:"outcome"`
	RetryAfterMs int64   `json:"retry_after_ms"`
}

// Envelope returns the JSON body of r.
func (r *Refusal) Envelope() Envelope {
	return Envelope{Error: EnvelopeError{
		Code:         r.Code,
		Message:      r.Message,
		Outcome:      r.Outcome,
		RetryAfterMs: r.RetryAfter.Milliseconds(),
	}}
}
