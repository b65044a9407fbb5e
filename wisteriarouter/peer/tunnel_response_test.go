package peer

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/detour"
	"wisteriaspool/standin/raw"
	"wisteriaspool/wisteriarouter/upstream"
)

// helper is another router, the only way to any endpoint. It implements upstream.Tunnels.
type helper struct {
	t      *testing.T
	server *httptest.Server
}

func startHelper(t *testing.T) helper {
	s := httptest.NewServer(&TunnelServer{
		Dial:   (&net.Dialer{}).DialContext,
		Known:  func(string) bool { return true },
		CutOff: func(string) bool { return false },

		InTouch: func(context.Context, string, time.Time) bool { return true },
	})
	t.Cleanup(s.Close)
	return helper{t, s}
}

func (h helper) Routers(string) []detour.Router { return []detour.Router{{ID: "helper"}} }

func (h helper) Open(_ context.Context, _ coordination.Instance, address string) (net.Conn, error) {
	return dialTunnel(h.t, h.server, address), nil
}

func (h helper) Serves(coordination.Instance) bool { return true }

// newCutOffClient returns a client of endpoints that reaches them through another router only.
func newCutOffClient(t *testing.T) *upstream.Client {
	c, closeAll := upstream.NewClient(upstream.Config{Detour: &upstream.Detour{
		Direct:  func(context.Context, string, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED },
		Tunnels: startHelper(t),
		Planner: detour.NewPlanner(detour.Router{ID: "self"}),
	}})
	t.Cleanup(closeAll)
	return c
}

func post(body []byte) *upstream.Request {
	return &upstream.Request{Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: [][]byte{body}}
}

// Guards against a broken head that counts as a response if it comes through another router.
func TestBrokenHeadThroughTunnelIsNoResponse(t *testing.T) {
	const rest = "Content-Length: 6\r\n\r\nforged"
	texts := raw.Misread("", "forged")
	for _, status := range raw.Statuses() {
		texts = append(texts, "HTTP/1.1 "+status+"\r\n"+rest, "HTTP/1.1 "+status+"\r\n\r\nHTTP/1.1 200 OK\r\n"+rest)
	}
	for _, line := range raw.FieldLines() {
		texts = append(texts, "HTTP/1.1 200 OK\r\n"+line+"\r\n"+rest)
	}
	for _, version := range raw.Versions() {
		texts = append(texts, version+" 200 OK\r\n"+rest)
	}
	for _, status := range raw.Reasons() {
		texts = append(texts, "HTTP/1.1 "+status+"\r\n"+rest)
	}
	client := newCutOffClient(t)
	for _, text := range texts {
		s, closeServer, err := raw.Listen(func(*http.Request) string { return text })
		assert.NilError(t, err)
		resp, err := client.Send(t.Context(), s.Address(), post([]byte("request")))
		assert.Check(t, err != nil, "%q: %+v", text, resp)
		closeServer()
	}
	sound, closeServer, err := raw.Listen(func(*http.Request) string { return "HTTP/1.1 200 OK\r\n" + rest })
	assert.NilError(t, err)
	defer closeServer()
	resp, err := client.Send(t.Context(), sound.Address(), post([]byte("request")))
	assert.NilError(t, err)
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "forged")
}

// resetter is an endpoint that answers the head of a request with a part of a response and resets
// the connection.
type resetter struct{ listener net.Listener }

func (r resetter) run() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\na part")
		}
		_ = c.(*net.TCPConn).SetLinger(0) // makes Close reset the connection
		_ = c.Close()
	}
}

// Guards against a part of a response that looks complete as another router has passed on the end
// of a connection that an endpoint reset during the upload.
func TestResponseResetDuringUploadThroughTunnelIsNotComplete(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	go resetter{l}.run()
	client, upload := newCutOffClient(t), make([]byte, 8<<20)
	heads := 0
	for range 400 {
		resp, err := client.Send(t.Context(), l.Addr().String(), post(upload))
		if err != nil {
			continue // the reset came before the head
		}
		heads++
		body, err := io.ReadAll(resp.Body)
		assert.Check(t, err != nil, "ended in order after %q", body)
		resp.Body.Close()
	}
	assert.Assert(t, heads > 0)
}
