// Package pipe provides an in-memory network of synchronous pipes for
// in-process tests. A goroutine blocked on a pipe, unlike one blocked on a
// socket, counts as durably blocked in testing/synctest, so that the fake clock
// can advance.
package pipe

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
)

// Network connects clients to the servers that listen on it. The zero value is
// ready to use.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*Listener
}

// Listener accepts the connections to an address. It is a net.Listener.
type Listener struct {
	network *Network
	address string
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// address is a net.Addr of the form host:port.
type address string

func (address) Network() string  { return "pipe" }
func (a address) String() string { return string(a) }

// Listen listens on addr, which must have the form host:port. It panics if the
// address is in use.
func (n *Network) Listen(addr string) *Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners == nil {
		n.listeners = make(map[string]*Listener)
	}
	if n.listeners[addr] != nil {
		panic("pipe: address in use: " + addr)
	}
	l := &Listener{network: n, address: addr, conns: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[addr] = l
	return l
}

// Accept waits for the next connection. It returns net.ErrClosed after Close.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close stops listening and releases the address. Accepted connections stay
// open.
func (l *Listener) Close() error {
	l.once.Do(func() {
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		close(l.closed)
		delete(l.network.listeners, l.address)
	})
	return nil
}

// Addr returns the address that the listener listens on.
func (l *Listener) Addr() net.Addr { return address(l.address) }

// DialContext connects to addr; the network name is ignored. If nothing listens
// on addr, the error is a *net.OpError that wraps syscall.ECONNREFUSED.
func (n *Network) DialContext(ctx context.Context, _, addr string) (net.Conn, error) {
	refused := &net.OpError{Op: "dial", Net: "pipe", Addr: address(addr), Err: syscall.ECONNREFUSED}
	n.mu.Lock()
	l := n.listeners[addr]
	n.mu.Unlock()
	if l == nil {
		return nil, refused
	}
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-l.closed:
		return nil, refused
	case <-ctx.Done():
		return nil, &net.OpError{Op: "dial", Net: "pipe", Addr: address(addr), Err: ctx.Err()}
	}
}

// Transport returns an HTTP transport that connects through the network.
func (n *Network) Transport() *http.Transport {
	return &http.Transport{DialContext: n.DialContext, MaxIdleConnsPerHost: 64}
}

// Serve serves h on addr, which must have the form host:port. It returns a
// function that closes the server and all its connections.
func (n *Network) Serve(addr string, h http.Handler) func() {
	s := &server{http: &http.Server{Handler: h}, done: make(chan struct{})}
	go s.run(n.Listen(addr))
	return s.close
}

// server is an HTTP server that listens on a Network.
type server struct {
	http *http.Server
	done chan struct{}
}

func (s *server) run(l net.Listener) {
	defer close(s.done)
	if err := s.http.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		panic("pipe: " + err.Error())
	}
}

func (s *server) close() {
	_ = s.http.Close() // Listener.Close never fails
	<-s.done
}
