package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// server is a replica. It works as the page of the protocol says of a sound one.
type server struct {
	fleet   *fleet
	id      string
	service string
	address string
	zone    string
	slots   int
	work    time.Duration // for a request without a stream
	born    int64

	mu      sync.Mutex
	running int
	runs    map[string]*run // by the id of the request
}

// run is what a replica knows of a request that it ran.
type run struct {
	server        string
	path          string
	tenant        string
	authorization string
	began         time.Time
	ended         time.Time // zero while it runs
	complete      bool
	times         int
}

// startServer starts a replica and registers it.
func (f *fleet) startServer(n int, service string, slots int, work time.Duration) (*server, error) {
	s := f.newServer(n, service, slots, work)
	if err := f.serve(s.address, s); err != nil {
		return nil, err
	}
	s.register()
	return s, nil
}

func (f *fleet) newServer(n int, service string, slots int, work time.Duration) *server {
	s := &server{
		fleet: f, id: fmt.Sprintf("i-%s-%d", service, n), service: service, address: f.address(100+n, serverPort),
		zone: fmt.Sprintf("zone-%d", 1+(n-1)%3), slots: slots, work: work, born: time.Now().UnixMilli(), runs: make(map[string]*run),
	}
	f.servers = append(f.servers, s)
	return s
}

func (s *server) register() {
	b, _ := json.Marshal(map[string]any{
		"backend": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots, "state": "ready",
		"coldLeftMs": 0, "phase": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "seqno": 1, "born": s.born,
	})
	s.fleet.store.put("servers/"+s.id, b)
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != s.id {
		w.Header().Set("X-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	a := s.begin(id, r)
	w.Header().Set("X-Instance-Load", s.load())
	if a == nil {
		s.fleet.note("%s: sheds %s", s.id, id)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	s.fleet.note("%s: runs %s %s", s.id, id, r.URL.Path)
	w.Header().Set("X-Server-Signature", "sig."+s.id+"."+id)
	complete := false
	if usage := r.Header.Get("X-Token-Usage"); usage != "" {
		complete = s.stream(w, r, usage)
	} else {
		complete = s.single(w, r)
	}
	s.end(a, complete)
	s.fleet.note("%s: %s has ended, complete %v", s.id, id, complete)
}

func (s *server) begin(id string, r *http.Request) *run {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= s.slots {
		return nil
	}
	s.running++
	a := s.runs[id]
	if a == nil {
		a = &run{server: s.id, path: r.URL.Path, tenant: r.Header.Get("X-Tenant"), authorization: r.Header.Get("Authorization"), began: time.Now()}
		s.runs[id] = a
	}
	a.times++
	return a
}

func (s *server) end(a *run, complete bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	a.ended, a.complete = time.Now(), complete
}

func (s *server) load() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("%d,0,%d", s.running, s.slots)
}

// A stream has an event for each eventTokens tokens of output, one each eventTime.
const (
	eventTokens = 5
	eventTime   = 50 * time.Millisecond
)

// stream answers with as many events as the request's output has room for.
func (s *server) stream(w http.ResponseWriter, r *http.Request, usage string) bool {
	_, out, _ := strings.Cut(usage, ",")
	tokens, _ := strconv.Atoi(out)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Weight-Versions", "1")
	for n := 1; n <= max(tokens/eventTokens, 1); n++ {
		if !wait(r, eventTime) {
			return false
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: tokens %d of %s\n\n", n, n, r.Header.Get("X-Attempt-Id")); err != nil {
			return false
		}
		_ = http.NewResponseController(w).Flush()
	}
	return true
}

func (s *server) single(w http.ResponseWriter, r *http.Request) bool {
	if !wait(r, s.work) {
		return false
	}
	_, err := w.Write([]byte(strings.Repeat("x", 800)))
	return err == nil
}

// wait reports whether the caller has stayed for d.
func wait(r *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		return false
	}
}

// runsOf returns what all replicas know of a request.
func (f *fleet) runsOf(id string) (all []run) {
	for _, s := range f.servers {
		s.mu.Lock()
		if a := s.runs[id]; a != nil {
			all = append(all, *a)
		}
		s.mu.Unlock()
	}
	return all
}
