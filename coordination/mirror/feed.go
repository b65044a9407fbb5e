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
	// Asked, if set, remembers the calls to other routers.
	Asked *Asked
	// OnUntold, if set, is told of a router to which no hint could be sent, or
	// from which nothing could be fetched behind its hint.
	OnUntold func(id coordination.Instance, err error)
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
	teller  *teller
	fetcher *fetcher

	mu    sync.Mutex
	ranks *ranks                              // of the routers that answered when they were last asked for
	lost  map[coordination.Instance]time.Time // when each was found not to reach the store
	sure  map[coordination.Instance]time.Time // when each told what it had from the store
	fell  time.Time                           // when a router was last found to have lost it
}

// peerTimeout is how much longer than its wait another router's answer may take.
const peerTimeout = 500 * time.Millisecond

// gather is for about how long a router that watches the store gathers changes
// behind one that it has told. Each watch that ends is a call, and a message to
// each other router; hundreds of endpoints may start or end within seconds.
const gather = 150 * time.Millisecond

// NewFeed returns a feed, which answers other routers and does nothing else
// before its start.
func NewFeed(cfg FeedConfig) *Feed {
	f := &Feed{
		cfg:  cfg,
		lost: make(map[coordination.Instance]time.Time),
		sure: make(map[coordination.Instance]time.Time),
	}
	f.teller, f.fetcher = newTeller(f), newFetcher(f)
	f.store = &Follower{
		Mirror:  cfg.Mirror,
		Source:  StoreSource{Store: cfg.Store, Prefix: cfg.Prefix, Wait: f.watchWait},
		Idle:    f.leaveToOthers,
		Wake:    make(chan struct{}, 1),
		OnState: f.stateChanged,
		Gather:  gather,
		OnNews:  f.teller.tell,
	}
	f.peers = &Follower{Mirror: cfg.Mirror, Source: PeerSource{
		Transport: cfg.Transport,
		Choose:    f.choose,
		Prefix:    cfg.Prefix,
		Wait:      func() time.Duration { return PeerWait(len(cfg.Routers())) },
		Timeout:   peerTimeout,
		OnReach:   f.note,
		Asked:     cfg.Asked,
	}}
	f.server = &Server{Mirrors: map[string]*Mirror{cfg.Prefix: cfg.Mirror}, Lost: f.store.Lost}
	return f
}

// Start feeds the mirror until the returned function is called. The mirror's
// observers have to be set by then.
func (f *Feed) Start() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	told, fetched := make(chan struct{}), make(chan struct{})
	go f.teller.run(ctx, told)
	go f.fetcher.run(ctx, fetched)
	stopStore, stopPeers := f.store.Start(), f.peers.Start()
	return func() {
		cancel()
		stopStore()
		stopPeers()
		<-told
		<-fetched
	}
}

// Look has the feed look at once whether this router has to ask the store
// itself, as when another one no longer answers. If all that watch lose their
// power together, nobody else hears of a change before that.
func (f *Feed) Look() { signal(f.store.Wake) }

// Handle answers a call of another router on [Topic].
func (f *Feed) Handle(ctx context.Context, from coordination.Instance, payload []byte) ([]byte, error) {
	b, asOf, err := f.server.handle(ctx, payload)
	if err == nil {
		f.teller.answered(from, asOf)
	}
	return b, err
}

// lostFor is how long a router that does not reach the store is taken not to.
// It tells when it does again, and while it does not, it tells so every
// lostAgain: neither a message that is lost nor a router that is killed counts
// for long.
const (
	lostFor   = 10 * time.Second
	lostAgain = 4 * time.Second
)

// note notes whether another router reaches the store. If it has lost it, this
// router looks at once whether it has to ask the store itself.
func (f *Feed) note(id coordination.Instance, reaches bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	reached := time.Since(f.lost[id]) > lostFor
	if reaches {
		delete(f.lost, id)
		return
	}
	f.lost[id] = time.Now()
	if reached {
		f.fell = time.Now()
		signal(f.store.Wake)
	}
}

// prove notes that a router has told what it had from the store.
func (f *Feed) prove(id coordination.Instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sure[id] = time.Now()
}

// reaches reports whether a router is not known to be cut off from the store.
func (f *Feed) reaches(id coordination.Instance) bool {
	if id == f.cfg.Self {
		return !f.store.Lost()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.lost[id]) > lostFor
}

// proven reports whether a router has told lately what it had from the store,
// and no other one has lost the store since: what cut that one off may have cut
// off this one as well.
func (f *Feed) proven(id coordination.Instance) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sure[id].After(f.fell) && time.Since(f.sure[id]) <= lostFor
}

// forget forgets what has been known for too long to count.
func (f *Feed) forget() {
	old := func(_ coordination.Instance, at time.Time) bool { return time.Since(at) > lostFor }
	f.mu.Lock()
	defer f.mu.Unlock()
	maps.DeleteFunc(f.lost, old)
	maps.DeleteFunc(f.sure, old)
}

// reaching returns the routers that answer and, as far as is known, reach the
// store.
func (f *Feed) reaching() []placement.Router {
	return lo.Filter(f.cfg.Routers(), func(r placement.Router, _ int) bool { return f.reaches(r.ID) })
}

// watching returns the routers that watch the store now. Others take over at
// once from those that it turns away.
func (f *Feed) watching() []coordination.Instance {
	r := f.rank()
	if lo.EveryBy(r.usual, f.reaches) {
		return r.usual
	}
	return r.watching(Served{Maybe: f.reaches, Surely: f.proven})
}

// rank returns the ranks of the routers that answer.
func (f *Feed) rank() *ranks {
	routers := f.cfg.Routers()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ranks == nil || !slices.Equal(f.ranks.members, routers) {
		f.ranks = rank(routers)
	}
	return f.ranks
}

// counts reports whether the others go by whether this router reaches the store:
// it is one of those that would watch if it did.
func (f *Feed) counts() bool {
	served := Served{
		Maybe:  func(id coordination.Instance) bool { return id == f.cfg.Self || f.reaches(id) },
		Surely: func(id coordination.Instance) bool { return id == f.cfg.Self || f.proven(id) },
	}
	return slices.Contains(f.rank().watching(served), f.cfg.Self)
}

func (f *Feed) watchWait() time.Duration {
	return WatchWait(len(f.watching()), f.store.Lost())
}

// leaveToOthers reports whether the store need not be asked now. Before its
// first answer it is, so that a router that starts is ready at once.
func (f *Feed) leaveToOthers() bool {
	return f.cfg.Mirror.AsOf() > 0 && !NeedsStore(f.cfg.Self, f.watching(), len(f.cfg.Routers()), f.cfg.Mirror.Age())
}

// stateChanged is told that this router has lost the store, or is back.
func (f *Feed) stateChanged(err error) {
	f.teller.tellState()
	if f.cfg.OnState != nil {
		f.cfg.OnState(err)
	}
}

const (
	// alternateEvery is how often a router asks one of its alternates rather than
	// one of those that watch the store: these may all be cut off from it.
	alternateEvery = 3
	// alternates is how many these are. Each router keeps to its own few, or each
	// would come to hold a connection to each other one.
	alternates = 4
)

// choose names the router to ask next: mostly one that watches the store and is
// of the same availability zone, for traffic between zones has a price.
func (f *Feed) choose() (coordination.Instance, bool) {
	routers := f.reaching()
	zone := f.zone(routers)
	among := f.watching()
	near := lo.FilterMap(routers, func(r placement.Router, _ int) (coordination.Instance, bool) {
		return r.ID, r.Zone == zone && slices.Contains(among, r.ID) && r.ID != f.cfg.Self
	})
	switch {
	case rand.IntN(alternateEvery) == 0:
		among = Alternates(f.cfg.Self, routers)
	case len(near) > 0:
		among = near
	}
	among = lo.Without(among, f.cfg.Self)
	if len(among) == 0 {
		return "", false
	}
	return among[rand.IntN(len(among))], true
}

// Alternates returns the few routers that a router asks whoever watches the store,
// by rendezvous hashing: each is asked by about as many, and one that goes is
// followed by the next.
func Alternates(self coordination.Instance, routers []placement.Router) []coordination.Instance {
	weight := func(r placement.Router) uint64 { return xxhash.Sum64String(string(self) + "\x00" + string(r.ID)) }
	rest := lo.Reject(routers, func(r placement.Router, _ int) bool { return r.ID == self })
	weights := lo.SliceToMap(rest, func(r placement.Router) (coordination.Instance, uint64) { return r.ID, weight(r) })
	slices.SortFunc(rest, func(a, b placement.Router) int { return cmp.Compare(weights[a.ID], weights[b.ID]) })
	rest = rest[:min(len(rest), alternates)]
	return lo.Map(rest, func(r placement.Router, _ int) coordination.Instance { return r.ID })
}

// zone returns the availability zone of this router.
func (f *Feed) zone(routers []placement.Router) coordination.Zone {
	self, _ := lo.Find(routers, func(r placement.Router) bool { return r.ID == f.cfg.Self })
	return self.Zone
}
