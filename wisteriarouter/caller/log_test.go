package caller_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"wisteriaspool/coordination/synctest"
	"wisteriaspool/wisteriarouter/caller"
	"wisteriaspool/wisteriarouter/event"
)

// logBuffer holds the log of a router.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (j *logBuffer) Write(p []byte) (int, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.text.Write(p)
}

// attach makes a router log to j.
func (j *logBuffer) attach(s *caller.Server) {
	logger := logrus.New()
	logger.SetFormatter(&logrus.JSONFormatter{})
	logger.SetOutput(j)
	s.Log = event.NewLog(logger)
}

// linesOf returns the log lines of a request, each as its event with some
// fields.
func (j *logBuffer) linesOf(t *testing.T, request string) []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	var all []string
	for line := range strings.Lines(j.text.String()) {
		var l struct {
			Msg      string
			Request  string
			Endpoint string
			Ended    string
			Code     string
		}
		assert.NilError(t, json.Unmarshal([]byte(line), &l))
		if l.Request == request {
			all = append(all, strings.Join(strings.Fields(strings.Join([]string{l.Msg, l.Endpoint, l.Ended, l.Code}, " ")), " "))
		}
	}
	return all
}

// The logs of a request whose endpoint dies show under its id where it ran,
// which endpoint died and where it was continued.
func TestLogsDescribeChat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var j logBuffer
		f := newFleet(t, 1, 2, j.attach)
		crash := time.AfterFunc(100*time.Millisecond, f.engines["e1"].Crash)
		defer crash.Stop()
		h := f.ask(t.Context(), 0, 1, received{})
		assert.Equal(t, h.problem(1), "")
		assert.DeepEqual(t, j.linesOf(t, h.header.Get("X-Request-Id")), []string{
			"chat-placed e1", "chat-attempt e1 endpoint-died", "endpoint-lost e1", "stream-continued e1",
			"chat-placed e2", "chat-attempt e2 delivered",
		})
		time.Sleep(time.Minute) // lets the cancelling at the dead engine time out
		f.close()
		f.stops = nil
	})
}

// A request that is refused before anything else is logged under the id that
// its caller gave it, with the reason.
func TestLogsDescribeRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var j logBuffer
		f := newFleet(t, 1, 1, j.attach)
		body := strings.NewReader(`{"model":"m","messages":[{"role":"user","content":"x"}]}`)
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+routerAddress(0)+"/v1/chat/completions", body)
		assert.NilError(t, err)
		req.Header.Set("Content-Type", "application/json")
		req.Header.Set("X-Team", "other")
		req.Header.Set("X-Client-Account", "label")
		req.Header.Set("X-Request-Id", "mine-1")
		tr := f.network.Transport()
		res, err := tr.RoundTrip(req)
		assert.NilError(t, err)
		_ = res.Body.Close()
		assert.Equal(t, res.Header.Get("X-Request-Id"), "mine-1")
		assert.DeepEqual(t, j.linesOf(t, "mine-1"), []string{"request-refused unknown-team"})
		tr.CloseIdleConnections()
		f.close()
		f.stops = nil
	})
}
