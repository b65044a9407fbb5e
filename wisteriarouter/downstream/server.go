package downstream

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Config holds the limits that a server enforces on its clients.
type Config struct {
	HeaderTimeout  time.Duration // maximum time to read a request header
	MaxHeaderBytes int           // maximum size of a request header
	IdleTimeout    time.Duration // maximum time that a connection stays open without a request
	Observer       Observer      // may be nil
}

// Observer is notified of failures on connections.
type Observer interface {
	// Dropped is called when a connection ends after part or all of a request was
	// read, but nothing was sent in response.
	Dropped(d Drop)
}

// Drop describes a request that was read but not answered.
type Drop struct {
	BytesRead    int           // bytes of the request that were read, at least 1
	Elapsed      time.Duration // since the first of these bytes was read
	FirstRequest bool          // it was the first request on its connection
	ClientClosed bool          // the client had closed or reset the connection
	Draining     bool          // the server was being drained
}

// Server serves HTTP/1.1 on one listener.
type Server struct {
	http     *http.Server
	listener *listener
	observer Observer
	// headerTimeout is the maximum time to read a request header; zero for no
	// limit.
	headerTimeout time.Duration

	active             atomic.Int64
	keepAlivesDisabled atomic.Bool

	mu    sync.Mutex
	conns map[*conn]struct{}
	drain *drainState // nil until Drain
}

// NewServer returns a server for l and a function that immediately closes it and
// all its connections. Request headers are limited in size and time, so that a
// client that sends one very slowly only occupies one connection for a short time.
func NewServer(l net.Listener, h http.Handler, cfg Config) (*Server, func()) {
	s := &Server{observer: cfg.Observer, headerTimeout: cfg.HeaderTimeout, conns: make(map[*conn]struct{})}
	s.listener = newListener(l, s)
	s.http = &http.Server{
		Handler:           s.handler(h),
		ReadHeaderTimeout: cfg.HeaderTimeout,
		MaxHeaderBytes:    cfg.MaxHeaderBytes,
		IdleTimeout:       cfg.IdleTimeout,
		ConnState:         onConnState,
		ConnContext:       withConn,
	}
	return s, s.close
}

// close closes the listener and all connections immediately.
func (s *Server) close() { _ = s.http.Close() } // the error is of no use here

// Serve serves connections until the server is drained or closed, and then returns
// http.ErrServerClosed.
func (s *Server) Serve() error { return s.http.Serve(s.listener) }

// Addr returns the address on which the server listens.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Active returns the number of requests in flight.
func (s *Server) Active() int { return int(s.active.Load()) }

// DisableKeepAlives makes every response to a request that arrives from now on
// close its connection. Existing and new connections are still served.
func (s *Server) DisableKeepAlives() { s.keepAlivesDisabled.Store(true) }

// handler counts the requests in flight and, once DisableKeepAlives was called,
// closes connections after the response.
func (s *Server) handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*conn); ok {
			c.markAnswered()
		}
		s.active.Add(1)
		defer s.active.Add(-1)
		defer resetOnPanic(r)
		if s.keepAlivesDisabled.Load() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// resetOnPanic makes the connection of an aborted response end with a reset if the
// client speaks HTTP/1.0: its responses have no chunks, so that a connection that is
// closed in order would make an incomplete one look complete. It must be deferred.
func resetOnPanic(r *http.Request) {
	cause := recover()
	if cause == nil {
		return
	}
	if c, ok := r.Context().Value(connKey{}).(*conn); ok && !r.ProtoAtLeast(1, 1) {
		c.resetOnClose()
	}
	panic(cause)
}

// connKey is the context key of a request's connection.
type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// add registers a new connection.
func (s *Server) add(inner net.Conn) *conn {
	c := &conn{Conn: inner, server: s, firstRequest: true, waiting: true, waitStart: time.Now()}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
	if s.drain != nil {
		c.startDrain(s.drain)
	}
	return c
}

// remove unregisters a connection that has ended, including its handler.
func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	if s.drain != nil {
		s.drain.closeIfEmpty(len(s.conns))
	}
}

// onConnState is called by the HTTP server when the state of a connection changes.
func onConnState(c net.Conn, state http.ConnState) {
	each, ok := c.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		each.awaitRequest()
	case http.StateClosed, http.StateHijacked:
		each.server.remove(each)
	}
}
