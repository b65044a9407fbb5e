package operator

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"wisteriaspool/coordination/settings"
)

// Code identifies a kind of failure. Unlike messages, codes are stable.
type Code string

// Failure codes.
const (
	CodeUnknownTeam Code = "unknown-team"
	CodeConflict    Code = "conflict"
	CodeInvalid     Code = "invalid"
	CodeUnavailable Code = "platform-unavailable"
	CodeUnknown     Code = "unknown"

	CodeUnknownSuspect Code = "unknown-suspect"
	CodeNoPlacement    Code = "no-placement"
)

var httpStatus = map[Code]int{
	CodeUnknownTeam: http.StatusNotFound,
	CodeConflict:    http.StatusConflict,
	CodeInvalid:     http.StatusUnprocessableEntity,
	CodeUnavailable: http.StatusServiceUnavailable,
	CodeUnknown:     http.StatusGatewayTimeout,

	CodeUnknownSuspect: http.StatusNotFound,
	CodeNoPlacement:    http.StatusNotFound,
}

// Failure is the error response of the API.
type Failure struct {
	Code         Code               `json:"code"`
	Message      string             `json:"message"`
	Problems     []settings.Problem `json:"problems,omitempty"`
	Current      *Settings          `json:"standing,omitempty"`
	Diff         string             `json:"diff,omitempty"`
	RetryAfterMs int64              `json:"retry_after_ms,omitempty"`
}

// Error implements error.
func (f *Failure) Error() string { return "operator: " + string(f.Code) + ": " + f.Message }

// GetStatus implements huma.StatusError.
func (f *Failure) GetStatus() int { return httpStatus[f.Code] }

// ContentType implements huma.ContentTypeFilter.
func (f *Failure) ContentType(string) string { return "application/json" }

// MarshalJSON implements json.Marshaler.
func (f *Failure) MarshalJSON() ([]byte, error) {
	type plain Failure
	return json.Marshal(map[string]*plain{"error": (*plain)(f)})
}

// GetHeaders implements huma.HeadersError.
func (f *Failure) GetHeaders() http.Header {
	h := http.Header{}
	if f.RetryAfterMs > 0 {
		seconds := math.Ceil(float64(f.RetryAfterMs) / float64(time.Second/time.Millisecond))
		h.Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	return h
}
