package downstream

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Config holds the limits of a server towards those who connect to it.
type Config struct {
	HeaderTimeout  time.Duration // longest time for the head of a request to arrive
	MaxHeaderBytes int           // largest head of a request
	IdleTimeout    time.Duration // longest time that a connection stays open without a request
	Observer       Observer      // nil if nobody wants to know
}

// Observer is told of what goes wrong on connections.
type Observer interface {
	// Dropped tells of a connection that has ended though a part of a request,
	// or all of it, had been read and nothing was answered.
	Dropped(d Drop)
}

// Drop describes a request that was read and not answered.
type Drop struct {
	BytesRead    int           // bytes of the request that were read, at least one
	Elapsed      time.Duration // since the first of them
	FirstRequest bool          // it was the first request on its connection
	PeerClosed   bool          // the other side had closed the connection or broken it off
	Draining     bool          // the server was being drained
}

// Server serves HTTP/1.1 on one listener.
type Server struct {
	http     *http.Server
	listener *listener
	observer Observer
	// headerTimeout is the longest time for the head of a request to arrive; zero for
	// no limit.
	headerTimeout time.Duration

	active  atomic.Int64
	leaving atomic.Bool

	mu    sync.Mutex
	conns map[*conn]struct{}
	drain *drainState // nil before Drain
}

// NewServer returns a server for l, and what closes it and all its connections at
// once. Heads of requests have a limit in bytes and in time, so that a caller who
// sends one very slowly holds nothing but one connection for a short while.
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

// close closes the listener and all connections at once.
func (s *Server) close() { _ = s.http.Close() } // there is nobody left to tell

// Serve serves until the server is drained or closed. Its error is then
// http.ErrServerClosed.
func (s *Server) Serve() error { return s.http.Serve(s.listener) }

// Addr returns the address that the server listens on.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Active returns how many requests are in flight.
func (s *Server) Active() int { return int(s.active.Load()) }

// DisableKeepAlives has the answer to each request that comes from now on end its connection.
// All connections are served as before, new ones too.
func (s *Server) DisableKeepAlives() { s.leaving.Store(true) }

// handler counts the requests in flight, and ends their connections once the
// server leaves.
func (s *Server) handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*conn); ok {
			c.markAnswered()
		}
		s.active.Add(1)
		defer s.active.Add(-1)
		if s.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// connKey is the key of a request's connection in its context.
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

// remove forgets a connection that has ended, with its handler.
func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	if s.drain != nil {
		s.drain.closeIfEmpty(len(s.conns))
	}
}

// onConnState is called by the HTTP server when a connection has another state.
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
