package relay

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination/route"
)

// leavingCut is an undelimited response of a leaving endpoint, and what the caller gets of
// it if the process ends in it.
type leavingCut struct {
	name        string
	route       route.Route
	head        string
	part, whole string
	rest        string // the response of another endpoint
	broken      string // the body, if the process ends; "" if the caller gets a failure
	staying     bool   // the endpoint does not say that it leaves
}

func leavingCuts() []leavingCut {
	const stream = "Content-Type: text/event-stream\r\n"
	const one, two, three = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"
	return []leavingCut{
		{"safe", route.Route{Kind: route.Safe}, "", "hello", "hello", "hello, world", "hello, world", false},
		{"unsafe", route.Route{Kind: route.Unsafe}, "", "hello", "hello", "hello, world", "", false},
		{"stream", route.Route{Kind: route.Stream}, stream, one + two, one + two, one + two + three, "", false},
		{"resumable", route.Route{Kind: route.Stream, Resumable: true}, stream, one + two, one + two, three, one + two + three, false},
	}
}

// serve sends a request to an endpoint that leaves and ends the response in order, and
// returns what the caller gets. Its process ends with the response unless lag is negative;
// its listener is closed so long after the connection.
func (l leavingCut) serve(t *testing.T, lag time.Duration) (status int, body string, err error) {
	var leaving *rawEndpoint
	leaving = startRawEndpoint(t, func(r *http.Request, _ int) (string, connEnd) {
		switch {
		case lag == 0:
			_ = leaving.listener.Close() // a second Close fails
		case lag > 0:
			time.AfterFunc(lag, func() { _ = leaving.listener.Close() })
		}
		head := signedHead(r, "200 OK") + l.head
		if !l.staying {
			head += "Server-Leaving: 1\r\n"
		}
		return head + "\r\n" + l.part, endInOrder
	})
	other := startRawEndpoint(t, func(r *http.Request, _ int) (string, connEnd) {
		return signedHead(r, "200 OK") + l.head + "\r\n" + l.rest, endInOrder
	})
	resp, body, err := callRouter(t, http.MethodPost, startRouter(t, l.route, leaving, other), "a")
	if resp != nil {
		status = resp.StatusCode
	}
	return status, body, err
}

// Guards against an undelimited response that ends with the process of a leaving endpoint and reaches its caller as complete.
func TestUndelimitedResponseOfLeavingEndpointThatHasGone(t *testing.T) {
	for _, l := range leavingCuts() {
		t.Run(l.name, func(t *testing.T) {
			l.checkBroken(t, 0)
		})
	}
}

// Guards against the same where the kernel closes the connection before the listener.
func TestUndelimitedResponseOfLeavingEndpointWhoseListenerClosesLater(t *testing.T) {
	for _, l := range leavingCuts() {
		t.Run(l.name, func(t *testing.T) {
			l.checkBroken(t, 10*time.Millisecond)
		})
	}
}

// Guards against the same of an endpoint that is killed while it is listed.
func TestUndelimitedResponseOfKilledEndpointWhoseListenerClosesLater(t *testing.T) {
	for _, l := range leavingCuts() {
		t.Run(l.name, func(t *testing.T) {
			l.staying = true
			l.checkBroken(t, 10*time.Millisecond)
		})
	}
}

// checkBroken checks that the response of an endpoint whose process ends does not look complete.
func (l leavingCut) checkBroken(t *testing.T, lag time.Duration) {
	t.Helper()
	status, body, err := l.serve(t, lag)
	if l.broken == "" {
		assert.Assert(t, err != nil || status == http.StatusBadGateway, "%d %q", status, body)
		return
	}
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, l.broken)
}

// A leaving endpoint serves until its process ends. While it accepts connections, the end of
// its response is that of a complete one.
func TestUndelimitedResponseOfLeavingEndpointThatServes(t *testing.T) {
	for _, l := range leavingCuts() {
		t.Run(l.name, func(t *testing.T) { l.checkWhole(t) })
	}
}

func TestUndelimitedResponseOfEndpointThatServes(t *testing.T) {
	for _, l := range leavingCuts() {
		l.staying = true
		t.Run(l.name, func(t *testing.T) { l.checkWhole(t) })
	}
}

// checkWhole checks that the response of an endpoint that serves is complete.
func (l leavingCut) checkWhole(t *testing.T) {
	t.Helper()
	status, body, err := l.serve(t, -1)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, l.whole)
}
