package daemon_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/samber/lo"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"wisteriaspool/standin/hub"
	"wisteriaspool/standin/loopback"
	"wisteriaspool/standin/replica"
	"wisteriaspool/wisteriarouter/config"
	"wisteriaspool/wisteriarouter/daemon"
)

// relayCluster runs a store, endpoints and relaying routers on loopback
// addresses.
type relayCluster struct {
	t        testing.TB
	store    *hub.Store
	address  string
	replicas []*replica.Replica
	kill     []func()
	routers  []*daemon.Daemon
	stops    []func() int
	version  int
	limits   string // lines of the section [limits] of routers that are added
	logs     *logs
	links    *links // between routers and endpoints; nil if all connect directly
	client   *http.Client
	// inspector checks the requests that reach endpoints. It knows what client has sent.
	inspector *replica.Inspector
}

// desiredState holds the parts of the desired state that tests change.
type desiredState struct {
	routes   []map[string]any
	tenants  []map[string]any
	coldPerS float64 // requests a second that a cold endpoint of any pool tolerates; 0 means any number
}

func plainState() desiredState {
	return desiredState{
		routes: []map[string]any{
			{"prefix": "/safe/", "type": "safe", "backend": "desk", "attempts": 2, "timeoutMs": 2000},
			{"prefix": "/unsafe/", "type": "unsafe", "backend": "desk", "attempts": 1, "timeoutMs": 2000},
			{"prefix": "/resumable/", "type": "stream", "backend": "model", "attempts": 2, "timeoutMs": 5000, "resumable": true, "sticky": true},
			{"prefix": "/stream/", "type": "stream", "backend": "model", "attempts": 2, "timeoutMs": 5000, "sticky": true},
			{"prefix": "/public/", "type": "safe", "backend": "desk", "attempts": 1, "public": true},
		},
		tenants: []map[string]any{{"name": "acme", "apiKeys": []string{"k1"}}, {"name": "zeta", "apiKeys": []string{"k2"}}},
	}
}

func newRelayCluster(t testing.TB, routers, desks, models int) *relayCluster {
	return newLinkedRelayCluster(t, nil, routers, desks, models)
}

// newLinkedRelayCluster starts a cluster whose routers reach endpoints over links.
func newLinkedRelayCluster(t testing.TB, l *links, routers, desks, models int) *relayCluster {
	inspector := replica.NewInspector()
	client := &http.Client{Transport: inspector.Transport(&http.Transport{DisableCompression: true})}
	s := &relayCluster{t: t, store: hub.New(), logs: &logs{}, links: l, client: client, inspector: inspector}
	t.Cleanup(s.checkRequests)
	srv := httptest.NewServer(s.store)
	t.Cleanup(srv.Close)
	t.Cleanup(func() { s.store.SetFaults(hub.Faults{Outage: true}) }) // ends pending watches
	s.address = strings.TrimPrefix(srv.URL, "http://")
	for n := range desks {
		s.addReplica(replica.Options{ID: fmt.Sprintf("d%d", n), Service: "desk", Zone: "a", Delay: 10 * time.Millisecond})
	}
	for n := range models {
		s.addReplica(replica.Options{ID: fmt.Sprintf("m%d", n), Service: "model", Zone: "a", Delay: 20 * time.Millisecond})
	}
	s.put(plainState())
	for range routers {
		s.addRouter()
	}
	t.Cleanup(s.logs.dumpOnFailure(t))
	t.Cleanup(s.logs.checkCalls(t))
	t.Cleanup(s.client.CloseIdleConnections) // so that the routers need not wait for idle connections when they stop
	for n := range routers {
		s.awaitReady(n)
		s.awaitMembers(n, routers)
	}
	return s
}

// checkRequests reports requests that reached endpoints and that the interface does not
// allow.
func (s *relayCluster) checkRequests() {
	for _, line := range s.inspector.Violations() {
		s.t.Errorf("%s", line)
	}
}

// awaitMembers waits until a router has all others in its membership list.
func (s *relayCluster) awaitMembers(n, routers int) {
	s.awaitMetric(n, fmt.Sprintf("wisteria_members{state=\"alive\"} %d", routers), 10*time.Second)
}

// awaitState waits until a router has the latest desired state in force.
func (s *relayCluster) awaitState(n int) {
	s.awaitMetric(n, fmt.Sprintf("wisteria_desired_state_version %d", s.version), 5*time.Second)
}

// awaitMetric waits until a router's metrics have a line.
func (s *relayCluster) awaitMetric(n int, line string, limit time.Duration) {
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		resp, err := http.Get("http://" + s.routers[n].OperatorsAddress() + "/metrics")
		if err != nil {
			return poll.Error(err)
		}
		defer func() { _ = resp.Body.Close() }()
		text, err := io.ReadAll(resp.Body)
		if err == nil && strings.Contains(string(text), line+"\n") {
			return poll.Success()
		}
		return poll.Continue("router %d does not have %q among its metrics", n, line)
	}, poll.WithTimeout(limit), poll.WithDelay(10*time.Millisecond))
}

func (s *relayCluster) addReplica(o replica.Options) *replica.Replica {
	o.Inspector = s.inspector
	r, kill, err := replica.Start(s.store, o)
	assert.NilError(s.t, err)
	s.t.Cleanup(kill)
	s.replicas, s.kill = append(s.replicas, r), append(s.kill, kill)
	return r
}

// put writes the next version of the desired state.
func (s *relayCluster) put(d desiredState) {
	s.version++
	for i, r := range d.routes {
		r["name"], r["hostname"] = "r"+strconv.Itoa(i), "desk.example"
	}
	value, err := json.Marshal(map[string]any{
		"version": s.version, "routes": d.routes, "tenants": d.tenants,
		"backends": []map[string]any{
			{"name": "desk", "maxConns": 100, "coldPerS": d.coldPerS, "coldStartS": 3},
			{"name": "model", "maxConns": 100, "coldPerS": d.coldPerS, "coldStartS": 3, "runtime": map[string]any{"slots": 8}},
		},
		"limits": map[string]any{"maxBodyBytes": 1 << 20},
	})
	assert.NilError(s.t, err)
	s.inspector.AddState(keysOf(d.tenants))
	s.store.Put("op/config", value)
}

// keysOf returns the API keys of client accounts.
func keysOf(tenants []map[string]any) map[string][]string {
	return lo.SliceToMap(tenants, func(each map[string]any) (string, []string) {
		return each["name"].(string), each["apiKeys"].([]string)
	})
}

func (s *relayCluster) addRouter() {
	var seeds string
	if len(s.routers) > 0 {
		seeds = s.routers[0].PeersAddress()
	}
	s.addRouterWith(s.address, loopback.Address(), "seeds = "+seeds)
}

// addRouterWith adds a router with an address of the store, one at which it listens for other
// routers, and lines of the section [peers].
func (s *relayCluster) addRouterWith(store, listen, peers string) {
	n := len(s.routers)
	text := fmt.Sprintf(`
[router]
instance = r%[1]d
availability-zone = a
[zone "a"]
region = north
[zone "b"]
region = south
[listen]
callers = %[2]s
operators = %[2]s
peers = %[3]s
[peers]
%[4]s
[relay]
store = %[5]s
readiness = %[2]s
[limits]
stop-delay = 50ms
stop-within = 5s
%[6]s
`, n, loopback.Address(), listen, peers, store, s.limits)
	cfg, problems := config.Parse("test", []byte(text))
	assert.Equal(s.t, len(problems), 0, "%v", problems)
	dial := (&net.Dialer{Timeout: 400 * time.Millisecond}).DialContext
	if s.links != nil {
		dial = link{links: s.links, router: n}.dial
	}
	d, stop, err := daemon.StartWithDial(cfg, s.logs, dial)
	assert.NilError(s.t, err)
	once := sync.OnceValue(stop)
	s.t.Cleanup(func() { once() })
	s.routers, s.stops = append(s.routers, d), append(s.stops, once)
}

func (s *relayCluster) ready(n int) bool {
	resp, err := http.Get("http://" + s.routers[n].ReadinessAddress() + "/wisteriaspool/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (s *relayCluster) awaitReady(n int) {
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		if s.ready(n) {
			return poll.Success()
		}
		return poll.Continue("the router is not ready")
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(10*time.Millisecond))
}

// relayResponse is the response that a caller received.
type relayResponse struct {
	status int
	header http.Header
	body   string
	err    error // from reading the body
}

var (
	lastID   int
	lastIDMu sync.Mutex
)

func freshID() string {
	lastIDMu.Lock()
	defer lastIDMu.Unlock()
	lastID++
	return fmt.Sprintf("id%d", lastID)
}

func (s *relayCluster) request(ctx context.Context, router int, path string, header ...string) *http.Request {
	req, err := http.NewRequestWithContext(ctx, "POST", "http://"+s.routers[router].CallersAddress()+path, strings.NewReader("body of "+path))
	assert.NilError(s.t, err)
	req.Host = "desk.example"
	req.Header.Set("X-Attempt-Id", freshID())
	req.Header.Set("X-Deadline-Ms", "4000")
	req.Header.Set("Authorization", "Bearer k1")
	if strings.HasPrefix(path, "/stream/") || strings.HasPrefix(path, "/resumable/") {
		req.Header.Set("X-Token-Usage", "100,10")
		req.Header.Set("X-Prefix-Hash", "aa:50,bb:40,cc:10")
	}
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	return req
}

func (s *relayCluster) send(router int, path string, header ...string) relayResponse {
	return s.do(s.request(s.t.Context(), router, path, header...))
}

// do sends a request and reads the response.
func (s *relayCluster) do(req *http.Request) relayResponse {
	resp, err := s.client.Do(req)
	if err != nil {
		return relayResponse{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return relayResponse{status: resp.StatusCode, header: resp.Header, body: string(body), err: err}
}

// runs returns the number of requests for a path that arrived at all endpoints
// together.
func (s *relayCluster) runs(path string) (n int) {
	for _, r := range s.replicas {
		for _, a := range r.Arrivals() {
			if a.Path == path {
				n++
			}
		}
	}
	return n
}

// events returns the events of a stream from one number to another, inclusive.
func events(from, to int) string {
	var b strings.Builder
	for n := from; n <= to; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: token %d\n\n", n, n)
	}
	return b.String()
}
