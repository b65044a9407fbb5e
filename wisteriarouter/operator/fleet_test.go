package operator_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"
	"github.com/samber/lo"
	"gotest.tools/v3/assert"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/kv/kvtest"
	"wisteriaspool/coordination/membership"
	"wisteriaspool/coordination/settings"
	"wisteriaspool/wisteriarouter/operator"
	"wisteriaspool/wisteriarouter/peer"
)

// nodePeers adapts a peer.Node to the interfaces of packages settings and
// operator.
type nodePeers struct{ *peer.Node }

func (p nodePeers) Members() []settings.Member {
	return lo.Map(p.Node.Members(), func(m membership.Member, _ int) settings.Member {
		return settings.Member{Instance: m.Instance, Zone: m.Zone}
	})
}

func (p nodePeers) Broadcast(topic, key string, version uint64, payload []byte) {
	p.Node.Broadcast(topic, key, version, payload)
}

func (p nodePeers) Handle(topic string, fn func(context.Context, coordination.Instance, []byte) ([]byte, error)) {
	p.Node.Handle(topic, fn)
}

// testRouter is a router with real loopback connections to its peers and the
// in-memory platform of package kvtest.
type testRouter struct {
	node    *peer.Node
	replica *settings.Replica
	sync    *settings.Sync
	url     string
}

// startRouter starts the router i, which joins the fleet through seeds. It also
// returns the router's peer address.
func startRouter(t testing.TB, store *kvtest.Store, i int, seeds []string) (*testRouter, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	self := coordination.Instance("r" + strconv.Itoa(i))
	zone := coordination.Zone(fmt.Sprintf("z%d", i%3))
	node, stopNode, err := peer.New(peer.Config{
		Fleet: "test",
		Self: membership.Member{
			Instance: self, Address: l.Addr().String(), Zone: zone,
			Incarnation: coordination.Incarnation(time.Now().UnixMilli()),
		},
		Seeds:  seeds,
		Topics: map[string]membership.Topic{settings.TopicChange: {Persistent: true}, settings.TopicConfirmation: {}},
	})
	assert.NilError(t, err)
	links := http.NewServeMux()
	links.Handle(peer.Path, node)
	peerServer := &http.Server{Handler: links, ReadHeaderTimeout: time.Second}
	go func() { _ = peerServer.Serve(l) }()
	r := &testRouter{node: node, replica: &settings.Replica{}}
	var stopSync func()
	r.sync, stopSync = settings.NewSync(settings.Config{Self: self, Zone: zone}, r.replica, store, nodePeers{node})
	mux := http.NewServeMux()
	api := &operator.Server{
		Self: self, Editor: settings.NewEditor(store, r.replica), Replica: r.replica, Peers: nodePeers{node},
		Status: func() operator.Status { return operator.Status{Instance: self} },
	}
	api.Register(humago.New(mux, huma.DefaultConfig("test", "1")))
	server := httptest.NewServer(mux)
	r.url = server.URL
	t.Cleanup(func() {
		server.Close()
		stopSync()
		_ = peerServer.Close()
		stopNode()
	})
	return r, l.Addr().String()
}

// startFleet starts n routers and returns once all are ready and know each other.
func startFleet(t testing.TB, store *kvtest.Store, n int) []*testRouter {
	t.Helper()
	var routers []*testRouter
	var seeds []string
	for i := range n {
		r, address := startRouter(t, store, i, seeds)
		routers = append(routers, r)
		if len(seeds) < 2 {
			seeds = append(seeds, address)
		}
	}
	limit := time.Now().Add(time.Minute)
	for _, r := range routers {
		<-r.sync.Ready()
		for len(r.node.Members()) < n {
			assert.Assert(t, time.Now().Before(limit), "%s knows %d of %d routers", r.node.Self().Instance, len(r.node.Members()), n)
			time.Sleep(20 * time.Millisecond)
		}
	}
	return routers
}

// An operator changes settings through one router, and another one reports that
// they are in force on all. Guards the whole path over real connections.
func TestChangeOverRealPeers(t *testing.T) {
	routers := startFleet(t, kvtest.New(), 5)
	b := &fixture{}
	for _, r := range routers {
		b.apis = append(b.apis, proxyTo(r.url))
	}
	a := b.put(t, "[team]\npriority-cap = 3\n", 0)
	var in operator.InForce
	b.do(t, 4, http.MethodGet, fmt.Sprintf("%s/in-force?revision=%d&sequence=%d&wait_ms=10000", path, a.Revision, a.Sequence), nil, &in)
	assert.Equal(t, in.Routers, 5)
	assert.Equal(t, in.InForce, 5, "%+v", in)
	for _, r := range routers {
		team, ok := r.replica.Team("solco")
		assert.Assert(t, ok)
		assert.Equal(t, team.Priority(9, true), coordination.Priority(3))
	}
}

// proxyTo forwards requests to the router at url.
func proxyTo(url string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		req, _ := http.NewRequestWithContext(r.Context(), r.Method, url+r.URL.RequestURI(), r.Body)
		req.Header = r.Header
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
		defer func() { _ = res.Body.Close() }()
		w.WriteHeader(res.StatusCode)
		_, _ = io.Copy(w, res.Body)
	})
}

// BenchmarkInForce measures the time from the acceptance of a change until it is
// in force on the last router, over loopback connections in one process. It also
// reports the platform writes for each change, the bytes that a router sends for
// each change, and the bytes a second that it sends for confirmations, also at
// rest. The team has a full history.
func BenchmarkInForce(b *testing.B) {
	for _, n := range []int{7, 15, 30, 60} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			store := kvtest.New()
			first := &testRouter{replica: &settings.Replica{}}
			for i := range 70 {
				first.change(b, store, i)
			}
			routers := startFleet(b, store, n)
			writes, start := store.Calls("cas"), totalSent(routers)
			var times []time.Duration
			for i := 0; b.Loop(); i++ {
				times = append(times, measurePropagation(b, store, routers, i))
			}
			end := totalSent(routers)
			slices.Sort(times)
			perRouter := func(bytes uint64) float64 { return float64(bytes) / float64(n) }
			b.ReportMetric(times[len(times)/2].Seconds()*1000, "p50-ms")
			b.ReportMetric(times[len(times)-1].Seconds()*1000, "max-ms")
			b.ReportMetric(float64(store.Calls("cas")-writes)/float64(len(times)), "writes/op")
			b.ReportMetric(perRouter(end.changes-start.changes)/float64(len(times)), "B/op/router")
			b.ReportMetric(perRouter(end.fresh-start.fresh)/end.at.Sub(start.at).Seconds(), "fresh-B/s/router")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// bytesSent holds the bytes that the routers of a fleet have sent for settings
// up to a point in time.
type bytesSent struct {
	changes, fresh uint64
	at             time.Time
}

// totalSent sums the bytes that routers have sent for settings so far.
func totalSent(routers []*testRouter) bytesSent {
	s := bytesSent{at: time.Now()}
	for _, r := range routers {
		for _, t := range r.node.Stats().Traffic {
			switch {
			case !t.Sent || !strings.HasPrefix(t.Topic, settings.TopicChange):
			case t.Topic == settings.TopicConfirmation:
				s.fresh += t.Bytes
			default:
				s.changes += t.Bytes
			}
		}
	}
	return s
}

// change puts the change i through r and returns its position.
func (r *testRouter) change(b *testing.B, store *kvtest.Store, i int) settings.Position {
	base := settings.Position{}
	if in, ok := r.replica.Snapshot("solco"); ok {
		base = in.Position
	}
	out := settings.NewEditor(store, r.replica).Put(b.Context(), settings.Put{
		Team: "solco", Text: fmt.Sprintf("[team]\ndeadline-default = %dms\n", 100+i), Base: base.Revision,
		ID: settings.NewChangeID(), Author: "b", Reason: "measure",
	})
	assert.Equal(b, out.Status, settings.Accepted)
	return out.Position
}

// measurePropagation puts the change i and returns the time until it is in force
// on all routers.
func measurePropagation(b *testing.B, store *kvtest.Store, routers []*testRouter, i int) time.Duration {
	p := routers[i*5%len(routers)].change(b, store, i)
	start := time.Now()
	for !lo.EveryBy(routers, func(r *testRouter) bool {
		in, ok := r.replica.Snapshot("solco")
		return ok && !in.Position.Before(p)
	}) {
		time.Sleep(time.Millisecond)
	}
	took := time.Since(start)
	time.Sleep(500 * time.Millisecond)
	return took
}
