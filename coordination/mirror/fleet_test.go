package mirror_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/samber/lo"
	"gotest.tools/v3/assert"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/kv"
	"wisteriaspool/coordination/mirror"
	"wisteriaspool/coordination/placement"
)

// fleet is a set of routers that mirror one store and ask each other.
type fleet struct {
	store        *fakeStore
	mirrors      []*mirror.Mirror
	routers      []placement.Router
	refused      map[int]bool                   // routers that the store rejects
	poweredOff   map[coordination.Instance]bool // routers that have lost power, as all others know
	silent       map[int]bool                   // routers that the store does not reply to
	unreachable  map[coordination.Instance]bool // routers that have lost power, which the others have not noticed
	delay        time.Duration                  // of each call and each reply, between routers and with the store
	storeDelay   time.Duration                  // of each reply of the store, in addition to delay
	lostReplies  int                            // so many of the next replies to watches, and to lists, with changes are lost
	stateChanges atomic.Int32                   // how often a router has lost the store or reached it again
	lossHints    atomic.Int32                   // hints sent that report the loss of the store
	feeds        []*mirror.Feed

	callsMu   sync.Mutex // guards callsFrom and callsTo
	callsFrom map[coordination.Instance]int
	callsTo   map[coordination.Instance]int
}

// takeCallCounts returns the largest number of calls from one router and to one
// router, and resets the counts.
func (f *fleet) takeCallCounts() (mostFrom, mostTo int) {
	f.callsMu.Lock()
	defer f.callsMu.Unlock()
	mostFrom, mostTo = lo.Max(lo.Values(f.callsFrom)), lo.Max(lo.Values(f.callsTo))
	f.callsFrom, f.callsTo = make(map[coordination.Instance]int), make(map[coordination.Instance]int)
	return mostFrom, mostTo
}

// countCall counts a call. Calls before the first takeCallCounts are not
// counted.
func (f *fleet) countCall(from, to coordination.Instance) {
	f.callsMu.Lock()
	defer f.callsMu.Unlock()
	if f.callsFrom != nil {
		f.callsFrom[from]++
		f.callsTo[to]++
	}
}

func newFleet(t *testing.T, n int) *fleet {
	return newFleetWithDelay(t, n, 0, func(int, mirror.Changes) {})
}

// newFleetWithDelay returns a fleet whose calls and replies each take delay.
// observe is called with the changes at each router.
func newFleetWithDelay(t *testing.T, n int, delay time.Duration, observe func(router int, n mirror.Changes)) *fleet {
	f := newStoppedFleet(n, delay, observe)
	for _, feed := range f.feeds {
		t.Cleanup(feed.Start())
	}
	return f
}

// newStoppedFleet is newFleetWithDelay for a fleet whose feeds are not started.
func newStoppedFleet(n int, delay time.Duration, observe func(router int, n mirror.Changes)) *fleet {
	f := &fleet{store: newFakeStore(), refused: map[int]bool{}, silent: map[int]bool{}, delay: delay}
	for i := range n {
		m := mirror.New()
		m.Observe(func(n mirror.Changes) { observe(i, n) })
		f.mirrors = append(f.mirrors, m)
		f.routers = append(f.routers, placement.Router{ID: coordination.Instance(fmt.Sprint(i)), Zone: coordination.Zone(fmt.Sprint(i % 3))})
	}
	for i, m := range f.mirrors {
		f.feeds = append(f.feeds, mirror.NewFeed(mirror.FeedConfig{
			Self:      f.routers[i].ID,
			Mirror:    m,
			Store:     routerStore{f, i},
			Transport: peerTransport{f, i},
			OnState:   func(error) { f.stateChanges.Add(1) },
			Routers:   f.poweredOn,
		}))
	}
	return f
}

// poweredOn returns the routers that have not lost power.
func (f *fleet) poweredOn() (all []placement.Router) {
	f.store.withLock(func() {
		if len(f.poweredOff) == 0 {
			all = f.routers
			return
		}
		for _, r := range f.routers {
			if !f.poweredOff[r.ID] {
				all = append(all, r)
			}
		}
	})
	return all
}

// peerTransport is the mirror.Transport of one router.
type peerTransport struct {
	fleet  *fleet
	router int
}

// feed returns the feed of a router.
func (p peerTransport) feed(to coordination.Instance) (*mirror.Feed, error) {
	var i int
	if _, err := fmt.Sscan(string(to), &i); err != nil {
		return nil, err
	}
	return p.fleet.feeds[i], nil
}

// isCut reports whether this router or another one has lost power unnoticed.
func (p peerTransport) isCut(to coordination.Instance) (cut bool) {
	f := p.fleet
	f.store.withLock(func() { cut = f.unreachable[to] || f.unreachable[f.routers[p.router].ID] })
	return cut
}

// Call implements mirror.Transport.
func (p peerTransport) Call(ctx context.Context, to coordination.Instance, topic string, payload []byte) ([]byte, error) {
	feed, err := p.feed(to)
	if err != nil {
		return nil, err
	}
	p.fleet.countCall(p.fleet.routers[p.router].ID, to)
	if p.isCut(to) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	time.Sleep(p.fleet.delay)
	if topic == mirror.TopicRetained {
		return feed.HandleRetained(payload)
	}
	b, err := feed.Handle(ctx, p.fleet.routers[p.router].ID, payload)
	time.Sleep(p.fleet.delay)
	return b, err
}

// Notify implements mirror.Transport.
func (p peerTransport) Notify(ctx context.Context, to coordination.Instance, _ string, payload []byte) error {
	feed, err := p.feed(to)
	if err != nil {
		return err
	}
	p.fleet.countHint(payload)
	if p.isCut(to) {
		<-ctx.Done()
		return ctx.Err()
	}
	time.Sleep(p.fleet.delay)
	return feed.HandleHint(p.fleet.routers[p.router].ID, payload)
}

// countHint counts hints that report the loss of the store.
func (f *fleet) countHint(payload []byte) {
	var h mirror.Hint
	if cbor.Unmarshal(payload, &h) == nil && h.Lost {
		f.lossHints.Add(1)
	}
}

// routerStore is the store as one router reaches it, with the faults that apply
// to that router.
type routerStore struct {
	fleet  *fleet
	router int
}

func (s routerStore) isRefused() (refused bool) {
	s.fleet.store.withLock(func() { refused = s.fleet.refused[s.router] })
	return refused
}

func (s routerStore) isSilent() (silent bool) {
	s.fleet.store.withLock(func() { silent = s.fleet.silent[s.router] })
	return silent
}

func (s routerStore) extraDelay() (d time.Duration) {
	s.fleet.store.withLock(func() { d = s.fleet.storeDelay })
	return d
}

// storeTimeout is how long a call without a reply takes to time out, in
// addition to its wait.
const storeTimeout = time.Second

// awaitAnswer reports whether the reply of the store reaches the router. If it
// does not, awaitAnswer returns when the call has timed out or ctx ends.
func (s routerStore) awaitAnswer(ctx context.Context, timeout <-chan time.Time) bool {
	if s.isRefused() {
		return false
	}
	if !s.isSilent() {
		return coordination.Sleep(ctx, s.extraDelay())
	}
	select {
	case <-timeout:
	case <-ctx.Done():
	}
	return false
}

// losesReply reports whether a reply is lost, and waits until the call has timed
// out or ctx ends.
func (s routerStore) losesReply(ctx context.Context, timeout <-chan time.Time) (lost bool) {
	s.fleet.store.withLock(func() {
		lost = s.fleet.lostReplies > 0
		if lost {
			s.fleet.lostReplies--
		}
	})
	if !lost {
		return false
	}
	select {
	case <-timeout:
	case <-ctx.Done():
	}
	return true
}

func (s routerStore) Ping(ctx context.Context) kv.Result {
	timeout := time.After(storeTimeout)
	if !coordination.Sleep(ctx, 2*s.fleet.delay) || !s.awaitAnswer(ctx, timeout) {
		return kv.Result{Status: kv.Unavailable, Err: errDown}
	}
	return s.fleet.store.Ping(ctx)
}

func (s routerStore) Revision(ctx context.Context) kv.Result {
	timeout := time.After(storeTimeout)
	if !coordination.Sleep(ctx, 2*s.fleet.delay) || !s.awaitAnswer(ctx, timeout) {
		return kv.Result{Status: kv.Unavailable, Err: errDown}
	}
	return s.fleet.store.Revision(ctx)
}

func (s routerStore) List(ctx context.Context, prefix string) kv.Result {
	timeout := time.After(storeTimeout)
	time.Sleep(2 * s.fleet.delay)
	res := s.fleet.store.List(ctx, prefix)
	if s.losesReply(ctx, timeout) || !s.awaitAnswer(ctx, timeout) {
		return kv.Result{Status: kv.Unavailable, Err: errDown}
	}
	return res
}

func (s routerStore) Watch(ctx context.Context, prefix string, after kv.Revision, wait time.Duration) (kv.Batch, kv.Result) {
	timeout := time.After(wait + storeTimeout)
	if s.isRefused() {
		return kv.Batch{}, kv.Result{Status: kv.Unavailable, Err: errDown}
	}
	time.Sleep(s.fleet.delay)
	b, res := s.fleet.store.Watch(ctx, prefix, after, wait)
	time.Sleep(s.fleet.delay)
	if len(b.Events) > 0 && s.losesReply(ctx, timeout) || !s.awaitAnswer(ctx, timeout) {
		return kv.Batch{}, kv.Result{Status: kv.Unavailable, Err: errDown}
	}
	return b, res
}

// silenceWatchers makes the store stop replying to the first n default
// watchers.
func (f *fleet) silenceWatchers(n int) {
	watchers := mirror.DefaultWatchers(f.routers)[:n]
	f.store.withLock(func() {
		for i, r := range f.routers {
			f.silent[i] = slices.Contains(watchers, r.ID)
		}
	})
}

// waitForValue waits until all mirrors have a value, and fails the test if that
// takes longer than limit.
func (f *fleet) waitForValue(t *testing.T, limit time.Duration, key, want string) {
	t.Helper()
	start := time.Now()
	for {
		behind := -1
		for i, m := range f.mirrors {
			if valueOf(m, key) != want {
				behind = i
			}
		}
		if behind < 0 {
			return
		}
		assert.Assert(t, time.Since(start) < limit, "router %d has no %s=%s after %v", behind, key, want, limit)
		time.Sleep(10 * time.Millisecond)
	}
}
