package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeItem is a key of the store.
type storeItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created"`
	Lease    int64  `json:"lease"`
}

// storeEvent is a change of a key: an item, or a deletion if item is nil.
type storeEvent struct {
	key      string
	revision int64
	item     *storeItem
}

// store is a stand-in for the platform's metadata store. It keeps all of its history.
type store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]storeItem
	history  []storeEvent
	changed  chan struct{}
	leases   int64
	listener net.Listener
}

// newStore starts a store on a free port of ip. The first change gets revision first.
func newStore(ip string, first int64) (*store, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &store{revision: first - 1, items: make(map[string]storeItem), changed: make(chan struct{}), listener: l}
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

// put writes a key and returns the revision of the change.
func (s *store) put(key string, value any) int64 {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.putLocked(key, b, 0)
}

func (s *store) putLocked(key string, value []byte, lease int64) int64 {
	s.revision++
	item := storeItem{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		item.Created = old.Created
	}
	s.items[key] = item
	s.recordLocked(storeEvent{key: key, revision: s.revision, item: &item})
	return s.revision
}

func (s *store) deleteLocked(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.recordLocked(storeEvent{key: key, revision: s.revision})
}

func (s *store) recordLocked(e storeEvent) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	call := strings.TrimPrefix(r.URL.Path, "/wisteriaspool/")
	q := r.URL.Query()
	switch {
	case call == "kv-key":
		s.serveKey(w, q.Get("key"))
	case call == "kv-range":
		s.serveRange(w, q.Get("prefix"), q.Get("after"))
	case call == "kv-watch":
		after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("waitMs"))
		s.serveWatch(w, r, q.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	case call == "kv-txn":
		s.serveTxn(w, r)
	case call == "kv-lease":
		s.serveLease(w, r)
	case strings.HasPrefix(call, "kv-keep/"), strings.HasPrefix(call, "kv-lease-end/"):
		reply(w, map[string]any{"ttlMs": 600000})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) serveKey(w http.ResponseWriter, key string) {
	s.mu.Lock()
	item, ok := s.items[key]
	asOf := s.revision
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, struct {
		storeItem
		AsOf int64 `json:"asOf"`
	}{item, asOf})
}

// pageSize is the most items of a page of a list.
const pageSize = 500

func (s *store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	truncated := len(keys) > pageSize
	if truncated {
		keys = keys[:pageSize]
	}
	entries := make([]storeItem, 0, len(keys))
	for _, k := range keys {
		entries = append(entries, s.items[k])
	}
	asOf := s.revision
	s.mu.Unlock()
	reply(w, map[string]any{"entries": entries, "truncated": truncated, "asOf": asOf})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, prefix string, after int64, wait time.Duration) {
	timeout := time.After(wait)
	for {
		s.mu.Lock()
		var events []any
		for _, e := range s.history {
			switch {
			case e.revision <= after || !strings.HasPrefix(e.key, prefix):
			case e.item != nil:
				events = append(events, *e.item)
			default:
				events = append(events, map[string]any{"key": e.key, "revision": e.revision, "deleted": true})
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, map[string]any{"events": events, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, map[string]any{"events": []any{}, "asOf": asOf})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var txn struct {
		Precondition []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"precondition"`
		Writes []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"writes"`
		Delete []string `json:"delete"`
	}
	if err := json.NewDecoder(r.Body).Decode(&txn); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current := []storeItem{}
	failed := false
	for _, p := range txn.Precondition {
		item, ok := s.items[p.Key]
		if ok {
			current = append(current, item)
		}
		failed = failed || item.Revision != p.Revision
	}
	if failed {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(w).Encode(map[string]any{"entries": current})
		return
	}
	for _, each := range txn.Writes {
		s.putLocked(each.Key, each.Value, each.Lease)
	}
	for _, key := range txn.Delete {
		s.deleteLocked(key)
	}
	reply(w, map[string]any{"revision": s.revision})
}

func (s *store) serveLease(w http.ResponseWriter, r *http.Request) {
	var req struct {
		TTLMs int64 `json:"ttlMs"`
	}
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.leases++
	id := s.leases
	s.mu.Unlock()
	reply(w, map[string]any{"lease": id, "ttlMs": req.TTLMs})
}
