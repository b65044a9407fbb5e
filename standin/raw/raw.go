// Package raw is a stand-in for servers of HTTP whose responses a test writes byte by byte.
package raw

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
)

// Server answers each request with a text of its own. It is safe for concurrent use.
type Server struct {
	listener net.Listener
	answer   func(r *http.Request) string
	written  atomic.Int64
}

// Listen starts a server on a free port of the loopback interface, and returns a function
// that closes its listener. The connection is closed after each response.
func Listen(answer func(r *http.Request) string) (*Server, func(), error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	s := &Server{listener: l, answer: answer}
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
	n, _ := io.WriteString(c.nc, c.server.answer(r))
	c.server.written.Add(int64(n))
}
