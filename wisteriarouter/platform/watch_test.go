package platform_test

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination/kv"
)

// watchBody is the part of a watch request that the tests check.
type watchBody struct {
	Create struct {
		Start string `json:"start_revision"`
	} `json:"create_request"`
}

// watchService sends one script per connection and then breaks the connection.
// It records the start revision that each connection requests.
type watchService struct {
	scripts []string
	starts  chan string
}

func (s *watchService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body watchBody
	_ = json.NewDecoder(r.Body).Decode(&body)
	s.starts <- body.Create.Start
	if len(s.scripts) == 0 {
		<-r.Context().Done()
		return
	}
	script := s.scripts[0]
	s.scripts = s.scripts[1:]
	_, _ = io.WriteString(w, script)
	w.(http.Flusher).Flush()
	panic(http.ErrAbortHandler)
}

func newWatchService(t *testing.T, scripts ...string) (*watchService, string) {
	t.Helper()
	s := &watchService{scripts: scripts, starts: make(chan string, 10)}
	srv := httptest.NewServer(s)
	t.Cleanup(srv.Close)
	return s, srv.URL
}

// The connection of a watch breaks between two changes. A watch that resumed at
// the current revision would miss the second one, and an accepted setting would
// never come into force on this router.
func TestWatchResumesAfterLastRevision(t *testing.T) {
	s, url := newWatchService(t,
		`{"result":{"header":{"revision":"9"},"created":true}}
		 {"result":{"header":{"revision":"9"},"events":[{"kv":{"key":"YQ==","value":"MQ==","mod_revision":"6"}}]}}`,
		`{"result":{"header":{"revision":"9"},"created":true}}
		 {"result":{"header":{"revision":"9"},"events":[{"type":"DELETE","kv":{"key":"YQ==","mod_revision":"8"}}]}}`)
	out, res := newClient(t, url).Watch(t.Context(), "a", 5)
	assert.Equal(t, res.Status, kv.Applied)
	first := <-out
	assert.DeepEqual(t, first, kv.Batch{Revision: 6, Events: []kv.Event{{Pair: kv.Pair{Key: "a", Value: []byte("1"), Revision: 6}}}})
	second := <-out
	assert.DeepEqual(t, second, kv.Batch{Revision: 8, Events: []kv.Event{{Pair: kv.Pair{Key: "a", Revision: 8}, Deleted: true}}})
	assert.Equal(t, <-s.starts, "6")
	assert.Equal(t, <-s.starts, "7")
}

// The service compacts old revisions while a watcher is disconnected. Unless the
// watch reports a gap, the watcher takes its outdated data for current.
func TestWatchReportsCompactionAsGap(t *testing.T) {
	s, url := newWatchService(t,
		`{"result":{"header":{"revision":"40"},"created":true}}
		 {"result":{"header":{"revision":"40"},"canceled":true,"compact_revision":"30"}}`,
		`{"result":{"header":{"revision":"40"},"created":true}}
		 {"result":{"header":{"revision":"40"},"events":[{"kv":{"key":"YQ==","mod_revision":"33"}}]}}`)
	out, res := newClient(t, url).Watch(t.Context(), "a", 5)
	assert.Equal(t, res.Status, kv.Applied)
	b := <-out
	assert.Assert(t, b.Gap)
	b = <-out
	assert.Equal(t, b.Revision, kv.Revision(33))
	assert.Assert(t, !b.Gap)
	assert.Equal(t, <-s.starts, "6")
	assert.Equal(t, <-s.starts, "30")
}

func TestWatchFromNowStartsWithGap(t *testing.T) {
	s, url := newWatchService(t, `{"result":{"header":{"revision":"9"},"created":true}}`)
	out, res := newClient(t, url).Watch(t.Context(), "a", 0)
	assert.Equal(t, res.Revision, kv.Revision(9))
	assert.DeepEqual(t, <-out, kv.Batch{Revision: 9, Gap: true})
	assert.Equal(t, <-s.starts, "")
	assert.Equal(t, <-s.starts, "10")
}
