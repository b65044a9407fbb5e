package daemon

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/kv"
	"wisteriaspool/coordination/mirror"
	"wisteriaspool/coordination/origin"
	"wisteriaspool/coordination/placement"
	"wisteriaspool/coordination/synctest"
	"wisteriaspool/wisteriarouter/endpoint"
	"wisteriaspool/wisteriarouter/relay"
)

// keeperTransport passes questions to the keeper of another router, or fails if there is
// none.
type keeperTransport struct{ other *origin.Keeper }

func (tr keeperTransport) Call(_ context.Context, _ coordination.Instance, topic string, payload []byte) ([]byte, error) {
	if tr.other == nil || topic != origin.TopicFind {
		return nil, errors.New("no reply")
	}
	return tr.other.HandleFind(payload)
}

// emptyStore is a store without streams.
type emptyStore struct{ origin.Store }

func (emptyStore) List(context.Context, string) kv.Result { return kv.Result{Status: kv.Applied} }

func startKeeper(t *testing.T, self coordination.Instance, other *origin.Keeper) *origin.Keeper {
	routers := []placement.Router{{ID: "r0"}, {ID: "r1"}}
	k, stop := origin.NewKeeper(origin.Config{Self: self, Transport: keeperTransport{other}, Routers: func() []placement.Router { return routers }})
	t.Cleanup(stop)
	return k
}

// viewTransport passes questions to another router, or fails if there is none.
type viewTransport struct {
	keeper  *origin.Keeper
	witness *origin.Witness
}

func (tr viewTransport) Call(ctx context.Context, _ coordination.Instance, topic string, payload []byte) ([]byte, error) {
	switch {
	case topic == origin.TopicFind && tr.keeper != nil:
		return tr.keeper.HandleFind(payload)
	case topic == origin.TopicView && tr.witness != nil:
		return tr.witness.HandleView(ctx, payload)
	}
	return nil, errors.New("no reply")
}

// lagging is a router that sees one version in a pool, and another router. What the first one
// is told of the store is as of some time ago.
type lagging struct {
	age        time.Duration // of the router's view
	store      bool          // it reaches the store
	joined     bool          // another version has joined, as the store says
	cut        bool          // the other router does not reply
	otherStore bool          // the other router reaches the store
	otherSees  coordination.SoftwareVersion
	responsive bool // the failure detector considers the other router responsive
	alone      bool // there is no other router, and never was
}

func (l lagging) find(t *testing.T, a coordination.Attempt) relay.Origin {
	routers := []placement.Router{{ID: "r0"}, {ID: "r1"}}
	m := mirror.New()
	m.Apply(mirror.Update{Full: true, AsOf: kv.NewRevision(0, 1)})
	h := &versionHistory{
		mirror:    m,
		directory: &endpoint.Directory{},
		current:   map[coordination.Pool]versionSet{"model": {"v1": true}},
	}
	other := startKeeper(t, "r1", nil)
	other.Record(origin.Record{Attempt: "a", Pool: "model", Version: "v1.1", LeftMs: 120_000})
	tr := viewTransport{keeper: other, witness: origin.NewWitness(origin.WitnessConfig{
		Confirm:  func(context.Context) bool { return l.otherStore },
		Recently: func() bool { return true },
		View: func(coordination.Pool) origin.View {
			return origin.View{Single: l.otherSees != "" && !(l.otherStore && l.joined), Version: l.otherSees}
		},
	})}
	if l.cut {
		tr = viewTransport{}
	}
	known := func(others bool) func() []placement.Router {
		return func() []placement.Router {
			if others && !l.alone {
				return routers
			}
			return routers[:1]
		}
	}
	keeper, stop := origin.NewKeeper(origin.Config{Self: "r0", Transport: tr, Routers: known(l.responsive)})
	t.Cleanup(stop)
	writer, stop := origin.NewWriter(origin.WriterConfig{Self: "r0", Store: emptyStore{}, Routers: known(false)})
	t.Cleanup(stop)
	confirm := func(context.Context) bool {
		if l.store && l.joined {
			h.replace(time.Now(), map[coordination.Pool]versionSet{"model": {"v1": true, "v1.1": true}})
		}
		return l.store
	}
	o := &origins{
		keeper: keeper, writer: writer, mirror: m, history: h, loadedBy: time.Now(), joined: time.Now(), loaded: make(chan struct{}),
		witness: origin.NewWitness(origin.WitnessConfig{Self: "r0", Transport: tr, Recent: known(true), Confirm: confirm, View: h.view, Recently: h.recent, Alone: l.alone}),
	}
	time.Sleep(l.age)
	return o.Find(t.Context(), relay.StreamID{Attempt: a}, "model")
}

// Guards against a stream that goes on at another version at a router that has not heard of
// the version that began it, as it lags behind, is cut off or has stood still.
func TestRouterThatLagsBehindAsksForStreamOfSingleVersion(t *testing.T) {
	const second = time.Second
	known := relay.Origin{Known: true, Version: "v1.1", From: "r1", Asked: 1}
	confirmed := relay.Origin{Single: true, Confirmed: true, Version: "v1"}
	for _, tc := range []struct {
		name    string
		router  lagging
		attempt coordination.Attempt
		want    relay.Origin
	}{
		{"known to another", lagging{responsive: true, otherSees: "v1"}, "a", known},
		{"known to another, store down", lagging{responsive: true, otherSees: "v1", age: 30 * second}, "a", known},
		{"store reached", lagging{store: true, cut: true}, "b", confirmed},
		{"store reached, old view", lagging{store: true, cut: true, age: 2 * time.Minute}, "b", relay.Origin{Single: true, Confirmed: true, Version: "v1"}},
		{"store reached, without id", lagging{store: true, cut: true}, "", confirmed},
		{"another version joined", lagging{store: true, joined: true, cut: true}, "b", relay.Origin{}},
		{"another version joined, without id", lagging{store: true, joined: true, cut: true}, "", relay.Origin{}},
		{"cut off a moment ago", lagging{cut: true}, "a", relay.Origin{Asked: 1, Silent: 1}},
		{"cut off a moment ago, not noticed", lagging{cut: true, responsive: true}, "a", relay.Origin{Asked: 2, Silent: 2}},
		{"cut off for a while", lagging{cut: true, age: 30 * second}, "a", relay.Origin{Asked: 1, Silent: 1}},
		{"cut off, without id", lagging{cut: true, responsive: true}, "", relay.Origin{Asked: 1, Silent: 1}},
		{"other reaches the store", lagging{otherStore: true, otherSees: "v1"}, "b", relay.Origin{Single: true, Confirmed: true, Version: "v1", Asked: 1}},
		{"other learns of another version", lagging{otherStore: true, otherSees: "v1", joined: true}, "b", relay.Origin{Asked: 1}},
		{"other has seen another version only", lagging{otherStore: true, otherSees: "v1.1"}, "b", relay.Origin{Asked: 1}},
		{"store down for all", lagging{otherSees: "v1", age: 30 * second}, "b", relay.Origin{Single: true, Version: "v1", Asked: 1}},
		{"store down for all, without id", lagging{otherSees: "v1", age: 30 * second}, "", relay.Origin{Single: true, Version: "v1", Asked: 1}},
		{"store down for longer than streams last", lagging{otherSees: "v1", age: 2 * time.Minute}, "b", relay.Origin{Asked: 1}},
		{"store down, mixed before", lagging{}, "b", relay.Origin{Asked: 1}},
		{"store down, no other router", lagging{alone: true}, "b", relay.Origin{Single: true, Version: "v1"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				assert.Equal(t, tc.router.find(t, tc.attempt), tc.want)
			})
		})
	}
}
