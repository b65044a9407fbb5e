package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"wisteriaspool/coordination/route"
	"wisteriaspool/wisteriarouter/upstream"
)

// rawEndpoint is an endpoint whose responses a test writes byte by byte.
type rawEndpoint struct {
	listener net.Listener
	runs     atomic.Int32 // requests read
	// answer returns the response to a request that is the n-th on its connection,
	// from 1 on, and how the connection ends after it.
	answer func(r *http.Request, n int) (string, connEnd)
	// early reports that the endpoint answers before it reads the body.
	early bool
	// endless is how many bytes have been sent after a response that ends with endNever.
	endless atomic.Int64
}

// connEnd is what an endpoint does with a connection after a response.
type connEnd int

const (
	keepOpen connEnd = iota
	endInOrder
	endByReset
	endOfResponse // closes the sending side only, and reads on
	endNever      // sends bytes until the router closes the connection
)

func startRawEndpoint(t *testing.T, answer func(r *http.Request, n int) (string, connEnd)) *rawEndpoint {
	return (&rawEndpoint{answer: answer}).start(t)
}

// startEarlyEndpoint starts an endpoint that answers before it reads the body.
func startEarlyEndpoint(t *testing.T, answer func(r *http.Request, n int) (string, connEnd)) *rawEndpoint {
	return (&rawEndpoint{answer: answer, early: true}).start(t)
}

func (e *rawEndpoint) start(t *testing.T) *rawEndpoint {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	e.listener = l
	go e.run()
	return e
}

func (e *rawEndpoint) address() string { return e.listener.Addr().String() }

func (e *rawEndpoint) run() {
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return
		}
		go rawConn{e, c.(*net.TCPConn)}.run()
	}
}

type rawConn struct {
	*rawEndpoint
	conn *net.TCPConn
}

func (c rawConn) run() {
	defer func() { _ = c.conn.Close() }()
	in := bufio.NewReader(c.conn)
	for n := 1; ; n++ {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if !c.early {
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
		}
		c.runs.Add(1)
		response, end := c.answer(r, n)
		if _, err := io.WriteString(c.conn, response); err != nil {
			return
		}
		switch end {
		case keepOpen:
		case endInOrder:
			return
		case endByReset:
			_ = c.conn.SetLinger(0) // makes Close reset the connection
			return
		case endOfResponse:
			_ = c.conn.CloseWrite()
			_, _ = io.Copy(io.Discard, in) // until the router closes the connection
			return
		case endNever:
			c.sendEndlessly()
			return
		}
	}
}

func (c rawConn) sendEndlessly() {
	bytes := make([]byte, 16<<10)
	for {
		n, err := c.conn.Write(bytes)
		if c.endless.Add(int64(n)); err != nil {
			return
		}
	}
}

// startRouter starts a server with one route that passes requests on to the endpoints in
// order, and returns its URL.
func startRouter(t *testing.T, r route.Route, endpoints ...*rawEndpoint) string {
	p := &listPlacer{}
	for _, e := range endpoints {
		p.addresses = append(p.addresses, e.address())
	}
	return startRouterAt(t, r, p)
}

// startRouterAt is startRouter for the endpoints of a placer.
func startRouterAt(t *testing.T, r route.Route, p *listPlacer) string {
	sender, cleanup := upstream.NewClient(upstream.Config{})
	t.Cleanup(cleanup)
	r.Host, r.Prefix, r.Public, r.Attempts = "example.com", "/", true, len(p.addresses)
	r.Shares = []route.Share{{Pool: "p", Weight: 1}}
	known := make(chan struct{})
	close(known)
	srv := httptest.NewServer(&Server{
		Desired: &lateDesired{known: known, table: route.NewTable(route.State{Version: 1, Routes: []route.Route{r}})},
		Placer:  p, Sender: sender, Retries: manyRetries{},
		Metrics: NewMetrics(prometheus.NewRegistry()),
	})
	t.Cleanup(srv.Close)
	return srv.URL
}

// testClient is the client of all callers. Closing a server of httptest closes the idle connections
// of the default one, also those on which a test that runs beside it is about to send.
var testClient = &http.Client{Transport: &http.Transport{}}

// callRouter sends a request and returns its response and body. The error is set unless
// the response is complete.
func callRouter(t *testing.T, method, url, id string) (*http.Response, string, error) {
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, url+"/x", nil)
	assert.NilError(t, err)
	r.Host = "example.com"
	r.Header.Set("X-Attempt-Id", id)
	r.Header.Set("X-Deadline-Ms", "3000")
	resp, err := testClient.Do(r)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

// signedHead returns the status line and headers of a response to r, to which more
// headers can be added.
func signedHead(r *http.Request, status string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nX-Attempt-Id: %s\r\nX-Server-Signature: s\r\n", status, r.Header.Get("X-Attempt-Id"))
}

// strayRefusals are bytes after a complete response in the form of refusals that name no
// request.
var strayRefusals = []string{
	"HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 429 Too Many Requests\r\nX-Not-Executed: 1\r\nContent-Length: 4\r\n\r\nbusy",
	"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
}

// Guards against bytes after a complete response that count as proof that the next request has not run.
func TestRefusalWithoutIDOnReusedConnectionProvesNothing(t *testing.T) {
	for _, stray := range strayRefusals {
		t.Run(strings.Fields(stray)[1], func(t *testing.T) {
			answer := func(r *http.Request, n int) (string, connEnd) {
				response := signedHead(r, "200 OK") + "Content-Length: 2\r\n\r\nok"
				if n > 1 {
					response = stray + response
				}
				return response, keepOpen
			}
			first, second := startRawEndpoint(t, answer), startRawEndpoint(t, answer)
			url := startRouter(t, route.Route{Kind: route.Unsafe}, first, second)
			_, body, err := callRouter(t, http.MethodPost, url, "a")
			assert.NilError(t, err)
			assert.Equal(t, body, "ok")
			resp, body, err := callRouter(t, http.MethodPost, url, "b")
			assert.NilError(t, err)
			if strings.Contains(stray, "close") {
				assert.Equal(t, resp.StatusCode, http.StatusBadGateway)
			} else {
				assert.Equal(t, resp.StatusCode, http.StatusOK)
				assert.Equal(t, body, "ok")
			}
			assert.Equal(t, first.runs.Load(), int32(2))
			assert.Equal(t, second.runs.Load(), int32(0), "the request ran at a second endpoint")
		})
	}
}

// A refusal that names no request counts where it can only be the response: on a connection
// that has brought no other one.
func TestRefusalWithoutIDOnNewConnectionCounts(t *testing.T) {
	full := startRawEndpoint(t, func(*http.Request, int) (string, connEnd) { return strayRefusals[0], keepOpen })
	other := startRawEndpoint(t, func(r *http.Request, _ int) (string, connEnd) {
		return signedHead(r, "200 OK") + "Content-Length: 2\r\n\r\nok", keepOpen
	})
	url := startRouter(t, route.Route{Kind: route.Unsafe}, full, other)
	resp, body, err := callRouter(t, http.MethodPost, url, "a")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.Equal(t, body, "ok")
}

// Guards against a request that may run again and waits behind a refusal which names no request.
func TestRefusalWithoutIDCountsForRequestsThatMayRunAgain(t *testing.T) {
	full := startRawEndpoint(t, func(r *http.Request, n int) (string, connEnd) {
		if n > 1 {
			return strayRefusals[0], keepOpen
		}
		return signedHead(r, "200 OK") + "Content-Length: 2\r\n\r\nok", keepOpen
	})
	other := startRawEndpoint(t, func(r *http.Request, _ int) (string, connEnd) {
		return signedHead(r, "200 OK") + "Content-Length: 5\r\n\r\nother", keepOpen
	})
	url := startRouter(t, route.Route{Kind: route.Safe}, full, other)
	for _, want := range []string{"ok", "other"} {
		_, body, err := callRouter(t, http.MethodPost, url, "a")
		assert.NilError(t, err)
		assert.Equal(t, body, want)
	}
}
