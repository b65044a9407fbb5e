package endpoint_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/placement"
	"wisteriaspool/coordination/synctest"
	"wisteriaspool/wisteriarouter/endpoint"
	"wisteriaspool/wisteriarouter/engine"
	"wisteriaspool/wisteriarouter/platform"
)

func listed(id coordination.Endpoint, n coordination.Incarnation, state platform.State) platform.Entry {
	return platform.Entry{ID: id, Address: string(id) + ":1", Zone: "a", Kind: platform.Engine, Pool: "m", State: state, Incarnation: n}
}

// state returns the state of an endpoint; an unknown endpoint counts as
// leaving.
func state(d *endpoint.Directory, id coordination.Endpoint) placement.State {
	k, ok := d.Find(id)
	if !ok {
		return placement.Leaving
	}
	return k.State
}

// An endpoint reports its shutdown while the lagging platform list still has it
// as live. A router that believed the list would send it new requests, which
// the shutdown would cut off.
func TestLeavingIsFinalForAnIncarnation(t *testing.T) {
	var d endpoint.Directory
	d.Update([]platform.Entry{listed("e1", 5, platform.Live)})
	d.ApplyReport(endpoint.Report{ID: "e1", Incarnation: 5, Leaving: true})
	d.Update([]platform.Entry{listed("e1", 5, platform.Live)})
	d.ApplyReport(endpoint.Report{ID: "e1", Incarnation: 5})
	assert.Equal(t, state(&d, "e1"), placement.Leaving)
	d.Update([]platform.Entry{listed("e1", 6, platform.Live)})
	assert.Equal(t, state(&d, "e1"), placement.Live)
	d.Update([]platform.Entry{listed("e1", 5, platform.Live)})
	assert.Equal(t, state(&d, "e1"), placement.Live)
}

// Lagging lists and rumors deliver reports about several incarnations of an
// endpoint in any order and number. An incarnation that was once reported as
// leaving must never become live again.
func TestLeavingNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var d endpoint.Directory
		told := map[coordination.Incarnation]bool{}
		d.OnLeaving = func(_ coordination.Endpoint, n coordination.Incarnation) { told[n] = true }
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			n := coordination.Incarnation(rapid.IntRange(1, 4).Draw(t, "incarnation"))
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				d.Update([]platform.Entry{listed("e1", n, platform.Live)})
			case 1:
				d.Update([]platform.Entry{listed("e1", n, platform.Leaving)})
			case 2:
				d.ApplyReport(endpoint.Report{ID: "e1", Incarnation: n, Leaving: rapid.Bool().Draw(t, "leaving")})
			default:
				d.RecordLeaving("e1", n)
			}
			k, ok := d.Find("e1")
			if ok && k.State == placement.Live && told[k.Incarnation] {
				t.Fatalf("incarnation %d is live again", k.Incarnation)
			}
		}
	})
}

// One list is truncated. Removing the endpoints that it omits would move their
// chats to endpoints without their KV caches.
func TestSingleTruncatedListRemovesNothing(t *testing.T) {
	var d endpoint.Directory
	full := []platform.Entry{listed("e1", 1, platform.Live), listed("e2", 1, platform.Live)}
	d.Update(full)
	d.Update(full[:1])
	assert.Equal(t, len(d.Pool("m")), 2)
	d.Update(full)
	d.Update(full[:1])
	assert.Equal(t, len(d.Pool("m")), 2)
	d.Update(full[:1])
	assert.Equal(t, len(d.Pool("m")), 1)
}

// failingLister returns its list, or an error if it has none.
type failingLister struct {
	list atomic.Pointer[[]platform.Entry]
}

func (l *failingLister) Instances(context.Context) ([]platform.Entry, error) {
	list := l.list.Load()
	if list == nil {
		return nil, errors.New("no answer")
	}
	return *list, nil
}

// The platform is unavailable for a while. The known endpoints are kept, and a
// change is applied soon after the platform is available again.
func TestListOutageChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var d endpoint.Directory
		var l failingLister
		one := []platform.Entry{listed("e1", 1, platform.Live)}
		two := append(one, listed("e2", 1, platform.Live))
		l.list.Store(&one)
		r := endpoint.Refresher{Directory: &d, Lister: &l, Interval: func() time.Duration { return time.Second }}
		stop := r.Start(t.Context())
		defer stop()
		l.list.Store(nil)
		time.Sleep(time.Minute)
		synctest.Wait()
		assert.Equal(t, len(d.Pool("m")), 1)
		l.list.Store(&two)
		time.Sleep(2 * time.Second)
		synctest.Wait()
		assert.Equal(t, len(d.Pool("m")), 2)
	})
}

type fakeLoadReader map[string]engine.Load

func (l fakeLoadReader) Load(_ context.Context, address string) (engine.Load, error) {
	load, ok := l[address]
	if !ok {
		return engine.Load{}, errors.New("no answer")
	}
	return load, nil
}

func TestPollerReadsOnlyOwnedEndpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var d endpoint.Directory
		d.Update([]platform.Entry{listed("e1", 1, platform.Live), listed("e2", 1, platform.Live), listed("e3", 1, platform.Live)})
		asked := map[coordination.Endpoint]int{}
		p := endpoint.Poller{
			Directory: &d,
			Loads:     fakeLoadReader{"e1:1": {Incarnation: 1, State: "leaving"}, "e2:1": {Incarnation: 2}},
			Interval:  time.Second,
			Owned:     func(k endpoint.Info) bool { return k.ID != "e2" },
			OnLoad:    func(k endpoint.Info, _ engine.Load) { asked[k.ID]++ },
		}
		stop := p.Start(t.Context())
		time.Sleep(2500 * time.Millisecond)
		synctest.Wait()
		stop()
		assert.DeepEqual(t, asked, map[coordination.Endpoint]int{"e1": 2})
		assert.Equal(t, state(&d, "e1"), placement.Leaving)
		assert.Equal(t, state(&d, "e2"), placement.Live)
	})
}
