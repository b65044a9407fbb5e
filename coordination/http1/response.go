package http1

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/joomcode/errorx"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("http1")

// ErrInvalid reports a response that is none by RFC 9110 and RFC 9112, although net/http has
// accepted it.
var ErrInvalid = Errors.NewType("invalid")

// MaxHeadBytes is the greatest size of a response's head, with the interim ones before it, that
// clients accept. The default of net/http is 10 MB for each response.
const MaxHeadBytes = 64 << 10

// Check returns nil if a response that net/http has read, final or interim, is valid, and
// otherwise an ErrInvalid.
func Check(resp *http.Response) error {
	if resp.ProtoMajor != 1 {
		return ErrInvalid.New("version %.20q", resp.Proto)
	}
	if !validStatus(resp.Status) || strings.ContainsFunc(resp.Status, isControl) {
		return ErrInvalid.New("status %.20q", resp.Status)
	}
	if resp.StatusCode < http.StatusOK && (resp.Header.Get("Content-Length") != "" || len(resp.TransferEncoding) > 0) {
		return ErrInvalid.New("interim response %d with a body", resp.StatusCode)
	}
	if resp.StatusCode == http.StatusSwitchingProtocols && !asksForProtocol(resp.Request) {
		return ErrInvalid.New("status %.20q without an Upgrade header in the request", resp.Status)
	}
	for name := range resp.Header {
		// net/http refuses all other bytes that are not allowed in a name.
		if strings.Contains(name, " ") {
			return ErrInvalid.New("field name %.60q", name)
		}
	}
	return nil
}

// validStatus reports whether the status code at the start of s has three digits and is in one
// of the five classes. net/http accepts all numbers of three bytes, with a sign too.
func validStatus(s string) bool {
	return len(s) >= 3 && '1' <= s[0] && s[0] <= '5' && isDigit(s[1]) && isDigit(s[2])
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

// isControl reports whether r is a control character other than a tab, which none of the
// parts of a head may hold.
func isControl(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }

func asksForProtocol(r *http.Request) bool { return r != nil && r.Header.Get("Upgrade") != "" }

// transport is a transport whose responses are valid.
type transport struct{ base http.RoundTripper }

// Transport returns a transport that uses base and fails with an ErrInvalid if a response is
// not valid. The server may have carried out the request.
func Transport(base http.RoundTripper) http.RoundTripper { return transport{base} }

// RoundTrip implements http.RoundTripper.
func (t transport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.base.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := Check(resp); err != nil {
		_ = resp.Body.Close()
		return nil, fmt.Errorf("response of %s: %w", r.URL.Host, err)
	}
	return resp, nil
}
