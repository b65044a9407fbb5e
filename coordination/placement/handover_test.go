package placement

import (
	"context"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination"
)

// disclaimer is a transport to owners that disclaim all endpoints, and name no other.
type disclaimer struct{}

func (disclaimer) Call(context.Context, coordination.Instance, string, []byte) ([]byte, error) {
	return AdmitReply{Decision: Next, Code: NotOwner}.Encode(), nil
}

// Guards against a change of owners that looks like load to who reads the refusal.
func TestRefusalTellsThatOwnersDisclaimTheirEndpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := NewEntry(EntryID{Instance: "self", Incarnation: 1}, NewOwner("self", Config{}), disclaimer{}, nil, Config{})
		e.Update(NewSet(testEndpoints(3)), NewRouters([]Router{{ID: "other", Zone: "a"}}, 0))
		g, r := e.Acquire(t.Context(), Request{Pool: testPool, Key: 1})
		assert.Assert(t, g == nil)
		assert.Equal(t, r.Code, NotOwner)
	})
}
