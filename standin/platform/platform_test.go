package platform

import (
	"bufio"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination/synctest"
	"wisteriaspool/standin/pipe"
)

const base = "http://platform"

// testServer is a Server with an HTTP client, connected through a pipe.Network.
type testServer struct {
	*Server
	client *http.Client
}

// newTestServer starts a server. The returned function stops it and must be
// called in the same synctest bubble.
func newTestServer(opts Options) (*testServer, func()) {
	network := &pipe.Network{}
	server, cleanup := New(opts)
	transport := network.Transport()
	stop := network.Serve("platform:80", server)
	return &testServer{Server: server, client: &http.Client{Transport: transport}}, func() {
		cleanup()
		transport.CloseIdleConnections()
		stop()
	}
}

// inBubble runs f with a server in a synctest bubble.
func inBubble(t *testing.T, opts Options, f func(t *testing.T, s *testServer)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s, cleanup := newTestServer(opts)
		defer cleanup()
		f(t, s)
	})
}

// post sends a body and decodes the response into v. It returns the HTTP
// status, or zero and an error if the connection breaks.
func (s *testServer) post(path, body string, v any) (int, error) {
	res, err := s.client.Post(base+path, "application/json", strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, err
	}
	return res.StatusCode, json.Unmarshal(data, v)
}

func b64(s string) string { return base64.StdEncoding.EncodeToString([]byte(s)) }

// casBody returns a transaction that writes key if its mod revision is expect
// and otherwise reads it.
func casBody(key, value string, expect Int64) string {
	return fmt.Sprintf(`{"compare":[{"target":"MOD","result":"EQUAL","key":%q,"mod_revision":"%d"}],
		"success":[{"request_put":{"key":%q,"value":%q}}],
		"failure":[{"request_range":{"key":%q}}]}`, b64(key), expect, b64(key), b64(value), b64(key))
}

func (s *testServer) cas(key, value string, expect Int64) (txnResponse, error) {
	var res txnResponse
	_, err := s.post("/v3/kv/txn", casBody(key, value, expect), &res)
	return res, err
}

// Concurrent compare-and-swap writes of a key expect the same revision. If more
// than one succeeded, an accepted write would be lost.
func TestConcurrentCompareAndSwapHasOneWinner(t *testing.T) {
	inBubble(t, Options{}, func(t *testing.T, s *testServer) {
		var mu sync.Mutex
		var wg sync.WaitGroup
		won := 0
		for n := range 20 {
			wg.Go(func() {
				res, err := s.cas("k", fmt.Sprint(n), 0)
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					t.Error(err)
				}
				if res.Succeeded {
					won++
				} else {
					assert.Check(t, len(res.Responses[0].Range.KVs) == 1)
				}
			})
		}
		wg.Wait()
		assert.Equal(t, won, 1)
		kv := s.Get("k")[0]
		assert.Equal(t, kv.ModRevision, Int64(2))
		assert.Equal(t, kv.Version, Int64(1))
	})
}

func TestCompareTargets(t *testing.T) {
	const key = `"key":"aw=="` // k, written twice: create revision 2, mod revision 3, version 2
	for _, test := range []struct {
		compare string
		holds   bool
	}{
		{`{` + key + `,"target":"MOD","mod_revision":"3"}`, true},
		{`{` + key + `,"target":"MOD","modRevision":3}`, true},
		{`{` + key + `,"target":"MOD","mod_revision":"2"}`, false},
		{`{` + key + `,"target":"MOD","result":"LESS","mod_revision":"4"}`, true},
		{`{` + key + `,"target":"CREATE","create_revision":"2"}`, true},
		{`{` + key + `,"target":"CREATE","create_revision":"0"}`, false},
		{`{` + key + `,"target":"VERSION","version":"2"}`, true},
		{`{` + key + `,"target":"VERSION","result":"NOT_EQUAL","version":"2"}`, false},
		{`{` + key + `,"target":"VALUE","value":"Mg=="}`, true},
		{`{"key":"eA==","target":"CREATE","create_revision":"0"}`, true},
	} {
		inBubble(t, Options{}, func(t *testing.T, s *testServer) {
			for _, value := range []string{"1", "2"} {
				_, err := s.Put("k", []byte(value))
				assert.NilError(t, err)
			}
			var res txnResponse
			status, err := s.post("/v3/kv/txn", `{"compare":[`+test.compare+`]}`, &res)
			assert.NilError(t, err)
			assert.Equal(t, status, http.StatusOK)
			assert.Equal(t, res.Succeeded, test.holds, test.compare)
		})
	}
}

func TestRangeByPrefixLimitAndRevision(t *testing.T) {
	inBubble(t, Options{}, func(t *testing.T, s *testServer) {
		for _, key := range []string{"a/2", "a/1", "b", "a/1"} {
			_, err := s.Put(key, []byte("v"))
			assert.NilError(t, err)
		}
		var res rangeResponse
		_, err := s.post("/v3/kv/range", `{"key":"YS8=","range_end":"YTA=","limit":"1"}`, &res)
		assert.NilError(t, err)
		assert.Equal(t, string(res.KVs[0].Key), "a/1")
		assert.Equal(t, res.KVs[0].ModRevision, Int64(5))
		assert.Equal(t, res.Count, Int64(2))
		assert.Check(t, res.More)

		var past rangeResponse
		_, err = s.post("/v3/kv/range", `{"key":"YS8=","range_end":"YTA=","revision":"2"}`, &past)
		assert.NilError(t, err)
		assert.Equal(t, len(past.KVs), 1)
		assert.Equal(t, string(past.KVs[0].Key), "a/2")
	})
}

// If a lease holder pauses for longer than the TTL, its key must be deleted, so
// that watches report it and another holder can take over.
func TestLeaseExpiresWithoutKeepAlive(t *testing.T) {
	inBubble(t, Options{}, func(t *testing.T, s *testServer) {
		var granted leaseResponse
		_, err := s.post("/v3/lease/grant", `{"TTL":"5"}`, &granted)
		assert.NilError(t, err)
		id := fmt.Sprintf(`"%d"`, granted.ID)
		var put putResponse
		_, err = s.post("/v3/kv/put", `{"key":"aw==","value":"","lease":`+id+`}`, &put)
		assert.NilError(t, err)

		time.Sleep(4 * time.Second)
		var alive keepAliveResponse
		_, err = s.post("/v3/lease/keepalive", `{"ID":`+id+`}`, &alive)
		assert.NilError(t, err)
		assert.Equal(t, alive.Result.TTL, Int64(5))
		time.Sleep(4 * time.Second)
		assert.Equal(t, len(s.Get("k")), 1)

		time.Sleep(2 * time.Second)
		assert.Equal(t, len(s.Get("k")), 0)
		alive = keepAliveResponse{}
		_, err = s.post("/v3/lease/keepalive", `{"ID":`+id+`}`, &alive)
		assert.NilError(t, err)
		assert.Equal(t, alive.Result.TTL, Int64(0))
	})
}

// watch reads the messages of an open watch.
type watch struct {
	lines *bufio.Scanner
}

func (s *testServer) watch(ctx context.Context, t *testing.T, from Int64) watch {
	t.Helper()
	body := fmt.Sprintf(`{"create_request":{"key":"aw==","start_revision":"%d"}}`, from)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/v3/watch", strings.NewReader(body))
	assert.NilError(t, err)
	res, err := s.client.Do(req)
	assert.NilError(t, err)
	w := watch{lines: bufio.NewScanner(res.Body)}
	created, ok := w.next(t)
	assert.Check(t, ok && created.Created)
	return w
}

// next returns the next message, or false if the connection has ended.
func (w watch) next(t *testing.T) (watchResult, bool) {
	t.Helper()
	if !w.lines.Scan() {
		return watchResult{}, false
	}
	var res watchResponse
	assert.NilError(t, json.Unmarshal(w.lines.Bytes(), &res))
	return res.Result, true
}

func TestWatchFromRevision(t *testing.T) {
	inBubble(t, Options{}, func(t *testing.T, s *testServer) {
		for _, value := range []string{"1", "2", "3"} {
			_, err := s.Put("k", []byte(value))
			assert.NilError(t, err)
		}
		w := s.watch(t.Context(), t, 3)
		past, ok := w.next(t)
		assert.Check(t, ok)
		assert.Equal(t, len(past.Events), 2)
		assert.Equal(t, string(past.Events[0].KV.Value), "2")

		_, err := s.Put("other", nil)
		assert.NilError(t, err)
		_, refused := s.store.deleteRange(deleteRequest{Key: []byte("k")})
		assert.Check(t, refused == nil)
		live, ok := w.next(t)
		assert.Check(t, ok)
		assert.Equal(t, live.Events[0].Type, "DELETE")
		assert.Equal(t, live.Events[0].KV.ModRevision, Int64(6))
	})
}

// A watch reconnects at a revision that has been compacted in the meantime. It
// must be canceled with the compaction revision; otherwise the watcher would
// miss changes and keep a stale setting indefinitely.
func TestWatchReportsCompaction(t *testing.T) {
	inBubble(t, Options{}, func(t *testing.T, s *testServer) {
		w := s.watch(t.Context(), t, 2)
		assert.NilError(t, s.SetFaults(Faults{DropWatches: true}))
		_, ok := w.next(t)
		assert.Check(t, !ok)

		_, err := s.Put("k", []byte("missed"))
		assert.NilError(t, err)
		assert.NilError(t, s.SetFaults(Faults{Compact: true}))
		again := s.watch(t.Context(), t, 2)
		told, ok := again.next(t)
		assert.Check(t, ok)
		assert.Check(t, told.Canceled)
		assert.Equal(t, told.CompactRevision, Int64(2))
		_, ok = again.next(t)
		assert.Check(t, !ok)
	})
}

// Restoring a backup writes an old value over a newer one. The write must get a
// new revision and version; only the content is old.
func TestRestoreCreatesNewRevision(t *testing.T) {
	inBubble(t, Options{}, func(t *testing.T, s *testServer) {
		first, err := s.Put("k", []byte("old"))
		assert.NilError(t, err)
		_, err = s.Put("k", []byte("new"))
		assert.NilError(t, err)
		assert.NilError(t, s.SetFaults(Faults{Restore: &Restore{Key: "k", Revision: Int64(first)}}))
		kv := s.Get("k")[0]
		assert.Equal(t, string(kv.Value), "old")
		assert.Equal(t, kv.ModRevision, Int64(4))
		assert.Equal(t, kv.Version, Int64(3))
	})
}

// A caller must be able to distinguish a write that was rejected without effect
// from one that may have been applied: the former gets a status, the latter
// loses the connection.
func TestWriteFaults(t *testing.T) {
	for _, test := range []struct {
		name    string
		opts    Options
		faults  Faults
		status  int // zero if the connection breaks
		code    statusCode
		written bool
	}{
		{name: "no fault", status: http.StatusOK, written: true},
		{name: "outage", faults: Faults{Outage: true}, status: http.StatusServiceUnavailable, code: codeUnavailable},
		{name: "lost call", faults: Faults{LoseCallNext: 1}},
		{name: "lost answer", faults: Faults{LoseReplyNext: 1}, written: true},
		{name: "all calls lost", faults: Faults{LoseCall: 1}},
		{name: "all answers lost", faults: Faults{LoseReply: 1}, written: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			inBubble(t, test.opts, func(t *testing.T, s *testServer) {
				assert.NilError(t, s.SetFaults(test.faults))
				var refused statusError
				status, err := s.post("/v3/kv/txn", casBody("k", "v", 0), &refused)
				assert.Equal(t, err != nil, test.status == 0)
				assert.Equal(t, status, test.status)
				assert.Equal(t, refused.Code, test.code)
				assert.Equal(t, len(s.Get("k")) == 1, test.written)
				assert.Equal(t, s.Calls().Txn, 1)
			})
		})
	}
}

// A write above the rate limit must fail with status 429 and without effect,
// and writes must succeed again once the limiter refills.
func TestRateCap(t *testing.T) {
	inBubble(t, Options{WritesPerSecond: 10}, func(t *testing.T, s *testServer) {
		var refused statusError
		status, err := s.post("/v3/kv/txn", casBody("k", "v", 0), &refused)
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
		status, err = s.post("/v3/kv/txn", casBody("k", "w", 2), &refused)
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusTooManyRequests)
		assert.Equal(t, refused.Code, codeResourceExhausted)
		assert.Equal(t, string(s.Get("k")[0].Value), "v")
		assert.Equal(t, s.Calls().Throttled, 1)

		time.Sleep(100 * time.Millisecond)
		status, err = s.post("/v3/kv/txn", casBody("k", "w", 2), &refused)
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
	})
}

// A call that blocks on Hang must not be applied if its client disconnects
// before Hang is cleared.
func TestHang(t *testing.T) {
	inBubble(t, Options{}, func(t *testing.T, s *testServer) {
		assert.NilError(t, s.SetFaults(Faults{Hang: true}))
		s.client.Timeout = time.Second
		_, err := s.cas("k", "v", 0)
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		synctest.Wait() // until the server detects the disconnect
		assert.NilError(t, s.SetFaults(Faults{}))
		time.Sleep(time.Second)
		assert.Equal(t, len(s.Get("k")), 0)
	})
}

// With a lag, the list must show an added instance late and a removed one for
// longer, as routers then miss new instances and send work to removed ones.
func TestListLags(t *testing.T) {
	inBubble(t, Options{ListLag: 2 * time.Second}, func(t *testing.T, s *testServer) {
		client := Client{URL: base, HTTP: s.client}
		assert.NilError(t, client.Register(t.Context(), Instance{ID: "e1", Kind: "engine", Capacity: 16}))
		assert.Equal(t, len(s.list(t).Instances), 0)
		time.Sleep(2 * time.Second)
		assert.Equal(t, s.list(t).Instances[0].State, Live)

		assert.NilError(t, client.Register(t.Context(), Instance{ID: "e1", State: Leaving}))
		assert.NilError(t, client.Remove(t.Context(), "e1"))
		assert.Equal(t, len(s.list(t).Instances), 1)
		assert.Equal(t, len(s.Instances()), 0)
		time.Sleep(2 * time.Second)
		assert.Equal(t, len(s.list(t).Instances), 0)
	})
}

func (s *testServer) list(t *testing.T) List {
	t.Helper()
	res, err := s.client.Get(base + "/v1/instances")
	assert.NilError(t, err)
	defer res.Body.Close()
	var list List
	assert.NilError(t, json.NewDecoder(res.Body).Decode(&list))
	return list
}

func TestFaultsMerge(t *testing.T) {
	inBubble(t, Options{}, func(t *testing.T, s *testServer) {
		var now Faults
		_, err := s.post("/admin/faults", `{"outage":true}`, &now)
		assert.NilError(t, err)
		_, err = s.post("/admin/faults", `{"slow_ms":5,"drop_watches":true}`, &now)
		assert.NilError(t, err)
		assert.DeepEqual(t, s.Faults(), Faults{Outage: true, SlowMillis: 5})
	})
}
