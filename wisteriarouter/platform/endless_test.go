package platform_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination/kv"
	"wisteriaspool/standin/raw"
	"wisteriaspool/wisteriarouter/platform"
)

// newTimedClient returns a client of a service with a timeout that the tests do not reach.
func newTimedClient(t *testing.T, address string) *platform.Client {
	c, cleanup, err := platform.New(platform.Config{Endpoints: []string{"http://" + address}, Timeout: 20 * time.Second})
	assert.NilError(t, err)
	t.Cleanup(cleanup)
	return c
}

// Guards against a response head of the service that never ends and fills the memory of a router.
func TestHeadOfServiceWithoutEndIsCutOff(t *testing.T) {
	for _, e := range raw.EndlessHeads() {
		t.Run(e.Name, func(t *testing.T) {
			t.Parallel()
			s, closeServer, err := raw.ListenEndless(e.Start, e.Repeat)
			assert.NilError(t, err)
			defer closeServer()
			c := newTimedClient(t, s.Address())
			assert.Check(t, c.CompareAndSwap(t.Context(), "k", nil, 0, kv.Lease{}).Status == kv.Unknown)
			assert.Check(t, s.Written() < 8<<20, "%d bytes", s.Written())
		})
	}
}

// maxEndlessWatch is what may be written of a message of a watch that has no end, in bytes.
const maxEndlessWatch = 32 << 20

// Guards against a message of a watch that never ends and fills the memory of a router.
func TestMessageOfWatchWithoutEndIsCutOff(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n\r\n"
	const created = `{"result":{"header":{"revision":"9"},"created":true}}`
	for _, e := range []raw.Endless{
		{Name: "first message", Start: head + `{"result":{"header":{"revision":"`, Repeat: "7777777777"},
		{Name: "later message", Start: head + created + `{"result":{"events":[{"kv":{"key":"`, Repeat: "eA4455"},
		{Name: "nested", Start: head + created, Repeat: `{"a":`},
		{Name: "blank", Start: head + created, Repeat: "\n      "},
	} {
		t.Run(e.Name, func(t *testing.T) {
			t.Parallel()
			s, closeServer, err := raw.ListenEndless(e.Start, e.Repeat)
			assert.NilError(t, err)
			c := newTimedClient(t, s.Address())
			ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
			defer cancel()
			changes, res := c.Watch(ctx, "k", kv.NewRevision(0, 9))
			closeServer() // so that the watch is not opened again
			if res.Status == kv.Applied {
				for range changes {
					t.Error("a change was delivered")
				}
			}
			assert.NilError(t, ctx.Err())
			assert.Check(t, s.Written() < maxEndlessWatch, "%d bytes", s.Written())
		})
	}
}
