package mirror_test

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"wisteriaspool/coordination/kv"
)

// fakeStore is an in-memory store that can drop the notifications of its
// watches.
type fakeStore struct {
	mu                sync.Mutex
	asOf              kv.Revision
	pairs             map[string]kv.Pair
	changed           chan struct{}
	dropNotifications bool
	deafToNewWatches  bool        // a watch reports nothing, even if there are changes when it begins
	stale             kv.Revision // pings return this revision, unless it is zero
	down              bool
	compacted         kv.Revision // history up to this revision is gone
	calls             int
	lists             int
	pings             int
}

func newFakeStore() *fakeStore {
	return &fakeStore{pairs: map[string]kv.Pair{}, changed: make(chan struct{})}
}

func (s *fakeStore) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asOf++
	s.pairs[key] = kv.Pair{Key: key, Value: []byte(value), Revision: s.asOf}
	if !s.dropNotifications {
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

// restore replaces the contents by a copy of them, in which revisions begin again after
// asOf, and begins a new era.
func (s *fakeStore) restore(asOf kv.Revision, pairs map[string]kv.Pair) {
	s.mu.Lock()
	defer s.mu.Unlock()
	era := s.asOf.Era() + 1
	s.asOf = kv.NewRevision(era, asOf.Number())
	s.pairs = make(map[string]kv.Pair)
	for key, p := range pairs {
		p.Revision = kv.NewRevision(era, p.Revision.Number())
		s.pairs[key] = p
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// copy returns what restore takes.
func (s *fakeStore) copy() (asOf kv.Revision, pairs map[string]kv.Pair) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.asOf, maps.Clone(s.pairs)
}

func (s *fakeStore) revision() (n kv.Revision) {
	s.withLock(func() { n = s.asOf })
	return n
}

// cost returns the cost of the calls so far, in units of a call. A ping counts
// as a tenth of any other call.
func (s *fakeStore) cost() (n int) {
	s.withLock(func() { n = s.calls + s.pings/10 })
	return n
}

// resetCalls resets the call counters.
func (s *fakeStore) resetCalls() {
	s.withLock(func() { s.calls, s.pings = 0, 0 })
}

func (s *fakeStore) withLock(fn func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fn()
}

var errDown = errors.New("down")

func (s *fakeStore) Ping(context.Context) kv.Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pings++
	if s.down {
		return kv.Result{Status: kv.Unavailable, Err: errDown}
	}
	if s.stale > 0 {
		return kv.Result{Status: kv.Applied, Revision: s.stale}
	}
	return kv.Result{Status: kv.Applied, Revision: s.asOf}
}

func (s *fakeStore) Revision(context.Context) kv.Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return kv.Result{Status: kv.Unavailable, Err: errDown}
	}
	return kv.Result{Status: kv.Applied, Revision: s.asOf}
}

func (s *fakeStore) List(_ context.Context, _ string) kv.Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	s.lists++
	if s.down {
		return kv.Result{Status: kv.Unavailable, Err: errDown}
	}
	res := kv.Result{Status: kv.Applied, Revision: s.asOf}
	for _, p := range s.pairs {
		res.Pairs = append(res.Pairs, p)
	}
	return res
}

func (s *fakeStore) Watch(ctx context.Context, _ string, after kv.Revision, wait time.Duration) (kv.Batch, kv.Result) {
	s.withLock(func() { s.calls++ })
	timeout := time.After(wait)
	for {
		b, res, done := s.poll(after)
		if done {
			return b, res
		}
		s.mu.Lock()
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
			if b, res, _ := s.poll(after); len(b.Events) == 0 {
				return b, res
			}
		case <-timeout:
			return kv.Batch{Revision: after}, kv.Result{Status: kv.Applied}
		case <-ctx.Done():
			return kv.Batch{}, kv.Result{Status: kv.Unavailable, Err: ctx.Err()}
		}
	}
}

func (s *fakeStore) poll(after kv.Revision) (kv.Batch, kv.Result, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.down:
		return kv.Batch{}, kv.Result{Status: kv.Unavailable, Err: errDown}, true
	case s.deafToNewWatches:
		return kv.Batch{Revision: after}, kv.Result{Status: kv.Applied}, false
	case after < s.compacted, after.Era() != s.asOf.Era():
		return kv.Batch{Gap: true}, kv.Result{Status: kv.Applied}, true
	}
	b := kv.Batch{Revision: s.asOf}
	for _, p := range s.pairs {
		if p.Revision > after {
			b.Events = append(b.Events, kv.Event{Pair: p})
		}
	}
	return b, kv.Result{Status: kv.Applied}, len(b.Events) > 0
}
