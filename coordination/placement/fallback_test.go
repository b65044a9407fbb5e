package placement

import (
	"context"
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination"
)

// unresponsiveTransport is a transport whose owners never reply.
type unresponsiveTransport struct{}

func (unresponsiveTransport) Call(context.Context, coordination.Instance, string, []byte) ([]byte, error) {
	return nil, errors.New("no answer")
}

// Guards against refusals while endpoints work. The owner of all endpoints is dead, and
// endpoints are not asked for their load. With a limit for each endpoint requests are
// placed, and no endpoint gets more than its limit.
func TestEntryWithoutOwnerGrantsUpToItsLimit(t *testing.T) {
	for limit, want := range map[int]int{0: 0, 3: 6} {
		id := EntryID{Instance: "self", Incarnation: 1}
		cfg := Config{FallbackLimit: limit}
		e := NewEntry(id, NewOwner("self", cfg), unresponsiveTransport{}, nil, cfg)
		set := NewSet([]Descriptor{{ID: "a", Pool: "p", Zone: "z"}, {ID: "b", Pool: "p", Zone: "z"}})
		e.Update(set, NewRouters([]Router{{ID: "other", Zone: "z"}}, 0))
		granted := map[coordination.Endpoint]int{}
		for range 10 {
			if g, _ := e.Acquire(t.Context(), Request{Pool: "p", Key: 1}); g != nil {
				granted[g.Endpoint.ID]++
			}
		}
		assert.Equal(t, granted["a"]+granted["b"], want)
		assert.Assert(t, granted["a"] <= limit && granted["b"] <= limit)
	}
}
