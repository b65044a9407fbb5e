package platform

import (
	"bytes"
	"slices"
	"sort"
	"sync"
	"time"
)

// event is one change in the store's history, with what stood there before.
type event struct {
	kv      KeyValue
	prev    *KeyValue
	deleted bool
}

// lease holds the keys that go when it lapses.
type lease struct {
	id    Int64
	ttl   time.Duration
	timer *time.Timer
	keys  map[string]bool
}

// store holds keys with their history behind one lock, so that every call is
// linearizable.
type store struct {
	mu          sync.Mutex
	revision    Int64
	current     map[string]KeyValue
	sorted      []string // the keys of current, in order
	events      []event  // by revision
	maxEvents   int      // events kept
	compacted   Int64    // revisions up to it are gone from events
	leases      map[Int64]*lease
	lastLeaseID Int64
	changed     chan struct{} // closed at the next change
}

func newStore(maxEvents int) *store {
	return &store{
		revision:  1,
		current:   make(map[string]KeyValue),
		maxEvents: maxEvents,
		leases:    make(map[Int64]*lease),
		changed:   make(chan struct{}),
	}
}

// close stops the leases' timers.
func (s *store) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.leases {
		l.timer.Stop()
	}
}

func (s *store) headerLocked() *responseHeader {
	return &responseHeader{ClusterID: 1, MemberID: 1, Revision: s.revision, RaftTerm: 1}
}

// put runs a put of its own.
func (s *store) put(req putRequest) (*putResponse, *statusError) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.validatePutLocked(req); err != nil {
		return nil, err
	}
	s.revision++
	res := s.putLocked(req)
	res.Header = s.headerLocked()
	s.trimAndNotifyLocked()
	return res, nil
}

func (s *store) validatePutLocked(req putRequest) *statusError {
	if len(req.Key) == 0 {
		return newStatusError(codeInvalidArgument, "etcdserver: key is not provided")
	}
	if len(req.Value) > maxValueBytes {
		return newStatusError(codeInvalidArgument, "etcdserver: request is too large")
	}
	if req.Lease != 0 && s.leases[req.Lease] == nil {
		return newStatusError(codeNotFound, "etcdserver: requested lease not found")
	}
	return nil
}

// putLocked writes at the revision that the caller has begun.
func (s *store) putLocked(req putRequest) *putResponse {
	key := string(req.Key)
	old, exists := s.current[key]
	kv := KeyValue{
		Key: bytes.Clone(req.Key), Value: bytes.Clone(req.Value), Lease: req.Lease,
		CreateRevision: s.revision, ModRevision: s.revision, Version: 1,
	}
	if exists {
		kv.CreateRevision = old.CreateRevision
		kv.Version = old.Version + 1
		s.detachLeaseLocked(old)
	} else {
		at := sort.SearchStrings(s.sorted, key)
		s.sorted = slices.Insert(s.sorted, at, key)
	}
	s.current[key] = kv
	if l := s.leases[req.Lease]; l != nil {
		l.keys[key] = true
	}
	e := event{kv: kv}
	res := &putResponse{}
	if exists {
		e.prev = &old
	}
	if exists && req.PrevKV {
		res.PrevKV = &old
	}
	s.events = append(s.events, e)
	return res
}

func (s *store) detachLeaseLocked(kv KeyValue) {
	if l := s.leases[kv.Lease]; l != nil {
		delete(l.keys, string(kv.Key))
	}
}

// deleteRange runs a delete of its own.
func (s *store) deleteRange(req deleteRequest) (*deleteResponse, *statusError) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.anyInRangeLocked(req.Key, req.RangeEnd) {
		s.revision++
	}
	res := s.deleteLocked(req)
	res.Header = s.headerLocked()
	s.trimAndNotifyLocked()
	return res, nil
}

func (s *store) anyInRangeLocked(key, end []byte) bool {
	from, to := s.indexRangeLocked(key, end)
	return from < to
}

func (s *store) deleteLocked(req deleteRequest) *deleteResponse {
	from, to := s.indexRangeLocked(req.Key, req.RangeEnd)
	res := &deleteResponse{Deleted: Int64(to - from)}
	for _, key := range slices.Clone(s.sorted[from:to]) {
		old := s.current[key]
		if req.PrevKV {
			res.PrevKVs = append(res.PrevKVs, old)
		}
		s.removeLocked(old)
	}
	return res
}

// removeLocked deletes one key at the revision that the caller has begun.
func (s *store) removeLocked(old KeyValue) {
	key := string(old.Key)
	s.detachLeaseLocked(old)
	delete(s.current, key)
	at := sort.SearchStrings(s.sorted, key)
	s.sorted = slices.Delete(s.sorted, at, at+1)
	tombstone := KeyValue{Key: old.Key, ModRevision: s.revision}
	s.events = append(s.events, event{kv: tombstone, prev: &old, deleted: true})
}

// indexRangeLocked returns the half-open span of s.sorted that [key, end) covers. An
// empty end stands for the one key, and a zero byte for all from key on.
func (s *store) indexRangeLocked(key, end []byte) (int, int) {
	from := sort.SearchStrings(s.sorted, string(key))
	switch {
	case len(end) == 0:
		if from < len(s.sorted) && s.sorted[from] == string(key) {
			return from, from + 1
		}
		return from, from
	case isOpenEnd(end):
		return from, len(s.sorted)
	}
	return from, max(from, sort.SearchStrings(s.sorted, string(end)))
}

func isOpenEnd(end []byte) bool { return len(end) == 1 && end[0] == 0 }

// inRange tells whether k lies in [key, end) as spanLocked reads it.
func inRange(k, key, end []byte) bool {
	switch {
	case len(end) == 0:
		return bytes.Equal(k, key)
	case isOpenEnd(end):
		return bytes.Compare(k, key) >= 0
	}
	return bytes.Compare(k, key) >= 0 && bytes.Compare(k, end) < 0
}

// trimAndNotifyLocked trims the history and wakes the watches.
func (s *store) trimAndNotifyLocked() {
	if over := len(s.events) - s.maxEvents; over > 0 {
		s.compactLocked(s.events[over-1].kv.ModRevision)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// compactLocked forgets the history up to revision.
func (s *store) compactLocked(revision Int64) {
	n := sort.Search(len(s.events), func(i int) bool { return s.events[i].kv.ModRevision > revision })
	s.events = slices.Clone(s.events[n:])
	s.compacted = max(s.compacted, revision)
}

// compact forgets the whole history, so that a watch from an older revision is
// refused.
func (s *store) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactLocked(s.revision)
}

// eventsSince returns the events of [key, end) from revision on, the revision they
// reach, and a channel that is closed at the next change. A compacted result
// above zero means that revision is gone.
func (s *store) eventsSince(key, end []byte, revision Int64) (events []event, h *responseHeader, compacted Int64, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h = s.headerLocked()
	if revision <= s.compacted {
		return nil, h, s.compacted, s.changed
	}
	n := sort.Search(len(s.events), func(i int) bool { return s.events[i].kv.ModRevision >= revision })
	for _, e := range s.events[n:] {
		if inRange(e.kv.Key, key, end) {
			events = append(events, e)
		}
	}
	return events, h, 0, s.changed
}
