package caller_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"wisteriaspool/standin/raw"
	"wisteriaspool/wisteriarouter/caller"
	"wisteriaspool/wisteriarouter/engine"
)

// longAnswer returns a complete stream of an attempt whose events have more text than tokens have.
func longAnswer(r *http.Request) string {
	var b strings.Builder
	b.WriteString("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
	for n := range 20 {
		fmt.Fprintf(&b, "id: %s.%d\ndata: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", r.Header.Get("X-Attempt-Id"), n+1, strings.Repeat("x", 100<<10))
	}
	return b.String()
}

// Guards against an engine whose answer fills the memory of a router although it has few tokens.
func TestAnswerWithMoreTextThanRequestsMayHaveIsCutOff(t *testing.T) {
	s, closeServer, err := raw.Listen(longAnswer)
	assert.NilError(t, err)
	defer closeServer()
	client, closeClient := engine.NewClient(engine.Options{DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, network, s.Address())
	}})
	defer closeClient()
	f := newFleet(t, 1, 2, func(s *caller.Server) { s.Engines = client })
	for _, stream := range []bool{false, true} {
		body := fmt.Sprintf(`{"model":"m","stream":%t,"messages":[{"role":"user","content":"a"}]}`, stream)
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+routerAddress(0)+"/v1/chat/completions", strings.NewReader(body))
		assert.NilError(t, err)
		req.Header.Set("Content-Type", "application/json")
		req.Header.Set("X-Team", "demo")
		req.Header.Set("X-Client-Account", "label")
		tr := f.network.Transport()
		res, err := tr.RoundTrip(req)
		assert.NilError(t, err)
		got, err := io.ReadAll(res.Body)
		assert.NilError(t, err)
		assert.Check(t, len(got) < 1<<16+4096, "%d bytes", len(got))
		assert.Check(t, stream || res.StatusCode >= http.StatusInternalServerError, "%d", res.StatusCode)
		_ = res.Body.Close()
		tr.CloseIdleConnections()
	}
}
