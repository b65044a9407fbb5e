package mirror

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/placement"
)

// FeedConfig configures a Feed.
type FeedConfig struct {
	Self      coordination.Instance
	Prefix    string
	Mirror    *Mirror
	Store     Store
	Transport Transport
	// Routers returns the routers that are alive, as far as this one knows,
	// including this one.
	Routers func() []placement.Router
	// Alone reports that this router has no others to ask when it starts.
	Alone bool
	// OnState, if set, is called with an error when the store becomes
	// unreachable and with nil when it is reachable again.
	OnState func(err error)
	// OnOverdue, if set, is called when a watch of the store should have ended.
	OnOverdue func(Overdue)
	// CallLog, if set, records the calls to other routers.
	CallLog *CallLog
	// OnHintFailure, if set, is called with a router to which a hint could not
	// be sent, or from which the change it announced could not be fetched.
	OnHintFailure func(id coordination.Instance, err error)
	// Marks, if set, returns what routers that start have to learn from this one, as it
	// holds for good and may not be in the store. It may be called before Start.
	Marks func() []string
	// OnMarks, if set, is called with the marks of another router, before Started.
	OnMarks func(marks []string)
}

// Feed keeps a mirror up to date from the store and from the other routers, and
// sends changes on to them. It decides which routers call the store and which
// router the others ask. A router that the store rejects still learns of
// changes from the routers that the store serves.
type Feed struct {
	cfg      FeedConfig
	store    *Follower
	peers    *Follower
	server   *Server
	hints    *hintSender
	fetcher  *fetcher
	confirms confirmer
	started  chan struct{}
	// suspensions are those of this process.
	suspensions suspensions

	mu             sync.Mutex
	candidates     *watcherCandidates                  // for the routers that were alive at the last call of currentCandidates
	lossReportedAt map[coordination.Instance]time.Time // when each router last reported that it cannot reach the store
	confirmedAt    map[coordination.Instance]time.Time // when each router last sent a revision that it had from the store
	lastLossAt     time.Time                           // when a router was last found to have lost the store
}

// peerTimeout is how long the reply of another router may take beyond the wait
// that was asked for.
const peerTimeout = 500 * time.Millisecond

// batchDelay is about how long a router that watches the store collects further
// changes after it has announced one. Each watch that ends costs a call and a
// message to every other router, and hundreds of endpoints may start or stop
// within seconds.
const batchDelay = 150 * time.Millisecond

// NewFeed returns a feed. Until Start it only answers other routers.
func NewFeed(cfg FeedConfig) *Feed {
	f := &Feed{
		started:        make(chan struct{}),
		cfg:            cfg,
		lossReportedAt: make(map[coordination.Instance]time.Time),
		confirmedAt:    make(map[coordination.Instance]time.Time),
	}
	f.hints, f.fetcher = newHintSender(f), newFetcher(f)
	f.confirms.feed = f
	f.store = &Follower{
		Mirror:     cfg.Mirror,
		Source:     StoreSource{Store: cfg.Store, Prefix: cfg.Prefix, Wait: f.watchWait, OnOverdue: cfg.OnOverdue},
		Idle:       f.storeNotNeeded,
		Wake:       make(chan struct{}, 1),
		OnState:    f.stateChanged,
		BatchDelay: batchDelay,
		OnAdvance:  f.hints.announce,
		Delay:      f.suspensions.delay,
	}
	f.peers = &Follower{Mirror: cfg.Mirror, Delay: f.suspensions.delay, Source: PeerSource{
		Transport:      cfg.Transport,
		Choose:         f.choosePeer,
		Prefix:         cfg.Prefix,
		Wait:           func() time.Duration { return PeerWait(len(cfg.Routers())) },
		Timeout:        peerTimeout,
		OnReachability: f.recordReachability,
		CallLog:        cfg.CallLog,
	}}
	f.server = &Server{Mirrors: map[string]*Mirror{cfg.Prefix: cfg.Mirror}, Lost: f.store.Lost}
	return f
}

// Start feeds the mirror until the returned function is called. The observers
// of the mirror have to be set before.
func (f *Feed) Start() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	f.confirms.start(ctx)
	hintsDone, fetchDone, suspensionsDone := make(chan struct{}), make(chan struct{}), make(chan struct{})
	go f.suspensions.run(ctx, suspensionsDone)
	go f.hints.run(ctx, hintsDone)
	go f.fetcher.run(ctx, fetchDone)
	go newStarter(f).run(ctx)
	stopStore, stopPeers := f.store.Start(), f.peers.Start()
	return func() {
		cancel()
		f.confirms.stop()
		stopStore()
		stopPeers()
		<-hintsDone
		<-fetchDone
		<-suspensionsDone
		<-f.started
	}
}

// Started returns a channel that is closed when another router has told this one, since
// Start, what it knew before a restore of the store, or none has within half a second of the
// first update.
func (f *Feed) Started() <-chan struct{} { return f.started }

// RecheckStore makes the feed check at once whether this router has to call the
// store itself, for instance because another router has failed. If all watchers
// lose power together, no other router learns of changes until this check.
func (f *Feed) RecheckStore() { signal(f.store.Wake) }

// Handle answers a call of another router on [Topic].
func (f *Feed) Handle(ctx context.Context, from coordination.Instance, payload []byte) ([]byte, error) {
	b, asOf, err := f.server.handle(ctx, payload)
	if err == nil {
		f.hints.recordReply(from, asOf)
	}
	return b, err
}

// Reports on whether a router reaches the store expire, so that neither a lost
// message nor a router that was killed has an effect for long.
const (
	// reachabilityTTL is how long a report counts. A router that reaches the
	// store again says so earlier.
	reachabilityTTL = 10 * time.Second
	// lossRepeatInterval is how often a router that cannot reach the store
	// repeats its report.
	lossRepeatInterval = 4 * time.Second
)

// recordReachability records whether another router reaches the store. If that
// router has just lost the store, this one checks at once whether it has to
// call the store itself.
func (f *Feed) recordReachability(id coordination.Instance, reaches bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	wasReachable := time.Since(f.lossReportedAt[id]) > reachabilityTTL
	if reaches {
		delete(f.lossReportedAt, id)
		return
	}
	f.lossReportedAt[id] = time.Now()
	if wasReachable {
		f.lastLossAt = time.Now()
		signal(f.store.Wake)
	}
}

// recordConfirmation records that a router has sent a revision that it had from
// the store.
func (f *Feed) recordConfirmation(id coordination.Instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.confirmedAt[id] = time.Now()
}

// mayReachStore reports whether a router is not known to be cut off from the
// store.
func (f *Feed) mayReachStore(id coordination.Instance) bool {
	if id == f.cfg.Self {
		return !f.store.Lost()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.lossReportedAt[id]) > reachabilityTTL
}

// confirmedRecently reports whether a router has recently sent a revision from
// the store and no router has lost the store since. What cut off that other
// router may have cut off this one as well.
func (f *Feed) confirmedRecently(id coordination.Instance) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.confirmedAt[id].After(f.lastLossAt) && time.Since(f.confirmedAt[id]) <= reachabilityTTL
}

// expireRecords deletes the records that are older than reachabilityTTL.
func (f *Feed) expireRecords() {
	expired := func(_ coordination.Instance, at time.Time) bool { return time.Since(at) > reachabilityTTL }
	f.mu.Lock()
	defer f.mu.Unlock()
	maps.DeleteFunc(f.lossReportedAt, expired)
	maps.DeleteFunc(f.confirmedAt, expired)
}

// routersReachingStore returns the routers that are alive and, as far as is
// known, reach the store.
func (f *Feed) routersReachingStore() []placement.Router {
	return lo.Filter(f.cfg.Routers(), func(r placement.Router, _ int) bool { return f.mayReachStore(r.ID) })
}

// currentWatchers returns the routers that watch the store now. Other routers
// take over at once from those that the store rejects.
func (f *Feed) currentWatchers() []coordination.Instance {
	return f.watchersOf(f.currentCandidates())
}

// watchersOf returns the routers among c that watch the store now.
func (f *Feed) watchersOf(c *watcherCandidates) []coordination.Instance {
	if lo.EveryBy(c.defaults, f.mayReachStore) {
		return c.defaults
	}
	return c.current(StoreReach{Possible: f.mayReachStore, Confirmed: f.confirmedRecently})
}

// currentCandidates returns the watcher candidates among the routers that are
// alive. It computes them again only when these change.
func (f *Feed) currentCandidates() *watcherCandidates {
	routers := f.cfg.Routers()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.candidates == nil || !slices.Equal(f.candidates.members, routers) {
		f.candidates = newWatcherCandidates(routers)
	}
	return f.candidates
}

// wouldWatch reports whether this router would watch the store if it reached
// it. Only then do the other routers depend on whether it does.
func (f *Feed) wouldWatch() bool {
	reach := StoreReach{
		Possible:  func(id coordination.Instance) bool { return id == f.cfg.Self || f.mayReachStore(id) },
		Confirmed: func(id coordination.Instance) bool { return id == f.cfg.Self || f.confirmedRecently(id) },
	}
	return slices.Contains(f.currentCandidates().current(reach), f.cfg.Self)
}

// watchWait returns how long the next watch of the store waits.
func (f *Feed) watchWait() time.Duration {
	// The list of routers may become empty while the router stops, so it is read once.
	c := f.currentCandidates()
	watchers := f.watchersOf(c)
	rank := slices.Index(watchers, f.cfg.Self)
	switch {
	case f.store.Lost():
		return recoveryWatchWait
	case rank < 0:
		return watchPeriod(len(watchers))
	}
	// Of the fallbacks, which are more, the store may serve only a few: with a turn for each,
	// no watch would begin for seconds.
	turns := min(len(watchers), len(c.defaults))
	return turnWait(rank%turns, turns, f.cfg.Mirror.sinceChange())
}

// storeNotNeeded reports whether this router need not call the store now. It
// does call it until its first reply, so that a router that starts is ready at
// once.
func (f *Feed) storeNotNeeded() bool {
	return f.cfg.Mirror.AsOf() > 0 && !NeedsStore(f.cfg.Self, f.currentWatchers(), len(f.cfg.Routers()), f.cfg.Mirror.Age())
}

// stateChanged is called with an error when this router has lost the store and
// with nil when it reaches it again.
func (f *Feed) stateChanged(err error) {
	f.hints.announceState()
	if f.cfg.OnState != nil {
		f.cfg.OnState(err)
	}
}

const (
	// alternateEvery makes a router ask one of its alternates in one of so many
	// calls on average, rather than a router that watches the store: all of
	// those may be cut off from it.
	alternateEvery = 3
	// alternateCount is the number of alternates of a router. They stay the
	// same few, as otherwise every router would hold a connection to every
	// other one.
	alternateCount = 4
)

// choosePeer returns the router to ask next, in most cases one that watches the
// store and is in the same availability zone, as traffic between zones is
// billed.
func (f *Feed) choosePeer() (coordination.Instance, bool) {
	routers := f.routersReachingStore()
	zone := f.ownZone(routers)
	choices := f.currentWatchers()
	nearby := lo.FilterMap(routers, func(r placement.Router, _ int) (coordination.Instance, bool) {
		return r.ID, r.Zone == zone && slices.Contains(choices, r.ID) && r.ID != f.cfg.Self
	})
	switch {
	case rand.IntN(alternateEvery) == 0:
		choices = Alternates(f.cfg.Self, routers)
	case len(nearby) > 0:
		choices = nearby
	}
	choices = lo.Without(choices, f.cfg.Self)
	if len(choices) == 0 {
		return "", false
	}
	return choices[rand.IntN(len(choices))], true
}

// Alternates returns the few routers that self asks regardless of which routers
// watch the store. They are chosen by rendezvous hashing, so that each router
// is asked by about as many others, and one that leaves is replaced by the
// next.
func Alternates(self coordination.Instance, routers []placement.Router) []coordination.Instance {
	weight := func(r placement.Router) uint64 { return xxhash.Sum64String(string(self) + "\x00" + string(r.ID)) }
	others := lo.Reject(routers, func(r placement.Router, _ int) bool { return r.ID == self })
	weights := lo.SliceToMap(others, func(r placement.Router) (coordination.Instance, uint64) { return r.ID, weight(r) })
	slices.SortFunc(others, func(a, b placement.Router) int { return cmp.Compare(weights[a.ID], weights[b.ID]) })
	others = others[:min(len(others), alternateCount)]
	return lo.Map(others, func(r placement.Router, _ int) coordination.Instance { return r.ID })
}

// ownZone returns the availability zone of this router.
func (f *Feed) ownZone(routers []placement.Router) coordination.Zone {
	self, _ := lo.Find(routers, func(r placement.Router) bool { return r.ID == f.cfg.Self })
	return self.Zone
}
