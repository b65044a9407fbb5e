// Package kvtest provides an in-memory key-value service with fault injection
// for tests of packages that use package kv. It works under testing/synctest.
package kvtest

import (
	"context"
	"errors"
	"maps"
	"sort"
	"strings"
	"sync"
	"time"

	"wisteriaspool/coordination/kv"
)

// Faults are the faults injected into calls and watches.
type Faults struct {
	Down      bool                      // reject every call without effect
	Delay     time.Duration             // wait this long before each call takes effect
	LoseReply func(op, key string) bool // lose the reply after the call took effect
	LoseCall  func(op, key string) bool // lose the call before it takes effect
	DropWatch bool                      // drop watch events; clearing it delivers a gap
}

var (
	errDown = errors.New("kvtest: service is down")
	errLost = errors.New("kvtest: call or reply lost")
)

// Store is an in-memory kv.Store. Use New to create one; the zero value is not
// usable.
type Store struct {
	mu        sync.Mutex
	faults    Faults
	revision  kv.Revision
	pairs     map[string]kv.Pair
	leases    map[kv.Lease]lease
	lastLease kv.Lease
	maxTTL    time.Duration // zero if there is no limit
	watches   map[*watch]struct{}
	calls     map[string]int
}

type lease struct {
	ttl    time.Duration
	expiry time.Time
}

type watch struct {
	prefix  string
	pending []kv.Event
	gap     bool
	wake    chan struct{}
}

// New returns an empty store.
func New() *Store {
	return &Store{
		pairs:   make(map[string]kv.Pair),
		leases:  make(map[kv.Lease]lease),
		watches: make(map[*watch]struct{}),
		calls:   make(map[string]int),
	}
}

// SetFaults replaces the faults in effect.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for w := range s.watches {
		if s.faults.DropWatch && !f.DropWatch {
			w.gap = true
			w.notify()
		}
	}
	s.faults = f
}

// SetMaxTTL makes the leases that are granted from now on end after ttl at most.
func (s *Store) SetMaxTTL(ttl time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxTTL = ttl
}

// Calls returns how many calls of op (get, list, cas, delete, grant, keepalive,
// watch) reached the service.
func (s *Store) Calls(op string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[op]
}

// begin applies the faults that occur before a call takes effect.
func (s *Store) begin(ctx context.Context, op, key string) (kv.Result, bool) {
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	if f.Delay > 0 {
		select {
		case <-time.After(f.Delay):
		case <-ctx.Done():
			return kv.Result{Status: kv.Unknown, Err: ctx.Err()}, false
		}
	}
	if f.Down {
		return kv.Result{Status: kv.Unavailable, Err: errDown}, false
	}
	if f.LoseCall != nil && f.LoseCall(op, key) {
		return kv.Result{Status: kv.Unknown, Err: errLost}, false
	}
	return kv.Result{}, true
}

// end applies the faults that occur after a call took effect. Callers hold
// s.mu.
func (s *Store) end(op, key string, res kv.Result) kv.Result {
	if s.faults.LoseReply != nil && s.faults.LoseReply(op, key) {
		return kv.Result{Status: kv.Unknown, Err: errLost}
	}
	return res
}

// expire removes expired leases and the keys attached to them. Callers hold
// s.mu.
func (s *Store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.Before(l.expiry) {
			continue
		}
		delete(s.leases, id)
		for key, p := range s.pairs {
			if p.Lease == id {
				s.remove(key)
			}
		}
	}
}

func (s *Store) remove(key string) {
	s.revision++
	p := s.pairs[key]
	delete(s.pairs, key)
	s.publish(kv.Event{Pair: kv.Pair{Key: key, Revision: s.revision, Lease: p.Lease}, Deleted: true})
}

func (s *Store) publish(e kv.Event) {
	if s.faults.DropWatch {
		return
	}
	for w := range s.watches {
		if strings.HasPrefix(e.Pair.Key, w.prefix) {
			w.pending = append(w.pending, e)
			w.notify()
		}
	}
}

func (w *watch) notify() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Copy is a copy of a store at one moment.
type Copy struct {
	revision  kv.Revision
	pairs     map[string]kv.Pair
	leases    map[kv.Lease]lease
	lastLease kv.Lease
}

// Copy returns a copy of the store.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{revision: s.revision, pairs: maps.Clone(s.pairs), leases: maps.Clone(s.leases), lastLease: s.lastLease}
}

// Restore replaces the contents of the store by those of a copy. Revisions and leases since
// then are given out again.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision, s.lastLease = c.revision, c.lastLease
	s.pairs, s.leases = maps.Clone(c.pairs), maps.Clone(c.leases)
}

// Get implements kv.Store.
func (s *Store) Get(ctx context.Context, key string) kv.Result {
	if res, ok := s.begin(ctx, "get", key); !ok {
		return res
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls["get"]++
	s.expire()
	res := kv.Result{Status: kv.Applied, Revision: s.revision}
	if p, ok := s.pairs[key]; ok {
		res.Pairs = []kv.Pair{p}
	}
	return s.end("get", key, res)
}

// List implements kv.Store.
func (s *Store) List(ctx context.Context, prefix string) kv.Result {
	if res, ok := s.begin(ctx, "list", prefix); !ok {
		return res
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls["list"]++
	s.expire()
	res := kv.Result{Status: kv.Applied, Revision: s.revision}
	for key, p := range s.pairs {
		if strings.HasPrefix(key, prefix) {
			res.Pairs = append(res.Pairs, p)
		}
	}
	sort.Slice(res.Pairs, func(i, j int) bool { return res.Pairs[i].Key < res.Pairs[j].Key })
	return s.end("list", prefix, res)
}

// CompareAndSwap implements kv.Store.
func (s *Store) CompareAndSwap(ctx context.Context, key string, value []byte, expect kv.Revision, id kv.Lease) kv.Result {
	if res, ok := s.begin(ctx, "cas", key); !ok {
		return res
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls["cas"]++
	s.expire()
	old, exists := s.pairs[key]
	if old.Revision != expect {
		res := kv.Result{Status: kv.Conflict, Revision: s.revision}
		if exists {
			res.Pairs = []kv.Pair{old}
		}
		return s.end("cas", key, res)
	}
	if _, live := s.leases[id]; !id.IsZero() && !live {
		return kv.Result{Status: kv.Unavailable, Err: errors.New("kvtest: lease does not exist")}
	}
	s.revision++
	p := kv.Pair{Key: key, Value: append([]byte(nil), value...), Revision: s.revision, Lease: id}
	s.pairs[key] = p
	s.publish(kv.Event{Pair: p})
	return s.end("cas", key, kv.Result{Status: kv.Applied, Revision: s.revision})
}

// Delete implements kv.Store.
func (s *Store) Delete(ctx context.Context, key string, expect kv.Revision) kv.Result {
	if res, ok := s.begin(ctx, "delete", key); !ok {
		return res
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls["delete"]++
	s.expire()
	old, exists := s.pairs[key]
	if !exists || old.Revision != expect {
		return s.end("delete", key, kv.Result{Status: kv.Conflict, Revision: s.revision, Pairs: []kv.Pair{old}})
	}
	s.remove(key)
	return s.end("delete", key, kv.Result{Status: kv.Applied, Revision: s.revision})
}

// Grant implements kv.Store.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (kv.Lease, kv.Result) {
	if res, ok := s.begin(ctx, "grant", ""); !ok {
		return kv.Lease{}, res
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls["grant"]++
	if s.maxTTL > 0 {
		ttl = min(ttl, s.maxTTL)
	}
	s.lastLease.Number++
	s.leases[s.lastLease] = lease{ttl: ttl, expiry: time.Now().Add(ttl)}
	res := s.end("grant", "", kv.Result{Status: kv.Applied, Revision: s.revision, TTL: ttl})
	if res.Status != kv.Applied {
		return kv.Lease{}, res
	}
	return s.lastLease, res
}

// KeepAlive implements kv.Store.
func (s *Store) KeepAlive(ctx context.Context, id kv.Lease) kv.Result {
	if res, ok := s.begin(ctx, "keepalive", ""); !ok {
		return res
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls["keepalive"]++
	s.expire()
	l, ok := s.leases[id]
	if !ok {
		return s.end("keepalive", "", kv.Result{Status: kv.Conflict, Revision: s.revision})
	}
	l.expiry = time.Now().Add(l.ttl)
	s.leases[id] = l
	return s.end("keepalive", "", kv.Result{Status: kv.Applied, Revision: s.revision})
}

// Watch implements kv.Store. It reports changes from now on, preceded by a gap
// if from is older than the current revision.
func (s *Store) Watch(ctx context.Context, prefix string, from kv.Revision) (<-chan kv.Batch, kv.Result) {
	if res, ok := s.begin(ctx, "watch", prefix); !ok {
		return nil, res
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls["watch"]++
	w := &watch{prefix: prefix, wake: make(chan struct{}, 1), gap: from < s.revision}
	w.notify()
	s.watches[w] = struct{}{}
	out := make(chan kv.Batch)
	go s.deliver(ctx, w, out)
	return out, kv.Result{Status: kv.Applied, Revision: s.revision}
}

// deliver sends the batches of one watch until ctx ends.
func (s *Store) deliver(ctx context.Context, w *watch, out chan<- kv.Batch) {
	defer close(out)
	defer s.removeWatch(w)
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.wake:
		}
		b, ok := s.nextBatch(w)
		if !ok {
			continue
		}
		select {
		case out <- b:
		case <-ctx.Done():
			return
		}
	}
}

func (s *Store) removeWatch(w *watch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.watches, w)
}

func (s *Store) nextBatch(w *watch) (kv.Batch, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := kv.Batch{Events: w.pending, Revision: s.revision, Gap: w.gap}
	w.pending = nil
	w.gap = false
	return b, b.Gap || len(b.Events) > 0
}
