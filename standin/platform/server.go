// Package platform stands in for the platform in tests and in the demo: a
// key-value service that speaks a subset of etcd v3's JSON gateway, and the
// lagging list of instances. It has rate caps, counts calls, and fails as told.
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
	maxValueBytes        = 1 << 20 // bytes of one value
	maxBodyBytes         = 4 << 20 // bytes of one request
	maxListLag           = 10 * time.Minute
	defaultHistoryEvents = 10000
	leaseIDBase          = 1000
	retryAfterSeconds    = "1"
)

// Options configure a Server. The zero value has no rate caps and no lag.
type Options struct {
	WritesPerSecond float64       // 0 means no cap
	ReadsPerSecond  float64       // 0 means no cap
	History         int           // events kept for watches; 0 means 10,000
	ListLag         time.Duration // of the list of instances
	Seed            uint64        // of faults that hit a share of calls
}

// Server is an http.Handler with all calls of the platform.
type Server struct {
	mux       *http.ServeMux
	store     *store
	instances *instanceList
	faults    *faultState
	writes    *rate.Limiter
	reads     *rate.Limiter

	mu             sync.Mutex
	calls          Calls
	watchesDropped chan struct{} // closed when watches are to break
	closed         chan struct{}
}

// New returns a server and the function that ends its watches and leases.
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

// newLimiter returns a newLimiter with a burst of a tenth of a second.
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

// ServeHTTP answers one call. It panics with http.ErrAbortHandler to break a
// connection when a fault says so.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// call describes one kind of call.
type call struct {
	kind  callKind
	write bool
}

// handleCall runs one call of the key-value service under the faults and caps.
// req is filled from the body before run is called.
func (s *Server) handleCall(w http.ResponseWriter, r *http.Request, c call, req any, run func() (any, *statusError)) {
	// The body is read to its end first, since net/http notices only then that
	// the caller has gone.
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

// admit counts the call and holds or refuses it as caps and faults say.
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

// delay waits out the faults Hang and SlowMillis. It is false if the caller
// has gone meanwhile.
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

// writeError answers with the HTTP status that the gateway gives the code.
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
	_ = json.NewEncoder(w).Encode(v) // the caller has gone if it fails
}
