package peer

import (
	"context"
	"testing"
	"time"

	"github.com/coder/websocket"
	"gotest.tools/v3/assert"

	"wisteriaspool/standin/raw"
)

// Guards against a router whose response to a handshake never ends and fills the memory of another one.
func TestHandshakeWithoutEndIsCutOff(t *testing.T) {
	failure := raw.Endless{Name: "failure", Start: "HTTP/1.1 502 Bad Gateway\r\n\r\n", Repeat: "value"}
	for _, e := range append(raw.EndlessHeads(), failure) {
		t.Run(e.Name, func(t *testing.T) {
			s, closeServer, err := raw.ListenEndless(e.Start, e.Repeat)
			assert.NilError(t, err)
			defer closeServer()
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			_, _, err = websocket.Dial(ctx, "ws://"+s.Address()+Path, &websocket.DialOptions{HTTPClient: newClient(time.Second)})
			assert.Check(t, err != nil)
			assert.NilError(t, ctx.Err())
			assert.Check(t, s.Written() < 8<<20, "%d bytes", s.Written())
		})
	}
}
