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

// fleet is some routers' mirrors of one store that ask each other.
type fleet struct {
	store   *fakeStore
	mirrors []*mirror.Mirror
	routers []placement.Router
	cut     map[int]bool                   // the store turns these away
	gone    map[coordination.Instance]bool // these have lost power, and all know it
	silent  map[int]bool                   // the store leaves these without an answer
	delay   time.Duration                  // of each call and each answer, between routers and with the store
	slow    time.Duration                  // beyond delay, of each answer of the store
	turns   atomic.Int32                   // how often a router has lost the store or had it back
	losses  atomic.Int32                   // how often a router has been told that another one has lost the store
	feeds   []*mirror.Feed

	calls sync.Mutex // guards asks and asked
	asks  map[coordination.Instance]int
	asked map[coordination.Instance]int
}

// count returns how often one router has asked others at most, and has been asked,
// and counts anew.
func (f *fleet) count() (asks, asked int) {
	f.calls.Lock()
	defer f.calls.Unlock()
	asks, asked = lo.Max(lo.Values(f.asks)), lo.Max(lo.Values(f.asked))
	f.asks, f.asked = make(map[coordination.Instance]int), make(map[coordination.Instance]int)
	return asks, asked
}

// note counts a call. Nothing is counted before the first count.
func (f *fleet) note(from, to coordination.Instance) {
	f.calls.Lock()
	defer f.calls.Unlock()
	if f.asks != nil {
		f.asks[from]++
		f.asked[to]++
	}
}

func newFleet(t *testing.T, n int) *fleet {
	return newDistantFleet(t, n, 0, func(int, mirror.News) {})
}

// newDistantFleet returns a fleet whose calls and answers take a time, and of
// which observe is told what each router hears.
func newDistantFleet(t *testing.T, n int, delay time.Duration, observe func(router int, n mirror.News)) *fleet {
	f := &fleet{store: newFakeStore(), cut: map[int]bool{}, silent: map[int]bool{}, delay: delay}
	for i := range n {
		m := mirror.New()
		m.Observe(func(n mirror.News) { observe(i, n) })
		f.mirrors = append(f.mirrors, m)
		f.routers = append(f.routers, placement.Router{ID: coordination.Instance(fmt.Sprint(i)), Zone: coordination.Zone(fmt.Sprint(i % 3))})
	}
	for i, m := range f.mirrors {
		f.feeds = append(f.feeds, mirror.NewFeed(mirror.FeedConfig{
			Self:      f.routers[i].ID,
			Mirror:    m,
			Store:     cutStore{f, i},
			Transport: line{f, i},
			OnState:   func(error) { f.turns.Add(1) },
			Routers:   f.answering,
		}))
	}
	for _, feed := range f.feeds {
		t.Cleanup(feed.Start())
	}
	return f
}

// answering returns the routers that have not lost power.
func (f *fleet) answering() (all []placement.Router) {
	f.store.set(func() {
		if len(f.gone) == 0 {
			all = f.routers
			return
		}
		for _, r := range f.routers {
			if !f.gone[r.ID] {
				all = append(all, r)
			}
		}
	})
	return all
}

// line is how one router reaches the others.
type line struct {
	fleet *fleet
	of    int
}

// feed returns the feed of a router.
func (l line) feed(to coordination.Instance) (*mirror.Feed, error) {
	var i int
	if _, err := fmt.Sscan(string(to), &i); err != nil {
		return nil, err
	}
	return l.fleet.feeds[i], nil
}

// Call implements mirror.Transport.
func (l line) Call(ctx context.Context, to coordination.Instance, _ string, payload []byte) ([]byte, error) {
	feed, err := l.feed(to)
	if err != nil {
		return nil, err
	}
	l.fleet.note(l.fleet.routers[l.of].ID, to)
	time.Sleep(l.fleet.delay)
	b, err := feed.Handle(ctx, l.fleet.routers[l.of].ID, payload)
	time.Sleep(l.fleet.delay)
	return b, err
}

// Notify implements mirror.Transport.
func (l line) Notify(_ context.Context, to coordination.Instance, _ string, payload []byte) error {
	feed, err := l.feed(to)
	if err != nil {
		return err
	}
	l.fleet.look(payload)
	time.Sleep(l.fleet.delay)
	return feed.HandleHint(l.fleet.routers[l.of].ID, payload)
}

// look counts hints on their way.
func (f *fleet) look(payload []byte) {
	var h mirror.Hint
	if cbor.Unmarshal(payload, &h) == nil && h.Lost {
		f.losses.Add(1)
	}
}

// cutStore is the store as one router reaches it.
type cutStore struct {
	fleet *fleet
	of    int
}

func (c cutStore) isCut() (cut bool) {
	c.fleet.store.set(func() { cut = c.fleet.cut[c.of] })
	return cut
}

func (c cutStore) isSilent() (silent bool) {
	c.fleet.store.set(func() { silent = c.fleet.silent[c.of] })
	return silent
}

func (c cutStore) slowness() (d time.Duration) {
	c.fleet.store.set(func() { d = c.fleet.slow })
	return d
}

// storeTimeout is how long a call that the store leaves without an answer
// takes, beyond the time for which it may wait.
const storeTimeout = time.Second

// answer returns whether the store's answer to a call reaches the router. If it
// does not, it returns when the call has run out or been given up.
func (c cutStore) answer(ctx context.Context, timeout <-chan time.Time) bool {
	if c.isCut() {
		return false
	}
	if !c.isSilent() {
		return coordination.Sleep(ctx, c.slowness())
	}
	select {
	case <-timeout:
	case <-ctx.Done():
	}
	return false
}

func (c cutStore) Ping(ctx context.Context) kv.Result {
	timeout := time.After(storeTimeout)
	if !coordination.Sleep(ctx, 2*c.fleet.delay) || !c.answer(ctx, timeout) {
		return kv.Result{Status: kv.Unavailable, Err: errDown}
	}
	return c.fleet.store.Ping(ctx)
}

func (c cutStore) List(ctx context.Context, prefix string) kv.Result {
	timeout := time.After(storeTimeout)
	time.Sleep(2 * c.fleet.delay)
	res := c.fleet.store.List(ctx, prefix)
	if !c.answer(ctx, timeout) {
		return kv.Result{Status: kv.Unavailable, Err: errDown}
	}
	return res
}

func (c cutStore) Watch(ctx context.Context, prefix string, after kv.Revision, wait time.Duration) (kv.Batch, kv.Result) {
	timeout := time.After(wait + storeTimeout)
	if c.isCut() {
		return kv.Batch{}, kv.Result{Status: kv.Unavailable, Err: errDown}
	}
	time.Sleep(c.fleet.delay)
	b, res := c.fleet.store.Watch(ctx, prefix, after, wait)
	time.Sleep(c.fleet.delay)
	if !c.answer(ctx, timeout) {
		return kv.Batch{}, kv.Result{Status: kv.Unavailable, Err: errDown}
	}
	return b, res
}

// silenceWatchers has the store fall silent to so many of the routers that
// usually watch it.
func (f *fleet) silenceWatchers(n int) {
	watch := mirror.Watchers(f.routers)[:n]
	f.store.set(func() {
		for i, r := range f.routers {
			f.silent[i] = slices.Contains(watch, r.ID)
		}
	})
}

// within waits until all mirrors show a value, and fails if that takes longer
// than limit.
func (f *fleet) within(t *testing.T, limit time.Duration, key, want string) {
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
