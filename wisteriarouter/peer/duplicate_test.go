package peer

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/coder/websocket"
	"gotest.tools/v3/assert"
)

// acceptingPeer is a raw peer that accepts one connection and answers its hello.
type acceptingPeer struct {
	t     *testing.T
	hello hello
	conns chan *websocket.Conn
}

// newAcceptingPeer returns a peer and its address.
func newAcceptingPeer(t *testing.T, h hello) (*acceptingPeer, string) {
	p := &acceptingPeer{t: t, hello: h, conns: make(chan *websocket.Conn, 1)}
	srv := httptest.NewServer(p)
	t.Cleanup(srv.Close)
	return p, strings.TrimPrefix(srv.URL, "http://")
}

func (p *acceptingPeer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ws, err := websocket.Accept(w, r, nil)
	if err != nil {
		p.t.Error(err)
		return
	}
	ctx := within(p.t, 10*time.Second)
	if _, _, err := ws.Read(ctx); err != nil {
		p.t.Error(err)
	}
	if err := ws.Write(ctx, websocket.MessageBinary, encode(&message{Kind: kindHello, Hello: &p.hello})); err != nil {
		p.t.Error(err)
	}
	p.conns <- ws
	<-p.t.Context().Done()
	ws.CloseNow()
}

// answered sends a request on ws and waits for its answer.
func answered(t *testing.T, ws *websocket.Conn) {
	t.Helper()
	ctx := within(t, 10*time.Second)
	assert.NilError(t, ws.Write(ctx, websocket.MessageBinary, encode(&message{Kind: kindRequest, ID: 7, Topic: "echo", Payload: []byte("hi")})))
	for {
		_, data, err := ws.Read(ctx)
		assert.NilError(t, err)
		m, err := decode(data)
		assert.NilError(t, err)
		if m.Kind == kindAnswer {
			assert.Equal(t, string(m.Payload), "hi")
			return
		}
	}
}

// Guards against a lost call of a router that has only one of two connections dialled at
// one moment, while its peer already has both and closes this one.
func TestCallOnDuplicateConnectionIsAnswered(t *testing.T) {
	t.Run("dialled", func(t *testing.T) {
		r := start(t, listen(t), "b", nil, nil)
		r.Handle("echo", echo)
		h := helloOf("a")
		dialRaw(t, r, h)
		eventually(t, "connection", func() bool { return r.current("a") != nil })
		kept := r.current("a")
		p, address := newAcceptingPeer(t, h)
		r.dial(address, false)
		answered(t, <-p.conns)
		assert.Equal(t, r.current("a"), kept)
	})
	t.Run("accepted", func(t *testing.T) {
		r := start(t, listen(t), "a", nil, nil)
		r.Handle("echo", echo)
		p, address := newAcceptingPeer(t, helloOf("b"))
		r.dial(address, false)
		<-p.conns
		eventually(t, "connection", func() bool { return r.current("b") != nil })
		kept := r.current("b")
		answered(t, dialRaw(t, r, helloOf("b")))
		assert.Equal(t, r.current("b"), kept)
	})
}
