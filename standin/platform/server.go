// Package platform simulates the platform in tests and in the demo: a key-value
// service with a subset of the JSON gateway of etcd v3, and an instance list
// that may lag. It supports rate limits, call counts and fault injection.
package platform

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	maxValueBytes        = 1 << 20          // largest value, in bytes
	maxBodyBytes         = 4 << 20          // largest request body, in bytes
	maxListLag           = 10 * time.Minute // longest lag of the instance list
	defaultHistoryEvents = 10000
	leaseIDBase          = 1000
	retryAfterSeconds    = "1"
)

// Options configures a Server. The zero value has no rate limits and no lag.
type Options struct {
	WritesPerSecond float64       // 0 means no limit
	ReadsPerSecond  float64       // 0 means no limit
	History         int           // number of events kept for watches and reads of past revisions; 0 means 10,000
	ListLag         time.Duration // age of the instance list that reads return
	Seed            uint64        // seeds the random choice of the calls to lose
}

// Server is an http.Handler that serves the platform's API and the /admin
// paths.
type Server struct {
	mux       *http.ServeMux
	store     *store
	instances *instanceList
	faults    *faultState
	writes    *rate.Limiter
	reads     *rate.Limiter

	mu             sync.Mutex
	calls          Calls
	watchesDropped chan struct{} // closed to abort all watches, then replaced
	closed         chan struct{}
}

// New returns a server and a function that ends its watches and stops its lease
// timers. The function may be called more than once.
func New(opts Options) (*Server, func()) {
	if opts.History <= 0 {
		opts.History = defaultHistoryEvents
	}
	s := &Server{
		mux:            http.NewServeMux(),
		store:          newStore(opts.History),
		instances:      newInstanceList(),
		faults:         newFaultState(opts.Seed, Faults{ListLagMillis: int(opts.ListLag.Milliseconds())}),
		writes:         newLimiter(opts.WritesPerSecond),
		reads:          newLimiter(opts.ReadsPerSecond),
		watchesDropped: make(chan struct{}),
		closed:         make(chan struct{}),
	}
	s.routes()
	return s, sync.OnceFunc(func() {
		close(s.closed)
		s.store.close()
	})
}

// newLimiter returns a limiter whose burst is the number of calls allowed in
// 100 ms, but at least 1. It doesn't limit if perSecond is zero or negative.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/10)))
}

func (s *Server) routes() {
	s.mux.HandleFunc("POST /v3/kv/range", s.handleRange)
	s.mux.HandleFunc("POST /v3/kv/put", s.handlePut)
	s.mux.HandleFunc("POST /v3/kv/deleterange", s.handleDelete)
	s.mux.HandleFunc("POST /v3/kv/txn", s.handleTxn)
	s.mux.HandleFunc("POST /v3/lease/grant", s.handleGrant)
	s.mux.HandleFunc("POST /v3/lease/keepalive", s.handleKeepAlive)
	s.mux.HandleFunc("POST /v3/lease/revoke", s.handleRevoke)
	s.mux.HandleFunc("POST /v3/watch", s.handleWatch)
	s.mux.HandleFunc("GET /v1/instances", s.handleList)
	s.mux.HandleFunc("POST /admin/instances", s.handleRegister)
	s.mux.HandleFunc("DELETE /admin/instances/{id}", s.handleRemove)
	s.mux.HandleFunc("POST /admin/faults", s.handleSetFaults)
	s.mux.HandleFunc("GET /admin/faults", s.handleGetFaults)
	s.mux.HandleFunc("GET /admin/calls", s.handleCalls)
}

// ServeHTTP implements http.Handler. To break a connection, it panics with
// http.ErrAbortHandler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// call describes a call for admission: the counter and the rate limit to use.
type call struct {
	kind  callKind
	write bool
}

// handleCall serves a call to the key-value service, subject to the faults and
// rate limits. It decodes the body into req and then calls run.
func (s *Server) handleCall(w http.ResponseWriter, r *http.Request, c call, req any, run func() (any, *statusError)) {
	// Read the whole body first: net/http detects that the client has
	// disconnected only after that.
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if !s.admit(w, r, c) {
		return
	}
	if err == nil {
		err = decodeRequest(data, req)
	}
	if err != nil {
		writeError(w, newStatusError(codeInvalidArgument, err.Error()))
		return
	}
	outcome := s.faults.nextOutcome(c.write)
	if outcome == lostCall {
		panic(http.ErrAbortHandler)
	}
	res, refused := run()
	if outcome == lostReply {
		panic(http.ErrAbortHandler)
	}
	if refused != nil {
		writeError(w, refused)
		return
	}
	writeJSON(w, http.StatusOK, res)
}

// admit counts the call and then delays or rejects it according to the faults
// and rate limits. It reports whether the call may proceed; if not, it has
// written the response.
func (s *Server) admit(w http.ResponseWriter, r *http.Request, c call) bool {
	s.countCall(c.kind)
	if !s.delay(r.Context()) {
		panic(http.ErrAbortHandler)
	}
	if faults, _ := s.faults.get(); faults.Outage {
		s.countCall(refusedCall)
		writeError(w, newStatusError(codeUnavailable, "etcdserver: no leader"))
		return false
	}
	limit := s.reads
	if c.write {
		limit = s.writes
	}
	if !limit.Allow() {
		s.countCall(throttledCall)
		writeError(w, newStatusError(codeResourceExhausted, "etcdserver: too many requests"))
		return false
	}
	return true
}

// delay waits until Hang is cleared and then for SlowMillis. It returns false
// if ctx is done or the server is closed before that.
func (s *Server) delay(ctx context.Context) bool {
	for {
		faults, changed := s.faults.get()
		if !faults.Hang {
			return s.sleep(ctx, time.Duration(faults.SlowMillis)*time.Millisecond)
		}
		select {
		case <-changed:
			if ctx.Err() != nil {
				return false
			}
		case <-ctx.Done():
			return false
		case <-s.closed:
			return false
		}
	}
}

func (s *Server) sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	case <-s.closed:
		return false
	}
}

// writeError writes e with the HTTP status that the gateway uses for its code.
func writeError(w http.ResponseWriter, e *statusError) {
	status := http.StatusBadRequest
	switch e.Code {
	case codeNotFound:
		status = http.StatusNotFound
	case codeAlreadyExists:
		status = http.StatusConflict
	case codeResourceExhausted:
		status = http.StatusTooManyRequests
		w.Header().Set("Retry-After", retryAfterSeconds)
	case codeUnavailable:
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, status, e)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // fails only if the client has disconnected
}
