package service_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination/outcome"
	"wisteriaspool/standin/raw"
	"wisteriaspool/wisteriarouter/service"
)

// callRaw calls a service that answers with text.
func callRaw(t *testing.T, text string, once bool) (service.Reply, outcome.Outcome, error) {
	s, closeServer, err := raw.Listen(func(*http.Request) string { return text })
	assert.NilError(t, err)
	defer closeServer()
	c, cleanup := service.NewClient(service.Options{})
	defer cleanup()
	var e outcome.Evidence
	reply, err := c.Do(t.Context(), &e, service.Call{Attempt: "a", Address: s.Address(), Action: "book", NonIdempotent: once})
	return reply, e.Outcome(), err
}

// Guards against a status code that HTTP does not have and that counts as the answer of an action.
func TestBrokenStatusIsNoAnswer(t *testing.T) {
	for _, status := range raw.Statuses() {
		for _, once := range []bool{false, true} {
			reply, got, err := callRaw(t, "HTTP/1.1 "+status+"\r\nX-Outcome: not-run\r\nContent-Length: 5\r\n\r\nhello", once)
			assert.Check(t, err != nil, "%q: %+v", status, reply)
			assert.Check(t, got == outcome.Unknown, "%q: %v", status, got)
		}
	}
}

// Guards against a field name with a blank or a control byte in a head that counts as the answer of an action.
func TestBrokenFieldNameIsNoAnswer(t *testing.T) {
	for _, line := range raw.FieldLines() {
		for _, once := range []bool{false, true} {
			reply, got, err := callRaw(t, "HTTP/1.1 200 OK\r\n"+line+"\r\nX-Outcome: not-run\r\nContent-Length: 5\r\n\r\nhello", once)
			assert.Check(t, err != nil, "%q: %+v", line, reply)
			assert.Check(t, got == outcome.Unknown, "%q: %v", line, got)
		}
	}
}

// Guards against chunks that count as a part of an answer, as HTTP/1.0 has none.
func TestChunkedResponseOfOldVersionIsNoAnswer(t *testing.T) {
	for _, fields := range []string{"Transfer-Encoding: chunked", "Transfer-Encoding: chunked\r\nContent-Length: 15"} {
		reply, _, err := callRaw(t, "HTTP/1.0 200 OK\r\n"+fields+"\r\n\r\n5\r\nhello\r\n0\r\n\r\n", true)
		assert.Check(t, err != nil, "%q: %q", fields, reply.Answer.Body)
	}
}

// Guards against the body of an interim response, or one whose fields contradict each other, that
// counts as the answer of an action.
func TestMisreadResponseIsNoAnswer(t *testing.T) {
	for _, text := range raw.Misread("X-Outcome: ran\r\n", "forged") {
		for _, once := range []bool{false, true} {
			reply, got, err := callRaw(t, text, once)
			assert.Check(t, err != nil, "%q: %+v", text, reply)
			assert.Check(t, got == outcome.Unknown, "%q: %v", text, got)
		}
	}
}
