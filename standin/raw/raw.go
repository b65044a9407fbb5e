// Package raw is a stand-in for servers of HTTP whose responses a test writes byte by byte.
package raw

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
)

// Server answers each request with a text of its own. It is safe for concurrent use.
type Server struct {
	listener net.Listener
	answer   func(r *http.Request) string
	repeat   string // sent after the answer again and again; "" for an answer that ends
	written  atomic.Int64
}

// Listen starts a server on a free port of the loopback interface, and returns a function
// that closes its listener. The connection is closed after each response.
func Listen(answer func(r *http.Request) string) (*Server, func(), error) {
	return listen(&Server{answer: answer})
}

// ListenEndless is like Listen for a server that sends start and then repeats a text until
// the client closes the connection.
func ListenEndless(start, repeat string) (*Server, func(), error) {
	return listen(&Server{answer: func(*http.Request) string { return start }, repeat: strings.Repeat(repeat, repeats)})
}

// repeats is how often a text is repeated in one write.
const repeats = 1000

func listen(s *Server) (*Server, func(), error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	s.listener = l
	go s.run()
	return s, func() { _ = l.Close() }, nil
}

// Address returns the server's IP and port.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Written returns how many bytes of responses have been written.
func (s *Server) Written() int64 { return s.written.Load() }

func (s *Server) run() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go conn{s, c}.run()
	}
}

// conn is a connection of a client.
type conn struct {
	server *Server
	nc     net.Conn
}

// run answers one request.
func (c conn) run() {
	defer func() { _ = c.nc.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(c.nc))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	// A failed write is a shorter response.
	n, err := io.WriteString(c.nc, c.server.answer(r))
	c.server.written.Add(int64(n))
	for err == nil && c.server.repeat != "" {
		n, err = io.WriteString(c.nc, c.server.repeat)
		c.server.written.Add(int64(n))
	}
}
