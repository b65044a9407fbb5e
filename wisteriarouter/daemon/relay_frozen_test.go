package daemon_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"wisteriaspool/standin/hub"
	"wisteriaspool/wisteriarouter/config"
	"wisteriaspool/wisteriarouter/daemon"
)

// routerEnv holds a configuration. If it is set, the test binary runs as a router.
const routerEnv = "DAEMON_TEST_ROUTER"

// TestMain runs the tests, or the router that tests suspend.
func TestMain(m *testing.M) {
	if text := os.Getenv(routerEnv); text != "" {
		runRouter(text)
		return
	}
	os.Exit(m.Run())
}

// runRouter runs a router until the process is killed.
func runRouter(text string) {
	cfg, problems := config.Parse("test", []byte(text))
	if len(problems) > 0 {
		panic(fmt.Sprint(problems))
	}
	dial := (&net.Dialer{Timeout: 400 * time.Millisecond}).DialContext
	if _, _, err := daemon.StartWithDial(cfg, os.Stderr, dial); err != nil {
		panic(err)
	}
	select {}
}

// frozenCluster is a cluster with one more router, a process of its own that can be
// suspended.
type frozenCluster struct {
	*versionedCluster
	process *os.Process
	address string // at which the process listens for callers
	status  string // at which it listens for operators
	resumed time.Time
}

// contact is how long after a suspension a router counts as out of touch.
const contact = 3 * time.Second

// newFrozenCluster starts routers, of which the last one is a process of its own, and
// endpoints of version v1.
func newFrozenCluster(t *testing.T, routers, endpoints int) *frozenCluster {
	s := &frozenCluster{versionedCluster: newVersionedCluster(t, routers-1, endpoints, "v1")}
	addresses := freeAddresses(t, 4)
	s.address, s.status = addresses[0], addresses[1]
	text := fmt.Sprintf("[router]\ninstance = frozen\navailability-zone = a\n[listen]\ncallers = %s\noperators = %s\npeers = %s\n[peers]\nseeds = %s\n[relay]\nstore = %s\nreadiness = %s\n",
		addresses[0], addresses[1], addresses[2], s.routers[0].PeersAddress(), s.relayCluster.address, addresses[3])
	log, err := os.Create(filepath.Join(t.TempDir(), "frozen.log"))
	assert.NilError(t, err)
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), routerEnv+"="+text)
	cmd.Stdout, cmd.Stderr = log, log
	assert.NilError(t, cmd.Start())
	s.process = cmd.Process
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		_ = log.Close()
		if text, err := os.ReadFile(log.Name()); t.Failed() && err == nil {
			t.Log(string(text))
		}
	})
	for n := range routers - 1 {
		s.awaitMembers(n, routers)
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if got := s.ask("/resumable/1", "k1"); got.status != http.StatusOK {
			return poll.Continue("the process answers %d", got.status)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(20*time.Millisecond))
	return s
}

// freeze suspends the process for d and calls fn early in that time.
func (s *frozenCluster) freeze(d time.Duration, fn func()) {
	assert.NilError(s.t, s.process.Signal(syscall.SIGSTOP))
	end := time.Now().Add(d)
	time.Sleep(d / 10)
	fn()
	time.Sleep(time.Until(end))
	s.resumed = time.Now()
	assert.NilError(s.t, s.process.Signal(syscall.SIGCONT))
}

// ask sends a request to the process.
func (s *frozenCluster) ask(path, key string, header ...string) relayResponse {
	header = append([]string{"Authorization", "Bearer " + key, "X-Prefix-Hash", freshID() + ":50,cc:10"}, header...)
	req := s.request(s.t.Context(), 0, path, header...)
	req.URL.Host = s.address
	return s.do(req)
}

// freezes are the durations for which routers are suspended.
var freezes = []time.Duration{time.Second, 2 * time.Second, 3500 * time.Millisecond, 6 * time.Second}

func eachFreeze(t *testing.T, test func(t *testing.T, d time.Duration)) {
	for _, d := range freezes {
		t.Run(d.String(), func(t *testing.T) {
			t.Parallel()
			test(t, d)
		})
	}
}

// Guards against a router that, after it has stood still, sends requests to an endpoint that
// has said meanwhile that it leaves.
func TestRelayFrozenRouterHearsOfLeavingEndpoint(t *testing.T) {
	t.Parallel()
	eachFreeze(t, func(t *testing.T, d time.Duration) {
		s := newFrozenCluster(t, 3, 3)
		leaving := s.replicas[0]
		s.freeze(d, leaving.SayLeaving)
		for time.Since(s.resumed) < contact+time.Second {
			go s.ask("/resumable/1", "k1")
			time.Sleep(10 * time.Millisecond)
		}
		var last time.Duration
		for _, a := range leaving.Arrivals() {
			last = max(last, a.StartedAt.Sub(s.resumed))
		}
		t.Logf("the last request arrived there %v after the suspension of %v", last, d)
		assert.Assert(t, last < contact)
	})
}

// Guards against a router that, after it has stood still, accepts a key that was revoked
// meanwhile, or rejects one that was added.
func TestRelayFrozenRouterHearsOfDesiredState(t *testing.T) {
	t.Parallel()
	eachFreeze(t, func(t *testing.T, d time.Duration) {
		s := newFrozenCluster(t, 3, 3)
		s.freeze(d, func() {
			state := plainState()
			state.tenants[1]["apiKeys"] = []string{"k3"}
			s.put(state)
		})
		var last time.Duration
		for time.Since(s.resumed) < contact+time.Second {
			at := time.Since(s.resumed)
			if s.ask("/resumable/1", "k2").status != http.StatusUnauthorized || s.ask("/resumable/1", "k3").status != http.StatusOK {
				last = at
			}
		}
		t.Logf("the last request was answered by the old state %v after the suspension of %v", last, d)
		assert.Assert(t, last < contact)
	})
}

// Guards against a router that, after it has stood still, goes on with a stream at another
// version than the one that began it, as it takes what it read before for news.
func TestRelayFrozenRouterRefusesStreamOfVersionThatJoined(t *testing.T) {
	t.Parallel()
	eachFreeze(t, func(t *testing.T, d time.Duration) {
		s := newFrozenCluster(t, 3, 2)
		var old openStream
		results := make(chan relayResponse, 1000)
		resume := func(named bool) {
			header := []string{"Last-Event-Id", fmt.Sprint(strings.Count(old.body, "\n\n"))}
			if named {
				header = append(header, "Resumes", old.attempt)
			}
			results <- s.ask("/resumable/1", "k1", header...)
		}
		sent := 0
		s.freeze(d, func() {
			s.addVersion("v1.1", 0)
			s.awaitEndpoints(0, 3)
			old = s.beginAt("v1.1", 0, 2, "X-Deadline-Ms", "20000")
			old.cancel()
			for range 10 {
				go resume(true)
				go resume(false)
				sent += 2
			}
		})
		for time.Since(s.resumed) < contact {
			go resume(true)
			go resume(false)
			sent += 2
			time.Sleep(20 * time.Millisecond)
		}
		var c tally
		for range sent {
			c.add(old, <-results)
		}
		c.other = nil // requests that waited in the sockets of the process are past their deadlines
		c.check(t, 0)
	})
}

// storeAge returns how long ago the store confirmed what a router knows, as it says.
func storeAge(t *testing.T, address string) time.Duration {
	resp, err := http.Get("http://" + address + "/metrics")
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	_, value, ok := strings.Cut(string(text), "\nwisteria_store_age_seconds ")
	assert.Assert(t, ok)
	value, _, _ = strings.Cut(value, "\n")
	seconds, err := strconv.ParseFloat(value, 64)
	assert.NilError(t, err)
	return time.Duration(seconds * float64(time.Second))
}

// Guards against a router that, after it has stood still, takes a reply that the store sent
// before for new, and tells the others so while the store is down.
func TestRelayFrozenRouterTellsAgeOfWhatItRead(t *testing.T) {
	t.Parallel()
	eachFreeze(t, func(t *testing.T, d time.Duration) {
		s := newFrozenCluster(t, 3, 3)
		var down time.Time
		s.freeze(d, func() {
			s.store.Put("servers/none", []byte("{}"))
			time.Sleep(100 * time.Millisecond)
			down = time.Now()
			s.store.SetFaults(hub.Faults{Outage: true})
		})
		for time.Since(s.resumed) < 2*time.Second {
			for _, address := range []string{s.status, s.routers[0].OperatorsAddress(), s.routers[1].OperatorsAddress()} {
				passed := time.Since(down)
				age := storeAge(t, address)
				assert.Assert(t, age > passed-500*time.Millisecond, "%v after the resumption the store, down for %v, has confirmed the view %v ago", time.Since(s.resumed), passed, age)
			}
			time.Sleep(50 * time.Millisecond)
		}
	})
}
