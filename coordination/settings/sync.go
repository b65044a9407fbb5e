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

// Member is a live router as reported by Peers.
type Member struct {
	Instance coordination.Instance
	Zone     coordination.Zone
}

// Peers is the part of the connections between routers that Sync uses.
type Peers interface {
	// Members returns the live routers, including this one.
	Members() []Member
	// Broadcast spreads a rumor to all routers by gossip. For each key, only
	// the highest version has to arrive.
	Broadcast(topic, key string, version uint64, payload []byte)
	// OnRumor registers fn to be called with each rumor of topic. fn must not
	// block.
	OnRumor(topic string, fn func(key string, version uint64, payload []byte))
	// Call sends a request to one router and returns its response.
	Call(ctx context.Context, to coordination.Instance, topic string, payload []byte) ([]byte, error)
	// Handle registers fn to respond to the calls of topic.
	Handle(topic string, fn func(ctx context.Context, from coordination.Instance, payload []byte) ([]byte, error))
}

// SyncStore is the part of the platform's key-value service that Sync uses.
type SyncStore interface {
	// Get reads one key. It is used as a health probe.
	Get(ctx context.Context, key string) kv.Result
	List(ctx context.Context, prefix string) kv.Result
	Watch(ctx context.Context, prefix string, from kv.Revision) (<-chan kv.Batch, kv.Result)
}

// Intervals and timeouts of Sync. A change that its editor or a watcher announces
// reaches the other routers by gossip; these values apply when that fails.
const (
	tickInterval       = 250 * time.Millisecond
	confirmInterval    = 2 * time.Second         // the fleet confirms about this often
	maxConfirmationAge = 10 * time.Second        // a router without a confirmation for this long lists the platform
	relistInterval     = time.Minute             // mean time between a watcher's lists, in case its watch is stuck
	driftThreshold     = 1500 * time.Millisecond // a difference that lasts this long is not a propagation delay
	driftQueryInterval = 30 * time.Second        // least time between two index queries for one fingerprint
	listTimeout        = 3 * time.Second
	probeTimeout       = time.Second            // of a health probe of the platform
	listSpacing        = 200 * time.Millisecond // range of the random delay between lists, per router in the fleet
)

// Config configures a Sync.
type Config struct {
	Self coordination.Instance
	Zone coordination.Zone
	// WatchersPerZone is the number of routers per availability zone that
	// watch the platform, in addition to one for the whole fleet. Zero means
	// one.
	WatchersPerZone int
}

// Sync keeps a Replica up to date: from the platform if this router is one of the
// few watchers, from peers otherwise.
type Sync struct {
	cfg     Config
	replica *Replica
	store   SyncStore
	peers   Peers

	ctx        context.Context
	group      sync.WaitGroup
	ready      chan struct{}
	serveSlots chan struct{} // limits the values served at a time
	fetchSlots chan struct{} // limits the values fetched at a time

	mu                 sync.Mutex
	members            []Member // at the last selection of watchers
	selected           bool     // whether this router was selected
	watcher            *watcher
	wanted             map[coordination.Team]Position
	lastConfirmation   confirmation // the newest that was received or made
	lastConfirmedAt    time.Time
	nextListAt         time.Time // time of the next list if there is no confirmation
	driftSince         time.Time // time since which the fingerprints differ
	nextIndexAt        time.Time // time before which no index is queried
	indexedFingerprint uint64    // fingerprint for which an index was last queried
	loaded             bool
	stats              Stats
}

// Stats counts the operations of a Sync.
type Stats struct {
	Lists     int // lists of all settings in the platform
	Watches   int // watches opened
	Fetches   int // values requested from peers
	Indexes   int // indexes queried from peers
	Served    int // values served to peers
	Confirmed int // confirmations broadcast
	Probes    int // health probes of the platform
}

// NewSync starts a Sync and returns it with a function that stops it and waits for
// its goroutines.
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

// Ready returns a channel that is closed once the replica has loaded the settings
// from the platform or from a peer that has loaded them.
func (s *Sync) Ready() <-chan struct{} { return s.ready }

// ConfirmationAge returns the time since the platform last confirmed the settings
// on any router, and whether it ever did.
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

// Stats returns the current counts.
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

// loop runs the periodic checks until the Sync is stopped.
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

// checkRole starts or stops the watcher as the set of live routers changes.
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

// selectWatchers returns the routers that watch the platform: the perZone routers
// of each zone with the highest hashes, and the highest of the rest. Routers with
// different member lists may select more or fewer watchers for a while, which
// only costs additional calls or leaves fewer watchers.
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

// shouldWatch reports whether this router is selected as a watcher.
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

// checkConfirmationAge lists the platform once the last confirmation is older than
// maxConfirmationAge. The first router that succeeds confirms for all. The random
// delay grows with the fleet; otherwise all routers would query the platform at
// once, repeatedly, for as long as an outage lasts.
func (s *Sync) checkConfirmationAge() {
	s.mu.Lock()
	now := time.Now()
	if s.watcher != nil || !s.loaded || now.Sub(s.lastConfirmedAt) < maxConfirmationAge {
		s.nextListAt = time.Time{}
		s.mu.Unlock()
		return
	}
	maxDelay := max(2*maxConfirmationAge, time.Duration(len(s.members))*listSpacing)
	if s.nextListAt.IsZero() {
		s.nextListAt = now.Add(rand.N(maxDelay))
	}
	due := !now.Before(s.nextListAt)
	if due {
		s.nextListAt = now.Add(maxConfirmationAge + rand.N(maxDelay))
	}
	s.mu.Unlock()
	if due {
		s.list(s.ctx)
	}
}

// list reads all settings from the platform, offers them to the replica and
// confirms. It returns the revision of the read, and false if the read failed.
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
	for _, snapshot := range s.replica.Snapshots() {
		if !found[snapshot.Team] {
			s.replica.Remove(snapshot.Team, res.Revision)
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
