package operator_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"
	"gotest.tools/v3/assert"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/kv/kvtest"
	"wisteriaspool/coordination/settings"
	"wisteriaspool/coordination/synctest"
	"wisteriaspool/wisteriarouter/operator"
)

var errUnreachable = errors.New("peer unreachable")

// peerNetwork passes calls between the routers of a test. Calls to unreachable
// fail.
type peerNetwork struct {
	handlers    map[coordination.Instance]func(context.Context, coordination.Instance, []byte) ([]byte, error)
	names       []coordination.Instance
	unreachable coordination.Instance
}

// peerLink is one router's view of a peerNetwork. It implements operator.Peers.
type peerLink struct {
	*peerNetwork
	self coordination.Instance
}

func (l peerLink) Members() []settings.Member {
	var all []settings.Member
	for _, n := range l.names {
		all = append(all, settings.Member{Instance: n, Zone: "a"})
	}
	return all
}

func (l peerLink) Call(ctx context.Context, to coordination.Instance, _ string, payload []byte) ([]byte, error) {
	if to == l.unreachable {
		return nil, errUnreachable
	}
	return l.handlers[to](ctx, l.self, payload)
}

func (l peerLink) Handle(_ string, fn func(context.Context, coordination.Instance, []byte) ([]byte, error)) {
	l.handlers[l.self] = fn
}

// fixture holds the operator APIs of some routers on one platform. The routers
// do not gossip.
type fixture struct {
	store    *kvtest.Store
	network  *peerNetwork
	apis     []http.Handler
	replicas []*settings.Replica
}

func newFixture(n int) *fixture {
	b := &fixture{store: kvtest.New(), network: &peerNetwork{
		handlers: make(map[coordination.Instance]func(context.Context, coordination.Instance, []byte) ([]byte, error)),
	}}
	for i := range n {
		self := coordination.Instance("r" + strconv.Itoa(i))
		b.network.names = append(b.network.names, self)
		replica := &settings.Replica{}
		mux := http.NewServeMux()
		s := &operator.Server{
			Self: self, Editor: settings.NewEditor(b.store, replica), Replica: replica, Peers: peerLink{b.network, self},
			Status: func() operator.Status { return operator.Status{Instance: self, State: "ready"} },
		}
		s.Register(humago.New(mux, huma.DefaultConfig("test", "1")))
		b.apis = append(b.apis, mux)
		b.replicas = append(b.replicas, replica)
	}
	return b
}

// do sends a request to the router i and decodes the response into answer.
func (b *fixture) do(t *testing.T, i int, method, path string, body, answer any) *http.Response {
	t.Helper()
	data, err := json.Marshal(body)
	assert.NilError(t, err)
	req := httptest.NewRequest(method, path, bytes.NewReader(data))
	req.Header.Set("Content-Type", "application/json")
	w := httptest.NewRecorder()
	b.apis[i].ServeHTTP(w, req)
	assert.NilError(t, json.Unmarshal(w.Body.Bytes(), answer), w.Body.String())
	return w.Result()
}

type change struct {
	Text         string `json:"text"`
	BaseRevision int64  `json:"base_revision"`
	ChangeID     string `json:"change_id"`
	Author       string `json:"author"`
	Reason       string `json:"reason"`
}

func newChange(text string, base int64) change {
	return change{Text: text, BaseRevision: base, ChangeID: string(settings.NewChangeID()), Author: "ada", Reason: "test"}
}

type errorResponse struct{ Error operator.Failure }

const path = "/operator/v1/settings/solco"

func (b *fixture) put(t *testing.T, text string, base int64) operator.Accepted {
	t.Helper()
	var a struct {
		operator.Accepted
		errorResponse
	}
	res := b.do(t, 0, http.MethodPut, path, newChange(text, base), &a)
	assert.Equal(t, res.StatusCode, http.StatusOK, "%+v", a.Error)
	return a.Accepted
}

func TestSettings(t *testing.T) {
	b := newFixture(2)
	var f errorResponse
	assert.Equal(t, b.do(t, 0, http.MethodGet, path, nil, &f).StatusCode, http.StatusNotFound)
	assert.Equal(t, f.Error.Code, operator.CodeUnknownTeam)

	first := b.put(t, "[team]\npriority-cap = 1\n", 0)
	second := b.put(t, "[team]\npriority-cap = 2\n", int64(first.Revision))
	var s operator.Settings
	assert.Equal(t, b.do(t, 1, http.MethodGet, path, nil, &s).StatusCode, http.StatusOK)
	assert.Equal(t, s.Revision, second.Revision)
	assert.Equal(t, s.Text, "[team]\npriority-cap = 2\n")
	assert.Assert(t, s.Fresh)
	assert.Equal(t, s.Change.Author, "ada")

	var h operator.History
	b.do(t, 1, http.MethodGet, path+"/history", nil, &h)
	assert.Equal(t, len(h.Entries), 2)
	assert.Equal(t, h.Entries[1].Revision, first.Revision)
	assert.Equal(t, h.Entries[0].Diff, "-priority-cap = 1\n+priority-cap = 2\n")

	var st operator.Status
	b.do(t, 0, http.MethodGet, "/operator/v1/status", nil, &st)
	assert.Equal(t, st.Settings[0].Position.Revision, second.Revision)
}

func TestPutFailures(t *testing.T) {
	b := newFixture(1)
	first := b.put(t, "", 0)
	b.put(t, "[team]\npriority-cap = 2\n", int64(first.Revision))

	var conflict errorResponse
	res := b.do(t, 0, http.MethodPut, path, newChange("[team]\npriority-cap = 3\n", int64(first.Revision)), &conflict)
	assert.Equal(t, res.StatusCode, http.StatusConflict)
	assert.Equal(t, conflict.Error.Diff, "-priority-cap = 2\n+priority-cap = 3\n")
	assert.Equal(t, conflict.Error.Current.Text, "[team]\npriority-cap = 2\n")

	var invalid errorResponse
	res = b.do(t, 0, http.MethodPut, path, newChange("[team]\npriority-cap = x\n", 0), &invalid)
	assert.Equal(t, res.StatusCode, http.StatusUnprocessableEntity)
	assert.Equal(t, invalid.Error.Problems[0].Line, 2)

	b.store.SetFaults(kvtest.Faults{Down: true})
	var down errorResponse
	res = b.do(t, 0, http.MethodPut, path, newChange("", 0), &down)
	assert.Equal(t, res.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, res.Header.Get("Retry-After"), "1")
	assert.Assert(t, strings.Contains(down.Error.Message, "nothing was written"))

	var s operator.Settings
	assert.Equal(t, b.do(t, 0, http.MethodGet, path, nil, &s).StatusCode, http.StatusOK)
	assert.Assert(t, !s.Fresh)
}

// An operator waits until a change is in force. Of the other routers, one applies
// it after 1 s, one is unreachable and one never applies it. The response has to
// name each router on which the change is not in force.
func TestInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(4)
		a := b.put(t, "", 0)
		b.network.unreachable = "r2"
		pair := b.store.Get(t.Context(), settings.Key("solco")).Pairs[0]
		time.AfterFunc(time.Second, func() { b.replicas[1].Offer("solco", pair) })
		ask := path + "/in-force?revision=" + strconv.Itoa(int(a.Revision))

		var now operator.InForce
		b.do(t, 0, http.MethodGet, ask, nil, &now)
		assert.Equal(t, now.InForce, 1)
		assert.Equal(t, len(now.Behind), 2)

		var later operator.InForce
		start := time.Now()
		b.do(t, 0, http.MethodGet, ask+"&wait_ms=4000", nil, &later)
		assert.Assert(t, time.Since(start) >= 4*time.Second && time.Since(start) < 5*time.Second)
		assert.DeepEqual(t, later, operator.InForce{
			Team: "solco", Revision: a.Revision, Routers: 4, InForce: 2,
			Behind: []operator.RouterInForce{{Instance: "r3"}}, Unreachable: []coordination.Instance{"r2"},
		})

		b.replicas[3].Offer("solco", pair)
		b.network.unreachable = ""
		b.replicas[2].Offer("solco", pair)
		start = time.Now()
		b.do(t, 0, http.MethodGet, ask+"&wait_ms=4000&sequence="+strconv.Itoa(int(a.Sequence)), nil, &later)
		assert.Equal(t, later.InForce, 4)
		assert.Equal(t, time.Since(start), time.Duration(0))
	})
}
