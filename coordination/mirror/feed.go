package mirror

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

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

	mu   sync.Mutex
	lost map[coordination.Instance]time.Time // when each was found not to reach the store
}

// peerTimeout is how much longer than its wait another router's answer may take.
const peerTimeout = 500 * time.Millisecond

// NewFeed returns a feed, which answers other routers and does nothing else
// before its start.
func NewFeed(cfg FeedConfig) *Feed {
	f := &Feed{cfg: cfg, lost: make(map[coordination.Instance]time.Time)}
	f.teller, f.fetcher = newTeller(f), newFetcher(f)
	f.store = &Follower{
		Mirror:  cfg.Mirror,
		Source:  StoreSource{Store: cfg.Store, Prefix: cfg.Prefix, Wait: f.watchWait},
		Idle:    f.leaveToOthers,
		OnState: cfg.OnState,
		OnNews:  f.teller.tell,
	}
	f.peers = &Follower{Mirror: cfg.Mirror, Source: PeerSource{
		Transport: cfg.Transport,
		Choose:    f.choose,
		Prefix:    cfg.Prefix,
		Wait:      func() time.Duration { return PeerWait(len(cfg.Routers())) },
		Timeout:   peerTimeout,
		OnLost:    f.avoid,
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

// Handle answers a call of another router on [Topic].
func (f *Feed) Handle(ctx context.Context, from coordination.Instance, payload []byte) ([]byte, error) {
	b, asOf, err := f.server.handle(ctx, payload)
	if err == nil {
		f.teller.answered(from, asOf)
	}
	return b, err
}

// avoidFor is how long a router that does not reach the store is not asked.
const avoidFor = 2 * time.Second

// avoid notes that a router does not reach the store.
func (f *Feed) avoid(id coordination.Instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lost[id] = time.Now()
}

// reaches reports whether a router is worth asking, as far as is known.
func (f *Feed) reaches(id coordination.Instance) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.lost[id]) > avoidFor
}

// reaching returns the routers that answer and, as far as is known, reach the
// store. Of these some watch it, so that others take over at once from those
// that it turns away.
func (f *Feed) reaching() []placement.Router {
	return lo.Filter(f.cfg.Routers(), func(r placement.Router, _ int) bool { return f.reaches(r.ID) })
}

func (f *Feed) watchWait() time.Duration {
	return WatchWait(len(Watchers(f.reaching())), f.store.Lost())
}

// leaveToOthers reports whether the store need not be asked now. Before its
// first answer it is, so that a router that starts is ready at once.
func (f *Feed) leaveToOthers() bool {
	return f.cfg.Mirror.AsOf() > 0 && !NeedsStore(f.cfg.Self, f.reaching(), f.cfg.Mirror.Age())
}

// anyEvery is how often a router asks any other one rather than one of those
// that watch the store: these may all be cut off from it.
const anyEvery = 3

// choose names the router to ask next: mostly one that watches the store and is
// of the same availability zone, for traffic between zones has a price.
func (f *Feed) choose() (coordination.Instance, bool) {
	routers := f.reaching()
	zone := f.zone(routers)
	among := Watchers(routers)
	near := lo.FilterMap(routers, func(r placement.Router, _ int) (coordination.Instance, bool) {
		return r.ID, r.Zone == zone && slices.Contains(among, r.ID) && r.ID != f.cfg.Self
	})
	switch {
	case rand.IntN(anyEvery) == 0:
		among = lo.Map(routers, func(r placement.Router, _ int) coordination.Instance { return r.ID })
	case len(near) > 0:
		among = near
	}
	among = lo.Without(among, f.cfg.Self)
	if len(among) == 0 {
		return "", false
	}
	return among[rand.IntN(len(among))], true
}

// zone returns the availability zone of this router.
func (f *Feed) zone(routers []placement.Router) coordination.Zone {
	self, _ := lo.Find(routers, func(r placement.Router) bool { return r.ID == f.cfg.Self })
	return self.Zone
}
