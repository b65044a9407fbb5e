package hub

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"
)

// leaseBody is the body of a request for a lease and of its response.
type leaseBody struct {
	Lease int64 `json:"lease"`
	TTLMs int64 `json:"ttlMs"`
}

// maxLeaseMs is the longest lease in milliseconds.
const maxLeaseMs = 600_000

func (s *Store) handleLease(w http.ResponseWriter, r *http.Request) {
	var b leaseBody
	if json.NewDecoder(r.Body).Decode(&b) != nil || b.TTLMs <= 0 || b.TTLMs > maxLeaseMs {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.lastLease++
	b.Lease = s.lastLease
	s.leases[b.Lease] = nil
	s.mu.Unlock()
	time.AfterFunc(time.Duration(b.TTLMs)*time.Millisecond, leaseEnd{s, b.Lease}.run)
	writeJSON(w, b)
}

// leaseEnd removes the keys of a lease.
type leaseEnd struct {
	store *Store
	lease int64
}

func (e leaseEnd) run() {
	e.store.mu.Lock()
	keys := e.store.leases[e.lease]
	delete(e.store.leases, e.lease)
	e.store.mu.Unlock()
	for _, key := range keys {
		e.store.Delete(key)
	}
}

// txn is the body of a transaction.
type txn struct {
	Precondition []Item     `json:"precondition"`
	Writes       []txnWrite `json:"writes"`
	Delete       []string   `json:"delete"`
}

type txnWrite struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease"`
}

// handleTxn carries out a transaction. Operators and endpoints alone write their keys.
func (s *Store) handleTxn(w http.ResponseWriter, r *http.Request) {
	var t txn
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, each := range t.Writes {
		if strings.HasPrefix(each.Key, "op/") || strings.HasPrefix(each.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	revision, status := s.commit(t)
	if status != http.StatusOK {
		w.WriteHeader(status)
		return
	}
	writeJSON(w, map[string]int64{"revision": revision})
}

// commit carries out a transaction unless a precondition fails, and returns its revision.
func (s *Store) commit(t txn) (revision int64, status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range t.Precondition {
		if s.items[c.Key].Revision != c.Revision {
			return 0, http.StatusPreconditionFailed
		}
	}
	for _, each := range t.Writes {
		if _, ok := s.leases[each.Lease]; each.Lease != 0 && !ok {
			return 0, http.StatusNotFound
		}
	}
	for _, each := range t.Writes {
		if each.Lease != 0 {
			s.leases[each.Lease] = append(s.leases[each.Lease], each.Key)
		}
		revision = s.putLocked(each.Key, each.Value)
	}
	for _, key := range t.Delete {
		s.deleteLocked(key)
	}
	return revision, http.StatusOK
}
