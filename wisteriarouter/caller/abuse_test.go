package caller_test

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"
	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/outcome"
	"wisteriaspool/coordination/synctest"
	standin "wisteriaspool/standin/engine"
	"wisteriaspool/wisteriarouter/caller"
	"wisteriaspool/wisteriarouter/engine"
)

// noEngines is an engine client whose calls all fail. It counts those that
// would run or resume an attempt.
type noEngines struct {
	mu    sync.Mutex
	calls int
}

var errNoEngine = errors.New("no engine")

func (e *noEngines) count() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.calls++
}

func (e *noEngines) Start(context.Context, string, engine.Request) (*engine.Stream, error) {
	e.count()
	return nil, &engine.StartError{NotRun: true, Err: errNoEngine}
}

func (e *noEngines) Resume(context.Context, string, engine.Request) (*engine.Stream, error) {
	e.count()
	return nil, engine.ErrNotFound
}

func (e *noEngines) Cancel(context.Context, string, coordination.Attempt) (int, error) {
	return 0, engine.ErrNotFound
}

func (e *noEngines) Load(context.Context, string) (engine.Load, error) {
	return engine.Load{}, errNoEngine
}

// newHandler returns the handler of a router with one team, one endpoint and
// the given engine client.
func newHandler(e caller.Engines) http.Handler {
	s := &caller.Server{
		Planner: oneTeam{}, Placer: fixedPlacer("e1:80"), Engines: e, Suspects: noSuspects{},
		Retries: unlimitedRetries{}, Actions: noActions{},
		Limits:  caller.Limits{MaxBodyBytes: 1 << 12, WriteTimeout: 5 * time.Second, CancelTimeout: time.Second},
		Metrics: caller.NewMetrics(prometheus.NewRegistry()),
	}
	mux := http.NewServeMux()
	s.Register(humago.New(mux, huma.DefaultConfig("test", "0")))
	return mux
}

// request is an HTTP request to a router, invalid in most tests.
type request struct {
	name   string
	path   string // chat completions if empty
	body   string
	header map[string]string // in addition to the defaults; an empty value removes a header
	status int
	code   outcome.Code
}

const goodBody = `{"model":"m","messages":[{"role":"user","content":"hi"}]}`

var badRequests = []request{
	{name: "no body", body: "", status: 400, code: outcome.Malformed},
	{name: "not JSON", body: "{", status: 400, code: outcome.Malformed},
	{name: "no object", body: `[1]`, status: 400, code: outcome.Malformed},
	{name: "null", body: `null`, status: 400, code: outcome.Malformed},
	{name: "two values", body: goodBody + goodBody, status: 400, code: outcome.Malformed},
	{name: "no messages", body: `{"model":"m"}`, status: 400, code: outcome.Malformed},
	{name: "empty messages", body: `{"model":"m","messages":[]}`, status: 400, code: outcome.Malformed},
	{name: "null message", body: `{"model":"m","messages":[null]}`, status: 400, code: outcome.Malformed},
	{name: "no role", body: `{"model":"m","messages":[{"content":"hi"}]}`, status: 400, code: outcome.Malformed},
	{name: "wrong types", body: `{"model":1,"messages":"hi"}`, status: 400, code: outcome.Malformed},
	{name: "deep nesting", body: `{"model":"m","messages":` + strings.Repeat("[", 1500) + strings.Repeat("]", 1500) + `}`, status: 400, code: outcome.Malformed},
	{name: "field in other case", body: `{"model":"m","Model":"n","messages":[{"role":"user","content":"hi"}]}`, status: 400, code: outcome.Malformed},
	{name: "content in other case", body: `{"model":"m","messages":[{"role":"user","content":"hi","Content":"ho"}]}`, status: 400, code: outcome.Malformed},
	{name: "too large", body: `{"model":"m","messages":[{"role":"user","content":"` + strings.Repeat("x", 1<<13) + `"}]}`, status: 413, code: outcome.TooLarge},
	{name: "no team", body: goodBody, header: map[string]string{"X-Team": ""}, status: 404, code: outcome.UnknownTeam},
	{name: "unknown team", body: goodBody, header: map[string]string{"X-Team": "other"}, status: 404, code: outcome.UnknownTeam},
	{name: "no account", body: goodBody, header: map[string]string{"X-Client-Account": ""}, status: 400, code: outcome.MissingAccount},
	{name: "unknown model", body: `{"model":"n","messages":[{"role":"user","content":"hi"}]}`, status: 404, code: outcome.UnknownModel},
	{name: "priority is no number", body: goodBody, header: map[string]string{"X-Priority": "high"}, status: 400, code: outcome.Malformed},
	{name: "negative deadline", body: goodBody, header: map[string]string{"X-Deadline-Ms": "-1"}, status: 400, code: outcome.Malformed},
	{name: "event id of nobody", body: goodBody, header: map[string]string{"Last-Event-ID": "x"}, status: 400, code: outcome.Malformed},
	{name: "other content type", body: goodBody, header: map[string]string{"Content-Type": "text/html"}, status: 400, code: outcome.Malformed},
	{name: "other accepted type", body: "{", header: map[string]string{"Accept": "application/cbor"}, status: 400, code: outcome.Malformed},
	{name: "unknown service", path: "/v1/services/s/a", body: "x", status: 404, code: outcome.UnknownService},
	{name: "action of no team", path: "/v1/services/s/a", body: "x", header: map[string]string{"X-Team": ""}, status: 404, code: outcome.UnknownTeam},
	{name: "large action", path: "/v1/services/s/a", body: strings.Repeat("x", 1<<13), status: 413, code: outcome.TooLarge},
	{name: "long key", path: "/v1/services/s/a", body: "x", header: map[string]string{"Idempotency-Key": strings.Repeat("k", 201)}, status: 400, code: outcome.Malformed},
}

func (r request) http() *http.Request {
	path := r.path
	if path == "" {
		path = "/v1/chat/completions"
	}
	req := httptest.NewRequest(http.MethodPost, path, strings.NewReader(r.body))
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Team", "demo")
	req.Header.Set("X-Client-Account", "label")
	for name, value := range r.header {
		req.Header.Set(name, value)
		if value == "" {
			req.Header.Del(name)
		}
	}
	return req
}

// refusalOf checks that a response is a complete refusal and returns its code.
func refusalOf(t *testing.T, status int, header http.Header, body []byte) outcome.Code {
	t.Helper()
	assert.Assert(t, status >= 400, "status %d", status)
	assert.Equal(t, header.Get("X-Outcome"), "not-run")
	assert.Assert(t, header.Get("Retry-After") != "")
	assert.Equal(t, header.Get("Content-Type"), "application/json")
	var e outcome.Envelope
	assert.NilError(t, json.Unmarshal(body, &e), "%s", body)
	assert.Equal(t, e.Error.Outcome, outcome.NotRun, "%s", body)
	assert.Equal(t, e.Error.Code.HTTPStatus(), status)
	assert.Assert(t, e.Error.Message != "" && e.Error.RetryAfterMs > 0, "%s", body)
	return e.Error.Code
}

// An invalid request is refused at once with its code, in the same form
// whichever layer detects it, and nothing is sent to an endpoint.
func TestBadRequestsGetTypedRefusals(t *testing.T) {
	for _, r := range badRequests {
		t.Run(r.name, func(t *testing.T) {
			engines := &noEngines{}
			w := httptest.NewRecorder()
			newHandler(engines).ServeHTTP(w, r.http())
			code := refusalOf(t, w.Code, w.Header(), w.Body.Bytes())
			assert.Equal(t, w.Code, r.status, w.Body.String())
			assert.Equal(t, code, r.code)
			assert.Equal(t, engines.calls, 0)
		})
	}
}

// pacedRouter returns a router in front of an engine with a constant token
// rate, connected by pipes.
func pacedRouter(t *testing.T, e plainEngine) *fleet {
	f := newFleet(t, 1, 0)
	f.stops = append(f.stops, f.network.Serve("e1:80", e))
	f.servers[0].Placer = fixedPlacer("e1:80")
	return f
}

// Guards against cutting an answer that outlasts the read deadline of the
// request body: the server would treat the caller as disconnected.
func TestLongStreamIsNotCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := pacedRouter(t, plainEngine{tokens: 60, pace: 500 * time.Millisecond})
		h := f.ask(t.Context(), 0, 1, received{})
		assert.Assert(t, h.complete, "%+v", h)
		assert.Equal(t, h.offset, 60)
	})
}

// rawCaller sends and reads HTTP without a client library, to break the
// protocol.
type rawCaller struct {
	conn net.Conn
	r    *bufio.Reader
}

func (f *fleet) dial(t *testing.T) rawCaller {
	conn, err := f.network.DialContext(t.Context(), "", routerAddress(0))
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close() })
	return rawCaller{conn: conn, r: bufio.NewReader(conn)}
}

// send sends a chat request whose Content-Length is length, which may differ
// from that of body.
func (c rawCaller) send(t *testing.T, length int, body string) {
	_, err := fmt.Fprintf(c.conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: r1\r\nContent-Type: application/json\r\n"+
		"X-Team: demo\r\nX-Client-Account: label\r\nContent-Length: %d\r\n\r\n%s", length, body)
	assert.NilError(t, err)
}

// refusal reads one response and returns the code of its refusal.
func (c rawCaller) refusal(t *testing.T) outcome.Code {
	res, err := http.ReadResponse(c.r, nil)
	assert.NilError(t, err)
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	assert.NilError(t, err)
	return refusalOf(t, res.StatusCode, res.Header, body)
}

// A caller that sends its body too slowly, or stops in the middle of it, holds
// its connection only for the body timeout and then gets a refusal.
func TestSlowBodyIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 1)
		c := f.dial(t)
		start := time.Now()
		c.send(t, len(goodBody), goodBody[:10])
		assert.Equal(t, c.refusal(t), outcome.Malformed)
		assert.Assert(t, time.Since(start) < 10*time.Second)
		_, err := c.r.ReadByte()
		assert.Assert(t, err != nil, "the connection stays open")
		assert.Equal(t, f.engines["e1"].Stats().Arrivals, 0)
	})
}

// A caller stops reading in the middle of its answer. Without a write deadline
// its attempt would hold a placement forever and generate unread tokens.
func TestCallerThatStopsReadingIsCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 1)
		f.engines["e1"].SetFaults(standin.Faults{Slow: 200})
		c := f.dial(t)
		body := `{"model":"m","stream":true,"messages":[{"role":"user","content":"` + prompt(1) + `"}]}`
		c.send(t, len(body), body)
		_, err := c.r.ReadString('\n')
		assert.NilError(t, err)
		time.Sleep(f.servers[0].Limits.WriteTimeout + 3*time.Second)
		stats := f.engines["e1"].Stats()
		assert.Equal(t, stats.Cancelled, 1)
		assert.Equal(t, stats.Running, 0)
	})
}

// A caller sends an invalid request and never reads the response. Its
// connection is closed once the time limits for body and response have passed.
func TestCallerThatNeverReadsRefusalsIsCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 1)
		c := f.dial(t)
		c.send(t, 2, "{}")
		time.Sleep(5*time.Second + f.servers[0].Limits.WriteTimeout + time.Second)
		_, err := c.conn.Read(make([]byte, 1))
		assert.Equal(t, err, io.EOF)
	})
}

// bodyRecorder keeps the bodies of actions after Run has returned, as a
// connection does that is still sending one when the service has answered
// early.
type bodyRecorder struct {
	bodies [][]byte
}

func (k *bodyRecorder) Run(_ context.Context, a caller.Action) (caller.Answer, *outcome.Refusal) {
	k.bodies = append(k.bodies, a.Body)
	return caller.Answer{Status: http.StatusOK, Outcome: outcome.Ran}, nil
}

// A service answers before it has read the whole body, which is still being
// sent. If the buffer of the body were reused for the next request, the
// service would get bytes of another caller.
func TestBodyOfActionIsNotReused(t *testing.T) {
	k := &bodyRecorder{}
	s := &caller.Server{Actions: k, Limits: caller.Limits{MaxBodyBytes: 1 << 12, WriteTimeout: time.Second}, Metrics: caller.NewMetrics(prometheus.NewRegistry())}
	mux := http.NewServeMux()
	s.Register(humago.New(mux, huma.DefaultConfig("test", "0")))
	for n := range 50 {
		w := httptest.NewRecorder()
		mux.ServeHTTP(w, request{path: "/v1/services/s/a", body: fmt.Sprintf("body %02d", n)}.http())
		assert.Equal(t, w.Code, http.StatusOK)
	}
	for n, b := range k.bodies {
		assert.Equal(t, string(b), fmt.Sprintf("body %02d", n))
	}
}
