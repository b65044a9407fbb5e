package peer

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/coder/websocket"
	"gotest.tools/v3/assert"

	"wisteriaspool/standin/raw"
)

// Guards against a field name with a blank or a control byte in a head that proves that an
// endpoint is dead, or opens a connection to another router.
func TestBrokenFieldNameOfRouterProvesNothing(t *testing.T) {
	for _, line := range raw.FieldLines() {
		for _, status := range []string{"502 Bad Gateway", "101 Switching Protocols"} {
			checkProvesNothing(t, "HTTP/1.1 "+status+"\r\n"+line+"\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\r\n")
		}
	}
}

// checkProvesNothing checks that a text is not taken for the response of a router.
func checkProvesNothing(t *testing.T, text string) {
	s, closeServer, err := raw.Listen(func(*http.Request) string { return text })
	assert.NilError(t, err)
	defer closeServer()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	_, resp, err := websocket.Dial(ctx, "ws://"+s.Address()+TunnelPath, &websocket.DialOptions{HTTPClient: newClient(time.Second)})
	assert.Check(t, err != nil && resp == nil, "%q: %v", text, err)
}

// Guards against the body of an interim response, or a response whose fields contradict each
// other, that proves that an endpoint is dead.
func TestMisreadResponseOfRouterProvesNothing(t *testing.T) {
	for _, text := range raw.Misread("", "no") {
		checkProvesNothing(t, text)
	}
}
