package origin_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/origin"
	"wisteriaspool/coordination/synctest"
)

const costPool coordination.Pool = "chat-model-1"

// countingTransport counts calls and the bytes of their payloads.
type countingTransport struct {
	transport
	calls, bytes *atomic.Int64
}

func (c countingTransport) Call(ctx context.Context, to coordination.Instance, topic string, payload []byte) ([]byte, error) {
	c.calls.Add(1)
	c.bytes.Add(int64(len(payload)))
	return c.transport.Call(ctx, to, topic, payload)
}

// Guards against a fleet that sends, for streams known by their content, more than three times
// the messages and bytes of streams known by the attempts that began them.
func TestContentCostsFewMessages(t *testing.T) {
	for _, routers := range []int{7, 64} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				plainCalls, plainBytes := recordingCost(t, routers, false)
				calls, bytes := recordingCost(t, routers, true)
				t.Logf("%d routers, 10 streams a second each, for 10 s: %d calls, %d bytes; by content too: %d, %d", routers, plainCalls, plainBytes, calls, bytes)
				assert.Assert(t, calls <= 3*plainCalls && bytes <= 3*plainBytes)
			})
		})
	}
}

// costRecord returns the record of the nth stream, with texts of the usual lengths.
func costRecord(n int) origin.Record {
	return origin.Record{
		Attempt: coordination.Attempt(fmt.Sprintf("%016x", n)), Pool: costPool, Version: "v1.1", LeftMs: 15_000,
		Content: origin.Content(uint64(1+n) * 0x9e3779b97f4a7c15),
	}
}

// recordingCost returns what a fleet sends in 10 s, in which each router begins 10 streams a
// second.
func recordingCost(t *testing.T, routers int, byContent bool) (calls, bytes int64) {
	var c, b atomic.Int64
	f := newFleet(t, routers)
	for _, r := range f.routers {
		k, stop := origin.NewKeeper(origin.Config{Self: r.ID, Transport: countingTransport{transport{f, r.ID}, &c, &b}, Routers: f.alive})
		t.Cleanup(stop)
		f.keepers[r.ID] = k
	}
	for n := range 100 {
		for i, r := range f.routers {
			rec := costRecord(n*routers + i)
			f.keepers[r.ID].Record(rec)
			if byContent {
				f.keepers[r.ID].Record(origin.ByContent([]origin.Record{rec})[0])
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(time.Second)
	return c.Load(), b.Load()
}

// Guards against a burst of messages when a pool becomes mixed and all its streams are made
// known by their content.
func TestPoolThatBecomesMixedCostsFewMessages(t *testing.T) {
	for _, routers := range []int{7, 64} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var c, b atomic.Int64
				f := newFleet(t, routers)
				for i, r := range f.routers {
					k, stop := origin.NewKeeper(origin.Config{Self: r.ID, Transport: countingTransport{transport{f, r.ID}, &c, &b}, Routers: f.alive})
					t.Cleanup(stop)
					f.keepers[r.ID] = k
					for n := range 100 {
						k.Record(costRecord(n*routers + i))
					}
				}
				time.Sleep(time.Second)
				c.Store(0)
				b.Store(0)
				for _, r := range f.routers {
					f.keepers[r.ID].KeepByContent(costPool)
				}
				time.Sleep(time.Second)
				t.Logf("%d routers, 100 streams each: %d calls, %d bytes", routers, c.Load(), b.Load())
				assert.Assert(t, c.Load() <= int64(routers*(routers-1)), "more than one call from each router to each other one")
			})
		})
	}
}
