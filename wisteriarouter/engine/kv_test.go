package engine

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/transfer"
)

// kvClient returns a client, and the address of an engine whose handler is h.
func kvClient(t *testing.T, h http.HandlerFunc) (*Client, string) {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	c, closeClient := NewClient(Options{})
	t.Cleanup(closeClient)
	return c, strings.TrimPrefix(s.URL, "http://")
}

// Two client accounts use the same chat id. An engine that receives only the id
// treats both as one chat and exports the cache of one account to the other.
func TestChatIDsAreScopedByAccount(t *testing.T) {
	var named []string
	c, address := kvClient(t, func(_ http.ResponseWriter, r *http.Request) {
		named = append(named, r.Header.Get(headerChat))
	})
	for _, account := range []coordination.Account{"label", "plant"} {
		for _, id := range []coordination.Chat{"1", ""} {
			s, err := c.Start(WithAccount(context.Background(), account), address, Request{Attempt: "a", Chat: id})
			assert.NilError(t, err)
			s.Close()
		}
	}
	assert.DeepEqual(t, named, []string{"label/1", "", "plant/1", ""})
}

func TestCacheEvents(t *testing.T) {
	c, address := kvClient(t, func(w http.ResponseWriter, r *http.Request) {
		assert.Equal(t, r.URL.String(), "/v1/cache-events?since=4")
		_, _ = w.Write([]byte(`{"events":[{"seq":7,"chat":"label/1","kind":"stored","size":3}],"next":9}`))
	})
	events, err := c.CacheEvents(t.Context(), address, 4)
	assert.NilError(t, err)
	assert.DeepEqual(t, events, CacheEvents{Events: []transfer.Event{{Seq: 7, Chat: "label/1", Kind: transfer.Stored}}, Next: 9})
}

// The cache of a chat no longer exists, or the leaving engine dies during its
// export. The other engine must not take a partial cache for a complete one.
func TestInterruptedExportIsNotImported(t *testing.T) {
	var whole atomic.Int32
	c, address := kvClient(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/v1/kv/export":
			_, _ = w.Write(make([]byte, 100_000))
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		case "/v1/kv/import":
			if _, err := io.Copy(io.Discard, r.Body); err == nil {
				whole.Add(1)
			}
		}
	})
	kv, err := c.Export(t.Context(), address, "label/1")
	assert.NilError(t, err)
	defer kv.Body.Close()
	n, err := c.Import(t.Context(), address, kv)
	assert.ErrorIs(t, err, ErrTruncated)
	assert.Assert(t, n <= 100_000, "%d bytes", n)
	assert.Equal(t, whole.Load(), int32(0))

	cold, coldAddress := kvClient(t, http.NotFound)
	_, err = cold.Export(t.Context(), coldAddress, "label/1")
	assert.ErrorIs(t, err, ErrNotFound)
}

// Guards against a cache that is broken off by a connection closed in order, and stored by
// the other engine as complete.
func TestUndelimitedExportIsNotImported(t *testing.T) {
	c, address := kvClient(t, func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		assert.Check(t, err)
		_, err = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n"+strings.Repeat("k", 1000))
		assert.Check(t, err)
		assert.Check(t, conn.Close())
	})
	_, err := c.Export(t.Context(), address, "label/1")
	assert.ErrorIs(t, err, ErrTruncated)
}
