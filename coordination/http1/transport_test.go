package http1_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"wisteriaspool/coordination/http1"
)

// server answers the requests of each connection with the same texts, in turn.
type server struct {
	listener net.Listener
	answers  []string
	accepted atomic.Int32
}

func (s *server) run() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.accepted.Add(1)
		go s.serve(c)
	}
}

func (s *server) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for n := 0; ; n++ {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		if _, err := io.WriteString(c, s.answers[n%len(s.answers)]); err != nil {
			return
		}
	}
}

// startServer starts a server and returns it with a client of it.
func startServer(t *testing.T, answers ...string) (*server, func() (string, error)) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	s := &server{listener: l, answers: answers}
	go s.run()
	base := &http.Transport{MaxConnsPerHost: 1}
	t.Cleanup(base.CloseIdleConnections)
	client := &http.Client{Transport: http1.Transport(base)}
	return s, func() (string, error) {
		resp, err := client.Get("http://" + l.Addr().String())
		if err != nil {
			return "", err
		}
		defer func() { _ = resp.Body.Close() }()
		body, err := io.ReadAll(resp.Body)
		return string(body), err
	}
}

// Guards against a check that takes a body, or an earlier response of the connection, for a head.
func TestValidResponsesOfOneConnection(t *testing.T) {
	long := strings.Repeat("HTTP/9.9 000\r\nBad Name: x\r\n\r\n", 1000)
	s, get := startServer(
		t,
		"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
		"HTTP/1.1 200 OK\r\nContent-Length: 29000\r\n\r\n"+long,
		"HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n5\r\nhello\r\n0\r\n\r\n",
		"HTTP/1.1 204 No Content\r\n\r\n",
		"HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 5\r\n\r\nhello",
	)
	want := []string{"hello", long, "hello", "", "hello"}
	for n := range 4 * len(want) {
		body, err := get()
		assert.NilError(t, err)
		assert.Equal(t, body, want[n%len(want)])
	}
	assert.Equal(t, s.accepted.Load(), int32(1))
}

// Guards against a broken head behind valid responses of the same connection.
func TestBrokenHeadAfterValidResponses(t *testing.T) {
	const valid = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"
	for _, broken := range []string{"HTTP/1.1 103 Early Hints\r\nContent-Length: 500\r\n\r\n" + valid, "HTTP/1.1 103 Early Hints\r\nBad Name: x\r\n\r\n" + valid} {
		_, get := startServer(t, valid, valid, broken)
		for range 2 {
			_, err := get()
			assert.NilError(t, err)
		}
		_, err := get()
		assert.Check(t, cmp.ErrorContains(err, "http1.invalid"), "%q", broken)
	}
}

// Guards against a response that was sent before its request and is taken for its answer.
func TestResponseToNoRequestIsNone(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"
	const unasked = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nforged"
	_, get := startServer(t, answer+unasked)
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for range 500 {
				body, err := get()
				assert.Check(t, err != nil || body == "hello", "%q", body)
			}
		})
	}
	wg.Wait()
}

// Guards against a valid response without a body that is refused because the next request has the
// connection before its caller has looked at the response.
func TestResponsesWithoutBodyToSeveralCallers(t *testing.T) {
	_, get := startServer(t, "HTTP/1.1 204 No Content\r\n\r\n", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 500 {
				_, err := get()
				assert.Check(t, err)
			}
		})
	}
	wg.Wait()
}
