package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination/route"
	"wisteriaspool/standin/loopback"
)

// stoppingEndpoint is an endpoint that shuts down while it responds: it closes its listener, and
// ends later, with its responses or in the middle of them. Its responses are undelimited.
type stoppingEndpoint struct {
	listener net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]bool

	head, part, rest string
	// atOnce reports that a response is written at its end only.
	atOnce    bool
	requests  int           // after which it begins to shut down
	stopAfter time.Duration // from then to the closing of the listener
	endAfter  time.Duration // from then to the end of the responses
	end       processEnd
	leaves    func()        // called when it begins
	arrived   chan struct{} // receives for each request
	ended     chan struct{} // closed when the responses end
	responded sync.WaitGroup
}

// processEnd is how the process of an endpoint ends.
type processEnd int

const (
	livesOn        processEnd = iota // for longer than the response
	exitsBehind                      // right after the response
	killedInMiddle                   // in the middle of the response
)

func (e *stoppingEndpoint) start(t *testing.T) *stoppingEndpoint {
	// No other test gets the address once the listener is closed.
	l, err := net.Listen("tcp", loopback.Address())
	assert.NilError(t, err)
	e.listener, e.conns = l, make(map[net.Conn]bool)
	e.arrived, e.ended = make(chan struct{}, e.requests), make(chan struct{})
	e.responded.Add(e.requests)
	t.Cleanup(e.kill)
	go e.run()
	go shutdown{e}.run()
	return e
}

// shutdown shuts an endpoint down once it has all requests.
type shutdown struct{ *stoppingEndpoint }

func (e shutdown) run() {
	for range e.requests {
		<-e.arrived
	}
	e.leaves()
	time.Sleep(e.stopAfter)
	_ = e.listener.Close()
	time.Sleep(e.endAfter - e.stopAfter)
	if e.end == killedInMiddle {
		e.kill()
		return
	}
	close(e.ended)
	e.responded.Wait()
	if e.end == exitsBehind {
		e.kill()
	}
}

// kill ends the process: the kernel closes its listener and all of its connections.
func (e *stoppingEndpoint) kill() {
	_ = e.listener.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for c := range e.conns {
		_ = c.Close()
	}
}

func (e *stoppingEndpoint) run() {
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns[c] = true
		e.mu.Unlock()
		go e.serve(c)
	}
}

func (e *stoppingEndpoint) serve(c net.Conn) {
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		_ = c.Close()
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	if r.Header.Get("X-Attempt-Id") == firstAttempt {
		_, _ = io.WriteString(c, signedHead(r, "200 OK")+e.head+"\r\n"+e.part)
		_ = c.Close()
		return
	}
	head := signedHead(r, "200 OK") + e.head + "\r\n"
	part := head + e.part
	if e.atOnce {
		part = ""
	}
	_, _ = io.WriteString(c, part)
	e.arrived <- struct{}{}
	<-e.ended
	rest := e.rest
	if e.atOnce {
		rest = head + e.part + e.rest
	}
	_, _ = io.WriteString(c, rest)
	_ = c.Close()
	e.responded.Done()
}

// firstAttempt is the id of a request that is answered at once, before the endpoint shuts down.
const firstAttempt = "first"

// stoppingForms returns forms of responses. part ends behind a whole event.
func stoppingForms() []leavingCut {
	const stream = "Content-Type: text/event-stream\r\n"
	const one, two = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	return []leavingCut{
		{name: "safe", route: route.Route{Kind: route.Safe}, part: "hello", rest: ", world"},
		{name: "unsafe", route: route.Route{Kind: route.Unsafe}, part: "hello", rest: ", world"},
		{name: "stream", route: route.Route{Kind: route.Stream}, head: stream, part: one, rest: two},
		{name: "resumable", route: route.Route{Kind: route.Stream, Resumable: true}, head: stream, part: one, rest: two},
	}
}

// received is what a caller gets.
type received struct {
	status int
	body   string
	err    error
}

// apart is the time between two requests to an endpoint that shuts down.
const apart = 150 * time.Millisecond

// askStopping sends requests side by side through one router to an endpoint that shuts down.
func (l leavingCut) askStopping(t *testing.T, e *stoppingEndpoint, n int) []received {
	t.Helper()
	placer := &listPlacer{}
	e.head, e.part, e.rest = l.head, l.part, l.rest
	e.requests, e.leaves = n, func() { placer.Leaving("e0", 0) } // as the platform tells the router
	e.start(t)
	placer.addresses = []string{e.listener.Addr().String()}
	url := startRouterAt(t, l.route, placer)
	_, body, err := callRouter(t, http.MethodPost, url, firstAttempt)
	assert.NilError(t, err)
	assert.Equal(t, body, e.part)
	answers := make([]received, n)
	var wg sync.WaitGroup
	for i := range answers {
		if i > 0 {
			time.Sleep(apart)
		}
		wg.Go(func() {
			resp, body, err := callRouter(t, http.MethodPost, url, fmt.Sprintf("a%d", i))
			answers[i] = received{body: body, err: err}
			if resp != nil {
				answers[i].status = resp.StatusCode
			}
		})
	}
	wg.Wait()
	return answers
}

// Guards against a complete undelimited response that is cut since its endpoint, which shuts down, has closed its listener before.
func TestUndelimitedResponseThatOutlivesListener(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name   string
		end    processEnd
		atOnce bool
	}{
		{"lives on", livesOn, false},
		{"exits", exitsBehind, false},
		{"lives on, responds at once", livesOn, true},
		{"exits, responds at once", exitsBehind, true},
	} {
		for _, l := range stoppingForms() {
			t.Run(l.name+"/"+test.name, func(t *testing.T) {
				t.Parallel()
				e := &stoppingEndpoint{stopAfter: 700 * time.Millisecond, endAfter: 2 * time.Second, end: test.end, atOnce: test.atOnce}
				got := l.askStopping(t, e, 1)[0]
				assert.NilError(t, got.err)
				assert.Equal(t, got.status, http.StatusOK)
				assert.Equal(t, got.body, l.part+l.rest)
			})
		}
	}
}

// Guards against the same where the listener is closed shortly before the response ends and another connection shows that the process lives on.
func TestUndelimitedResponseThatEndsSoonAfterListener(t *testing.T) {
	t.Parallel()
	for _, l := range stoppingForms() {
		t.Run(l.name, func(t *testing.T) {
			t.Parallel()
			e := &stoppingEndpoint{stopAfter: 900 * time.Millisecond, endAfter: time.Second}
			got := l.askStopping(t, e, 1)[0]
			assert.NilError(t, got.err)
			assert.Equal(t, got.body, l.part+l.rest)
		})
	}
}

// Guards against responses that look complete although the process is killed in them, after it has closed its listener.
func TestUndelimitedResponsesOfEndpointKilledAfterItsListenerClosed(t *testing.T) {
	t.Parallel()
	for _, l := range stoppingForms() {
		t.Run(l.name, func(t *testing.T) {
			t.Parallel()
			e := &stoppingEndpoint{stopAfter: 700 * time.Millisecond, endAfter: 2 * time.Second, end: killedInMiddle}
			for _, got := range l.askStopping(t, e, 3) {
				assert.Check(t, got.err != nil || got.status == http.StatusBadGateway, "%d %q", got.status, got.body)
			}
		})
	}
}

// Guards against a response that looks complete although the process is killed in it, with its listener, while it leaves.
func TestUndelimitedResponseOfLeavingEndpointThatIsKilled(t *testing.T) {
	t.Parallel()
	for _, l := range stoppingForms() {
		t.Run(l.name, func(t *testing.T) {
			t.Parallel()
			e := &stoppingEndpoint{stopAfter: 1500 * time.Millisecond, endAfter: 1500 * time.Millisecond, end: killedInMiddle}
			for _, got := range l.askStopping(t, e, 3) {
				assert.Check(t, got.err != nil || got.status == http.StatusBadGateway, "%d %q", got.status, got.body)
			}
		})
	}
}
