package mirror

import (
	"context"
	"sync"
	"time"

	"wisteriaspool/coordination"
)

const (
	// suspensionCheck is how often a process checks whether it has been suspended.
	suspensionCheck = 250 * time.Millisecond
	// minSuspension is the least time between two checks that counts as a suspension.
	minSuspension = 2 * suspensionCheck
	// maxCallTime exceeds the time that a call takes.
	maxCallTime = maxWatchWait + 5*time.Second
)

// suspensions notices that the process was suspended. The first replies that it reads then
// may have waited in its sockets all the while.
type suspensions struct {
	mu      sync.Mutex
	checked time.Time
	began   time.Time // of the latest one, or of the first of several that one call may span
	ended   time.Time // zero if there was none
}

// run checks until ctx ends.
func (s *suspensions) run(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	s.check(time.Now())
	for coordination.Sleep(ctx, suspensionCheck) {
		s.check(time.Now())
	}
}

func (s *suspensions) check(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record(now)
}

// record records a suspension that ends now. The caller holds s.mu.
func (s *suspensions) record(now time.Time) {
	if !s.checked.IsZero() && now.Sub(s.checked) >= minSuspension {
		if s.ended.IsZero() || s.checked.Sub(s.ended) > maxCallTime {
			s.began = s.checked
		}
		s.ended = now
	}
	s.checked = now
}

// delay returns for how long the reply to a call made at start, which has been read at now,
// may have waited because the process was suspended.
func (s *suspensions) delay(now, start time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record(now)
	switch {
	case s.ended.IsZero() || s.ended.Before(start):
		return 0
	case s.began.After(start):
		return now.Sub(s.began)
	}
	return now.Sub(start)
}

// aged returns u as it is d after it was sent.
func (u Update) aged(d time.Duration) Update {
	add := func(ms uint32) uint32 { return uint32(min(int64(ms)+d.Milliseconds(), maxAgeMs)) }
	u.AgeMs = add(u.AgeMs)
	if u.From != "" && !u.Full {
		u.BehindMs = add(u.BehindMs)
	}
	return u
}
