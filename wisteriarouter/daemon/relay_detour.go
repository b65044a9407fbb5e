package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/do/v2"
	"github.com/samber/lo"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/detour"
	"wisteriaspool/coordination/membership"
	"wisteriaspool/wisteriarouter/endpoint"
	"wisteriaspool/wisteriarouter/event"
	"wisteriaspool/wisteriarouter/peer"
	"wisteriaspool/wisteriarouter/upstream"
)

// tunnels implements upstream.Tunnels.
type tunnels struct {
	node      *peer.Node
	detector  *peer.FailureDetector
	directory *endpoint.Directory
	regions   map[coordination.Zone]coordination.Region
	opened    *prometheus.CounterVec
}

// Routers implements upstream.Tunnels.
func (t tunnels) Routers(address string) []detour.Router {
	k, ok := findAddress(t.directory, address)
	if !ok {
		return nil
	}
	return helpers(t.detector.Responsive(), t.node.Self().Instance, t.regions, t.regions[k.Zone])
}

// findAddress returns the endpoint that is listed with an address.
func findAddress(d *endpoint.Directory, address string) (endpoint.Info, bool) {
	return lo.Find(d.All(), func(k endpoint.Info) bool { return k.Address == address })
}

// helpers returns the other routers of a region. Those of an endpoint's region may see
// every request that runs there, also one whose body must not leave its regions.
func helpers(members []membership.Member, self coordination.Instance, regions map[coordination.Zone]coordination.Region, region coordination.Region) []detour.Router {
	return lo.FilterMap(members, func(m membership.Member, _ int) (detour.Router, bool) {
		return detour.Router{ID: m.Instance, Zone: m.Zone}, m.Instance != self && regions[m.Zone] == region
	})
}

// Open implements upstream.Tunnels.
func (t tunnels) Open(ctx context.Context, via coordination.Instance, address string) (net.Conn, error) {
	c, err := t.node.OpenTunnel(ctx, via, address)
	switch {
	case err == nil:
		t.opened.WithLabelValues("made").Inc()
	case errors.Is(err, peer.ErrEndpointUnreachable):
		t.opened.WithLabelValues("unreachable").Inc()
		err = fmt.Errorf("%w: %w", upstream.ErrUnreachable, err)
	default:
		t.opened.WithLabelValues("no-help").Inc()
	}
	return c, err
}

// Serves implements upstream.Tunnels.
func (t tunnels) Serves(via coordination.Instance) bool {
	return lo.ContainsBy(t.detector.Responsive(), func(m membership.Member) bool { return m.Instance == via })
}

// newDetour creates the dialer of connections to endpoints.
func newDetour(i do.Injector) (*upstream.Detour, error) {
	cfg := configOf(i)
	t := tunnels{
		node:      do.MustInvoke[*peer.Node](i),
		detector:  do.MustInvoke[*peer.FailureDetector](i),
		directory: do.MustInvoke[*endpoint.Directory](i),
		regions:   cfg.Regions,
		opened: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "wisteria_endpoint_tunnels_total",
			Help: "Connections to endpoints that were requested of other routers, by result.",
		}, []string{"result"}),
	}
	do.MustInvoke[*prometheus.Registry](i).MustRegister(t.opened)
	return &upstream.Detour{
		Direct:  do.MustInvoke[endpointDial](i),
		Tunnels: t,
		Planner: detour.NewPlanner(detour.Router{ID: cfg.Instance, Zone: cfg.Zone}),
	}, nil
}

// blockedEndpoints handles endpoints that only other routers reach.
type blockedEndpoints struct {
	planner *detour.Planner
	sender  *upstream.Client
	log     event.Log
}

// record logs that an endpoint is blocked. The idle connections to one that is silent
// are closed, and those to all endpoints if this router seems to be cut off.
func (b blockedEndpoints) record(address string, silent bool) {
	cutOff := b.planner.CutOff()
	b.log.Emit(event.EndpointDetour, event.F("address", address), event.F("silent", silent), event.F("cut-off", cutOff))
	switch {
	case silent && cutOff:
		b.sender.DropIdle("")
	case silent:
		b.sender.DropIdle(address)
	}
}

// newTunnelServer creates the server that connects other routers to endpoints.
func newTunnelServer(i do.Injector) (*peer.TunnelServer, error) {
	d := do.MustInvoke[*upstream.Detour](i)
	directory := do.MustInvoke[*endpoint.Directory](i)
	st := stateOf(i)
	probe := endpointProbe{planner: d.Planner, directory: directory, sender: do.MustInvoke[*upstream.Client](i)}
	ctx, cancel := context.WithCancel(context.Background())
	go probe.loop(ctx)
	onStop(i, cancel)
	s := &peer.TunnelServer{
		Dial: d.DialDirect,
		Known: func(address string) bool {
			_, ok := findAddress(directory, address)
			return ok
		},
		CutOff: func(address string) bool {
			return st.leaving.Load() || d.Planner.CutOff() || d.Planner.Blocked(time.Now(), detour.Address(address))
		},
		InTouch: probe.inTouch,
	}
	do.MustInvoke[*prometheus.Registry](i).MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "wisteria_tunnels_open",
		Help: "Connections between other routers and endpoints that go through this router.",
	}, func() float64 { return float64(s.Open()) }))
	return s, nil
}

// endpointProbe finds out whether this router reaches endpoints.
type endpointProbe struct {
	planner   *detour.Planner
	directory *endpoint.Directory
	sender    *upstream.Client
}

// maxProbes is how many endpoints are probed. Some may be dead as well.
const maxProbes = 4

// inTouch reports whether this router has connected to an endpoint since a time, or
// connects to one now that is not the one given. A router that knows no other
// endpoint counts as in touch.
func (p endpointProbe) inTouch(ctx context.Context, address string, since time.Time) bool {
	others := lo.Filter(p.directory.All(), func(k endpoint.Info, _ int) bool { return k.Address != address })
	if len(others) == 0 || p.planner.ConnectedSince(since) {
		return true
	}
	return lo.SomeBy(lo.Samples(others, maxProbes), func(k endpoint.Info) bool { return p.sender.Probe(ctx, k.Address) })
}

// probeInterval is the mean time between two probes while this router takes itself for cut
// off.
const probeInterval = 250 * time.Millisecond

// loop finds out that this router is not cut off any more, which nothing else does while it
// has no requests. Until then it neither counts crashes nor helps other routers.
func (p endpointProbe) loop(ctx context.Context) {
	for coordination.Sleep(ctx, coordination.Jitter(probeInterval)) {
		all := p.directory.All()
		if len(all) > 0 && p.planner.CutOff() {
			p.sender.Probe(ctx, lo.Sample(all).Address)
		}
	}
}

// relayPeerHandler serves other routers.
func relayPeerHandler(i do.Injector) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(peer.Path, do.MustInvoke[*peer.Node](i))
	mux.Handle(peer.TunnelPath, do.MustInvoke[*peer.TunnelServer](i))
	return mux
}
