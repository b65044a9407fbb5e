package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"wisteriaspool/coordination/kv"
)

// The gRPC status codes that the gateway reports in its error bodies.
const (
	codeInvalidArgument    = 3
	codeNotFound           = 5
	codePermissionDenied   = 7
	codeResourceExhausted  = 8
	codeFailedPrecondition = 9
	codeOutOfRange         = 11
	codeUnimplemented      = 12
	codeUnavailable        = 14
	codeUnauthenticated    = 16
)

// ErrLeaseNotFound is wrapped by the error of a write with an expired lease.
var ErrLeaseNotFound = errors.New("platform: lease not found")

// errorBody is the body of the gateway's error responses.
type errorBody struct {
	Code    int    `json:"code"`
	Message string `json:"message"`
	Error   string `json:"error"`
}

// statusWithoutResponse returns the status of a call that got no response.
// Without a connection nothing was sent; with one, the service may have received
// and applied the call.
func statusWithoutResponse(connected bool) kv.Status {
	if connected {
		return kv.Unknown
	}
	return kv.Unavailable
}

// errorResult converts a response whose HTTP status is not 200.
func errorResult(resp *http.Response) kv.Result {
	raw, _ := io.ReadAll(io.LimitReader(resp.Body, 64<<10))
	var body errorBody
	if err := json.Unmarshal(raw, &body); err != nil {
		body = errorBody{}
	}
	err := fmt.Errorf("platform: status %d, code %d: %s", resp.StatusCode, body.Code, body.text(raw))
	if body.leaseNotFound() {
		err = errors.Join(ErrLeaseNotFound, err)
	}
	return kv.Result{Status: body.status(resp.StatusCode), Err: err}
}

// text returns the error message of the body, or raw if it has none.
func (b errorBody) text(raw []byte) string {
	if b.Message != "" {
		return b.Message
	}
	if b.Error != "" {
		return b.Error
	}
	return string(raw)
}

func (b errorBody) leaseNotFound() bool {
	return b.Code == codeNotFound && strings.Contains(b.text(nil), "lease not found")
}

// status maps the code of an error body to the status of the call. Only codes
// that the service returns before it proposes a write map to Unavailable, Rejected
// or Throttled. UNAVAILABLE is not one of them: the service also returns it after
// it stopped waiting for a write that it applies later, and a caller that took
// the write for failed would repeat it. DEADLINE_EXCEEDED, INTERNAL, responses
// of intermediate proxies and unrecognized codes are Unknown for the same reason.
func (b errorBody) status(httpStatus int) kv.Status {
	switch b.Code {
	case codeResourceExhausted:
		return kv.Throttled
	case codeInvalidArgument, codePermissionDenied, codeUnimplemented, codeUnauthenticated:
		return kv.Rejected
	case codeNotFound, codeFailedPrecondition, codeOutOfRange:
		return kv.Unavailable
	case codeUnavailable:
		return b.unavailable()
	}
	if b.Code == 0 && httpStatus == http.StatusTooManyRequests {
		return kv.Throttled
	}
	return kv.Unknown
}

// notSentMessages lists parts of the gateway's messages for a failure to connect
// to its own server. Such a call was not forwarded.
var notSentMessages = []string{
	"there is no address available",
	"there is no connection available",
	"error while dialing",
	"Error while dialing",
}

// unavailable returns the status of a call that failed with UNAVAILABLE.
func (b errorBody) unavailable() kv.Status {
	text := b.text(nil)
	for _, s := range notSentMessages {
		if strings.Contains(text, s) {
			return kv.Unavailable
		}
	}
	return kv.Unknown
}
