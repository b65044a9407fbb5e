package replica

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"wisteriaspool/standin/hub"
)

// testRouter forwards requests as the interface demands, but for one change.
type testRouter struct {
	address string
	change  func(*http.Request)
}

// RoundTrip implements http.RoundTripper.
func (r testRouter) RoundTrip(req *http.Request) (*http.Response, error) {
	out := req.Clone(req.Context())
	out.URL.Host = r.address
	for _, name := range []string{"Authorization", "Connection", "Local"} {
		out.Header.Del(name)
	}
	out.Header.Set("X-Tenant", "acme")
	out.Header.Set("X-Deadline-Ms", "900")
	out.Header.Set("X-Expect-Instance", "d0")
	r.change(out)
	return http.DefaultTransport.RoundTrip(out)
}

// sendChanged sends a request of a caller through a testRouter, and returns its status and
// what was reported.
func sendChanged(t *testing.T, change func(*http.Request)) (int, []string) {
	i := NewInspector()
	i.AddState(map[string][]string{"acme": {"k1"}, "zeta": {"k2"}})
	r, stop, err := Start(hub.New(), Options{ID: "d0", Service: "desk", Inspector: i})
	assert.NilError(t, err)
	defer stop()
	i.RecordEvent("a1", 3)
	client := &http.Client{Transport: i.Transport(testRouter{r.Address(), change})}
	req, err := http.NewRequest(http.MethodPost, "http://router/safe/1?q=%2f", strings.NewReader("body"))
	assert.NilError(t, err)
	req.Host = "desk.example"
	req.Header = http.Header{
		"Authorization": {"Bearer k1"}, "X-Attempt-Id": {"a1"}, "X-Deadline-Ms": {"1000"}, "X-Model": {"m"},
		"Accept-Encoding": {"identity"}, "Connection": {"local"}, "Local": {"1"}, "Other": {"1", "2"},
	}
	resp, err := client.Do(req)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	return resp.StatusCode, i.Violations()
}

// Guards against a stand-in endpoint that accepts what a router must not send, so that no
// test notices a router that does.
func TestEndpointNoticesWhatTheInterfaceDoesNotAllow(t *testing.T) {
	set := func(pairs ...string) func(*http.Request) {
		return func(r *http.Request) {
			for i := 0; i < len(pairs); i += 2 {
				r.Header.Set(pairs[i], pairs[i+1])
			}
		}
	}
	add := func(name, value string) func(*http.Request) {
		return func(r *http.Request) { r.Header.Add(name, value) }
	}
	remove := func(name string) func(*http.Request) {
		return func(r *http.Request) { r.Header.Del(name) }
	}
	tests := []struct {
		name   string
		change func(*http.Request)
		status int
		want   []string // nothing if the request is allowed
	}{
		{"as it should be", set(), 200, nil},
		{"all that a router may set", set("X-Request-Priority", "9", "Kv-Fetch", "127.0.0.1:80", "X-Kv-Backup", "[::1]:80", "Last-Event-Id", "3"), 200, nil},
		{"no request id", remove("X-Attempt-Id"), 400, []string{"no X-Attempt-Id"}},
		{"another endpoint", set("X-Expect-Instance", "d1"), 421, nil},
		{"no deadline", remove("X-Deadline-Ms"), 200, []string{"no X-Deadline-Ms"}},
		{"no time", set("X-Deadline-Ms", "0"), 200, []string{`X-Deadline-Ms is "0"`}},
		{"another unit", set("X-Deadline-Ms", "0.9"), 200, []string{`X-Deadline-Ms is "0.9"`}},
		{"more time than there is", set("X-Deadline-Ms", "1001"), 200, []string{"X-Deadline-Ms is 1001"}},
		{"two deadlines", add("X-Deadline-Ms", "900"), 200, []string{"X-Deadline-Ms 2 times"}},
		{"credentials", set("Authorization", "Bearer k1"), 200, []string{"credentials"}},
		{"no client account", remove("X-Tenant"), 200, []string{`X-Tenant is ""`}},
		{"another client account", set("X-Tenant", "zeta"), 200, []string{`X-Tenant is "zeta"`}},
		{"priority out of range", set("X-Request-Priority", "10"), 200, []string{"X-Request-Priority"}},
		{"address without port", set("Kv-Fetch", "127.0.0.1"), 200, []string{"Kv-Fetch"}},
		{"no copy", set("Kv-From", "127.0.0.1:80/1", "Last-Event-Id", "2"), 503, nil},
		{"copy of a stream that begins", set("Kv-From", "127.0.0.1:80/1"), 503, []string{"no Last-Event-Id"}},
		{"event that was not written", set("Last-Event-Id", "4"), 200, []string{`Last-Event-Id is "4"`}},
		{"event without number", set("Last-Event-Id", "x"), 200, []string{`Last-Event-Id is "x"`, `Last-Event-Id is "x"`}},
		{"hold that was not granted", set("X-Hold", "h"), 200, []string{"X-Hold"}},
		{"header of the connection", set("Keep-Alive", "timeout=5"), 200, []string{"concerns one connection", "connection alone"}},
		{"header of the caller's connection", set("Local", "1"), 200, []string{"connection alone"}},
		{"header that is missing", remove("X-Model"), 200, []string{"X-Model"}},
		{"header in another order", func(r *http.Request) { r.Header["Other"] = []string{"2", "1"} }, 200, []string{"Other"}},
		{"header of the router's own", set("Attempt", "2"), 200, []string{"router's own"}},
		{"method", func(r *http.Request) { r.Method = http.MethodPut }, 200, []string{"caller sent POST"}},
		{"path", func(r *http.Request) { r.URL.RawQuery = "q=/" }, 200, []string{"caller sent POST /safe/1?q=%2f"}},
		{"host", func(r *http.Request) { r.Host = r.URL.Host }, 200, []string{`host "desk.example"`}},
		{"body", func(r *http.Request) { r.Body = io.NopCloser(strings.NewReader("bodi")) }, 200, []string{"its body of 4 bytes"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			status, got := sendChanged(t, test.change)
			assert.Equal(t, status, test.status)
			assert.Equal(t, len(got), len(test.want), "%q", got)
			for n, want := range test.want {
				assert.Assert(t, strings.Contains(got[n], want), "%q", got)
			}
		})
	}
}

// Guards against requests that net/http refuses, of which no handler learns, and against
// heads that a fault of the network cut off and that count as violations.
func TestEndpointNoticesRequestThatCannotBeParsed(t *testing.T) {
	for head, want := range map[string]int{"Content-Length: 1\r\nContent-Length: 2\r\n\r\n": 1, "Content-Len": 0} {
		i := NewInspector()
		r, stop, err := Start(hub.New(), Options{ID: "d0", Service: "desk", Inspector: i})
		assert.NilError(t, err)
		c, err := net.Dial("tcp", r.Address())
		assert.NilError(t, err)
		_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\n"+head)
		assert.NilError(t, err)
		assert.NilError(t, c.(*net.TCPConn).CloseWrite())
		_, err = io.ReadAll(c) // until the endpoint has closed the connection
		assert.NilError(t, err)
		assert.NilError(t, c.Close())
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if len(i.Violations()) == want {
				return poll.Success()
			}
			return poll.Continue("%q", i.Violations())
		}, poll.WithTimeout(time.Second))
		stop()
	}
}
