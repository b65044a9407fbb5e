package daemon_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/execution"
	"wisteriaspool/coordination/kv"
	"wisteriaspool/coordination/outcome"
	"wisteriaspool/coordination/placement"
	"wisteriaspool/coordination/settings"
	"wisteriaspool/coordination/suspicion"
)

// keyCount is how many different ids, accounts or keyCount each test below sends. CI
// takes few, for the race detector makes a million last minutes; what is kept
// for each shows with few, too.
var keyCount = flag.Int("keys", 30_000, "different keys that the tests of bounded memory send")

// maxRetainedBytes is the memory that the keys may leave behind together. One entry of
// a map for each would be several times as much.
const maxRetainedBytes = 512 << 10

// liveHeapBytes returns the bytes of the live liveHeapBytes.
func liveHeapBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// retainedBytes runs fn once to make what it needs, then with keys numbers, and returns
// the bytes that it leaves behind.
func retainedBytes(fn func(n int)) int64 {
	fn(0)
	before := liveHeapBytes()
	for n := range *keyCount {
		fn(n + 1)
	}
	return liveHeapBytes() - before
}

// checkBounded checks that fn leaves little behind for all keys together.
func checkBounded(t *testing.T, fn func(n int)) {
	t.Helper()
	n := retainedBytes(fn)
	t.Logf("%d bytes left by %d keys", n, *keyCount)
	assert.Assert(t, n < maxRetainedBytes, "%d bytes left by %d keys", n, *keyCount)
}

// A part keeps one small entry for each key. The check has to see it, or its
// silence means nothing.
func TestBoundCheckDetectsEntryPerKey(t *testing.T) {
	kept := make(map[int]bool)
	n := retainedBytes(func(n int) { kept[n] = true })
	assert.Assert(t, n >= maxRetainedBytes, "%d bytes", n)
	runtime.KeepAlive(kept)
}

// isolatedTransport is the transport of a router without others.
type isolatedTransport struct{}

var errNoOtherRouter = errors.New("no other router")

func (isolatedTransport) Call(context.Context, coordination.Instance, string, []byte) ([]byte, error) {
	return nil, errNoOtherRouter
}

// failingLoadReader is a reader of loads that reads none.
type failingLoadReader struct{}

func (failingLoadReader) ReadLoad(context.Context, coordination.Endpoint) (placement.Report, error) {
	return placement.Report{}, errNoOtherRouter
}

// A caller sends a new chat id, and names a new client account, with each of a
// million requests. Were any state kept for each, the router would run out of
// memory some days later.
func TestPlacementForgetsChatsAndAccounts(t *testing.T) {
	self := placement.EntryID{Instance: "r1", Incarnation: 1}
	owner := placement.NewOwner(self.Instance, placement.Config{})
	entry := placement.NewEntry(self, owner, isolatedTransport{}, failingLoadReader{}, placement.Config{})
	set := placement.NewSet([]placement.Descriptor{{ID: "e1", Pool: "m@1", Incarnation: 1, Capacity: 16}})
	routers := placement.NewRouters([]placement.Router{{ID: self.Instance, Incarnation: 1}}, 0)
	owner.Update(set, routers)
	entry.Update(set, routers)
	checkBounded(t, func(n int) {
		g, refusal := entry.Acquire(t.Context(), placement.Request{
			Pool:    "m@1",
			Key:     placement.Key(n),
			Account: coordination.Account(fmt.Sprintf("account-%d", n)),
		})
		assert.Assert(t, g != nil, "%v", refusal)
		g.Release()
		if n%1000 == 0 {
			owner.Tick()
			entry.Tick(t.Context())
		}
	})
}

// acceptingStore is a platform that accepts and forgets everything.
type acceptingStore struct {
	revision kv.Revision
}

func (a *acceptingStore) CompareAndSwap(context.Context, string, []byte, kv.Revision, kv.Lease) kv.Result {
	a.revision++
	return kv.Result{Status: kv.Applied, Revision: a.revision}
}

func (a *acceptingStore) Grant(context.Context, time.Duration) (kv.Lease, kv.Result) {
	return 1, kv.Result{Status: kv.Applied}
}

// finishedAction is an action that has run.
type finishedAction struct{}

func (finishedAction) Send(context.Context) execution.Result {
	return execution.Result{Outcome: outcome.Ran, Answer: &execution.Answer{Status: 200}}
}

// A caller runs a million actions, each with a key of its own. Their records
// live at the platform for a day; a router must keep nothing of them.
func TestLedgerForgetsKeys(t *testing.T) {
	ledger, cleanup := execution.New(execution.Config{Store: &acceptingStore{}, Holder: "r1"})
	defer cleanup()
	checkBounded(t, func(n int) {
		res := ledger.Run(t.Context(), execution.Request{Team: "demo", Key: execution.Key(fmt.Sprintf("key-%d", n)), IssuedAt: time.Now()}, finishedAction{})
		assert.Equal(t, res.Outcome, outcome.Ran, "%+v", res)
	})
}

// A caller names a million teams that do not exist, and sends a million
// conversations that nobody suspects. Looking them up must not enter them.
func TestLookupsEnterNothing(t *testing.T) {
	replica := &settings.Replica{}
	table := suspicion.NewTable(suspicion.Config{})
	checkBounded(t, func(n int) {
		_, known := replica.Team(coordination.Team(fmt.Sprintf("team-%d", n)))
		assert.Assert(t, !known)
		advice, _ := table.Check(time.Now(), suspicion.Fingerprint(n), "m@1")
		assert.Equal(t, advice, suspicion.Run)
	})
}
