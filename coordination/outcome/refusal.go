package outcome

import (
	"fmt"
	"net/http"
	"time"
)

// Code is the reason for a refusal. docs/PROTOCOLS.md lists the codes.
type Code string

// Reasons for a refusal.
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

// statuses maps each code to its HTTP status.
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

// HTTPStatus returns the HTTP status of c, or 500 if c is not one of the
// package's codes.
func (c Code) HTTPStatus() int {
	if status, ok := statuses[c]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// Refusal is the error returned for a request that gets no answer from an
// endpoint. It can be found with errors.As.
type Refusal struct {
	Code       Code
	Message    string        // human-readable; says what to do
	Outcome    Outcome       // Unknown unless set
	RetryAfter time.Duration // time after which to retry; sent in whole seconds, at least one
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("outcome: %s (%s): %s", r.Code, r.Outcome, r.Message)
}

// RetryAfterSeconds returns the value of the Retry-After header: RetryAfter in
// seconds, rounded up, and at least one.
func (r *Refusal) RetryAfterSeconds() int {
	return max(1, int((r.RetryAfter+time.Second-1)/time.Second))
}

// Envelope is the JSON body of a refusal.
type Envelope struct {
	Error EnvelopeError `json:"error"`
}

// EnvelopeError is the error object of an Envelope.
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
