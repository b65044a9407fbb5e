package upstream_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/detour"
	"wisteriaspool/coordination/synctest"
	"wisteriaspool/wisteriarouter/upstream"
)

// dialOutcome is what becomes of a connection that a test makes.
type dialOutcome struct {
	after time.Duration
	err   error
}

func (d dialOutcome) connect(ctx context.Context) (net.Conn, error) {
	select {
	case <-time.After(d.after):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if d.err != nil {
		return nil, d.err
	}
	c, other := net.Pipe()
	_ = other.Close()
	return c, nil
}

// testTunnels implements upstream.Tunnels.
type testTunnels map[coordination.Instance]dialOutcome

func (t testTunnels) Routers(string) []detour.Router {
	var all []detour.Router
	for id := range t {
		all = append(all, detour.Router{ID: id})
	}
	return all
}

func (t testTunnels) Open(ctx context.Context, via coordination.Instance, _ string) (net.Conn, error) {
	return t[via].connect(ctx)
}

func (t testTunnels) Serves(coordination.Instance) bool { return true }

const (
	never  = time.Hour
	atOnce = time.Millisecond
)

var errNoHelp = errors.New("no help")

// What a failed connection says about the endpoint decides whether all routers take
// it for dead.
func TestDetour(t *testing.T) {
	refused := dialOutcome{atOnce, syscall.ECONNREFUSED}
	silent := dialOutcome{never, nil}
	made := dialOutcome{atOnce, nil}
	unreachable := dialOutcome{atOnce, upstream.ErrUnreachable}
	noHelp := dialOutcome{atOnce, errNoHelp}
	for _, tt := range []struct {
		name    string
		direct  dialOutcome
		tunnels testTunnels
		made    bool
		cutOff  bool // the failure says nothing about the endpoint
		blocked bool // another router is asked first from now on
	}{
		{"direct", made, testTunnels{"a": silent}, true, false, false},
		{"refused, alone", refused, testTunnels{}, false, false, false},
		{"refused, another connects", refused, testTunnels{"a": made}, true, false, true},
		{"refused, another cannot connect", refused, testTunnels{"a": unreachable}, false, false, false},
		{"refused, another cannot help", refused, testTunnels{"a": noHelp}, false, true, false},
		{"refused, one cannot help and one connects", refused, testTunnels{"a": noHelp, "b": made}, true, false, true},
		{"refused, another is silent", refused, testTunnels{"a": silent}, false, true, false},
		{"silent, alone", silent, testTunnels{}, false, false, false},
		{"silent, another connects", silent, testTunnels{"a": made}, true, false, true},
		{"silent, another cannot connect", silent, testTunnels{"a": unreachable}, false, false, false},
		{"silent, all silent", silent, testTunnels{"a": silent, "b": silent}, false, true, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			d := &upstream.Detour{
				Direct:  func(ctx context.Context, _, _ string) (net.Conn, error) { return tt.direct.connect(ctx) },
				Tunnels: tt.tunnels,
				Planner: detour.NewPlanner(detour.Router{ID: "self"}),
			}
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			c, err := d.DialContext(ctx, "tcp", "e")
			assert.Equal(t, err == nil, tt.made, "%v", err)
			assert.Equal(t, upstream.CutOff(err), tt.cutOff, "%v", err)
			assert.Equal(t, d.Planner.Blocked(time.Now(), "e"), tt.blocked)
			if c != nil {
				_ = c.Close()
				return
			}
			err = newClient(t, upstream.Config{Detour: d, DialTimeout: 300 * time.Millisecond}).Check(t.Context(), "e")
			assert.Equal(t, upstream.CutOff(err), tt.cutOff, "of a client: %v", err)
		})
	}
}

// Guards against detours that go on because one direct connection was slow.
func TestSlowDirectConnectionEndsDetour(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slow = 200 * time.Millisecond
		d := &upstream.Detour{
			Direct: func(ctx context.Context, _, _ string) (net.Conn, error) {
				return dialOutcome{slow, nil}.connect(ctx)
			},
			Tunnels: testTunnels{"a": dialOutcome{atOnce, nil}},
			Planner: detour.NewPlanner(detour.Router{ID: "self"}),
		}
		c, err := d.DialContext(t.Context(), "tcp", "e")
		assert.NilError(t, err)
		_ = c.Close()
		assert.Assert(t, d.Planner.Blocked(time.Now(), "e"))
		time.Sleep(slow)
		synctest.Wait()
		assert.Assert(t, !d.Planner.Blocked(time.Now(), "e"), "the endpoint is still reached through another router")
	})
}

// Guards against a router that takes itself for cut off because some endpoints have ended,
// although its open connections serve requests.
func TestResponsesShowThatRouterIsNotCutOff(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer srv.Close()
	address := strings.TrimPrefix(srv.URL, "http://")
	d := &upstream.Detour{
		Direct: func(ctx context.Context, network, to string) (net.Conn, error) {
			if to != address {
				return nil, syscall.ECONNREFUSED
			}
			return (&net.Dialer{}).DialContext(ctx, network, to)
		},
		Tunnels: testTunnels{"a": {atOnce, errNoHelp}},
		Planner: detour.NewPlanner(detour.Router{ID: "self"}),
	}
	c, closeAll := upstream.NewClient(upstream.Config{Detour: d})
	defer closeAll()
	send := func() {
		resp, err := c.Send(t.Context(), address, &upstream.Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}})
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		assert.NilError(t, err)
		resp.Body.Close()
	}
	send()
	for n := range 3 {
		assert.Assert(t, c.Check(t.Context(), fmt.Sprintf("10.0.0.%d:80", n)) != nil)
	}
	assert.Assert(t, d.Planner.CutOff())
	send()
	assert.Assert(t, !d.Planner.CutOff())
}
