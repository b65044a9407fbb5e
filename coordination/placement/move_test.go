package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination/synctest"
)

// Guards against requests that keep waiting at full endpoints after idle ones have
// returned. The bound of the full endpoints falls with the pool's mean, so the requests
// would wait until those endpoints carry hardly more than the mean.
func TestWaitingRequestMovesToIdleEndpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		es := testEndpoints(4)
		for i := range es {
			es[i].Capacity, es[i].Zone = 8, "z"
		}
		o := NewOwner("self", Config{})
		e := NewEntry(EntryID{Instance: "self", Incarnation: 1}, o, unresponsiveTransport{}, nil, Config{})
		routers := NewRouters([]Router{{ID: "self", Zone: "z"}}, 0)
		o.Update(NewSet(es[:1]), routers)
		e.Update(NewSet(es[:1]), routers)
		time.Sleep(2 * time.Second) // the owner settles
		var running []*Grant
		for range 8 {
			g, _ := e.Acquire(t.Context(), Request{Pool: testPool, Key: 1})
			running = append(running, g)
		}
		placed := make(chan *Grant, 1)
		go func() {
			g, _ := e.Acquire(t.Context(), Request{Pool: testPool, Key: 1})
			placed <- g
		}()
		time.Sleep(time.Second)
		o.Update(NewSet(es), routers)
		e.Update(NewSet(es), routers)
		time.Sleep(2 * time.Second)
		running[0].Release()
		time.Sleep(100 * time.Millisecond)
		select {
		case g := <-placed:
			assert.Assert(t, g != nil && g.Endpoint.ID != "e0")
		default:
			t.Error("the request still waits at the full endpoint")
		}
		for _, g := range running[1:] {
			g.Release()
		}
	})
}
