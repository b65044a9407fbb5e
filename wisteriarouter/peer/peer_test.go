package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/membership"
)

// router is a Node with its HTTP server.
type router struct {
	*Node
	address string
	stop    func()
	server  *http.Server
	events  *eventLog
}

// eventLog records the events of a node.
type eventLog struct {
	mu  sync.Mutex
	all []Event
}

func (l *eventLog) add(e Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, e)
}

func (l *eventLog) count(k EventKind) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, e := range l.all {
		if e.Kind == k {
			n++
		}
	}
	return n
}

// listen returns a listener on a free port of the loopback interface.
func listen(t testing.TB) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	return l
}

// listenAt returns a listener on an address, waiting until it is free.
func listenAt(t testing.TB, address string) net.Listener {
	t.Helper()
	var l net.Listener
	eventually(t, "free address", func() bool {
		var err error
		l, err = net.Listen("tcp", address)
		return err == nil
	})
	return l
}

// configOf returns the configuration of a router that listens on l.
func configOf(l net.Listener, id string, seeds []string) Config {
	return Config{
		Fleet: "test",
		Self: membership.Member{
			Instance:    coordination.Instance(id),
			Address:     l.Addr().String(),
			Zone:        "a",
			Incarnation: coordination.Incarnation(time.Now().UnixMilli()),
		},
		Seeds:  seeds,
		Topics: map[string]membership.Topic{"load": {}, "settings": {Persistent: true}},
	}
}

func serverOf(n *Node) *http.Server {
	mux := http.NewServeMux()
	mux.Handle(Path, n)
	return &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
}

// start runs a router on l with the given seeds.
func start(t testing.TB, l net.Listener, id string, seeds []string, change func(*Config)) *router {
	t.Helper()
	events := &eventLog{}
	cfg := configOf(l, id, seeds)
	cfg.OnEvent = events.add
	if change != nil {
		change(&cfg)
	}
	n, stop, err := New(cfg)
	assert.NilError(t, err)
	srv := serverOf(n)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = srv.Serve(l)
	}()
	var once sync.Once
	r := &router{Node: n, address: l.Addr().String(), server: srv, events: events}
	r.stop = func() {
		once.Do(func() {
			stop()
			srv.Close()
			<-done
		})
	}
	t.Cleanup(r.stop)
	return r
}

// fleet starts n routers that use the first one as their seed.
func fleet(t testing.TB, n int, change func(*Config)) []*router {
	t.Helper()
	listeners := make([]net.Listener, n)
	for i := range listeners {
		listeners[i] = listen(t)
	}
	seeds := []string{listeners[0].Addr().String()}
	routers := make([]*router, n)
	for i, l := range listeners {
		routers[i] = start(t, l, fmt.Sprintf("r%02d", i), seeds, change)
	}
	return routers
}

// eventually waits up to 30 s until ok returns true.
func eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	deadline := time.Now().Add(30 * time.Second)
	for !ok() {
		if time.Now().After(deadline) {
			t.Fatalf("no %s within 30 s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// kill ends all connections of r at once, as if its process were killed.
func kill(r *router) {
	r.cancel()
	r.connMu.Lock()
	r.stopped = true
	for _, c := range r.conns {
		c.cancel(errStopped)
	}
	r.connMu.Unlock()
	r.server.Close()
}

func joined(routers []*router) func() bool {
	return func() bool {
		for _, r := range routers {
			if len(r.Members()) != len(routers) {
				return false
			}
		}
		return true
	}
}

func within(t testing.TB, d time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

func TestJoinCallAndBroadcast(t *testing.T) {
	routers := fleet(t, 5, nil)
	eventually(t, "full membership", joined(routers))

	for _, r := range routers {
		r.Handle("echo", func(_ context.Context, from coordination.Instance, payload []byte) ([]byte, error) {
			if string(payload) == "bad" {
				return nil, errors.New("as asked")
			}
			return []byte(string(from) + " said " + string(payload)), nil
		})
	}
	for _, from := range routers {
		for _, to := range routers {
			if from == to {
				continue
			}
			answer, err := from.Call(within(t, 10*time.Second), to.Self().Instance, "echo", []byte("hi"))
			assert.NilError(t, err)
			assert.Equal(t, string(answer), string(from.Self().Instance)+" said hi")
		}
	}

	var mu sync.Mutex
	got := make(map[int]string)
	for i, r := range routers {
		r.OnRumor("settings", func(key string, version uint64, payload []byte) {
			mu.Lock()
			defer mu.Unlock()
			got[i] = fmt.Sprintf("%s %d %s", key, version, payload)
		})
	}
	assert.Assert(t, routers[2].Broadcast("settings", "team", 7, []byte("text")))
	assert.Assert(t, !routers[2].Broadcast("settings", "team", 6, []byte("older")))
	eventually(t, "rumour at all others", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(got) == 4
	})
	for _, s := range got {
		assert.Equal(t, s, "team 7 text")
	}
}

func TestCallErrors(t *testing.T) {
	routers := fleet(t, 2, nil)
	eventually(t, "full membership", joined(routers))
	a, b := routers[0], routers[1]
	b.Handle("fail", func(context.Context, coordination.Instance, []byte) ([]byte, error) {
		return nil, errors.New("as asked")
	})
	b.Handle("hang", func(ctx context.Context, _ coordination.Instance, _ []byte) ([]byte, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	tests := []struct {
		to        coordination.Instance
		topic     string
		failure   Failure
		delivered bool
	}{
		{"r01", "fail", Failed, true},
		{"r01", "hang", Lost, true},
		{"r01", "none", Rejected, false},
		{"r99", "fail", NotConnected, false},
	}
	for _, test := range tests {
		limit := 20 * time.Second
		if test.topic == "hang" {
			limit = 200 * time.Millisecond
		}
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		_, err := a.Call(ctx, test.to, test.topic, nil)
		cancel()
		var failed *CallError
		assert.Assert(t, errors.As(err, &failed), test.topic)
		// The hanging handler's own deadline may expire first; the failure is then
		// Failed.
		if test.topic != "hang" {
			assert.Equal(t, failed.Failure, test.failure, test.topic)
		}
		assert.Equal(t, failed.MaybeDelivered(), test.delivered, test.topic)
	}
}
