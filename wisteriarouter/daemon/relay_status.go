package daemon

import (
	"github.com/samber/do/v2"
	"github.com/samber/lo"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/calls"
	"wisteriaspool/coordination/membership"
	"wisteriaspool/wisteriarouter/endpoint"
	"wisteriaspool/wisteriarouter/operator"
	"wisteriaspool/wisteriarouter/peer"
)

// relayStatus assembles the status of a relaying router for the operator API.
type relayStatus struct {
	state   *state
	zone    coordination.Zone
	node    *peer.Node
	desired *desiredState
	placer  *placer
	calls   *calls.Watcher
}

func newRelayStatus(i do.Injector) *relayStatus {
	return &relayStatus{
		state:   stateOf(i),
		zone:    configOf(i).Zone,
		node:    do.MustInvoke[*peer.Node](i),
		desired: do.MustInvoke[*desiredState](i),
		placer:  do.MustInvoke[*placer](i),
		calls:   do.MustInvoke[*calls.Watcher](i),
	}
}

func (s *relayStatus) report() operator.Status {
	return operator.Status{
		Instance:    s.state.instance,
		Incarnation: s.state.incarnation,
		Zone:        s.zone,
		State:       s.state.String(),
		Started:     s.state.started,
		InFlight:    s.state.inFlight(),
		Platform:    s.platform(),
		Peers: lo.Map(s.node.Members(), func(m membership.Member, _ int) operator.PeerStatus {
			return operator.PeerStatus{Instance: m.Instance, Zone: m.Zone, State: m.State.String()}
		}),
		Endpoints: lo.Map(s.placer.listEndpoints(), func(k endpoint.Info, _ int) operator.EndpointStatus {
			return endpointStatus(s.placer, k)
		}),
		Calls: callStatus(s.calls),
	}
}

func (s *relayStatus) platform() operator.PlatformStatus {
	p := operator.PlatformStatus{Watching: true, ConfirmedMsAgo: -1}
	if s.desired.Table() != nil {
		p.ConfirmedMsAgo = s.desired.Age().Milliseconds()
	}
	return p
}
