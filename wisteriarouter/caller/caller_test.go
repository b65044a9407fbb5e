package caller_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/tmaxmax/go-sse"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/outcome"
	standin "wisteriaspool/standin/engine"
	"wisteriaspool/standin/pipe"
	"wisteriaspool/wisteriarouter/caller"
	"wisteriaspool/wisteriarouter/engine"
)

// fleet is a number of routers in front of engines, connected by pipes, in a
// synctest bubble.
type fleet struct {
	t       *testing.T
	network pipe.Network
	engines map[coordination.Endpoint]*standin.Engine
	placer  *roundRobin
	servers []*caller.Server
	stops   []func()
}

// faultInjector changes a router before it serves, to inject a fault.
type faultInjector func(*caller.Server)

func newFleet(t *testing.T, routers, engines int, injectors ...faultInjector) *fleet {
	f := &fleet{t: t, engines: make(map[coordination.Endpoint]*standin.Engine)}
	f.placer = &roundRobin{fleet: f, pauses: make(map[coordination.Endpoint]time.Duration)}
	for n := range engines {
		id := coordination.Endpoint(fmt.Sprintf("e%d", n+1))
		e, stop := standin.New(standin.Options{ID: string(id), RestartDelay: 300 * time.Millisecond, Seed: uint64(n + 1)})
		f.engines[id] = e
		f.placer.ids = append(f.placer.ids, id)
		f.stops = append(f.stops, f.network.Serve(address(id), e), stop)
	}
	for n := range routers {
		s := f.newServer()
		for _, p := range injectors {
			p(s)
		}
		mux := http.NewServeMux()
		s.Register(humago.New(mux, huma.DefaultConfig("test", "0")))
		f.servers = append(f.servers, s)
		f.stops = append(f.stops, f.network.Serve(routerAddress(n), mux))
	}
	t.Cleanup(f.close)
	return f
}

func (f *fleet) newServer() *caller.Server {
	client, closeClient := engine.NewClient(engine.Options{DialContext: f.network.DialContext})
	f.stops = append(f.stops, closeClient)
	return &caller.Server{
		Planner:  oneTeam{},
		Placer:   f.placer,
		Engines:  client,
		Suspects: noSuspects{},
		Retries:  unlimitedRetries{},
		Actions:  noActions{},
		Limits:   caller.Limits{MaxBodyBytes: 1 << 16, WriteTimeout: 5 * time.Second, CancelTimeout: 15 * time.Second},
		Metrics:  caller.NewMetrics(prometheus.NewRegistry()),
	}
}

// close stops everything the fleet started, in reverse order.
func (f *fleet) close() {
	for i := len(f.stops) - 1; i >= 0; i-- {
		f.stops[i]()
	}
}

func address(id coordination.Endpoint) string { return string(id) + ":80" }

func routerAddress(n int) string { return fmt.Sprintf("r%d:80", n+1) }

// roundRobin places each attempt at the next engine that is not excluded.
type roundRobin struct {
	fleet *fleet
	mu    sync.Mutex
	ids   []coordination.Endpoint
	next  int
	left  []coordination.Endpoint // said that they leave
	// pauses holds what endpoints asked for.
	pauses map[coordination.Endpoint]time.Duration
}

func (p *roundRobin) Place(_ context.Context, r caller.PlacementRequest) (caller.Placement, *outcome.Refusal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for range p.ids {
		id := p.ids[p.next%len(p.ids)]
		p.next++
		if !contains(r.Exclude, id) {
			return p.place(id), nil
		}
	}
	return p.place(p.ids[p.next%len(p.ids)]), nil
}

func (p *roundRobin) place(id coordination.Endpoint) caller.Placement {
	return caller.Placement{
		Endpoint:    id,
		Incarnation: coordination.Incarnation(p.fleet.engines[id].Incarnation()),
		Address:     address(id),
		Hint:        string(id),
		Release:     func() {},
	}
}

func (p *roundRobin) Adopt(id coordination.Endpoint) (caller.Placement, bool) {
	return p.place(id), true
}

func (p *roundRobin) Dead(coordination.Endpoint, coordination.Incarnation) {}

func (p *roundRobin) Leaving(id coordination.Endpoint, _ coordination.Incarnation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.left = append(p.left, id)
}

func (p *roundRobin) Pause(id coordination.Endpoint, _ coordination.Incarnation, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pauses[id] = d
}

func contains(all []coordination.Endpoint, id coordination.Endpoint) bool {
	for _, each := range all {
		if each == id {
			return true
		}
	}
	return false
}

type oneTeam struct{}

func (oneTeam) PlanChat(team coordination.Team, _ coordination.Account, model coordination.Model, _ coordination.Priority) (caller.Plan, *outcome.Refusal) {
	if team != "demo" {
		return caller.Plan{}, unknown(outcome.UnknownTeam)
	}
	if model != "m" {
		return caller.Plan{}, unknown(outcome.UnknownModel)
	}
	return caller.Plan{Pool: "m", StallTimeout: time.Second, MaxTokens: 4096}, nil
}

func unknown(code outcome.Code) *outcome.Refusal {
	return &outcome.Refusal{Code: code, Message: "it is not known", Outcome: outcome.NotRun, RetryAfter: 4 * time.Second}
}

type noSuspects struct{}

func (noSuspects) Track(context.Context, uint64, coordination.Pool) (caller.TrackedRequest, *outcome.Refusal) {
	return noSuspects{}, nil
}

func (noSuspects) Alone() bool { return false }

func (noSuspects) Crashed(context.Context, coordination.Endpoint, coordination.Incarnation) *outcome.Refusal {
	return nil
}

func (noSuspects) FoundDead(context.Context, coordination.Endpoint) *outcome.Refusal {
	return nil
}

func (noSuspects) End(bool) {}

type unlimitedRetries struct{}

func (unlimitedRetries) RecordRequest(coordination.Team) {}
func (unlimitedRetries) Take(coordination.Team) bool     { return true }

type noActions struct{}

func (noActions) Run(context.Context, caller.Action) (caller.Answer, *outcome.Refusal) {
	return caller.Answer{}, unknown(outcome.UnknownService)
}

// received is what a caller has received of one answer.
type received struct {
	text     string
	offset   int
	lastID   string
	complete bool
	outcome  string
	status   int
	header   http.Header
	body     string
}

// prompt returns the message of chat n, which no other chat sends.
func prompt(n int) string { return fmt.Sprintf("chat %d asks for %d copies of side %d", n, n*7, n%2) }

func expectedAnswer(n int) string {
	return standin.Answer([]standin.Message{{Role: "user", Content: standin.Content(prompt(n))}}, 0)
}

// ask sends chat n to a router, to continue after the part received before.
func (f *fleet) ask(ctx context.Context, router, n int, before received) received {
	body := fmt.Sprintf(`{"model":"m","stream":true,"partial":%q,"messages":[{"role":"user","content":%q}]}`, before.text, prompt(n))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+routerAddress(router)+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		f.t.Error(err)
		return before
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Team", "demo")
	req.Header.Set("X-Client-Account", "label")
	if before.lastID != "" {
		req.Header.Set("Last-Event-ID", before.lastID)
	}
	tr := f.network.Transport()
	defer tr.CloseIdleConnections()
	res, err := tr.RoundTrip(req)
	if err != nil {
		return before
	}
	defer res.Body.Close()
	before.status, before.header = res.StatusCode, res.Header
	return before.read(res)
}

// read adds the events of a stream until it ends or breaks.
func (h received) read(res *http.Response) received {
	for e, err := range sse.Read(res.Body, nil) {
		if err != nil {
			break
		}
		switch {
		case e.Type == "outcome":
			h.outcome = e.Data
		case e.Type == "error":
			h.body = e.Data
		case e.Data == "[DONE]":
			h.complete = true
		default:
			h.addEvent(e)
		}
	}
	return h
}

func (h *received) addEvent(e sse.Event) {
	id, err := engine.ParseEventID(e.LastEventID)
	if err != nil {
		h.body = err.Error()
		return
	}
	h.lastID = e.LastEventID
	h.offset = id.Offset
	if _, rest, ok := strings.Cut(e.Data, `"content":"`); ok {
		text, _, _ := strings.Cut(rest, `"`)
		h.text += text
	}
}

// problem describes what is wrong with the answer to chat n. It returns the
// empty string for a correct one.
func (h received) problem(n int) string {
	expected := expectedAnswer(n)
	switch {
	case !h.complete:
		return fmt.Sprintf("chat %d: incomplete: status %d, outcome %q, error %q, %d tokens", n, h.status, h.outcome, h.body, h.offset)
	case h.text != expected:
		return fmt.Sprintf("chat %d: got %q, want %q", n, h.text, expected)
	case h.offset != len(strings.Fields(expected)):
		return fmt.Sprintf("chat %d: last offset %d of %d", n, h.offset, len(strings.Fields(expected)))
	case h.outcome == "" || !strings.Contains(h.outcome, `"ran"`):
		return fmt.Sprintf("chat %d: complete, but outcome %q", n, h.outcome)
	}
	return ""
}
