package service

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination/synctest"
	"wisteriaspool/standin/pipe"
)

// inBubble runs f with a service and a client under synctest's fake clock.
func inBubble(t *testing.T, opts Options, f func(t *testing.T, s *Service, client *http.Client)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		network := &pipe.Network{}
		s, cleanup := New(opts)
		stop := network.Serve("desk:80", s)
		transport := network.Transport()
		defer func() {
			cleanup()
			transport.CloseIdleConnections()
			stop()
		}()
		f(t, s, &http.Client{Transport: transport})
	})
}

func confirm(client *http.Client, id string) (*http.Response, error) {
	req, err := http.NewRequest(http.MethodPost, "http://desk/actions/confirm", strings.NewReader(`{"key":"k"}`))
	if err != nil {
		return nil, err
	}
	req.Header.Set("X-Request-Id", id)
	return client.Do(req)
}

// pendingConfirm is a confirm call that runs in its own goroutine.
type pendingConfirm struct {
	client *http.Client
	done   chan error
}

func (c *pendingConfirm) run() {
	res, err := confirm(c.client, "r1")
	if err == nil {
		res.Body.Close()
	}
	c.done <- err
}

// A connection that breaks before the action runs looks to the caller like one
// that breaks after it. Guards against a record of arrivals that confuses the two.
func TestArrivalsRecordFaultOutcomes(t *testing.T) {
	for _, test := range []struct {
		name    string
		faults  Faults
		status  int // zero if the connection breaks
		outcome Outcome
		count   Count
	}{
		{"sound", Faults{}, http.StatusOK, Ran, Count{1, 1}},
		{"cut before", Faults{CutBeforeNext: 1}, 0, CutBefore, Count{1, 0}},
		{"cut after", Faults{CutAfterNext: 1}, 0, CutAfter, Count{1, 1}},
		{"all cut after", Faults{CutAfter: 1}, 0, CutAfter, Count{1, 1}},
		{"refused", Faults{RefuseNext: 1}, http.StatusServiceUnavailable, Refused, Count{1, 0}},
	} {
		t.Run(test.name, func(t *testing.T) {
			inBubble(t, Options{ActionTime: time.Second}, func(t *testing.T, s *Service, client *http.Client) {
				s.SetFaults(test.faults)
				res, err := confirm(client, "r1")
				status := 0
				if err == nil {
					status = res.StatusCode
					res.Body.Close()
				}
				assert.Equal(t, status, test.status)
				seen := s.Arrivals()
				assert.Equal(t, seen.Arrivals[0].Outcome, test.outcome)
				assert.Equal(t, seen.ByKey["k"], test.count)
				assert.Equal(t, seen.ByRequest["r1"], test.count)
			})
		})
	}
}

// Guards against equal receipts for two runs of an action. Tests conclude from
// equal receipts that the action ran once.
func TestReceiptsDiffer(t *testing.T) {
	inBubble(t, Options{ID: "s1"}, func(t *testing.T, s *Service, client *http.Client) {
		var receipts [2]Receipt
		for i := range receipts {
			res, err := confirm(client, "r1")
			assert.NilError(t, err)
			assert.NilError(t, json.NewDecoder(res.Body).Decode(&receipts[i]))
			res.Body.Close()
		}
		assert.Check(t, receipts[0] != receipts[1])
		assert.Equal(t, s.Arrivals().ByKey["k"], Count{2, 2})
	})
}

// A frozen service answers late, and Drain waits for running actions.
func TestFreezeAndDrain(t *testing.T) {
	inBubble(t, Options{}, func(t *testing.T, s *Service, client *http.Client) {
		s.SetFaults(Faults{FreezeMillis: 5000})
		start := time.Now()
		first := &pendingConfirm{client: client, done: make(chan error, 1)}
		go first.run()
		time.Sleep(time.Second)
		s.Leave()
		res, err := confirm(client, "r2")
		assert.NilError(t, err)
		res.Body.Close()
		assert.Equal(t, res.Header.Get("X-Outcome"), "not-run")
		assert.NilError(t, s.Drain(t.Context()))
		assert.Check(t, time.Since(start) >= 5*time.Second)
		assert.NilError(t, <-first.done)
	})
}
