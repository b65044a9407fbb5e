package http1

import (
	"bytes"
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
// otherwise an ErrInvalid. head holds the bytes that its head was read from, as net/http removes
// some fields; without them, only what the response shows is checked.
func Check(resp *http.Response, head []byte) error {
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
	return checkFraming(resp, head)
}

// checkFraming returns an error if the fields of a head contradict each other about where the
// body ends: a length beside chunks, which RFC 9112 treats as an error, or chunks in HTTP/1.0,
// which net/http would return as a part of the body. net/http removes these fields from the
// header of the response.
func checkFraming(resp *http.Response, head []byte) error {
	switch {
	case len(resp.TransferEncoding) > 0 && hasField(head, "Content-Length"):
		return ErrInvalid.New("a length beside a transfer encoding")
	case !resp.ProtoAtLeast(1, 1) && hasField(head, "Transfer-Encoding"):
		return ErrInvalid.New("a transfer encoding in %s", resp.Proto)
	default:
		return nil
	}
}

// hasField reports whether a head has a field.
func hasField(head []byte, name string) bool {
	for line := range bytes.SplitSeq(head, []byte("\n")) {
		if field, _, ok := bytes.Cut(line, []byte(":")); ok && strings.EqualFold(string(field), name) {
			return true
		}
	}
	return false
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
