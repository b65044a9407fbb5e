// Package service simulates a plain HTTP service, such as an order desk, for tests
// and the demo. It records every call of an action, so that a test can count how
// often each action ran, and injects faults on request.
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

const maxBody = 4 << 20 // limit on a request body in bytes

// Options configures a Service. With the zero value, actions take no time.
type Options struct {
	ID         string
	ActionTime time.Duration // duration of one action
	Capacity   int           // capacity in the load report; not enforced; 0 means 64
	Seed       uint64        // seed of the random choices for faults
}

// Faults selects the faults that the service injects. FreezeMillis takes effect
// once. The others stay in force, except that the Next counts go down to zero.
// Shares range from 0 to 1.
type Faults struct {
	// CutBefore is the share of calls whose connection breaks before the action
	// runs.
	CutBefore float64 `json:"cut_before"`
	// CutBeforeNext is the number of upcoming calls that are cut before the
	// action runs.
	CutBeforeNext int `json:"cut_before_next"`
	// CutAfter is the share of calls whose connection breaks after the action
	// ran.
	CutAfter float64 `json:"cut_after"`
	// CutAfterNext is the number of upcoming calls that are cut after the action
	// ran.
	CutAfterNext int `json:"cut_after_next"`
	// Refuse is the share of calls refused as not run.
	Refuse float64 `json:"refuse"`
	// RefuseNext is the number of upcoming calls refused as not run.
	RefuseNext int `json:"refuse_next"`
	// TimeMillis, if above zero, replaces the duration of an action, in
	// milliseconds.
	TimeMillis int `json:"time_ms"`
	// FreezeMillis delays the completion of actions that arrive within this time,
	// in milliseconds, like a paused process.
	FreezeMillis int `json:"freeze_ms,omitempty"`
}

// Outcome is the result of an arrival.
type Outcome string

// The outcomes of an arrival.
const (
	Pending   Outcome = "pending"    // still running
	Ran       Outcome = "ran"        // ran and was answered
	CutBefore Outcome = "cut-before" // the connection broke before it ran
	CutAfter  Outcome = "cut-after"  // ran, and the connection broke before the response
	Refused   Outcome = "refused"    // refused as not run
)

// Arrival is one action call that reached the service. Key is the "key" field of
// its body.
type Arrival struct {
	At        time.Time `json:"at"`
	Action    string    `json:"action"`
	RequestID string    `json:"request_id"`
	Key       string    `json:"key"`
	Outcome   Outcome   `json:"fate"`
}

// DidRun reports whether the action ran to completion.
func (a Arrival) DidRun() bool { return a.Outcome == Ran || a.Outcome == CutAfter }

// Count holds the number of arrivals and the number of those that ran.
type Count struct {
	Arrived int `json:"arrived"`
	Ran     int `json:"ran"`
}

// Arrivals lists all calls in order of arrival, with counts by key and by request
// id.
type Arrivals struct {
	Arrivals  []Arrival        `json:"arrivals"`
	ByKey     map[string]Count `json:"by_key"`
	ByRequest map[string]Count `json:"by_request"`
}

// Receipt is the response to an action. Number counts the actions that the service
// has run, so that two runs never return equal receipts.
type Receipt struct {
	Service   string `json:"service"`
	Action    string `json:"action"`
	RequestID string `json:"request_id"`
	Key       string `json:"key"`
	Number    int    `json:"number"`
}

// Service is an http.Handler that implements the API of a plain service. Its
// methods are safe for concurrent use.
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

// New returns a service and a function that ends the delays of its running
// actions.
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

// ServeHTTP handles one call. It panics with http.ErrAbortHandler to break the
// connection when a fault requires it.
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
	_ = json.Unmarshal(data, &body) // a body in another format has no key
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
	// The action continues if its caller disconnects, because it cannot be
	// cancelled.
	s.sleep(duration)
	receipt := s.finish(n, outcome)
	if outcome == CutAfter {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Outcome", "ran")
	writeJSON(w, http.StatusOK, receipt)
}

// recordArrival records an arrival and selects its outcome. It returns the
// arrival's index, its outcome, and the duration of the action including the rest
// of a freeze.
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

// faultAppliesLocked reports whether a fault applies to the current call: for the
// next calls, counting next down, and for a random share of the calls after them.
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

// finish records that the action ran. It is called before the caller gets a
// response.
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

// Arrivals returns all recorded calls and their counts.
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

// SetFaults replaces the persistent faults and triggers a freeze if f has one.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.FreezeMillis > 0 {
		s.frozenUntil = time.Now().Add(time.Duration(f.FreezeMillis) * time.Millisecond)
	}
	f.FreezeMillis = 0
	s.faults = f
}

// Faults returns the persistent faults.
func (s *Service) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Leave makes the service refuse new actions. Running actions continue.
func (s *Service) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// Drain waits until no action is running. It returns an error if ctx is done
// first.
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
