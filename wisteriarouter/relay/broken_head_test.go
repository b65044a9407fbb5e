package relay

import (
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/samber/lo"
	"gotest.tools/v3/assert"

	"wisteriaspool/coordination/route"
	"wisteriaspool/standin/raw"
)

// testBrokenHeads sends heads that are no part of a response. It checks that callers get the
// response of another endpoint where the request may be repeated, and otherwise a failure of
// the router's own.
func testBrokenHeads(t *testing.T, heads []string, text func(r *http.Request, head string) string) {
	for kind, r := range kinds {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			var current atomic.Int64 // index of the head to send
			first := startRawEndpoint(t, func(r *http.Request, _ int) (string, connEnd) {
				return text(r, heads[current.Load()]), endInOrder
			})
			second := startRawEndpoint(t, func(r *http.Request, _ int) (string, connEnd) {
				return signedHead(r, "200 OK") + "Content-Length: 5\r\n\r\nsound", keepOpen
			})
			url := startRouter(t, r, first, second)
			for n, head := range heads {
				current.Store(int64(n))
				resp, body, err := callRouter(t, http.MethodPost, url, "a")
				assert.NilError(t, err, "%q", head)
				assert.Equal(t, first.runs.Load(), int32(n+1), "%q", head)
				if r.Idempotent() {
					assert.Check(t, resp.StatusCode == http.StatusOK && body == "sound", "%q: %d %q", head, resp.StatusCode, body)
					continue
				}
				assert.Check(t, resp.StatusCode == http.StatusBadGateway, "%q: %d %q", head, resp.StatusCode, body)
				assert.Check(t, resp.Header.Get("X-Server-Signature") == "", "%q", head)
				assert.Check(t, second.runs.Load() == 0, "%q: the request ran at a second endpoint", head)
			}
		})
	}
}

// Guards against a status code that HTTP does not have and that reaches a caller.
func TestResponseWithBrokenStatusIsNoResponse(t *testing.T) {
	testBrokenHeads(t, raw.Statuses(), func(r *http.Request, status string) string {
		return signedHead(r, status) + "Content-Length: 5\r\n\r\nhello"
	})
}

// Guards against a head with such a status that is taken for an interim one, so that a part
// of the body is taken for the response.
func TestHeadWithBrokenStatusIsNotInterim(t *testing.T) {
	testBrokenHeads(t, raw.Statuses(), func(r *http.Request, status string) string {
		return "HTTP/1.1 " + status + "\r\n\r\n" + signedHead(r, "200 OK") + "Content-Length: 6\r\n\r\nforged"
	})
}

// Guards against a field name with a blank, a control byte or a delimiter that reaches a caller
// with the rest of the response.
func TestResponseWithBrokenFieldNameIsNoResponse(t *testing.T) {
	testBrokenHeads(t, raw.FieldLines(), func(r *http.Request, line string) string {
		return strings.Replace(signedHead(r, "200 OK"), "\r\n", "\r\n"+line+"\r\n", 1) + "Content-Length: 5\r\n\r\nhello"
	})
}

// Guards against such a name that ends a head otherwise than its endpoint meant, as the last
// field of the head.
func TestBodyBehindBrokenFieldNameIsNoBody(t *testing.T) {
	lines := lo.Reject(raw.FieldLines(), func(line string, _ int) bool {
		return strings.HasPrefix(line, " ") || strings.HasPrefix(line, "\t") // continues the line before
	})
	testBrokenHeads(t, lines, func(r *http.Request, line string) string {
		return signedHead(r, "200 OK") + line + "\r\n\r\n5\r\nhello\r\n0\r\n\r\n"
	})
}

// Guards against such a name in an interim head.
func TestInterimHeadWithBrokenFieldNameIsNoHead(t *testing.T) {
	testBrokenHeads(t, raw.FieldLines(), func(r *http.Request, line string) string {
		return "HTTP/1.1 103 Early Hints\r\n" + line + "\r\n\r\n" + signedHead(r, "200 OK") + "Content-Length: 5\r\n\r\nhello"
	})
}

// Guards against a head of another protocol or version that reaches a caller as a response.
func TestHeadOfOtherVersionIsNoResponse(t *testing.T) {
	testBrokenHeads(t, raw.Versions(), func(r *http.Request, version string) string {
		return strings.Replace(signedHead(r, "200 OK"), "HTTP/1.1", version, 1) + "Content-Length: 5\r\n\r\nhello"
	})
}

// Guards against a status line with control bytes that reaches a caller as a response.
func TestStatusWithControlByteIsNoResponse(t *testing.T) {
	testBrokenHeads(t, raw.Reasons(), func(r *http.Request, status string) string {
		return signedHead(r, status) + "Content-Length: 5\r\n\r\nhello"
	})
}

// Guards against a body whose end depends on which of its fields are believed.
func TestResponseWithFaultyFramingIsNoResponse(t *testing.T) {
	for name, body := range map[string]string{"length": "hello", "chunked": "5\r\nhello\r\n0\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			testBrokenHeads(t, raw.Framings(), func(r *http.Request, fields string) string {
				return signedHead(r, "200 OK") + fields + "\r\n\r\n" + body
			})
		})
	}
}

// Guards against chunks that reach a caller as a part of the body, as HTTP/1.0 has none.
func TestChunkedResponseOfOldVersionIsNoResponse(t *testing.T) {
	fields := []string{"Transfer-Encoding: chunked", "transfer-encoding:chunked", "Transfer-Encoding: chunked\r\nContent-Length: 15"}
	testBrokenHeads(t, fields, func(r *http.Request, fields string) string {
		return strings.Replace(signedHead(r, "200 OK"), "HTTP/1.1", "HTTP/1.0", 1) + fields + "\r\n\r\n5\r\nhello\r\n0\r\n\r\n"
	})
}

// Guards against the body of an interim response, which has none, that is taken for the final one.
func TestInterimHeadWithBodyIsNoHead(t *testing.T) {
	testBrokenHeads(t, []string{"Content-Length: 500", "content-length: 500", "Transfer-Encoding: chunked"}, func(r *http.Request, field string) string {
		return "HTTP/1.1 103 Early Hints\r\n" + field + "\r\n\r\n" + signedHead(r, "200 OK") + "Content-Length: 6\r\n\r\nforged"
	})
}

// brokenResponses returns responses to r whose heads are none.
func brokenResponses(r *http.Request) []string {
	_, fields, _ := strings.Cut(signedHead(r, "200 OK"), "\r\n")
	texts := raw.Misread(fields, "forged")
	for _, status := range raw.Statuses() {
		texts = append(texts, signedHead(r, status)+"Content-Length: 6\r\n\r\nforged")
	}
	return append(texts, signedHead(r, "200 OK")+"Bad Name: x\r\nContent-Length: 6\r\n\r\nforged")
}

// Guards against a broken head that reaches a caller in place of a failure which another endpoint
// has answered, as the second attempt or as the first.
func TestBrokenHeadBesideFailureIsNoResponse(t *testing.T) {
	for kind, r := range kinds {
		if !r.Idempotent() {
			continue
		}
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			for _, brokenFirst := range []bool{false, true} {
				testBrokenHeadBesideFailure(t, r, brokenFirst)
			}
		})
	}
}

func testBrokenHeadBesideFailure(t *testing.T, r route.Route, brokenFirst bool) {
	var current, all atomic.Int64 // the index of the response to send, and their number
	failing := startRawEndpoint(t, func(r *http.Request, _ int) (string, connEnd) {
		return signedHead(r, "500 Internal Server Error") + "Content-Length: 6\r\n\r\nfailed", keepOpen
	})
	broken := startRawEndpoint(t, func(r *http.Request, _ int) (string, connEnd) {
		texts := brokenResponses(r)
		all.Store(int64(len(texts)))
		return texts[current.Load()], endInOrder
	})
	endpoints := []*rawEndpoint{failing, broken}
	if brokenFirst {
		slices.Reverse(endpoints)
	}
	url := startRouter(t, r, endpoints...)
	for n := int64(0); n == 0 || n < all.Load(); n++ {
		current.Store(n)
		resp, body, err := callRouter(t, http.MethodPost, url, "a")
		assert.NilError(t, err)
		whole := resp.StatusCode == http.StatusInternalServerError && body == "failed"
		own := resp.StatusCode == http.StatusBadGateway && resp.Header.Get("X-Server-Signature") == ""
		assert.Check(t, whole || own, "response %d, first %v: %d %q", n, brokenFirst, resp.StatusCode, body)
		assert.Equal(t, broken.runs.Load(), int32(n+1))
	}
	assert.Assert(t, all.Load() > 0 && failing.runs.Load() > 0)
}
