package service_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/execution"
	"wisteriaspool/coordination/kv/kvtest"
	"wisteriaspool/coordination/outcome"
	"wisteriaspool/standin/service"
	"wisteriaspool/wisteriarouter/caller"
	router "wisteriaspool/wisteriarouter/service"
)

// orderService is an order service with a number of endpoints. It also implements the
// interfaces that a router needs.
type orderService struct {
	services  []*service.Service
	addresses []string
	held      int
	left      []coordination.Endpoint
	pauses    []string // what endpoints asked for
	plan      router.Plan
	store     *kvtest.Store
	retries   int
}

func newOrderService(t *testing.T, n int) *orderService {
	t.Helper()
	d := &orderService{
		plan:    router.Plan{Pool: "orders", Timeout: 5 * time.Second, NonIdempotent: true},
		store:   kvtest.New(),
		retries: 10,
	}
	for range n {
		s, stop := service.New(service.Options{ID: "orders"})
		srv := httptest.NewServer(s)
		t.Cleanup(srv.Close)
		t.Cleanup(stop)
		d.services = append(d.services, s)
		d.addresses = append(d.addresses, address(srv.URL))
	}
	return d
}

// router returns a new router in front of the service.
func (d *orderService) router(t *testing.T) *router.Runner {
	t.Helper()
	c, cleanup := router.NewClient(router.Options{})
	t.Cleanup(cleanup)
	l, stop := execution.New(execution.Config{Store: d.store})
	t.Cleanup(stop)
	return &router.Runner{Planner: d, Placer: d, Retries: d, Client: c, Ledger: l}
}

func (d *orderService) PlanAction(caller.Action) (router.Plan, *outcome.Refusal) { return d.plan, nil }

func (d *orderService) Place(_ context.Context, r caller.PlacementRequest) (caller.Placement, *outcome.Refusal) {
	for i, a := range d.addresses {
		id := coordination.Endpoint(a)
		if !slices.Contains(r.Exclude, id) {
			d.held++
			return caller.Placement{Endpoint: id, Incarnation: coordination.Incarnation(i), Address: a, Release: func() { d.held-- }}, nil
		}
	}
	return caller.Placement{}, &outcome.Refusal{Code: outcome.Overloaded, Outcome: outcome.NotRun, RetryAfter: time.Second}
}

func (d *orderService) Serving(coordination.Endpoint, coordination.Incarnation) bool { return true }

func (d *orderService) Leaving(e coordination.Endpoint, _ coordination.Incarnation) {
	d.left = append(d.left, e)
}

func (d *orderService) Pause(e coordination.Endpoint, _ coordination.Incarnation, length time.Duration) {
	d.pauses = append(d.pauses, fmt.Sprintf("%s %v", e, length))
}

func (d *orderService) RecordRequest(coordination.Team) {}

func (d *orderService) Take(coordination.Team) bool {
	d.retries--
	return d.retries >= 0
}

// count returns how often a key arrived at all endpoints in total, and how
// often it ran.
func (d *orderService) count(key string) service.Count {
	var sum service.Count
	for _, s := range d.services {
		c := s.Arrivals().ByKey[key]
		sum.Arrived += c.Arrived
		sum.Ran += c.Ran
	}
	return sum
}

// booking returns an action with a new key.
func booking(t *testing.T) caller.Action {
	t.Helper()
	id, err := uuid.NewV7()
	assert.NilError(t, err)
	key := id.String()
	return caller.Action{
		Team: "solco", Account: "label-1", Service: "orders", Action: "book",
		Key: key, Body: []byte(`{"key":"` + key + `"}`), ContentType: "application/json",
	}
}

func TestRepeatThroughOtherRouter(t *testing.T) {
	d := newOrderService(t, 2)
	a := booking(t)
	first, refusal := d.router(t).Run(t.Context(), a)
	assert.Assert(t, refusal == nil, "%v", refusal)
	assert.Equal(t, first.Outcome, outcome.Ran)
	second, refusal := d.router(t).Run(t.Context(), a)
	assert.Assert(t, refusal == nil, "%v", refusal)
	assert.Assert(t, second.Replayed)
	assert.Equal(t, string(second.Body), string(first.Body))
	assert.Equal(t, d.count(a.Key), service.Count{Arrived: 1, Ran: 1})
	assert.Equal(t, d.held, 0)
}

// The service runs the order and its connection breaks. The caller repeats the
// order through other routers; it must not be sent again, not even to another
// endpoint, and the caller must not be told that it did not run.
func TestCutConnectionIsNotRepeated(t *testing.T) {
	d := newOrderService(t, 2)
	d.services[0].SetFaults(service.Faults{CutAfterNext: 1})
	a := booking(t)
	for range 3 {
		_, refusal := d.router(t).Run(t.Context(), a)
		assert.Equal(t, refusal.Code, outcome.EndpointLost)
		assert.Equal(t, refusal.Outcome, outcome.Unknown)
	}
	assert.Equal(t, d.count(a.Key), service.Count{Arrived: 1, Ran: 1})
	assert.Equal(t, d.held, 0)
}

// One endpoint is unreachable and another refuses. Neither ran the order, so
// it may be sent to a third.
func TestNotRunActionIsSentToNextEndpoint(t *testing.T) {
	d := newOrderService(t, 2)
	d.addresses = append([]string{closedAddress(t)}, d.addresses...)
	d.services[0].SetFaults(service.Faults{RefuseNext: 1})
	a := booking(t)
	ans, refusal := d.router(t).Run(t.Context(), a)
	assert.Assert(t, refusal == nil, "%v", refusal)
	assert.Equal(t, ans.Outcome, outcome.Ran)
	assert.Equal(t, d.count(a.Key), service.Count{Arrived: 2, Ran: 1})
	assert.Equal(t, d.held, 0)
}

// All endpoints refuse the order. The caller is told not-run and when to
// retry, and a repeat with the same key runs.
func TestKeyIsReusableAfterRefusal(t *testing.T) {
	d := newOrderService(t, 1)
	d.services[0].SetFaults(service.Faults{RefuseNext: 1})
	a := booking(t)
	_, refusal := d.router(t).Run(t.Context(), a)
	assert.Equal(t, refusal.Code, outcome.Overloaded)
	assert.Equal(t, refusal.Outcome, outcome.NotRun)
	ans, _ := d.router(t).Run(t.Context(), a)
	assert.Equal(t, ans.Outcome, outcome.Ran)
	assert.Equal(t, d.count(a.Key).Ran, 1)
}

// The caller disconnects while its order is running. The answer is recorded
// nevertheless, so that the repeat gets it.
func TestAnswerIsKeptAfterDisconnect(t *testing.T) {
	d := newOrderService(t, 1)
	d.services[0].SetFaults(service.Faults{TimeMillis: 200})
	a := booking(t)
	ctx, cancel := context.WithCancel(t.Context())
	go cancelOnArrival{d, a.Key, cancel}.run()
	r := d.router(t)
	_, _ = r.Run(ctx, a)
	<-ctx.Done()
	assert.Assert(t, r.Ledger.Drain(t.Context()))
	ans, refusal := d.router(t).Run(t.Context(), a)
	assert.Assert(t, refusal == nil, "%v", refusal)
	assert.Assert(t, ans.Replayed)
	assert.Equal(t, d.count(a.Key), service.Count{Arrived: 1, Ran: 1})
}

// The platform responds only after the start deadline of the order. A caller
// that may rely on nothing starting after it must not find the order run.
func TestDeadlineBeforeRecord(t *testing.T) {
	d := newOrderService(t, 1)
	d.store.SetFaults(kvtest.Faults{Delay: 30 * time.Millisecond})
	a := booking(t)
	a.Deadline = time.Now().Add(20 * time.Millisecond)
	_, refusal := d.router(t).Run(t.Context(), a)
	assert.Equal(t, refusal.Code, outcome.Deadline)
	assert.Equal(t, refusal.Outcome, outcome.NotRun)
	assert.Equal(t, d.count(a.Key).Arrived, 0)
}

// cancelOnArrival cancels the call once the action has reached the service.
type cancelOnArrival struct {
	service *orderService
	key     string
	cancel  context.CancelFunc
}

func (c cancelOnArrival) run() {
	for c.service.count(c.key).Arrived == 0 {
		time.Sleep(time.Millisecond)
	}
	c.cancel()
}

func TestKeyRules(t *testing.T) {
	now := time.Now().Format(time.RFC3339)
	tests := []struct {
		name   string
		change func(*caller.Action)
		code   outcome.Code
	}{
		{"no key", func(a *caller.Action) { a.Key = "" }, outcome.MissingKey},
		{"key without a time", func(a *caller.Action) { a.Key = "order-17" }, outcome.MissingKey},
		{"bad time", func(a *caller.Action) { a.Key, a.IssuedAt = "order-17", "today" }, outcome.MissingKey},
		{"key and time", func(a *caller.Action) { a.Key, a.IssuedAt = "order-17", now }, ""},
		{"old time", func(a *caller.Action) { a.Key, a.IssuedAt = "order-17", "2020-01-01T00:00:00Z" }, outcome.KeyExpired},
		{"another account's key", func(a *caller.Action) { a.Account = "label-2" }, outcome.Conflict},
		{"another body", func(a *caller.Action) { a.Body = []byte("{}") }, outcome.Conflict},
	}
	d := newOrderService(t, 1)
	r := d.router(t)
	taken := booking(t)
	_, refusal := r.Run(t.Context(), taken)
	assert.Assert(t, refusal == nil, "%v", refusal)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := taken
			tt.change(&a)
			_, refusal := r.Run(t.Context(), a)
			if tt.code == "" {
				assert.Assert(t, refusal == nil, "%v", refusal)
				return
			}
			assert.Equal(t, refusal.Code, tt.code)
		})
	}
}

// The connection of an idempotent action breaks. It may be sent again within
// the retry budget, and needs neither a key nor the platform.
func TestIdempotentActionIsRetried(t *testing.T) {
	d := newOrderService(t, 2)
	d.plan.NonIdempotent = false
	d.store.SetFaults(kvtest.Faults{Down: true})
	d.services[0].SetFaults(service.Faults{CutBefore: 1})
	a := booking(t)
	ans, refusal := d.router(t).Run(t.Context(), a)
	assert.Assert(t, refusal == nil, "%v", refusal)
	assert.Equal(t, ans.Outcome, outcome.Ran)
	d.retries = 0
	_, refusal = d.router(t).Run(t.Context(), booking(t))
	assert.Equal(t, refusal.Outcome, outcome.Unknown)
}

// Guards against the words of a service that leaves and asks for a pause being lost.
func TestLeavingEndpointIsReported(t *testing.T) {
	leaving := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-State", "leaving")
		w.Header().Set("Retry-After", "2.5")
		w.Header().Set(outcome.Header, "not-run")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer leaving.Close()
	d := newOrderService(t, 1)
	d.addresses = append([]string{address(leaving.URL)}, d.addresses...)
	ans, refusal := d.router(t).Run(t.Context(), booking(t))
	assert.Assert(t, refusal == nil, "%v", refusal)
	assert.Equal(t, ans.Outcome, outcome.Ran)
	assert.DeepEqual(t, d.left, []coordination.Endpoint{coordination.Endpoint(d.addresses[0])})
	assert.DeepEqual(t, d.pauses, []string{d.addresses[0] + " 2.5s"})
}
