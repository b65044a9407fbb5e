// Package pipe is a network inside one process, made of synchronous pipes, for
// in-process tests: unlike a socket, a pipe lets testing/synctest see that a
// goroutine waits, so that the clock can advance.
package pipe

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
)

// Network connects clients with the servers that listen on it. The zero value
// is ready for use.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*Listener
}

// Listener accepts the connections to one address. It is a net.Listener.
type Listener struct {
	network *Network
	address string
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// address is a host with a port.
type address string

func (address) Network() string  { return "pipe" }
func (a address) String() string { return string(a) }

// Listen takes an address, which must be a host with a port. It panics if the
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

// Accept waits for the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close frees the address. Connections stay open.
func (l *Listener) Close() error {
	l.once.Do(func() {
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		close(l.closed)
		delete(l.network.listeners, l.address)
	})
	return nil
}

// Addr returns the address.
func (l *Listener) Addr() net.Addr { return address(l.address) }

// DialContext connects to addr. With no listener there it fails as a refused
// connection does.
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

// Transport returns a transport that dials on the network.
func (n *Network) Transport() *http.Transport {
	return &http.Transport{DialContext: n.DialContext, MaxIdleConnsPerHost: 64}
}

// Serve serves h at addr, a host with a port, and returns the function that
// breaks all its connections and ends it.
func (n *Network) Serve(addr string, h http.Handler) func() {
	s := &server{http: &http.Server{Handler: h}, done: make(chan struct{})}
	go s.run(n.Listen(addr))
	return s.close
}

// server is one HTTP server on a network.
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
	_ = s.http.Close() // its listener never fails to close
	<-s.done
}
