package daemon

import (
	"context"
	"time"

	"github.com/danielgtaylor/huma/v2"
	"github.com/samber/do/v2"
	"github.com/samber/lo"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/budget"
	"wisteriaspool/coordination/calls"
	"wisteriaspool/coordination/kv"
	"wisteriaspool/coordination/membership"
	"wisteriaspool/coordination/settings"
	"wisteriaspool/wisteriarouter/endpoint"
	"wisteriaspool/wisteriarouter/operator"
	"wisteriaspool/wisteriarouter/peer"
	"wisteriaspool/wisteriarouter/platform"
)

// addOperatorAPI registers the operator API.
func addOperatorAPI(i do.Injector, api huma.API) {
	t := do.MustInvoke[*teamSettings](i)
	node := do.MustInvoke[*peer.Node](i)
	store := budgetedStore{store: do.MustInvoke[*platform.Client](i), budget: do.MustInvoke[*budget.Budget](i)}
	st := &statusReporter{
		state:     stateOf(i),
		zone:      configOf(i).Zone,
		teams:     t,
		node:      node,
		directory: do.MustInvoke[*endpoint.Directory](i),
		placer:    do.MustInvoke[*placer](i),
		calls:     do.MustInvoke[*calls.Watcher](i),
	}
	s := &operator.Server{
		Self:    st.state.instance,
		Editor:  settings.NewEditor(store, t.replica),
		Replica: t.replica,
		Peers:   settingsPeers{node, do.MustInvoke[*peer.FailureDetector](i)},
		Status:  st.report,
		Log:     logOf(i),
	}
	s.Register(api)
	do.MustInvoke[*crashSuspicion](i).suspectServer().Register(api)
}

// Get implements [settings.EditorStore].
func (s budgetedStore) Get(ctx context.Context, key string) kv.Result {
	if res, ok := s.spend(); !ok {
		return res
	}
	return s.store.Get(ctx, key)
}

// CompareAndSwap implements [settings.EditorStore].
func (s budgetedStore) CompareAndSwap(ctx context.Context, key string, value []byte, expect kv.Revision, lease kv.Lease) kv.Result {
	if res, ok := s.spend(); !ok {
		return res
	}
	return s.store.CompareAndSwap(ctx, key, value, expect, lease)
}

// statusReporter assembles the status of this router for the operator API.
type statusReporter struct {
	state     *state
	zone      coordination.Zone
	teams     *teamSettings
	node      *peer.Node
	directory *endpoint.Directory
	placer    *placer
	calls     *calls.Watcher
}

func (s *statusReporter) report() operator.Status {
	return operator.Status{
		Instance:    s.state.instance,
		Incarnation: s.state.incarnation,
		Zone:        s.zone,
		State:       s.state.String(),
		Started:     s.state.started,
		InFlight:    s.state.inFlight(),
		Settings:    s.teams.replica.Status(),
		Platform:    s.platform(),
		Calls:       callStatus(s.calls),
		Peers: lo.Map(s.node.Members(), func(m membership.Member, _ int) operator.PeerStatus {
			return operator.PeerStatus{Instance: m.Instance, Zone: m.Zone, State: m.State.String()}
		}),
		Endpoints: lo.Map(s.directory.All(), func(k endpoint.Info, _ int) operator.EndpointStatus {
			return endpointStatus(s.placer, k)
		}),
	}
}

func (s *statusReporter) platform() operator.PlatformStatus {
	p := operator.PlatformStatus{Watching: s.teams.sync.Watching(), ConfirmedMsAgo: -1}
	if age, ever := s.teams.sync.ConfirmationAge(); ever {
		p.ConfirmedMsAgo = age.Round(time.Millisecond).Milliseconds()
	}
	return p
}

// endpointStatus returns the state of an endpoint as p sees it.
func endpointStatus(p *placer, k endpoint.Info) operator.EndpointStatus {
	return operator.EndpointStatus{
		Endpoint: k.ID,
		Pool:     k.Pool,
		Zone:     k.Zone,
		State:    k.State.String(),
		Running:  p.runningRequests(k.ID),
		Capacity: k.Capacity,
		Owner:    p.routers.Load().Owner(k.ID, k.Zone),
	}
}
