package relay

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination/route"
)

const eventStreamHead = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

// startStream starts an endpoint that answers with text, whole or broken off after it.
func startStream(t *testing.T, text string, whole bool) *rawEndpoint {
	return startRawEndpoint(t, func(r *http.Request, _ int) (string, connEnd) {
		if !whole {
			return signedHead(r, "200 OK") + eventStreamHead + chunked(text), endInOrder
		}
		return signedHead(r, "200 OK") + eventStreamHead + chunked(text) + "0\r\n\r\n", keepOpen
	})
}

// takeUp asks a router for the events after the one with an id.
func takeUp(t *testing.T, url, after string) (string, error) {
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/x", nil)
	assert.NilError(t, err)
	r.Host = "example.com"
	r.Header.Set("X-Attempt-Id", "a")
	r.Header.Set("X-Deadline-Ms", "3000")
	r.Header.Set("Last-Event-Id", after)
	resp, err := testClient.Do(r)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// numbered returns the events with the ids from one number to another, inclusive.
func numbered(from, to int) string {
	var b strings.Builder
	for n := from; n <= to; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: %d\n\n", n, n)
	}
	return b.String()
}

// Guards against an event that a caller gets twice, as the endpoint at which it takes a stream
// up starts too early.
func TestEndpointThatStartsTooEarlyDoesNotRepeatEventsToCaller(t *testing.T) {
	for _, tc := range []struct {
		name, after string
		first       string // what the first endpoint sends
		plain       bool   // the route is not resumable
		want        string
		whole       bool
	}{
		{name: "in order", after: "2", first: numbered(3, 4), want: numbered(3, 4), whole: true},
		{name: "from the beginning", after: "2", first: numbered(1, 4), want: numbered(3, 5), whole: true},
		{name: "one event too early", after: "2", first: numbered(2, 4), want: numbered(3, 5), whole: true},
		{name: "after a comment", after: "2", first: ": x\n\n" + numbered(2, 4), want: numbered(3, 5), whole: true},
		{name: "other spelling", after: "002", first: numbered(2, 4), want: numbered(3, 5), whole: true},
		{name: "blanks", after: " 2 ", first: numbered(2, 4), want: numbered(3, 5), whole: true},
		{name: "large ids", after: "36893488147419103232", first: "id: 36893488147419103232\ndata: x\n\n", want: ""},
		{name: "not numbers", after: "b", first: "id: b\ndata: b\n\nid: c\ndata: c\n\n", want: numbered(3, 5), whole: true},
		{name: "not resumable", after: "2", first: numbered(1, 4), plain: true, want: numbered(1, 4), whole: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			url := startRouter(t, route.Route{Kind: route.Stream, Resumable: !tc.plain},
				startStream(t, tc.first, true), startStream(t, numbered(3, 5), true))
			body, err := takeUp(t, url, tc.after)
			assert.Equal(t, strings.TrimPrefix(body, ": x\n\n"), tc.want)
			assert.Equal(t, err == nil, tc.whole, "%v", err)
		})
	}
}
