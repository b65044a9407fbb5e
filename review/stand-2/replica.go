package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// replica is a stand-in for a replica of a service.
type replica struct {
	id        string
	service   string
	zone      string
	listener  net.Listener
	born      int64
	mu        sync.Mutex
	seqno     int64
	runs      []run
	running   atomic.Int64 // requests that run; kept by some answers only
	brokenOff []string     // attempts whose channel ended before the answer
	sheds     func() bool  // reports whether the next request is rejected as not run; may be nil
	// serve, if set, answers the requests that run in place of the default.
	serve func(w http.ResponseWriter, r *http.Request, n int)
}

// run is a request that has begun to run.
type run struct {
	at     time.Time
	header http.Header
	method string
	path   string
	body   string
}

func newReplica(ip, id, service, zone string) (*replica, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	r := &replica{id: id, service: service, zone: zone, listener: l, born: time.Now().UnixMilli()}
	go func() { _ = http.Serve(l, r) }()
	return r, nil
}

// entry returns what the replica writes to the store.
func (r *replica) entry(state string) map[string]any {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seqno++
	return map[string]any{
		"backend": r.service, "address": r.listener.Addr().String(), "zone": r.zone, "version": "v1",
		"slots": 16, "state": state, "coldLeftMs": 0, "seqno": r.seqno, "born": r.born,
	}
}

func (r *replica) all() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.runs...)
}

// ServeHTTP implements http.Handler.
func (r *replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	h := w.Header()
	h.Set("X-Instance-Id", r.id)
	if e := req.Header.Get("X-Expect-Instance"); e != "" && e != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	attempt := req.Header.Get("X-Attempt-Id")
	if attempt == "" {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	h.Set("X-Attempt-Id", attempt)
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	if r.sheds != nil && r.sheds() {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	r.mu.Lock()
	n := len(r.runs)
	r.runs = append(r.runs, run{time.Now(), req.Header.Clone(), req.Method, req.RequestURI, string(body)})
	r.mu.Unlock()
	h.Set("X-Server-Signature", fmt.Sprintf("%s.%d", r.id, n))
	if r.serve != nil {
		r.serve(w, req, n)
		return
	}
	_, _ = fmt.Fprintf(w, "answer of %s to %s\n", r.id, attempt)
}
