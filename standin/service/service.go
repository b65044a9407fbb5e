// Package service stands in for a plain service, such as an order desk, in
// tests and in the demo. It records every arrival of an action, so that a test
// can count how often each one ran, and fails as told.
package service

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"
)

const maxBody = 4 << 20 // bytes of one request

// Options configure a Service. The zero value runs each action at once.
type Options struct {
	ID         string
	ActionTime time.Duration // that one action takes
	Capacity   int           // shown in the load report; 0 means 64
	Seed       uint64        // of faults that hit a share of calls
}

// Faults are what goes wrong at the service. FreezeMillis happens once; the
// others last, or are used up by count.
type Faults struct {
	// CutBefore is the share of calls whose connection breaks before they run.
	CutBefore float64 `json:"cut_before"`
	// CutBeforeNext is the number of next calls of that fate.
	CutBeforeNext int `json:"cut_before_next"`
	// CutAfter is the share of calls that run but are not answered.
	CutAfter float64 `json:"cut_after"`
	// CutAfterNext is the number of next calls of that fate.
	CutAfterNext int `json:"cut_after_next"`
	// Refuse is the share of calls refused as not run.
	Refuse float64 `json:"refuse"`
	// RefuseNext is the number of next calls of that fate.
	RefuseNext int `json:"refuse_next"`
	// TimeMillis replaces the time that one action takes, if above zero.
	TimeMillis int `json:"time_ms"`
	// FreezeMillis stops everything for a time, as a paused process does.
	FreezeMillis int `json:"freeze_ms,omitempty"`
}

// Outcome tells what became of an arrival.
type Outcome string

// The fates of an arrival.
const (
	Pending   Outcome = "pending"    // still running
	Ran       Outcome = "ran"        // ran and was answered
	CutBefore Outcome = "cut-before" // the connection broke before it ran
	CutAfter  Outcome = "cut-after"  // ran, and the connection broke
	Refused   Outcome = "refused"    // refused as not run
)

// Arrival is one call of an action that reached the service.
type Arrival struct {
	At        time.Time `json:"at"`
	Action    string    `json:"action"`
	RequestID string    `json:"request_id"`
	Key       string    `json:"key"`
	Outcome   Outcome   `json:"fate"`
}

// DidRun tells whether the action took effect.
func (a Arrival) DidRun() bool { return a.Outcome == Ran || a.Outcome == CutAfter }

// Count tells how often something arrived and how often it ran.
type Count struct {
	Arrived int `json:"arrived"`
	Ran     int `json:"ran"`
}

// Arrivals is what the service saw, in the order of arrival.
type Arrivals struct {
	Arrivals  []Arrival        `json:"arrivals"`
	ByKey     map[string]Count `json:"by_key"`
	ByRequest map[string]Count `json:"by_request"`
}

// Receipt is the answer to an action. Number counts the service's runs, so
// that two runs never give equal receipts.
type Receipt struct {
	Service   string `json:"service"`
	Action    string `json:"action"`
	RequestID string `json:"request_id"`
	Key       string `json:"key"`
	Number    int    `json:"number"`
}

// Service is an http.Handler with all calls of a plain service.
type Service struct {
	opts Options
	mux  *http.ServeMux

	mu          sync.Mutex
	random      *rand.Rand
	faults      Faults
	frozenUntil time.Time
	leaving     bool
	incarnation uint64
	arrivals    []Arrival
	running     int
	runs        int
	closed      chan struct{}
}

// New returns a service and the function that ends its waiting calls.
func New(opts Options) (*Service, func()) {
	if opts.Capacity == 0 {
		opts.Capacity = 64
	}
	s := &Service{
		opts:        opts,
		mux:         http.NewServeMux(),
		random:      rand.New(rand.NewPCG(opts.Seed, opts.Seed)),
		incarnation: uint64(time.Now().UnixMilli()),
		closed:      make(chan struct{}),
	}
	s.mux.HandleFunc("POST /actions/{action}", s.handleAction)
	s.mux.HandleFunc("GET /v1/load", s.handleLoad)
	s.mux.HandleFunc("GET /admin/arrivals", s.handleArrivals)
	s.mux.HandleFunc("POST /admin/faults", s.handleFaults)
	s.mux.HandleFunc("POST /admin/leave", s.handleLeave)
	return s, sync.OnceFunc(func() { close(s.closed) })
}

// ServeHTTP answers one call. It panics with http.ErrAbortHandler to break a
// connection when a fault says so.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

func (s *Service) handleAction(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		writeNotRun(w, http.StatusBadRequest, "malformed")
		return
	}
	var body struct {
		Key string `json:"key"`
	}
	_ = json.Unmarshal(data, &body) // a body of another form has no key
	arrival := Arrival{
		At: time.Now(), Action: r.PathValue("action"),
		RequestID: r.Header.Get("X-Request-Id"), Key: body.Key, Outcome: Pending,
	}
	n, outcome, duration := s.recordArrival(arrival)
	switch outcome {
	case CutBefore:
		panic(http.ErrAbortHandler)
	case Refused:
		writeNotRun(w, http.StatusServiceUnavailable, "overloaded")
		return
	}
	// The action goes on when its caller goes: nobody can take it back.
	s.sleep(duration)
	receipt := s.finish(n, outcome)
	if outcome == CutAfter {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Outcome", "ran")
	writeJSON(w, http.StatusOK, receipt)
}

// recordArrival records an arrival and draws its fate. It returns the arrival's index
// and the time that the action takes.
func (s *Service) recordArrival(a Arrival) (int, Outcome, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	outcome := s.drawOutcomeLocked()
	if outcome == CutBefore || outcome == Refused {
		a.Outcome = outcome
	} else {
		s.running++
	}
	s.arrivals = append(s.arrivals, a)
	duration := s.opts.ActionTime
	if s.faults.TimeMillis > 0 {
		duration = time.Duration(s.faults.TimeMillis) * time.Millisecond
	}
	return len(s.arrivals) - 1, outcome, duration + max(0, time.Until(s.frozenUntil))
}

func (s *Service) drawOutcomeLocked() Outcome {
	f := &s.faults
	switch {
	case s.leaving:
		return Refused
	case s.faultAppliesLocked(f.Refuse, &f.RefuseNext):
		return Refused
	case s.faultAppliesLocked(f.CutBefore, &f.CutBeforeNext):
		return CutBefore
	case s.faultAppliesLocked(f.CutAfter, &f.CutAfterNext):
		return CutAfter
	}
	return Ran
}

// faultAppliesLocked is true for the next calls and for a share of the others.
func (s *Service) faultAppliesLocked(share float64, next *int) bool {
	if *next > 0 {
		*next--
		return true
	}
	return share > 0 && s.random.Float64() < share
}

func (s *Service) sleep(d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.closed:
	}
}

// finish records that the action ran, before anybody is told.
func (s *Service) finish(n int, outcome Outcome) Receipt {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.runs++
	a := &s.arrivals[n]
	a.Outcome = outcome
	return Receipt{
		Service: s.opts.ID, Action: a.Action, RequestID: a.RequestID, Key: a.Key, Number: s.runs,
	}
}

// Arrivals returns what the service saw.
func (s *Service) Arrivals() Arrivals {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := Arrivals{
		Arrivals:  slices.Clone(s.arrivals),
		ByKey:     make(map[string]Count),
		ByRequest: make(map[string]Count),
	}
	for _, a := range out.Arrivals {
		out.ByKey[a.Key] = out.ByKey[a.Key].add(a)
		out.ByRequest[a.RequestID] = out.ByRequest[a.RequestID].add(a)
	}
	return out
}

func (c Count) add(a Arrival) Count {
	c.Arrived++
	if a.DidRun() {
		c.Ran++
	}
	return c
}

// SetFaults replaces the lasting faults and makes the others happen.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.FreezeMillis > 0 {
		s.frozenUntil = time.Now().Add(time.Duration(f.FreezeMillis) * time.Millisecond)
	}
	f.FreezeMillis = 0
	s.faults = f
}

// Faults returns the lasting faults.
func (s *Service) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Leave makes the service refuse new actions. What runs goes on.
func (s *Service) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// Drain waits until no action runs any more.
func (s *Service) Drain(ctx context.Context) error {
	const interval = 10 * time.Millisecond
	for s.load().Running > 0 {
		select {
		case <-time.After(interval):
		case <-ctx.Done():
			return fmt.Errorf("service: %w", ctx.Err())
		}
	}
	return nil
}
