package settings

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/kv"
)

// Member is a live router, as Peers reports it.
type Member struct {
	Instance coordination.Instance
	Zone     coordination.Zone
}

// Peers is what Sync needs of the connections between routers.
type Peers interface {
	// Members returns the live routers, this one among them.
	Members() []Member
	// Broadcast spreads a rumour to all; of one key only the highest version
	// has to arrive.
	Broadcast(topic, key string, version uint64, payload []byte)
	// OnRumor has fn called with each rumour of topic. It must not block.
	OnRumor(topic string, fn func(key string, version uint64, payload []byte))
	// Call asks one router and waits for its answer.
	Call(ctx context.Context, to coordination.Instance, topic string, payload []byte) ([]byte, error)
	// Handle sets what answers the calls of topic.
	Handle(topic string, fn func(ctx context.Context, from coordination.Instance, payload []byte) ([]byte, error))
}

// SyncStore is the part of the platform's service that Sync needs.
type SyncStore interface {
	// Get reads one key, as a sign of life.
	Get(ctx context.Context, key string) kv.Result
	List(ctx context.Context, prefix string) kv.Result
	Watch(ctx context.Context, prefix string, from kv.Revision) (<-chan kv.Batch, kv.Result)
}

// Times of Sync. A change that its editor or a watcher announces reaches the
// others by gossip; the times below are for when that fails.
const (
	tickInterval       = 250 * time.Millisecond
	confirmInterval    = 2 * time.Second         // the fleet confirms this often
	maxConfirmationAge = 10 * time.Second        // without a confirmation, ask the platform
	relistInterval     = time.Minute             // a watcher reads all, in case its watch is stuck
	driftThreshold     = 1500 * time.Millisecond // a difference this old is no mere delay
	driftQueryInterval = 30 * time.Second        // after asking about a difference in vain
	listTimeout        = 3 * time.Second
	probeTimeout       = time.Second            // for a sign of life of the platform
	listSpacing        = 200 * time.Millisecond // between two routers that look at the platform
)

// Config tells a Sync where it runs.
type Config struct {
	Self coordination.Instance
	Zone coordination.Zone
	// WatchersPerZone bounds the routers that watch the platform; one more
	// watches for all zones. Zero means one.
	WatchersPerZone int
}

// Sync keeps a replica up to date: from the platform if this router is one of
// the few watchers, from its peers otherwise.
type Sync struct {
	cfg     Config
	replica *Replica
	store   SyncStore
	peers   Peers

	ctx        context.Context
	group      sync.WaitGroup
	ready      chan struct{}
	serveSlots chan struct{} // bounds the values served at a time
	fetchSlots chan struct{} // bounds the values fetched at a time

	mu                 sync.Mutex
	members            []Member // at the last choice of watchers
	selected           bool     // whether that choice fell on this router
	watcher            *watcher
	wanted             map[coordination.Team]Position
	lastConfirmation   confirmation // the newest that was heard or made
	lastConfirmedAt    time.Time
	nextListAt         time.Time // of the next direct look at the platform
	driftSince         time.Time // since when the fingerprints differ
	nextIndexAt        time.Time // before which no index is asked for
	indexedFingerprint uint64    // the fingerprint that the last index was asked for
	loaded             bool
	stats              Stats
}

// Stats counts what a Sync did, for metrics.
type Stats struct {
	Lists     int // reads of all settings from the platform
	Watches   int // watches opened
	Fetches   int // values asked of peers
	Indexes   int // indexes asked of peers
	Served    int // values given to peers
	Confirmed int // confirmations spread
	Probes    int // signs of life asked of the platform
}

// NewSync returns a Sync at work, and a function that stops it.
func NewSync(cfg Config, replica *Replica, store SyncStore, peers Peers) (*Sync, func()) {
	if cfg.WatchersPerZone <= 0 {
		cfg.WatchersPerZone = 1
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Sync{
		cfg:        cfg,
		replica:    replica,
		store:      store,
		peers:      peers,
		ctx:        ctx,
		ready:      make(chan struct{}),
		serveSlots: make(chan struct{}, maxConcurrentServes),
		fetchSlots: make(chan struct{}, maxConcurrentFetches),
		wanted:     make(map[coordination.Team]Position),
	}
	replica.Observe(s.observe)
	peers.Handle(topicValue, s.serveValue)
	peers.Handle(topicIndex, s.serveIndex)
	peers.OnRumor(topicChange, s.handleChangeRumor)
	peers.OnRumor(topicConfirmation, s.handleConfirmationRumor)
	s.group.Add(2)
	go s.loop()
	go (&loader{s}).run()
	return s, func() {
		cancel()
		s.group.Wait()
	}
}

// Ready is closed once the replica holds the settings of the platform or of a
// peer that does.
func (s *Sync) Ready() <-chan struct{} { return s.ready }

// ConfirmationAge returns how long ago the platform last confirmed the settings, on any
// router, and whether it ever did.
func (s *Sync) ConfirmationAge() (age time.Duration, ever bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.lastConfirmedAt), !s.lastConfirmedAt.IsZero()
}

// Watching reports whether this router watches the platform.
func (s *Sync) Watching() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watcher != nil
}

// Stats returns the counts so far.
func (s *Sync) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

func (s *Sync) count(fn func(*Stats)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fn(&s.stats)
}

// loop does what is due until the Sync is stopped.
func (s *Sync) loop() {
	defer s.group.Done()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		s.checkRole()
		s.checkConfirmationAge()
		s.checkDrift()
		select {
		case <-ticker.C:
		case <-s.ctx.Done():
			s.stopWatching()
			return
		}
	}
}

// checkRole starts or stops watching as the live routers change.
func (s *Sync) checkRole() {
	if !s.shouldWatch() {
		s.stopWatching()
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.watcher != nil || !s.loaded {
		return
	}
	ctx, cancel := context.WithCancel(s.ctx)
	s.watcher = &watcher{s: s, cancel: cancel}
	s.group.Add(1)
	go s.watcher.run(ctx)
}

func (s *Sync) stopWatching() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.watcher != nil {
		s.watcher.cancel()
		s.watcher = nil
	}
}

// watchers returns who watches the platform: the first of each zone by hash,
// and the first of the rest. Routers whose lists of members differ may choose
// more or fewer for a while, which only costs calls or leaves the work to the
// remaining ones.
func selectWatchers(perZone int, members []Member) []coordination.Instance {
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b Member) int { return cmp.Compare(watcherHash(b.Instance), watcherHash(a.Instance)) })
	inZone := make(map[coordination.Zone]int)
	var chosen []coordination.Instance
	extra := false
	for _, m := range ranked {
		switch {
		case inZone[m.Zone] < perZone:
			inZone[m.Zone]++
		case !extra:
			extra = true
		default:
			continue
		}
		chosen = append(chosen, m.Instance)
	}
	return chosen
}

// isWatcher reports whether this router is to watch.
func (s *Sync) shouldWatch() bool {
	members := s.peers.Members()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !slices.Equal(members, s.members) {
		s.members = members
		s.selected = slices.Contains(selectWatchers(s.cfg.WatchersPerZone, members), s.cfg.Self)
	}
	return s.selected
}

func watcherHash(i coordination.Instance) uint64 {
	return xxhash.Sum64String("settings-watcher/" + string(i))
}

// checkFreshness looks at the platform directly once no peer has shown a
// confirmation for a while. The first router that succeeds confirms for all. The
// times are spread by the size of the fleet: else all would ask at once, again
// and again for as long as an outage lasts.
func (s *Sync) checkConfirmationAge() {
	s.mu.Lock()
	now := time.Now()
	if s.watcher != nil || !s.loaded || now.Sub(s.lastConfirmedAt) < maxConfirmationAge {
		s.nextListAt = time.Time{}
		s.mu.Unlock()
		return
	}
	spread := max(2*maxConfirmationAge, time.Duration(len(s.members))*listSpacing)
	if s.nextListAt.IsZero() {
		s.nextListAt = now.Add(rand.N(spread))
	}
	due := !now.Before(s.nextListAt)
	if due {
		s.nextListAt = now.Add(maxConfirmationAge + rand.N(spread))
	}
	s.mu.Unlock()
	if due {
		s.list(s.ctx)
	}
}

// list reads all settings from the platform, offers them and confirms. It
// returns the revision that was read.
func (s *Sync) list(ctx context.Context) (kv.Revision, bool) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	s.count(func(st *Stats) { st.Lists++ })
	res := s.store.List(ctx, Prefix)
	if res.Status != kv.Applied {
		return 0, false
	}
	found := make(map[coordination.Team]bool)
	for _, pair := range res.Pairs {
		if team, ok := TeamOf(pair.Key); ok {
			found[team] = true
			s.replica.Offer(team, pair)
		}
	}
	for _, in := range s.replica.Snapshots() {
		if !found[in.Team] {
			s.replica.Remove(in.Team, res.Revision)
		}
	}
	s.confirm(res.Revision)
	return res.Revision, true
}

func (s *Sync) setReady() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.loaded {
		s.loaded = true
		close(s.ready)
	}
}
