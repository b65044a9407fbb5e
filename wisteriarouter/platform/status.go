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

// The gRPC status codes that the gateway passes on in its error bodies.
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

// ErrLeaseNotFound is the reason of a write that names a lapsed lease.
var ErrLeaseNotFound = errors.New("platform: lease not found")

// errorBody is the gateway's body of a failed call.
type errorBody struct {
	Code    int    `json:"code"`
	Message string `json:"message"`
	Error   string `json:"error"`
}

// statusWithoutResponse maps a call that got no answer. Without a connection no byte
// was sent; with one, the service may have got the call and applied it.
func statusWithoutResponse(connected bool) kv.Status {
	if connected {
		return kv.Unknown
	}
	return kv.Unavailable
}

// errorResult maps an answer whose status is not 200.
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

// status maps the code of an error body to what is certain about the call.
// Only codes that the service gives before it proposes a write are Unavailable
// or Throttled. UNAVAILABLE is not among them: the service also answers it when
// it gave up waiting for a write that it went on to apply, and a caller told
// "not written" would write again. DEADLINE_EXCEEDED, INTERNAL, answers of a
// proxy in between and codes we do not know are Unknown for the same reason.
func (b errorBody) status(httpStatus int) kv.Status {
	switch b.Code {
	case codeResourceExhausted:
		return kv.Throttled
	case codeInvalidArgument, codeNotFound, codePermissionDenied, codeFailedPrecondition,
		codeOutOfRange, codeUnimplemented, codeUnauthenticated:
		return kv.Unavailable
	case codeUnavailable:
		return b.unavailable()
	}
	if b.Code == 0 && httpStatus == http.StatusTooManyRequests {
		return kv.Throttled
	}
	return kv.Unknown
}

// notSentMessages lists the texts with which the gateway says that it could not
// reach its own server, so that the call went nowhere.
var notSentMessages = []string{
	"there is no address available",
	"there is no connection available",
	"error while dialing",
	"Error while dialing",
}

func (b errorBody) unavailable() kv.Status {
	text := b.text(nil)
	for _, s := range notSentMessages {
		if strings.Contains(text, s) {
			return kv.Unavailable
		}
	}
	return kv.Unknown
}
