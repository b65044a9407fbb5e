package placement

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/synctest"
)

// overBoundTransport is a transport to owners whose endpoints are all over their bound.
type overBoundTransport struct {
	queries atomic.Int32
}

func (o *overBoundTransport) Call(_ context.Context, _ coordination.Instance, _ string, payload []byte) ([]byte, error) {
	m, err := DecodeAdmitRequest(payload)
	if err != nil {
		return nil, err
	}
	o.queries.Add(1)
	time.Sleep(m.Wait.Duration())
	return AdmitReply{Decision: Next, Code: OverBound, RetryAfter: 100}.Encode(), nil
}

// Guards against too many queries while requests wait for a new mean. When hundreds of
// requests asked all candidates after each exchange of sums, they sent 40,000 queries a
// second to eight routers, and owners that worked did not reply in time.
func TestWaitForNewMeanBacksOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &overBoundTransport{}
		e := NewEntry(EntryID{Instance: "self", Incarnation: 1}, NewOwner("self", Config{}), o, nil, Config{})
		e.Update(NewSet(testEndpoints(9)), NewRouters([]Router{{ID: "other", Zone: "a"}}, 0))
		g, r := e.Acquire(t.Context(), Request{Pool: testPool, Key: 1, Deadline: 4 * time.Second})
		assert.Assert(t, g == nil)
		assert.Equal(t, r.Code, Deadline)
		asked := int(o.queries.Load())
		t.Logf("%d queries in 4 s", asked)
		assert.Assert(t, asked < 100, "%d queries", asked)
	})
}
