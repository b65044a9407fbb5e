package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key with its value, or a change of one.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store is the platform's store.
type store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	changed  chan struct{}
	leases   map[int64]*time.Timer
	ttl      map[int64]time.Duration
	last     int64
}

func newStore() *store {
	return &store{
		revision: 1, items: make(map[string]item), changed: make(chan struct{}),
		leases: make(map[int64]*time.Timer), ttl: make(map[int64]time.Duration),
	}
}

// put writes a key as the operator or a server and returns its revision.
func (s *store) put(key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(key, value, 0)
	s.wake()
	return s.revision
}

func (s *store) write(key string, value []byte, lease int64) {
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	i := item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: lease}
	s.items[key] = i
	s.history = append(s.history, i)
}

func (s *store) drop(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true})
	}
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path := strings.TrimPrefix(r.URL.Path, "/wisteriaspool/")
	switch {
	case path == "kv-key":
		s.one(w, r)
	case path == "kv-range":
		s.list(w, r)
	case path == "kv-watch":
		s.watch(w, r)
	case path == "kv-txn":
		s.txn(w, r)
	case path == "kv-lease":
		s.grant(w, r)
	case strings.HasPrefix(path, "kv-keep/"):
		s.keep(w, strings.TrimPrefix(path, "kv-keep/"))
	case strings.HasPrefix(path, "kv-lease-end/"):
		s.end(w, strings.TrimPrefix(path, "kv-lease-end/"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) one(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{"asOf": s.revision})
		return
	}
	reply(w, http.StatusOK, struct {
		item
		AsOf int64 `json:"asOf"`
	}{i, s.revision})
}

const pageItems = 500

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	found := []item{}
	for k, i := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			found = append(found, i)
		}
	}
	sort.Slice(found, func(a, b int) bool { return found[a].Key < found[b].Key })
	truncated := len(found) > pageItems
	reply(w, http.StatusOK, map[string]any{"entries": found[:min(len(found), pageItems)], "truncated": truncated, "asOf": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events, asOf, changed := []item{}, s.revision, s.changed
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get("prefix")) {
				events = append(events, i)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, http.StatusOK, map[string]any{"events": events, "asOf": asOf})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var t struct {
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
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range t.Precondition {
		if s.items[c.Key].Revision != c.Revision {
			entries := []item{}
			for _, c := range t.Precondition {
				entries = append(entries, s.items[c.Key])
			}
			reply(w, http.StatusPreconditionFailed, map[string]any{"entries": entries})
			return
		}
	}
	for _, each := range t.Writes {
		if strings.HasPrefix(each.Key, "op/") || strings.HasPrefix(each.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if each.Lease != 0 && s.leases[each.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	s.revision++
	for _, each := range t.Writes {
		s.write(each.Key, each.Value, each.Lease)
	}
	for _, key := range t.Delete {
		s.drop(key)
	}
	s.wake()
	reply(w, http.StatusOK, map[string]int64{"revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var b struct {
		TTLMs int64 `json:"ttlMs"`
	}
	if json.NewDecoder(r.Body).Decode(&b) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	b.TTLMs = min(max(b.TTLMs, 1000), 600_000)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last++
	id, ttl := s.last, time.Duration(b.TTLMs)*time.Millisecond
	s.ttl[id] = ttl
	s.leases[id] = time.AfterFunc(ttl, func() { s.lapse(id) })
	reply(w, http.StatusOK, map[string]int64{"lease": id, "ttlMs": b.TTLMs})
}

func (s *store) lapse(id int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.leases, id)
	s.revision++
	for key, i := range s.items {
		if i.Lease == id {
			s.drop(key)
		}
	}
	s.wake()
}

func (s *store) keep(w http.ResponseWriter, text string) {
	id, _ := strconv.ParseInt(text, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.leases[id]
	if t == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	t.Reset(s.ttl[id])
	reply(w, http.StatusOK, map[string]int64{"ttlMs": s.ttl[id].Milliseconds()})
}

func (s *store) end(w http.ResponseWriter, text string) {
	id, _ := strconv.ParseInt(text, 10, 64)
	s.mu.Lock()
	t := s.leases[id]
	s.mu.Unlock()
	if t == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	t.Stop()
	s.lapse(id)
	w.WriteHeader(http.StatusOK)
}
