package engine

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination/order"
	"wisteriaspool/standin/raw"
)

// maxEndlessHead is what may be written of a head without end, in bytes: what the client reads,
// and what the buffers of the connection hold.
const maxEndlessHead = 8 << 20

// Guards against an engine whose response head never ends and fills the memory of a router.
func TestHeadOfEngineWithoutEndIsCutOff(t *testing.T) {
	for _, e := range raw.EndlessHeads() {
		t.Run(e.Name, func(t *testing.T) {
			s, closeServer, err := raw.ListenEndless(e.Start, e.Repeat)
			assert.NilError(t, err)
			defer closeServer()
			c, cleanup := NewClient(Options{CallTimeout: 5 * time.Second})
			defer cleanup()
			_, err = c.Start(t.Context(), s.Address(), Request{Attempt: "a", Body: []byte("{}")})
			assert.Check(t, err != nil)
			assert.Check(t, s.Written() < maxEndlessHead, "%d bytes", s.Written())
		})
	}
}

// endlessBodies are bodies of an engine's responses that do not end.
func endlessBodies() []raw.Endless {
	const head = "HTTP/1.1 200 OK\r\n"
	return []raw.Endless{
		{Name: "line of an event", Start: head + "\r\ndata: ", Repeat: "value"},
		{Name: "lines of an event", Start: head + "\r\n", Repeat: "data: value\n"},
		{Name: "text", Start: head + "\r\n\"", Repeat: "value"},
		{Name: "garbage", Start: head + "\r\n", Repeat: "\x00\x01\x02\x03"},
		{Name: "nested values", Start: head + "\r\n", Repeat: `{"a":[`},
		{Name: "chunk", Start: head + "Transfer-Encoding: chunked\r\n\r\nfffffff\r\n\"", Repeat: "value"},
		{Name: "chunk extension", Start: head + "Transfer-Encoding: chunked\r\n\r\n5;", Repeat: "value"},
		{Name: "trailer", Start: head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", Repeat: "Name: value\r\n"},
		{Name: "failure", Start: "HTTP/1.1 500 Internal Server Error\r\n\r\n", Repeat: "value"},
	}
}

// Guards against a body of an engine that never ends and fills the memory of a router.
func TestBodyOfEngineWithoutEndIsCutOff(t *testing.T) {
	for _, e := range endlessBodies() {
		t.Run(e.Name, func(t *testing.T) {
			s, closeServer, err := raw.ListenEndless(e.Start, e.Repeat)
			assert.NilError(t, err)
			defer closeServer()
			c, cleanup := NewClient(Options{CallTimeout: 5 * time.Second})
			defer cleanup()
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			if stream, err := c.Start(ctx, s.Address(), Request{Attempt: "a", Body: []byte("{}")}); err == nil {
				_, err = stream.Next()
				assert.Check(t, err != nil)
				stream.Close()
			}
			_, err = c.Load(ctx, s.Address())
			assert.Check(t, err != nil)
			_, err = c.CacheEvents(ctx, s.Address(), 0)
			assert.Check(t, err != nil)
			c.Order(ctx, order.Target{Address: s.Address()}, order.Order{}, order.FencingToken(1))
			c.livenessProbe(s.Address())(ctx)
			assert.NilError(t, ctx.Err())
			assert.Check(t, s.Written() < 5*maxEndlessHead, "%d bytes", s.Written())
		})
	}
}
