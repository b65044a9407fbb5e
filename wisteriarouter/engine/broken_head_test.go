package engine

import (
	"context"
	"errors"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination/order"
	"wisteriaspool/standin/raw"
)

// checkProvesNothing checks that no call takes a text for a response of an engine.
func checkProvesNothing(t *testing.T, text string) {
	s, closeServer, err := raw.Listen(func(*http.Request) string { return text })
	assert.NilError(t, err)
	defer closeServer()
	c, cleanup := NewClient(Options{})
	defer cleanup()
	ctx := context.Background()

	_, err = c.Start(ctx, s.Address(), Request{Attempt: "a", Body: []byte("{}")})
	var start *StartError
	assert.Assert(t, errors.As(err, &start), "%q: %v", text, err)
	assert.Check(t, !start.NotRun && start.Status == 0, "%q: %+v", text, start)
	_, err = c.Resume(ctx, s.Address(), Request{Attempt: "a"})
	assert.Check(t, err != nil && !errors.Is(err, ErrNotFound) && !errors.As(err, &start), "%q: %v", text, err)
	assert.Check(t, c.Order(ctx, order.Target{Address: s.Address()}, order.Order{}, order.FencingToken(1)) == order.Unknown, "%q", text)
	_, err = c.Load(ctx, s.Address())
	assert.Check(t, err != nil, "%q", text)
	_, err = c.Cancel(ctx, s.Address(), "a")
	assert.Check(t, err != nil, "%q", text)
	_, err = c.CacheEvents(ctx, s.Address(), 0)
	assert.Check(t, err != nil, "%q", text)
}

// Guards against a status code that HTTP does not have and that proves what an engine has done.
func TestBrokenStatusOfEngineProvesNothing(t *testing.T) {
	for _, status := range raw.Statuses() {
		checkProvesNothing(t, "HTTP/1.1 "+status+"\r\nX-Outcome: not-run\r\nContent-Length: 2\r\n\r\n{}")
	}
}

// Guards against a field name with a blank or a control byte in a head that proves what an engine has done.
func TestBrokenFieldNameOfEngineProvesNothing(t *testing.T) {
	for _, line := range raw.FieldLines() {
		for _, status := range []string{"200 OK", "404 Not Found"} {
			checkProvesNothing(t, "HTTP/1.1 "+status+"\r\n"+line+"\r\nX-Outcome: not-run\r\nContent-Length: 2\r\n\r\n{}")
		}
	}
}

// Guards against the body of an interim response, or one whose fields contradict each other, that
// proves what an engine has done.
func TestMisreadResponseOfEngineProvesNothing(t *testing.T) {
	for _, text := range raw.Misread("X-Outcome: not-run\r\n", "{}") {
		checkProvesNothing(t, text)
	}
}
