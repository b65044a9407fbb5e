package mirror_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/kv"
	"wisteriaspool/coordination/mirror"
	"wisteriaspool/coordination/placement"
)

func put(key, value string, n kv.Revision) mirror.Item {
	return mirror.Item{Key: key, Value: []byte(value), Revision: n}
}

func gone(key string, n kv.Revision) mirror.Item {
	return mirror.Item{Key: key, Revision: n, Deleted: true}
}

func valueOf(m *mirror.Mirror, key string) string {
	item, ok := m.Find(key)
	if !ok {
		return "none"
	}
	return string(item.Value)
}

// A router hears of a change from the store and, later, of the one before it
// from a peer that is behind. If the older one came into force again, a key
// that was taken away would be good once more.
func TestNothingReverts(t *testing.T) {
	changes := []mirror.Item{put("a", "1", 2), put("a", "2", 5), gone("a", 7), put("a", "3", 9)}
	for seed := range uint64(50) {
		m := mirror.New()
		highest := kv.Revision(0)
		for _, i := range rand.New(rand.NewPCG(seed, 0)).Perm(len(changes)) {
			m.Take(mirror.Update{Items: changes[i : i+1], AsOf: changes[i].Revision})
			highest = max(highest, changes[i].Revision)
			want := "none"
			for _, c := range changes {
				if c.Revision == highest && !c.Deleted {
					want = string(c.Value)
				}
			}
			assert.Equal(t, valueOf(m, "a"), want, "seed %d", seed)
		}
	}
}

func TestFullUpdateDropsWhatItDoesNotName(t *testing.T) {
	m := mirror.New()
	var news []mirror.Item
	m.Observe(func(n mirror.News) { news = n.Items })
	m.Take(mirror.Update{Full: true, Items: []mirror.Item{put("a", "1", 1), put("b", "1", 2)}, AsOf: 2})
	m.Take(mirror.Update{Items: []mirror.Item{put("c", "1", 6)}, AsOf: 6})
	// The list is of revision 4: it cannot know c, which is newer.
	m.Take(mirror.Update{Full: true, Items: []mirror.Item{put("a", "1", 1)}, AsOf: 4})
	assert.Equal(t, valueOf(m, "a"), "1")
	assert.Equal(t, valueOf(m, "b"), "none")
	assert.Equal(t, valueOf(m, "c"), "1")
	assert.DeepEqual(t, news, []mirror.Item{gone("b", 4)})
	assert.Equal(t, m.AsOf(), kv.Revision(6))
}

// A peer was cut off for longer than deletions are remembered. If it were told
// changes alone, it would keep endpoints that are long gone.
func TestPeerFarBehindIsToldEverything(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := mirror.New()
		m.Take(mirror.Update{Full: true, Items: []mirror.Item{put("a", "1", 1), put("b", "1", 2)}, AsOf: 2})
		m.Take(mirror.Update{Items: []mirror.Item{gone("b", 3)}, AsOf: 3})
		assert.DeepEqual(t, m.Since(2), mirror.Update{Items: []mirror.Item{gone("b", 3)}, AsOf: 3})
		time.Sleep(2 * time.Minute)
		m.Take(mirror.Update{Items: []mirror.Item{put("c", "1", 4)}, AsOf: 4})
		assert.DeepEqual(t, m.Since(2), mirror.Update{Full: true, Items: []mirror.Item{put("a", "1", 1), put("c", "1", 4)}, AsOf: 4})
	})
}

// fakeStore is a store whose watches can fall silent.
type fakeStore struct {
	mu      sync.Mutex
	asOf    kv.Revision
	pairs   map[string]kv.Pair
	changed chan struct{}
	mute    bool
	down    bool
	forgot  kv.Revision // history up to here is gone
	calls   int
	pings   int
}

func newFakeStore() *fakeStore {
	return &fakeStore{pairs: map[string]kv.Pair{}, changed: make(chan struct{})}
}

func (s *fakeStore) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asOf++
	s.pairs[key] = kv.Pair{Key: key, Value: []byte(value), Revision: s.asOf}
	if !s.mute {
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

func (s *fakeStore) revision() (n kv.Revision) {
	s.set(func() { n = s.asOf })
	return n
}

// price returns that of the calls so far, in calls. A ping has a tenth of the
// price of any other.
func (s *fakeStore) price() (n int) {
	s.set(func() { n = s.calls + s.pings/10 })
	return n
}

// forget counts calls anew.
func (s *fakeStore) forget() {
	s.set(func() { s.calls, s.pings = 0, 0 })
}

func (s *fakeStore) set(fn func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fn()
}

var errDown = errors.New("down")

func (s *fakeStore) Ping(context.Context) kv.Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pings++
	if s.down {
		return kv.Result{Status: kv.Unavailable, Err: errDown}
	}
	return kv.Result{Status: kv.Applied, Revision: s.asOf}
}

func (s *fakeStore) List(_ context.Context, _ string) kv.Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return kv.Result{Status: kv.Unavailable, Err: errDown}
	}
	res := kv.Result{Status: kv.Applied, Revision: s.asOf}
	for _, p := range s.pairs {
		res.Pairs = append(res.Pairs, p)
	}
	return res
}

func (s *fakeStore) Watch(ctx context.Context, _ string, after kv.Revision, wait time.Duration) (kv.Batch, kv.Result) {
	s.set(func() { s.calls++ })
	timeout := time.After(wait)
	for {
		b, res, done := s.look(after)
		if done {
			return b, res
		}
		s.mu.Lock()
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
			if b, res, _ := s.look(after); len(b.Events) == 0 {
				return b, res
			}
		case <-timeout:
			return kv.Batch{Revision: after}, kv.Result{Status: kv.Applied}
		case <-ctx.Done():
			return kv.Batch{}, kv.Result{Status: kv.Unavailable, Err: ctx.Err()}
		}
	}
}

func (s *fakeStore) look(after kv.Revision) (kv.Batch, kv.Result, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.down:
		return kv.Batch{}, kv.Result{Status: kv.Unavailable, Err: errDown}, true
	case after < s.forgot:
		return kv.Batch{Gap: true}, kv.Result{Status: kv.Applied}, true
	}
	b := kv.Batch{Revision: s.asOf}
	for _, p := range s.pairs {
		if p.Revision > after {
			b.Events = append(b.Events, kv.Event{Pair: p})
		}
	}
	return b, kv.Result{Status: kv.Applied}, len(b.Events) > 0
}

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
// does not, it returns when the call has run out.
func (c cutStore) answer(ctx context.Context, timeout <-chan time.Time) bool {
	if c.isCut() {
		return false
	}
	if !c.isSilent() {
		time.Sleep(c.slowness())
		return true
	}
	select {
	case <-timeout:
	case <-ctx.Done():
	}
	return false
}

func (c cutStore) Ping(ctx context.Context) kv.Result {
	timeout := time.After(storeTimeout)
	time.Sleep(2 * c.fleet.delay)
	if !c.answer(ctx, timeout) {
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

// within waits until all mirrors show a value, and returns how long it took.
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

// The store turns some routers away while it serves the others. An operator
// takes a key away; on the routers that were turned away it would stay good
// until the store serves them again.
func TestRouterThatTheStoreTurnsAwayHearsFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 7)
		f.store.put("a", "1")
		f.within(t, 2*time.Second, "a", "1")
		f.store.set(func() { f.cut[1], f.cut[4], f.cut[5] = true, true, true })
		time.Sleep(10 * time.Second)
		f.store.put("a", "2")
		f.within(t, 2*time.Second, "a", "2")
	})
}

// All watches of the store hear nothing for a second while a change is made,
// and none of them ends. Nobody would hear of the change before the longest
// wait of a watch is over.
func TestChangeThatNoWatchHearsComesIntoForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 7)
		f.store.put("a", "1")
		f.within(t, 2*time.Second, "a", "1")
		time.Sleep(20 * time.Second)
		f.store.set(func() { f.store.mute = true })
		f.store.put("a", "2")
		f.store.set(func() { f.store.mute, f.store.forgot = false, f.store.asOf })
		f.within(t, 3*time.Second, "a", "2")
	})
}

// The store is down for some seconds, and a router starts meanwhile. It serves
// nobody until it has the desired state from another router.
func TestRouterThatStartsDuringAnOutageAsksPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		f.store.put("a", "1")
		f.within(t, 2*time.Second, "a", "1")
		f.store.set(func() { f.store.down = true })
		time.Sleep(5 * time.Second)
		late := mirror.New()
		follower := &mirror.Follower{Mirror: late, Source: mirror.PeerSource{
			Transport: line{f, 2}, Choose: func() (coordination.Instance, bool) { return "1", true }, Wait: func() time.Duration { return time.Second }, Timeout: time.Second,
		}}
		defer follower.Start()()
		time.Sleep(50 * time.Millisecond)
		assert.Equal(t, valueOf(late, "a"), "1")
	})
}

// failingSource is away until a moment, and then tells one item.
type failingSource struct{ until time.Time }

func (s failingSource) Fetch(ctx context.Context, after kv.Revision) (mirror.Update, error) {
	if time.Now().Before(s.until) {
		return mirror.Update{}, errDown
	}
	if after > 0 {
		<-ctx.Done()
		return mirror.Update{}, ctx.Err()
	}
	return mirror.Update{AsOf: 1, Full: true, Items: []mirror.Item{put("a", "1", 1)}}, nil
}

// All routers restart while the store is down. None has the desired state, so
// each of them refuses every request until it has asked the store again, and
// a caller is turned away by a fleet that could long have served it.
func TestRoutersThatStartedDuringAnOutageServeSoonBehindIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for range 50 {
			back := time.Now().Add(5 * time.Second)
			m := mirror.New()
			stop := (&mirror.Follower{Mirror: m, Source: failingSource{back}}).Start()
			m.Wait(t.Context(), 0, nil)
			assert.Assert(t, time.Since(back) <= 300*time.Millisecond, "the desired state came %v behind the return", time.Since(back))
			stop()
		}
	})
}

// A store that is down must not be called by the whole fleet again and again:
// each call has its price, and the store needs air to come back.
func TestOutageCostsFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 7)
		f.store.put("a", "1")
		f.within(t, 2*time.Second, "a", "1")
		f.store.set(func() { f.store.down = true; close(f.store.changed); f.store.changed = make(chan struct{}) })
		time.Sleep(5 * time.Second)
		f.store.forget()
		time.Sleep(10 * time.Second)
		assert.Assert(t, f.store.price() < 7*15, "%d calls in 10 s", f.store.price())
	})
}

// The store is called by a few routers, whatever the size of the fleet: on a
// quiet store they begin about two watches a second together, and a change is
// answered to them alone.
func TestFewRoutersCallTheStore(t *testing.T) {
	for _, routers := range []int{7, 30, 80} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, routers)
			f.store.put("a", "1")
			f.within(t, 3*time.Second, "a", "1")
			time.Sleep(30 * time.Second)
			f.store.forget()
			time.Sleep(time.Minute)
			assert.Assert(t, f.store.price() < 150, "%d calls in a minute", f.store.price())
			f.store.forget()
			for n := range 50 {
				f.store.put("a", fmt.Sprint(n))
				f.within(t, 2*time.Second, "a", fmt.Sprint(n))
			}
			assert.Assert(t, f.store.price() < 50*5, "%d calls for 50 changes", f.store.price())
		})
	}
}

// All routers that watch the store for the others are cut off from it at once,
// and a key is revoked half a second later. The others hear that these are lost
// and watch in their place. Once, they waited until nothing had been confirmed
// for five seconds, and the key stayed good for three.
func TestWatchersThatAreAllCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 30)
		f.store.put("a", "1")
		f.within(t, 3*time.Second, "a", "1")
		time.Sleep(10 * time.Second)
		watchers := mirror.Watchers(f.routers)
		f.store.set(func() {
			for i, r := range f.routers {
				f.cut[i] = slices.Contains(watchers, r.ID)
			}
		})
		f.store.set(func() { close(f.store.changed); f.store.changed = make(chan struct{}) })
		time.Sleep(500 * time.Millisecond)
		f.store.put("a", "2")
		f.within(t, 2*time.Second, "a", "2")
	})
}

// The bytes of a call come from another process, which may be of another
// version, or not a router at all.
func TestServerRefusesWhatItCannotRead(t *testing.T) {
	s := &mirror.Server{Mirrors: map[string]*mirror.Mirror{"": mirror.New()}}
	_, err := s.Handle(t.Context(), []byte{0xff, 0x00})
	assert.ErrorContains(t, err, "ask")
}

// A hint comes without an answer; what cannot be read must change nothing.
func TestFeedRefusesHintsThatItCannotRead(t *testing.T) {
	f := mirror.NewFeed(mirror.FeedConfig{Self: "a", Prefix: "op/", Mirror: mirror.New()})
	assert.ErrorContains(t, f.HandleHint("b", []byte{0xff, 0x00}), "hint")
	other, err := cbor.Marshal(mirror.Hint{Prefix: "else/", AsOf: 9, Lost: true})
	assert.NilError(t, err)
	assert.ErrorContains(t, f.HandleHint("b", other), "no mirror")
}

// The desired state grows to a thousand routes. Were it told as it is, a router
// on a slow link that tells it to a third of the fleet would need seconds.
func TestLargeStateIsToldSmall(t *testing.T) {
	m := mirror.New()
	var state bytes.Buffer
	for n := range 1000 {
		fmt.Fprintf(&state, `{"name":"r-%d","hostname":"h%d.example","prefix":"/p%d/","type":"stream","timeoutMs":12000,"priority":1,"backend":"model-%d","attempts":2,"public":false},`, n, n%7, n, n%3)
	}
	m.Take(mirror.Update{Full: true, Items: []mirror.Item{put("op/config", state.String(), 2)}, AsOf: 2})
	s := &mirror.Server{Mirrors: map[string]*mirror.Mirror{"": m}}
	ask, err := cbor.Marshal(mirror.Ask{After: 1})
	assert.NilError(t, err)
	answer, err := s.Handle(t.Context(), ask)
	assert.NilError(t, err)
	assert.Assert(t, len(answer)*7 < state.Len(), "%d bytes for %d", len(answer), state.Len())
}

// The store is down for five seconds, and then answers again. Only a return
// after an outage that hit all routers may keep lapsed entries alive: a router
// that is turned away while the others are served has no reason to.
func TestReturnIsToldOnlyAfterAnOutageForAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 7)
		var returns atomic.Int32
		for _, m := range f.mirrors {
			m.OnReturn(func() { returns.Add(1) })
		}
		f.store.put("a", "1")
		f.within(t, 2*time.Second, "a", "1")
		time.Sleep(10 * time.Second)
		f.store.set(func() { f.cut[1], f.cut[4], f.cut[5] = true, true, true })
		time.Sleep(10 * time.Second)
		assert.Equal(t, returns.Load(), int32(0))
		f.store.set(func() { f.store.down = true; close(f.store.changed); f.store.changed = make(chan struct{}) })
		time.Sleep(5 * time.Second)
		f.store.set(func() { f.store.down = false })
		time.Sleep(3 * time.Second)
		assert.Equal(t, returns.Load(), int32(7))
	})
}
