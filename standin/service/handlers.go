package service

import (
	"encoding/json"
	"net/http"
	"time"
)

// Load is the body of a load report. State is "live" or "leaving".
type Load struct {
	Running     int       `json:"running"`
	Waiting     int       `json:"waiting"`
	Capacity    int       `json:"capacity"`
	State       string    `json:"state"`
	Incarnation uint64    `json:"incarnation"`
	ObservedAt  time.Time `json:"observed_at"`
}

func (s *Service) load() Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := "live"
	if s.leaving {
		state = "leaving"
	}
	return Load{
		Running: s.running, Capacity: s.opts.Capacity, State: state,
		Incarnation: s.incarnation, ObservedAt: time.Now(),
	}
}

// Incarnation returns the service's incarnation number, its start time in Unix
// milliseconds.
func (s *Service) Incarnation() uint64 { return s.load().Incarnation }

func (s *Service) handleLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.load())
}

func (s *Service) handleArrivals(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Arrivals())
}

func (s *Service) handleLeave(w http.ResponseWriter, _ *http.Request) {
	s.Leave()
	w.WriteHeader(http.StatusNoContent)
}

func (s *Service) handleFaults(w http.ResponseWriter, r *http.Request) {
	next := s.Faults()
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&next); err != nil {
		writeNotRun(w, http.StatusBadRequest, "malformed")
		return
	}
	s.SetFaults(next)
	writeJSON(w, http.StatusOK, s.Faults())
}

// errorBody is the body of an error response.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// writeNotRun refuses a call and states that the action was not run. A refusal
// with status 503 carries a Retry-After of one second.
func writeNotRun(w http.ResponseWriter, status int, code string) {
	w.Header().Set("X-Outcome", "not-run")
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "1")
	}
	writeJSON(w, status, errorBody{Error: errorDetail{Code: code, Message: "the action was not run"}})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // an error means that the caller disconnected
}
