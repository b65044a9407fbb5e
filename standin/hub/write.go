package hub

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"time"
)

// leaseRequest is the body of a request for a lease.
type leaseRequest struct{ TTLMs number }

// leaseResponse is a lease and the time for which it is granted.
type leaseResponse struct {
	Lease int64 `json:"lease"`
	TTLMs int64 `json:"ttlMs"`
}

func (s *Store) handleLease(w http.ResponseWriter, r *http.Request) {
	var req leaseRequest
	if err := decodeBody(r, &req); err != nil {
		s.refuse(w, err)
		return
	}
	ttl, err := s.leaseTimes().apply(time.Duration(req.TTLMs) * time.Millisecond)
	if err != nil {
		s.refuse(w, err)
		return
	}
	s.mu.Lock()
	id := s.nextLease
	s.nextLease = leaseAfter(id)
	s.leases[id] = &lease{ttl: ttl, ends: time.Now().Add(ttl)}
	end := leaseEnd{s, s.era, id}
	s.mu.Unlock()
	time.AfterFunc(ttl, end.run)
	writeJSON(w, leaseResponse{Lease: id, TTLMs: ttl.Milliseconds()})
}

// LeaseTimes are the times for which a store grants leases.
type LeaseTimes struct {
	Least time.Duration // requests for shorter ones are refused
	Most  time.Duration // longer ones are cut to it
	Step  time.Duration // others are rounded up to a multiple of it
}

var defaultLeaseTimes = LeaseTimes{Least: time.Second, Most: maxLeaseMs * time.Millisecond, Step: time.Millisecond}

// apply returns the time that applies to a lease that is requested for ttl, or why it is
// refused.
func (t LeaseTimes) apply(ttl time.Duration) (time.Duration, error) {
	if ttl < t.Least {
		return 0, fmt.Errorf("lease for %v", ttl)
	}
	return min((ttl+t.Step-1)/t.Step*t.Step, t.Most), nil
}

// SetLeaseTimes sets the times of the leases that are granted from now on. Fields that are
// zero are as in a new store.
func (s *Store) SetLeaseTimes(t LeaseTimes) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.times = LeaseTimes{
		Least: cmp.Or(t.Least, defaultLeaseTimes.Least),
		Most:  cmp.Or(t.Most, defaultLeaseTimes.Most),
		Step:  cmp.Or(t.Step, defaultLeaseTimes.Step),
	}
}

func (s *Store) leaseTimes() LeaseTimes {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.times
}

// handleKeep renews a lease.
func (s *Store) handleKeep(w http.ResponseWriter, text string) {
	id, err := parseNumber(text, math.MaxInt64)
	if err != nil {
		s.refuse(w, err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.ends = time.Now().Add(l.ttl)
	writeJSON(w, map[string]int64{"ttlMs": l.ttl.Milliseconds()})
}

// handleLeaseEnd ends a lease.
func (s *Store) handleLeaseEnd(w http.ResponseWriter, text string) {
	id, err := parseNumber(text, math.MaxInt64)
	if err != nil {
		s.refuse(w, err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.endLeaseLocked(id)
	writeJSON(w, struct{}{})
}

// firstLease is the first lease that a store grants. Leases may be any positive numbers of up
// to 63 bits.
const firstLease = 1 << 44

// leaseAfter returns the lease that a store grants after a lease, in uneven steps.
func leaseAfter(lease int64) int64 {
	const step = 1<<33 + 1
	return (lease+step*(1+lease%7))&math.MaxInt64 | 1
}

// SetNextLease sets the number of the next lease.
func (s *Store) SetNextLease(lease int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextLease = lease
}

// SetRevision sets the revision of the store, whose history begins after it. It has to be
// greater than any before.
func (s *Store) SetRevision(revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision, s.compacted, s.history = revision, revision, nil
}

// SetSeed makes the store give revisions of up to the given number of bits, at least 24 and at
// most 63, and leases of up to 63 bits, in uneven steps, and makes leases up to four seconds
// longer than was asked for. Where the numbers begin, and how much longer, follows from the
// seed. A restored store gives the same numbers again.
func (s *Store) SetSeed(seed uint64, bits int) {
	r := rand.New(rand.NewPCG(seed, 0))
	limit := int64(1)<<(bits-1) - 1 // the upper half is left for what follows
	s.SetRevision(1 + r.Int64N(limit))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxStep = 1 + limit>>20
	s.nextLease = 1 + r.Int64N(math.MaxInt64)
	s.times.Step = time.Duration(1+r.Int64N(4000)) * time.Millisecond
}

// revisionAfter returns the revision of the change after a revision.
func (s *Store) revisionAfter(revision int64) int64 {
	if s.maxStep == 0 {
		return revision + 1
	}
	const factor = 0x9e3779b97f4a7c15
	return revision + 1 + int64(uint64(revision)*factor>>1)%s.maxStep
}

// lease is a lease that has not ended.
type lease struct {
	ttl  time.Duration
	ends time.Time
	keys []string
}

// leaseEnd removes the keys of a lease.
type leaseEnd struct {
	store *Store
	era   int // in which it was granted, or taken over from a copy
	lease int64
}

func (e leaseEnd) run() {
	e.store.mu.Lock()
	defer e.store.mu.Unlock()
	l := e.store.leases[e.lease]
	if l == nil || e.era != e.store.era {
		return
	}
	if left := time.Until(l.ends); left > 0 { // it has been renewed
		time.AfterFunc(left, e.run)
		return
	}
	e.store.endLeaseLocked(e.lease)
}

// endLeaseLocked ends a lease and removes the keys that it still holds: a key that has been
// written again since, with another lease or without, stays.
func (s *Store) endLeaseLocked(id int64) {
	keys := s.leases[id].keys
	delete(s.leases, id)
	for _, key := range keys {
		if s.items[key].Lease == id {
			s.deleteLocked(key)
		}
	}
}

// txn is the body of a transaction.
type txn struct {
	Precondition []condition
	Writes       []txnWrite
	Delete       []key
}

// condition is a revision that a key must have; 0 if the key must not exist.
type condition struct {
	Key      key
	Revision number
}

type txnWrite struct {
	Key   key
	Value value
	Lease number
}

// handleTxn carries out a transaction. Operators and endpoints alone write their keys.
func (s *Store) handleTxn(w http.ResponseWriter, r *http.Request) {
	var t txn
	err := decodeBody(r, &t)
	if err == nil {
		err = t.checkOwner()
	}
	if err != nil {
		s.refuse(w, err)
		return
	}
	revision, status := s.commit(t)
	switch status {
	case http.StatusOK:
		writeJSON(w, map[string]int64{"revision": revision})
	case http.StatusPreconditionFailed:
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		writeJSON(w, map[string][]Item{"entries": s.current(t.Precondition)})
	default:
		w.WriteHeader(status)
	}
}

// current returns the items of the keys in conditions. One that does not exist has revision 0.
func (s *Store) current(conditions []condition) []Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []Item{}
	for _, c := range conditions {
		item := s.items[string(c.Key)]
		item.Key = string(c.Key)
		items = append(items, item)
	}
	return items
}

// commit carries out a transaction unless a precondition fails, and returns its revision.
func (s *Store) commit(t txn) (revision int64, status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range t.Precondition {
		if s.items[string(c.Key)].Revision != int64(c.Revision) {
			return 0, http.StatusPreconditionFailed
		}
	}
	for _, each := range t.Writes {
		if _, ok := s.leases[int64(each.Lease)]; each.Lease != 0 && !ok {
			return 0, http.StatusNotFound
		}
	}
	for _, each := range t.Writes {
		if l := s.leases[int64(each.Lease)]; l != nil {
			l.keys = append(l.keys, string(each.Key))
		}
		s.putLocked(string(each.Key), each.Value, int64(each.Lease))
	}
	for _, key := range t.Delete {
		s.deleteLocked(string(key))
	}
	return s.revision, http.StatusOK
}
