package platform_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination/kv"
	"wisteriaspool/standin/raw"
)

// checkProvesNothing checks that no call takes a text for a response of the service.
func checkProvesNothing(t *testing.T, text string) {
	s, closeServer, err := raw.Listen(func(*http.Request) string { return text })
	assert.NilError(t, err)
	defer closeServer()
	c := newClient(t, "http://"+s.Address())
	ctx := context.Background()
	assert.Check(t, c.Get(ctx, "k").Status == kv.Unknown, "%q", text)
	assert.Check(t, c.CompareAndSwap(ctx, "k", []byte("v"), 0, kv.Lease{}).Status == kv.Unknown, "%q", text)
	_, err = c.Instances(ctx)
	assert.Check(t, err != nil, "%q", text)
}

// Guards against a status code that HTTP does not have and that proves what the service has done.
func TestBrokenStatusOfServiceProvesNothing(t *testing.T) {
	for _, status := range raw.Statuses() {
		for _, body := range []string{
			`{"header":{"revision":"7"},"succeeded":true,"instances":[]}`,
			`{"code":3,"message":"invalid"}`,
		} {
			checkProvesNothing(t, fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body))
		}
	}
}

// Guards against a field name with a blank or a control byte in a head that proves what the service has done.
func TestBrokenFieldNameOfServiceProvesNothing(t *testing.T) {
	const body = `{"header":{"revision":"7"},"succeeded":true,"instances":[]}`
	for _, line := range raw.FieldLines() {
		checkProvesNothing(t, fmt.Sprintf("HTTP/1.1 200 OK\r\n%s\r\nContent-Length: %d\r\n\r\n%s", line, len(body), body))
	}
}

// Guards against the body of an interim response, or one whose fields contradict each other, that
// proves what the service has done.
func TestMisreadResponseOfServiceProvesNothing(t *testing.T) {
	for _, text := range raw.Misread("", `{"header":{"revision":"7"},"succeeded":true,"instances":[]}`) {
		checkProvesNothing(t, text)
	}
}
