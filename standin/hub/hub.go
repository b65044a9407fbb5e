// Package hub simulates the platform's key-value store for routers that relay
// plain HTTP: keys with revisions, paginated lists and long-poll watches over
// HTTP, and fault injection. The tests and the soak use it.
package hub

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Item is a key with its value. It is also a watch event.
type Item struct {
	Key            string
	Value          []byte
	Revision       int64
	CreateRevision int64
	Lease          int64
	Deleted        bool
}

// MarshalJSON implements json.Marshaler. An item has all its fields, whatever their values.
// A deletion has no others than these.
func (i Item) MarshalJSON() ([]byte, error) {
	if i.Deleted {
		return json.Marshal(struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
			Deleted  bool   `json:"deleted"`
		}{i.Key, i.Revision, true})
	}
	return json.Marshal(struct {
		Key      string `json:"key"`
		Value    []byte `json:"value"`
		Revision int64  `json:"revision"`
		Created  int64  `json:"created"`
		Lease    int64  `json:"lease"`
	}{i.Key, append([]byte{}, i.Value...), i.Revision, i.CreateRevision, i.Lease})
}

// Faults configures fault injection.
type Faults struct {
	Outage       bool          // every call and pending watch fails with status 503
	Hang         bool          // no call gets a response, and pending watches fail with status 503
	StallWatches bool          // pending watches are not notified of changes
	Delay        time.Duration // delay before each response
	// Refuse, if set, reports whether calls from a remote address fail with
	// status 503.
	Refuse func(remote string) bool
	// RefuseWrites makes calls that write fail with status 503.
	RefuseWrites bool
}

// Store is the simulated key-value store. It is an http.Handler.
type Store struct {
	mu        sync.Mutex
	revision  int64
	items     map[string]Item
	history   []Item // in order of revision
	compacted int64  // history up to this revision has been discarded
	changed   chan struct{}
	faults    Faults
	lose      int // so many of the next replies to watches are lost
	calls     int
	refusals  []string
	nextLease int64
	maxStep   int64 // of revisions; 0 means that they follow without gaps
	leases    map[int64]*lease
	times     LeaseTimes
	// compactedForAll makes every watch fail with status 410.
	compactedForAll bool
	era             int // how often the store has been restored, from 1
}

// New returns an empty store.
func New() *Store {
	return &Store{revision: 1, compacted: 1, items: make(map[string]Item), changed: make(chan struct{}), nextLease: firstLease, leases: make(map[int64]*lease), times: defaultLeaseTimes, era: 1}
}

// Put writes a key and returns its new revision.
func (s *Store) Put(key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.putLocked(key, value, 0)
}

// Has reports whether a key exists.
func (s *Store) Has(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.items[key]
	return ok
}

// HasPrefix reports whether any key starts with prefix.
func (s *Store) HasPrefix(prefix string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			return true
		}
	}
	return false
}

func (s *Store) putLocked(key string, value []byte, lease int64) int64 {
	s.revision = s.revisionAfter(s.revision)
	item := Item{Key: key, Value: slices.Clone(value), Revision: s.revision, CreateRevision: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		item.CreateRevision = old.CreateRevision
	}
	s.items[key] = item
	s.recordLocked(item)
	return s.revision
}

// Delete removes a key. It does nothing if the key doesn't exist.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deleteLocked(key)
}

func (s *Store) deleteLocked(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision = s.revisionAfter(s.revision)
	delete(s.items, key)
	s.recordLocked(Item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *Store) recordLocked(item Item) {
	s.history = append(s.history, item)
	if !s.faults.StallWatches {
		s.wakeWatchesLocked()
	}
}

func (s *Store) wakeWatchesLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Compact discards the history. A watch from an older revision then fails with
// status 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compacted = nil, s.revision
}

// CompactForAll makes every watch fail with status 410 from now on, whatever its revision.
func (s *Store) CompactForAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactedForAll = true
	s.wakeWatchesLocked()
}

// SetFaults replaces the faults and wakes the pending watches.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wakeWatchesLocked()
}

// LoseWatchReplies makes the store lose the next n replies that report changes to a watch:
// the call gets no response, and its connection stays open.
func (s *Store) LoseWatchReplies(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lose = n
}

// losesReply reports whether a reply is lost.
func (s *Store) losesReply() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lose == 0 {
		return false
	}
	s.lose--
	return true
}

// Calls returns the number of calls received.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	f := s.faults
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	s.mu.Unlock()
	if f.Delay > 0 {
		time.Sleep(f.Delay)
	}
	switch {
	case f.Hang:
		<-r.Context().Done()
	case f.Outage, f.Refuse != nil && f.Refuse(r.RemoteAddr), f.RefuseWrites && r.Method == http.MethodPost:
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		s.serveCall(w, r)
	}
}

// serveCall serves a call that no fault prevents.
func (s *Store) serveCall(w http.ResponseWriter, r *http.Request) {
	name, ok := strings.CutPrefix(r.URL.Path, "/wisteriaspool/")
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	name, id, hasID := strings.Cut(name, "/")
	switch call := r.Method + " " + name; {
	case call == "GET kv-key" && !hasID:
		s.handleKey(w, r)
	case call == "GET kv-range" && !hasID:
		s.handleRange(w, r)
	case call == "GET kv-watch" && !hasID:
		s.handleWatch(w, r)
	case call == "POST kv-lease" && !hasID:
		s.handleLease(w, r)
	case call == "POST kv-txn" && !hasID:
		s.handleTxn(w, r)
	case call == "POST kv-keep" && hasID:
		s.handleKeep(w, id)
	case call == "DELETE kv-lease-end" && hasID:
		s.handleLeaseEnd(w, id)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// handleKey returns one item.
func (s *Store) handleKey(w http.ResponseWriter, r *http.Request) {
	query, err := parseQuery(r, []string{"key"}, []string{"serializable"})
	if err == nil {
		err = checkKey(query.Get("key"))
	}
	if err != nil {
		s.refuse(w, err)
		return
	}
	s.mu.Lock()
	item, ok := s.items[query.Get("key")]
	asOf := s.revision
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, struct {
		Key      string `json:"key"`
		Value    []byte `json:"value"`
		Revision int64  `json:"revision"`
		Created  int64  `json:"created"`
		Lease    int64  `json:"lease"`
		AsOf     int64  `json:"asOf"`
	}{item.Key, append([]byte{}, item.Value...), item.Revision, item.CreateRevision, item.Lease, asOf})
}

// Refusals returns why calls that the API does not allow were refused, in order.
func (s *Store) Refusals() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.refusals)
}

// refuse answers a request that the API does not allow.
func (s *Store) refuse(w http.ResponseWriter, err error) {
	if !errors.Is(err, errCutOff) {
		s.mu.Lock()
		s.refusals = append(s.refusals, err.Error())
		s.mu.Unlock()
	}
	status := http.StatusBadRequest
	if errors.As(err, new(errForbidden)) {
		status = http.StatusForbidden
	}
	http.Error(w, err.Error(), status)
}

// maxPageBytes limits the keys and values of a page that holds several entries.
const maxPageBytes = 1_000_000

// pageSize is the number of entries in a page of a list. It is small so that
// tests read several pages.
const pageSize = 50

func (s *Store) handleRange(w http.ResponseWriter, r *http.Request) {
	query, err := parseQuery(r, []string{"prefix"}, []string{"after", "serializable"})
	if err != nil {
		s.refuse(w, err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, query.Get("prefix")) && key > query.Get("after") {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	page := struct {
		Entries   []Item `json:"entries"`
		Truncated bool   `json:"truncated"`
		AsOf      int64  `json:"asOf"`
	}{Entries: []Item{}, AsOf: s.revision}
	size := 0
	for _, key := range keys {
		item := s.items[key]
		size += len(key) + len(item.Value)
		if n := len(page.Entries); n == pageSize || n > 0 && size > maxPageBytes {
			page.Truncated = true
			break
		}
		page.Entries = append(page.Entries, item)
	}
	writeJSON(w, page)
}

func (s *Store) handleWatch(w http.ResponseWriter, r *http.Request) {
	query, err := parseQuery(r, []string{"prefix", "after", "waitMs"}, nil)
	after, errAfter := parseNumber(query.Get("after"), math.MaxInt64)
	wait, errWait := parseNumber(query.Get("waitMs"), maxWaitMs)
	if err := errors.Join(err, errAfter, errWait); err != nil {
		s.refuse(w, err)
		return
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	era := s.Era()
	for first := true; ; first = false {
		events, asOf, status := s.eventsAfter(query.Get("prefix"), after, first)
		if s.Era() != era {
			panic(http.ErrAbortHandler) // the store that the watch began at is gone
		}
		switch {
		case status == historyCompacted:
			w.WriteHeader(http.StatusGone)
			return
		case status == storeUnavailable:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case len(events) > 0 && s.losesReply():
			<-r.Context().Done()
			return
		case len(events) > 0:
			writeJSON(w, watchResponse{Events: events, AsOf: asOf})
			return
		}
		s.mu.Lock()
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			writeJSON(w, watchResponse{Events: []Item{}, AsOf: after})
			return
		case <-r.Context().Done():
			return
		}
	}
}

type watchResponse struct {
	Events []Item `json:"events"`
	AsOf   int64  `json:"asOf"`
}

type historyStatus int

const (
	historyAvailable historyStatus = iota
	historyCompacted
	storeUnavailable
)

// eventsAfter returns the events after a revision and the store's current
// revision. first marks the first check of a watch: only that one reports a
// compacted revision at once, and only that one returns events while StallWatches is
// set. A later check reports it in place of events: those before them were discarded.
func (s *Store) eventsAfter(prefix string, after int64, first bool) ([]Item, int64, historyStatus) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.faults.Outage || s.faults.Hang:
		return nil, 0, storeUnavailable
	case (after < s.compacted || after > s.revision) && first, s.compactedForAll:
		return nil, 0, historyCompacted
	case s.faults.StallWatches && !first:
		return nil, 0, historyAvailable
	}
	var events []Item
	for _, item := range s.history {
		if item.Revision > after && strings.HasPrefix(item.Key, prefix) {
			events = append(events, item)
		}
	}
	if len(events) > 0 && after < s.compacted {
		return nil, 0, historyCompacted
	}
	return events, s.revision, historyAvailable
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the client may have disconnected
}
