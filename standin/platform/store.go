package platform

import (
	"bytes"
	"slices"
	"sort"
	"sync"
	"time"
)

// event is a change of a key, with the key's previous version.
type event struct {
	kv      KeyValue
	prev    *KeyValue
	deleted bool
}

// lease holds the keys that are deleted when the lease expires.
type lease struct {
	id    Int64
	ttl   time.Duration
	timer *time.Timer
	keys  map[string]bool
}

// store holds the keys and their history. A single lock makes every call
// linearizable.
type store struct {
	mu          sync.Mutex
	revision    Int64
	current     map[string]KeyValue
	sorted      []string // keys of current, in ascending order
	events      []event  // in order of revision
	maxEvents   int      // number of events kept
	compacted   Int64    // events up to this revision have been discarded
	leases      map[Int64]*lease
	lastLeaseID Int64
	changed     chan struct{} // closed at the next write, then replaced
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

// close stops the lease timers.
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

// put runs a put outside a transaction.
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

// putLocked writes a key at s.revision, which the caller has already
// incremented.
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

// deleteRange runs a delete outside a transaction. It uses a new revision only
// if a key is deleted.
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

// removeLocked deletes a key at s.revision, which the caller has already
// incremented.
func (s *store) removeLocked(old KeyValue) {
	key := string(old.Key)
	s.detachLeaseLocked(old)
	delete(s.current, key)
	at := sort.SearchStrings(s.sorted, key)
	s.sorted = slices.Delete(s.sorted, at, at+1)
	tombstone := KeyValue{Key: old.Key, ModRevision: s.revision}
	s.events = append(s.events, event{kv: tombstone, prev: &old, deleted: true})
}

// indexRangeLocked returns the half-open index range of s.sorted for [key,
// end). An empty end selects only key; an end of one zero byte selects all keys
// >= key.
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

// inRange reports whether k is in [key, end), with the special values of end
// that indexRangeLocked describes.
func inRange(k, key, end []byte) bool {
	switch {
	case len(end) == 0:
		return bytes.Equal(k, key)
	case isOpenEnd(end):
		return bytes.Compare(k, key) >= 0
	}
	return bytes.Compare(k, key) >= 0 && bytes.Compare(k, end) < 0
}

// trimAndNotifyLocked limits the history to maxEvents events, discarding whole
// revisions, and wakes the watches.
func (s *store) trimAndNotifyLocked() {
	if over := len(s.events) - s.maxEvents; over > 0 {
		s.compactLocked(s.events[over-1].kv.ModRevision)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// compactLocked discards the events up to and including revision.
func (s *store) compactLocked(revision Int64) {
	n := sort.Search(len(s.events), func(i int) bool { return s.events[i].kv.ModRevision > revision })
	s.events = slices.Clone(s.events[n:])
	s.compacted = max(s.compacted, revision)
}

// compact discards the whole history, so that a watch from an older revision is
// canceled.
func (s *store) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactLocked(s.revision)
}

// eventsSince returns the events in [key, end) with at least the given
// revision, a header with the store's current revision, and a channel that is
// closed at the next write. If the revision has been compacted, it returns no
// events and the compaction revision; otherwise compacted is zero.
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
