package relay

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/detour"
	"wisteriaspool/wisteriarouter/upstream"
)

// helpless offers a router that cannot tell whether endpoints are alive.
type helpless struct{}

func (helpless) Routers(string) []detour.Router { return []detour.Router{{ID: "other"}} }

func (helpless) Serves(coordination.Instance) bool { return false }
func (helpless) Open(context.Context, coordination.Instance, string) (net.Conn, error) {
	return nil, errors.New("cut off as well")
}

// Guards against a suspect that runs at another endpoint while no router can tell whether it
// has crashed the first one.
func TestSuspectDoesNotMoveFromEndpointThatCannotBeChecked(t *testing.T) {
	for _, test := range []struct {
		suspect suspect
		second  int32 // requests that reach the second endpoint
	}{{false, 1}, {true, 0}} {
		var second atomic.Int32
		p := &listPlacer{addresses: []string{breakingEndpoint(t, 0), countingEndpoint(t, &second)}}
		sender, cleanup := upstream.NewClient(upstream.Config{Detour: &upstream.Detour{
			Direct: (&net.Dialer{}).DialContext, Tunnels: helpless{}, Planner: detour.NewPlanner(detour.Router{ID: "self"}),
		}})
		defer cleanup()
		serveWith(t, sender, p, test.suspect, manyRetries{})
		assert.Equal(t, second.Load(), test.second)
	}
}
