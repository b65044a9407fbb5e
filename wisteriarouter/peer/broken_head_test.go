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
			s, closeServer, err := raw.Listen(func(*http.Request) string {
				return "HTTP/1.1 " + status + "\r\n" + line + "\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\r\n"
			})
			assert.NilError(t, err)
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			_, resp, err := websocket.Dial(ctx, "ws://"+s.Address()+TunnelPath, &websocket.DialOptions{HTTPClient: newClient(time.Second)})
			assert.Check(t, err != nil && resp == nil, "%q: %v", line, err)
			cancel()
			closeServer()
		}
	}
}
