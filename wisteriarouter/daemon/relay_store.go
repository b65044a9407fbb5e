package daemon

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/do/v2"
	"github.com/samber/lo"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/membership"
	"wisteriaspool/coordination/mirror"
	"wisteriaspool/coordination/placement"
	"wisteriaspool/platform"
	"wisteriaspool/wisteriarouter/event"
	"wisteriaspool/wisteriarouter/peer"
)

// storeTimeout bounds a call to the platform's store, which answers in some
// milliseconds; a slow one takes 60 times as long.
const storeTimeout = time.Second

func newStore(i do.Injector) (*platform.Store, error) {
	cfg := settingsOf(i).Relay
	observe := newStoreMetrics(do.MustInvoke[*prometheus.Registry](i))
	s, cleanup := platform.NewStore(platform.StoreConfig{Address: cfg.Store, Timeout: storeTimeout, OnCall: observe})
	onStop(i, cleanup)
	return s, nil
}

// peerTimeout is how much longer than its wait another router's answer may take.
const peerTimeout = 500 * time.Millisecond

// newMirror makes the router's copy of what the store holds, which the parts
// that go by it observe.
func newMirror(do.Injector) (*mirror.Mirror, error) { return mirror.New(), nil }

// feed starts to feed the mirror, whose observers are set by then, from the
// store and from other routers. A router that the store turns away still hears
// of changes from those that it serves.
func feed(i do.Injector, m *mirror.Mirror, asked *mirror.Asked) {
	node := do.MustInvoke[*peer.Node](i)
	f := &fleetOf{node: node, reach: do.MustInvoke[*reach](i), mirror: m, lost: make(map[coordination.Instance]time.Time)}
	f.store = &mirror.Follower{
		Mirror:  m,
		Source:  mirror.StoreSource{Store: do.MustInvoke[*platform.Store](i), Prefix: platform.Prefix, Wait: f.watchWait},
		Idle:    f.leaveToOthers,
		OnState: storeLogger{logOf(i)}.told,
	}
	peers := &mirror.Follower{Mirror: m, Source: mirror.PeerSource{
		Transport: f.reach,
		Choose:    f.choose,
		Prefix:    platform.Prefix,
		Wait:      func() time.Duration { return mirror.PeerWait(len(f.node.Members())) },
		Timeout:   peerTimeout,
		OnLost:    f.avoid,
		Asked:     asked,
	}}
	server := &mirror.Server{Mirrors: map[string]*mirror.Mirror{platform.Prefix: m}, Lost: f.store.Lost}
	node.Handle(mirror.Topic, func(ctx context.Context, _ coordination.Instance, payload []byte) ([]byte, error) {
		return server.Handle(ctx, payload)
	})
	onStop(i, f.store.Start())
	onStop(i, peers.Start())
}

// storeLogger logs that the store is lost or back.
type storeLogger struct{ log event.Log }

func (s storeLogger) told(err error) {
	if err == nil {
		s.log.Emit(event.PlatformBack)
		return
	}
	s.log.Emit(event.PlatformLost, event.F("error", err.Error()))
}

// fleetOf tells whom a router asks for what the store holds.
type fleetOf struct {
	node   *peer.Node
	reach  *reach
	mirror *mirror.Mirror
	store  *mirror.Follower // of the store

	mu   sync.Mutex
	lost map[coordination.Instance]time.Time // when each was found not to reach the store
}

// avoidFor is how long a router that does not reach the store is not asked.
const avoidFor = 2 * time.Second

// avoid notes that a router does not reach the store.
func (f *fleetOf) avoid(id coordination.Instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lost[id] = time.Now()
}

// reaches reports whether a router is worth asking, as far as is known.
func (f *fleetOf) reaches(id coordination.Instance) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.lost[id]) > avoidFor
}

// routers returns the routers that answer, as far as this one knows.
func (f *fleetOf) routers() []placement.Router {
	return lo.FilterMap(f.node.Members(), func(m membership.Member, _ int) (placement.Router, bool) {
		return placement.Router{ID: m.Instance, Zone: m.Zone}, m.State != membership.Leaving && !f.reach.away(m.Instance)
	})
}

// reaching returns the routers that answer and, as far as is known, reach the
// store. Of these some watch it, so that others take over at once from those
// that it turns away.
func (f *fleetOf) reaching() []placement.Router {
	return lo.Filter(f.routers(), func(r placement.Router, _ int) bool { return f.reaches(r.ID) })
}

func (f *fleetOf) watchWait() time.Duration {
	return mirror.WatchWait(len(mirror.Watchers(f.reaching())), f.store.Lost())
}

// leaveToOthers reports whether the store need not be asked now. Before its
// first answer it is, so that a router that starts is ready at once.
func (f *fleetOf) leaveToOthers() bool {
	return f.mirror.AsOf() > 0 && !mirror.NeedsStore(f.node.Self().Instance, f.reaching(), f.mirror.Age())
}

// anyEvery is how often a router asks any other one rather than one of those
// that watch the store: these may all be cut off from it.
const anyEvery = 3

// choose names the router to ask next: mostly one that watches the store and is
// of the same availability zone, for traffic between zones has a price.
func (f *fleetOf) choose() (coordination.Instance, bool) {
	routers, self := f.reaching(), f.node.Self()
	among := mirror.Watchers(routers)
	near := lo.FilterMap(routers, func(r placement.Router, _ int) (coordination.Instance, bool) {
		return r.ID, r.Zone == self.Zone && slices.Contains(among, r.ID) && r.ID != self.Instance
	})
	switch {
	case rand.IntN(anyEvery) == 0:
		among = lo.Map(routers, func(r placement.Router, _ int) coordination.Instance { return r.ID })
	case len(near) > 0:
		among = near
	}
	among = lo.Without(among, self.Instance)
	if len(among) == 0 {
		return "", false
	}
	return among[rand.IntN(len(among))], true
}
