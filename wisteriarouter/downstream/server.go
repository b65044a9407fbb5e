// Package downstream accepts the connections of callers, operators and other
// routers, and notes requests that were read and got no answer.
package downstream

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// Config holds the limits of a server towards those who connect to it.
type Config struct {
	HeaderWait  time.Duration // longest time for the head of a request to arrive
	HeaderBytes int           // largest head of a request
	IdleTimeout time.Duration // longest time that a connection stays open without a request
	Observer    Observer      // nil if nobody wants to know
}

// Observer is told of what goes wrong on connections.
type Observer interface {
	// Dropped tells of a connection that has ended though a part of a request,
	// or all of it, had been read and nothing was answered.
	Dropped(d Drop)
}

// Drop describes a request that was read and not answered.
type Drop struct {
	Read     int           // bytes of the request that were read, at least one
	Waited   time.Duration // since the first of them
	First    bool          // it was the first request on its connection
	Gone     bool          // the other side had closed the connection or broken it off
	Stopping bool          // the server was shutting down
}

// Server serves HTTP/1.1 on one listener.
type Server struct {
	http     *http.Server
	listener net.Listener
	observer Observer
	active   atomic.Int64
	stopping atomic.Bool
}

// NewServer returns a server for l, and what closes it and all its connections at
// once. Heads of requests have a limit in bytes and in time, so that a caller who
// sends one very slowly holds nothing but one connection for a short while.
func NewServer(l net.Listener, h http.Handler, cfg Config) (*Server, func()) {
	s := &Server{observer: cfg.Observer}
	s.listener = &listener{l, s}
	s.http = &http.Server{
		Handler:           s.count(h),
		ReadHeaderTimeout: cfg.HeaderWait,
		MaxHeaderBytes:    cfg.HeaderBytes,
		IdleTimeout:       cfg.IdleTimeout,
		ConnState:         changed,
		ConnContext:       withConn,
	}
	return s, func() { _ = s.http.Close() } // there is nobody left to tell
}

// Serve serves until the server is shut down or closed. Its error is then
// http.ErrServerClosed.
func (s *Server) Serve() error { return s.http.Serve(s.listener) }

// Addr returns the address that the server listens on.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Active returns how many requests are in flight.
func (s *Server) Active() int { return int(s.active.Load()) }

// SetKeepAlivesEnabled tells whether connections serve more than one request.
func (s *Server) SetKeepAlivesEnabled(on bool) { s.http.SetKeepAlivesEnabled(on) }

// Drain waits until no request is in flight. It returns how many were left when
// ctx ended, and cuts them off.
func (s *Server) Drain(ctx context.Context) (left int) {
	s.stopping.Store(true)
	if err := s.http.Shutdown(ctx); err != nil {
		left = s.Active()
		_ = s.http.Close() // there is nobody left to tell
	}
	return left
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// count counts the requests in flight.
func (s *Server) count(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*conn); ok {
			c.taken()
		}
		s.active.Add(1)
		defer s.active.Add(-1)
		h.ServeHTTP(w, r)
	})
}

// listener hands out connections that its server watches.
type listener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: inner, server: l.server, waiting: true, first: true}, nil
}
