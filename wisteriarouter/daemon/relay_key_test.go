package daemon_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"wisteriaspool/platform"
	"wisteriaspool/standin/hub"
)

// Guards against API keys that reach the endpoints of routes which need none: of a caller
// whose route was removed, of any account, revoked ones and ones in other spelling; and
// against endpoints that are not told whose key it was.
func TestRelayNeverPassesOnKeys(t *testing.T) {
	t.Parallel()
	s := newRelayCluster(t, 1, 1, 0)
	d := plainState()
	d.routes[4]["prefix"] = "/"
	d.routes = append(d.routes, map[string]any{"prefix": "/desk/", "type": "safe", "backend": "desk", "attempts": 2, "timeoutMs": 2000})
	d.tenants = append(d.tenants, map[string]any{"name": "gone", "apiKeys": []string{"k3"}})
	s.put(d)
	time.Sleep(300 * time.Millisecond) // until it is in force
	assert.Equal(t, s.send(0, "/desk/1").status, http.StatusOK)

	d.routes, d.tenants = d.routes[:5], d.tenants[:2]
	s.put(d)
	time.Sleep(300 * time.Millisecond)
	for _, tc := range []struct{ key, account string }{
		{"Bearer k1", "acme"}, {"Bearer k2", "zeta"}, {"Bearer k3", ""}, {"bearer k1", "acme"}, {"Bearer  k1", "acme"}, {"k1", ""},
	} {
		before := len(s.replicas[0].Arrivals())
		assert.Equal(t, s.send(0, "/desk/1", "Authorization", tc.key, "X-Tenant", "other").status, http.StatusOK)
		assert.Equal(t, s.replicas[0].Arrivals()[before].Tenant, tc.account)
	}

	// A state without client accounts does not make callers forget their keys.
	d.tenants = nil
	s.put(d)
	time.Sleep(300 * time.Millisecond)
	assert.Equal(t, s.send(0, "/safe/1").status, http.StatusOK)
	for _, a := range s.replicas[0].Arrivals() {
		assert.Equal(t, len(a.Credentials), 0, "%s got %q", a.Path, a.Credentials)
	}
}

// Guards against taking away what is no API key: the credentials of services in a fleet
// that has never had client accounts.
func TestRelayPassesOnCredentialsWithoutAccounts(t *testing.T) {
	t.Parallel()
	s := newRelayCluster(t, 0, 1, 0)
	d := plainState()
	d.tenants = nil
	s.put(d)
	s.addRouter()
	s.awaitReady(0)
	assert.Equal(t, s.send(0, "/safe/1", "Authorization", "Basic abc").status, http.StatusOK)
	assert.DeepEqual(t, s.replicas[0].Arrivals()[0].Credentials, []string{"Basic abc"})
}

// keyCluster is a cluster whose desired state has had client accounts and has none any more.
type keyCluster struct {
	*relayCluster
	before hub.Copy // of the store, before it had accounts
}

// startKeyCluster starts two routers, which the store lets write if it is said so.
func startKeyCluster(t *testing.T, writes bool) keyCluster {
	s := newRelayCluster(t, 0, 1, 0)
	s.putWithoutAccounts()
	c := keyCluster{s, s.store.Copy()}
	s.put(plainState())
	s.store.SetFaults(hub.Faults{RefuseWrites: !writes})
	for n := range 2 {
		s.addRouter()
		s.awaitReady(n)
	}
	if writes {
		s.awaitPrefix(platform.KeysInUseKey)
	}
	s.putWithoutAccounts()
	time.Sleep(300 * time.Millisecond) // until it is in force
	return c
}

func (s *relayCluster) putWithoutAccounts() {
	d := plainState()
	d.tenants = nil
	s.put(d)
}

func (s *relayCluster) stopAll() {
	for _, stop := range s.stops {
		stop()
	}
}

// Guards against routers that start after a desired state without client accounts has followed one with accounts, and pass on the keys that callers go on sending.
func TestRelayStartedWithoutAccountsNeverPassesOnKeys(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name   string
		writes bool               // the store lets the routers write
		change func(s keyCluster) // starts routers
	}{
		{"stopped and started in turn", true, func(s keyCluster) {
			for n := range 2 {
				s.stops[n]()
				s.addRouter()
				s.awaitReady(n + 2)
			}
		}},
		{"all stopped, all started", true, func(s keyCluster) {
			s.stopAll()
			s.addRouter()
			s.addRouter()
		}},
		{"more states without accounts", true, func(s keyCluster) {
			s.stopAll()
			s.putWithoutAccounts()
			s.addRouter()
			s.awaitReady(2)
			s.putWithoutAccounts()
			s.stopAll()
			s.addRouter()
		}},
		{"a new router, nothing could be written", false, func(s keyCluster) { s.addRouter() }},
		{"a new router, the store is away", true, func(s keyCluster) {
			s.store.SetFaults(hub.Faults{Outage: true})
			s.addRouter()
		}},
		{"a new router, the store is away and nothing could be written", false, func(s keyCluster) {
			s.store.SetFaults(hub.Faults{Outage: true})
			s.addRouter()
		}},
		{"a new router, the store was restored", true, func(s keyCluster) {
			s.store.Restore(s.before)
			s.addRouter()
		}},
		{"all stopped after the store was restored", true, func(s keyCluster) {
			s.store.Restore(s.before)
			s.putWithoutAccounts()
			s.awaitPrefix(platform.KeysInUseKey)
			s.stopAll()
			s.addRouter()
		}},
		{"all stopped after writes were refused for a time", false, func(s keyCluster) {
			s.store.SetFaults(hub.Faults{})
			poll.WaitOn(s.t, func(poll.LogT) poll.Result {
				if s.store.HasPrefix(platform.KeysInUseKey) {
					return poll.Success()
				}
				return poll.Continue("the record was not written")
			}, poll.WithTimeout(10*time.Second))
			s.stopAll()
			s.addRouter()
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			s := startKeyCluster(t, test.writes)
			test.change(s)
			served := 0
			for n := 2; n < len(s.routers); n++ {
				for deadline := time.Now().Add(time.Second); time.Now().Before(deadline); {
					if s.send(n, "/safe/1").status == http.StatusOK {
						served++
					}
				}
			}
			assert.Assert(t, served > 0)
			for _, a := range s.replicas[0].Arrivals() {
				assert.Equal(t, len(a.Credentials), 0, "%s got %q", a.Path, a.Credentials)
			}
		})
	}
}

// Guards against credentials of services that are taken from routers that start in a fleet which has never had client accounts.
func TestRelayRestartedWithoutAccountsPassesOnCredentials(t *testing.T) {
	t.Parallel()
	s := newRelayCluster(t, 0, 1, 0)
	s.putWithoutAccounts()
	for n := range 4 {
		s.addRouter()
		s.awaitReady(n)
		if n == 2 {
			s.stopAll()
		}
		s.putWithoutAccounts()
	}
	s.stops[3]()
	s.addRouter()
	for deadline := time.Now().Add(time.Second); time.Now().Before(deadline); {
		s.send(4, "/safe/1", "Authorization", "Basic abc")
	}
	arrivals := s.replicas[0].Arrivals()
	assert.Assert(t, len(arrivals) > 0)
	for _, a := range arrivals {
		assert.DeepEqual(t, a.Credentials, []string{"Basic abc"})
	}
	assert.Assert(t, !s.store.HasPrefix(platform.KeysInUseKey))
}
