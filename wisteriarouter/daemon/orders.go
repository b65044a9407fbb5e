package daemon

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/do/v2"
	"github.com/samber/lo"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/budget"
	"wisteriaspool/coordination/kv"
	"wisteriaspool/coordination/order"
	"wisteriaspool/coordination/placement"
	"wisteriaspool/coordination/settings"
	"wisteriaspool/wisteriarouter/endpoint"
	"wisteriaspool/wisteriarouter/engine"
	"wisteriaspool/wisteriarouter/event"
	"wisteriaspool/wisteriarouter/platform"
)

// poolOrders derives from the settings in force what the engines of each pool
// should have loaded. It implements [order.Pools].
type poolOrders struct {
	self      coordination.Instance
	teams     *teamSettings
	placer    *placer
	directory *endpoint.Directory
}

func newOrders(i do.Injector) (*order.Reconciler, error) {
	o := &poolOrders{
		self:      stateOf(i).instance,
		teams:     do.MustInvoke[*teamSettings](i),
		placer:    do.MustInvoke[*placer](i),
		directory: do.MustInvoke[*endpoint.Directory](i),
	}
	given := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "wisteria_orders_total",
		Help: "Orders given to engines, by kind and result.",
	}, []string{"kind", "result"})
	do.MustInvoke[*prometheus.Registry](i).MustRegister(given)
	log := logOf(i)
	g, stop := order.New(order.Config{
		Self: o.self,
		Pace: o.pace,
		OnResult: func(p coordination.Pool, t order.Target, ord order.Order, r order.Result) {
			given.WithLabelValues(string(ord.Kind), r.String()).Inc()
			log.Emit(event.OrderGiven, event.F("pool", p), event.F("endpoint", t.Endpoint), event.F("kind", ord.Kind), event.F("name", ord.Name), event.F("result", r.String()))
		},
	}, orderStore{budgetedStore{store: do.MustInvoke[*platform.Client](i), budget: do.MustInvoke[*budget.Budget](i)}}, o, do.MustInvoke[*engine.Client](i))
	onStop(i, stop)
	return g, nil
}

// models returns the model settings of all teams that use a pool.
func (o *poolOrders) models(p coordination.Pool) []settings.Model {
	var all []settings.Model
	for _, snapshot := range o.teams.replica.Snapshots() {
		for _, m := range snapshot.Settings.Models() {
			if m.Pool() == p {
				all = append(all, m)
			}
		}
	}
	return all
}

// AssignedPools implements [order.Pools]. It returns the pools of which this router is
// the root and for which at least one team has set something to load.
func (o *poolOrders) AssignedPools() []coordination.Pool {
	view := o.placer.routers.Load()
	return lo.Filter(o.directory.Pools(), func(p coordination.Pool, _ int) bool {
		return view.Root(p, noneSilent) == o.self && len(o.Plan(p)) > 0
	})
}

// noneSilent reports no router as silent: when a root dies, its lease expires and
// passes to another router without that information.
func noneSilent(coordination.Instance) bool { return false }

// Targets implements [order.Pools].
func (o *poolOrders) Targets(p coordination.Pool) []order.Target {
	return lo.FilterMap(o.directory.Pool(p), func(k endpoint.Info, _ int) (order.Target, bool) {
		t := order.Target{Endpoint: k.ID, Incarnation: k.Incarnation, Address: k.Address}
		return t, k.State != placement.Leaving && k.Kind == platform.Engine
	})
}

// Plan implements [order.Pools]. The engines of a pool that several teams share
// load the adapters of all of them.
func (o *poolOrders) Plan(p coordination.Pool) order.Plan {
	var adapters []order.Order
	for _, m := range o.models(p) {
		for _, a := range m.Adapters {
			adapters = append(adapters, order.Order{Kind: order.LoadAdapter, Name: a, Version: m.Version})
		}
	}
	slices.SortFunc(adapters, func(a, b order.Order) int { return cmp.Compare(a.Name, b.Name) })
	return slices.Compact(adapters)
}

// pace returns the least time between two loads in a pool: the longest that any
// of its teams has set.
func (o *poolOrders) pace(p coordination.Pool) time.Duration {
	var pace time.Duration
	for _, m := range o.models(p) {
		pace = max(pace, m.LoadPace)
	}
	return pace
}

// orderStore charges lease calls for orders to this router's platform call budget.
type orderStore struct {
	budgetedStore
}

// Grant implements [order.Store].
func (s orderStore) Grant(ctx context.Context, ttl time.Duration) (kv.Lease, kv.Result) {
	if res, ok := s.spend(); !ok {
		return kv.Lease{}, res
	}
	return s.store.Grant(ctx, ttl)
}

// KeepAlive implements [order.Store].
func (s orderStore) KeepAlive(ctx context.Context, id kv.Lease) kv.Result {
	if res, ok := s.spend(); !ok {
		return res
	}
	return s.store.KeepAlive(ctx, id)
}
