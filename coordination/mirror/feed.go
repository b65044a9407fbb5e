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

// FeedConfig says what a Feed feeds, and from where.
type FeedConfig struct {
	Self      coordination.Instance
	Prefix    string
	Mirror    *Mirror
	Store     Store
	Transport Transport
	// Routers returns the routers that answer, as far as this one knows, and
	// this one itself.
	Routers func() []placement.Router
	// OnState, if set, is told when the store is lost, with why, and when it is
	// back.
	OnState func(err error)
	// CallLog, if set, remembers the calls to other routers.
	CallLog *CallLog
	// OnHintFailure, if set, is told of a router to which no hint could be sent, or
	// from which nothing could be fetched behind its hint.
	OnHintFailure func(id coordination.Instance, err error)
}

// Feed keeps a mirror up to date from the store and from the other routers, and
// tells these in turn. It decides which routers call the store, and whom the
// others ask. A router that the store turns away still hears of changes from
// those that it serves.
type Feed struct {
	cfg     FeedConfig
	store   *Follower
	peers   *Follower
	server  *Server
	hints   *hintSender
	fetcher *fetcher

	mu             sync.Mutex
	candidates     *watcherCandidates                  // of the routers that answered when they were last asked for
	lossReportedAt map[coordination.Instance]time.Time // when each was found not to reach the store
	confirmedAt    map[coordination.Instance]time.Time // when each told what it had from the store
	lastLossAt     time.Time                           // when a router was last found to have lost it
}

// peerTimeout is how much longer than its wait another router's answer may take.
const peerTimeout = 500 * time.Millisecond

// batchDelay is for about how long a router that watches the store gathers changes
// behind one that it has told. Each watch that ends is a call, and a message to
// each other router; hundreds of endpoints may start or end within seconds.
const batchDelay = 150 * time.Millisecond

// NewFeed returns a feed, which answers other routers and does nothing else
// before its start.
func NewFeed(cfg FeedConfig) *Feed {
	f := &Feed{
		cfg:            cfg,
		lossReportedAt: make(map[coordination.Instance]time.Time),
		confirmedAt:    make(map[coordination.Instance]time.Time),
	}
	f.hints, f.fetcher = newHintSender(f), newFetcher(f)
	f.store = &Follower{
		Mirror:     cfg.Mirror,
		Source:     StoreSource{Store: cfg.Store, Prefix: cfg.Prefix, Wait: f.watchWait},
		Idle:       f.storeNotNeeded,
		Wake:       make(chan struct{}, 1),
		OnState:    f.stateChanged,
		BatchDelay: batchDelay,
		OnAdvance:  f.hints.announce,
	}
	f.peers = &Follower{Mirror: cfg.Mirror, Source: PeerSource{
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

// Start feeds the mirror until the returned function is called. The mirror's
// observers have to be set by then.
func (f *Feed) Start() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	hintsDone, fetchDone := make(chan struct{}), make(chan struct{})
	go f.hints.run(ctx, hintsDone)
	go f.fetcher.run(ctx, fetchDone)
	stopStore, stopPeers := f.store.Start(), f.peers.Start()
	return func() {
		cancel()
		stopStore()
		stopPeers()
		<-hintsDone
		<-fetchDone
	}
}

// RecheckStore has the feed look at once whether this router has to ask the store
// itself, as when another one no longer answers. If all that watch lose their
// power together, nobody else hears of a change before that.
func (f *Feed) RecheckStore() { signal(f.store.Wake) }

// Handle answers a call of another router on [Topic].
func (f *Feed) Handle(ctx context.Context, from coordination.Instance, payload []byte) ([]byte, error) {
	b, asOf, err := f.server.handle(ctx, payload)
	if err == nil {
		f.hints.recordReply(from, asOf)
	}
	return b, err
}

// reachabilityTTL is how long a router that does not reach the store is taken not to.
// It tells when it does again, and while it does not, it tells so every
// lossRepeatInterval: neither a message that is lost nor a router that is killed counts
// for long.
const (
	reachabilityTTL    = 10 * time.Second
	lossRepeatInterval = 4 * time.Second
)

// recordReachability notes whether another router reaches the store. If it has lost it, this
// router looks at once whether it has to ask the store itself.
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

// recordConfirmation notes that a router has told what it had from the store.
func (f *Feed) recordConfirmation(id coordination.Instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.confirmedAt[id] = time.Now()
}

// mayReachStore reports whether a router is not known to be cut off from the store.
func (f *Feed) mayReachStore(id coordination.Instance) bool {
	if id == f.cfg.Self {
		return !f.store.Lost()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.lossReportedAt[id]) > reachabilityTTL
}

// confirmedRecently reports whether a router has told lately what it had from the store,
// and no other one has lost the store since: what cut that one off may have cut
// off this one as well.
func (f *Feed) confirmedRecently(id coordination.Instance) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.confirmedAt[id].After(f.lastLossAt) && time.Since(f.confirmedAt[id]) <= reachabilityTTL
}

// expireRecords forgets what has been known for too long to count.
func (f *Feed) expireRecords() {
	expired := func(_ coordination.Instance, at time.Time) bool { return time.Since(at) > reachabilityTTL }
	f.mu.Lock()
	defer f.mu.Unlock()
	maps.DeleteFunc(f.lossReportedAt, expired)
	maps.DeleteFunc(f.confirmedAt, expired)
}

// routersReachingStore returns the routers that answer and, as far as is known, reach the
// store.
func (f *Feed) routersReachingStore() []placement.Router {
	return lo.Filter(f.cfg.Routers(), func(r placement.Router, _ int) bool { return f.mayReachStore(r.ID) })
}

// currentWatchers returns the routers that watch the store now. Others take over at
// once from those that it turns away.
func (f *Feed) currentWatchers() []coordination.Instance {
	r := f.currentCandidates()
	if lo.EveryBy(r.defaults, f.mayReachStore) {
		return r.defaults
	}
	return r.current(StoreReach{Possible: f.mayReachStore, Confirmed: f.confirmedRecently})
}

// currentCandidates returns the ranks of the routers that answer.
func (f *Feed) currentCandidates() *watcherCandidates {
	routers := f.cfg.Routers()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.candidates == nil || !slices.Equal(f.candidates.members, routers) {
		f.candidates = newWatcherCandidates(routers)
	}
	return f.candidates
}

// wouldWatch reports whether the others go by whether this router reaches the store:
// it is one of those that would watch if it did.
func (f *Feed) wouldWatch() bool {
	reach := StoreReach{
		Possible:  func(id coordination.Instance) bool { return id == f.cfg.Self || f.mayReachStore(id) },
		Confirmed: func(id coordination.Instance) bool { return id == f.cfg.Self || f.confirmedRecently(id) },
	}
	return slices.Contains(f.currentCandidates().current(reach), f.cfg.Self)
}

func (f *Feed) watchWait() time.Duration {
	return WatchWait(len(f.currentWatchers()), f.store.Lost())
}

// storeNotNeeded reports whether the store need not be asked now. Before its
// first answer it is, so that a router that starts is ready at once.
func (f *Feed) storeNotNeeded() bool {
	return f.cfg.Mirror.AsOf() > 0 && !NeedsStore(f.cfg.Self, f.currentWatchers(), len(f.cfg.Routers()), f.cfg.Mirror.Age())
}

// stateChanged is told that this router has lost the store, or is back.
func (f *Feed) stateChanged(err error) {
	f.hints.announceState()
	if f.cfg.OnState != nil {
		f.cfg.OnState(err)
	}
}

const (
	// alternateEvery is how often a router asks one of its alternates rather than
	// one of those that watch the store: these may all be cut off from it.
	alternateEvery = 3
	// alternateCount is how many these are. Each router keeps to its own few, or each
	// would come to hold a connection to each other one.
	alternateCount = 4
)

// choosePeer names the router to ask next: mostly one that watches the store and is
// of the same availability zone, for traffic between zones has a price.
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

// Alternates returns the few routers that a router asks whoever watches the store,
// by rendezvous hashing: each is asked by about as many, and one that goes is
// followed by the next.
func Alternates(self coordination.Instance, routers []placement.Router) []coordination.Instance {
	weight := func(r placement.Router) uint64 { return xxhash.Sum64String(string(self) + "\x00" + string(r.ID)) }
	others := lo.Reject(routers, func(r placement.Router, _ int) bool { return r.ID == self })
	weights := lo.SliceToMap(others, func(r placement.Router) (coordination.Instance, uint64) { return r.ID, weight(r) })
	slices.SortFunc(others, func(a, b placement.Router) int { return cmp.Compare(weights[a.ID], weights[b.ID]) })
	others = others[:min(len(others), alternateCount)]
	return lo.Map(others, func(r placement.Router, _ int) coordination.Instance { return r.ID })
}

// ownZone returns the availability ownZone of this router.
func (f *Feed) ownZone(routers []placement.Router) coordination.Zone {
	self, _ := lo.Find(routers, func(r placement.Router) bool { return r.ID == f.cfg.Self })
	return self.Zone
}
