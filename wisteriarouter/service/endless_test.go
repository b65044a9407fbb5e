package service_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination/outcome"
	"wisteriaspool/standin/raw"
	"wisteriaspool/wisteriarouter/service"
)

// Guards against a response of a service that never ends and fills the memory of a router.
func TestResponseOfServiceWithoutEndIsCutOff(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	bodies := []raw.Endless{
		{Name: "body", Start: head + "\r\n", Repeat: "value"},
		{Name: "chunk", Start: head + "Transfer-Encoding: chunked\r\n\r\nfffffff\r\n", Repeat: "value"},
		{Name: "chunk extension", Start: head + "Transfer-Encoding: chunked\r\n\r\n5;", Repeat: "value"},
		{Name: "trailer", Start: head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", Repeat: "Name: value\r\n"},
	}
	for _, e := range append(raw.EndlessHeads(), bodies...) {
		t.Run(e.Name, func(t *testing.T) {
			for _, once := range []bool{false, true} {
				s, closeServer, err := raw.ListenEndless(e.Start, e.Repeat)
				assert.NilError(t, err)
				c, cleanup := service.NewClient(service.Options{MaxResponseBytes: 1 << 20})
				var evidence outcome.Evidence
				start := time.Now()
				_, err = c.Do(t.Context(), &evidence, service.Call{Attempt: "a", Address: s.Address(), Action: "book", NonIdempotent: once})
				assert.Check(t, err != nil)
				assert.Check(t, evidence.Outcome() == outcome.Unknown)
				assert.Check(t, time.Since(start) < 5*time.Second, "%v", time.Since(start))
				assert.Check(t, s.Written() < 8<<20, "%d bytes", s.Written())
				cleanup()
				closeServer()
			}
		})
	}
}
