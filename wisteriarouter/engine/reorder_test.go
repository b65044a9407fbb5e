package engine

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/samber/lo"
	"gotest.tools/v3/assert"

	"wisteriaspool/standin/raw"
)

// Guards against an engine that leaves out an event and sends large ones after it, which are
// kept until the missing one arrives.
func TestEventsOutOfOrderAreBounded(t *testing.T) {
	const text = 200 << 10 // bytes of each event
	body := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
	s, closeServer, err := raw.Listen(func(*http.Request) string {
		return body + strings.Join(lo.Times(reorderWindow, func(n int) string {
			return fmt.Sprintf("id: a.%d\ndata: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", n+2, strings.Repeat("x", text))
		}), "")
	})
	assert.NilError(t, err)
	defer closeServer()
	c, cleanup := NewClient(Options{})
	defer cleanup()
	stream, err := c.Start(t.Context(), s.Address(), Request{Attempt: "a", Body: []byte("{}")})
	assert.NilError(t, err)
	defer stream.Close()
	_, err = stream.Next()
	assert.Assert(t, errors.Is(err, ErrTruncated), "%v", err)
	kept := 0
	for _, c := range stream.outOfOrder {
		kept += len(c.Data) + len(c.Text)
	}
	assert.Assert(t, kept < 4<<20, "%d bytes are kept", kept)
}
