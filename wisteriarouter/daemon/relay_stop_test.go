package daemon_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"wisteriaspool/standin/replica"
)

// Guards against requests that a stopping router reads and then drops with their
// connection.
func TestRelayAnswersRequestsCompletedDuringStop(t *testing.T) {
	for _, tc := range []struct {
		name string
		kept bool    // the connection has had an answer before
		part float64 // of the request that is written before the stop
	}{
		{name: "new connection"},
		{name: "part of a head on a new connection", part: 0.5},
		{name: "part of a head on a kept connection", kept: true, part: 0.5},
		{name: "head on a kept connection", kept: true, part: 0.95},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newRelayCluster(t, 1, 1, 0)
			c := s.connect(0)
			if tc.kept {
				c.write(c.text("/unsafe/before"))
				assert.Equal(t, c.readResponse().StatusCode, http.StatusOK)
			}
			text := c.text("/unsafe/last")
			before := int(tc.part * float64(len(text)))
			c.write(text[:before])
			time.Sleep(20 * time.Millisecond) // the router has read it
			left := make(chan int, 1)
			go stopper{s.stops[0], left}.run()
			s.awaitNoListener(0)
			c.write(text[before:])
			got := c.readResponse()
			assert.Equal(t, got.StatusCode, http.StatusOK)
			assert.Assert(t, got.Close, "the answer keeps the connection")
			assert.Equal(t, <-left, 0)
		})
	}
}

// Guards against answers that break off since their router took the request when it
// had no time left to complete it.
func TestRelayRefusesRequestsItsStopWouldCutOff(t *testing.T) {
	s := newRelayCluster(t, 1, 1, 0)
	s.addReplica(replica.Options{ID: "slow", Service: "model", Zone: "a", Events: 180, Pause: 20 * time.Millisecond})
	plain, begun := s.beginStream("/stream/begun")
	stream, begunToo := s.beginStream("/stream/begun")
	assert.Equal(t, s.send(0, "/unsafe/before").status, http.StatusOK)
	left := make(chan int, 1)
	go stopper{s.stops[0], left}.run()
	plain.readBody(begun)
	stream.readBody(begunToo)
	plain.write(plain.text("/unsafe/late"))
	stream.write(stream.text("/stream/late"))
	got := plain.readResponse()
	assert.Equal(t, got.StatusCode, http.StatusOK)
	assert.Assert(t, got.Close)
	got = stream.readResponse()
	assert.Equal(t, got.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, got.Close)
	assert.Assert(t, got.Header.Get("Retry-After") != "")
	assert.Equal(t, s.runs("/stream/late"), 0)
	assert.Equal(t, <-left, 0)
}

// Guards against requests that wait for a place, or for their endpoint, and are cut off
// by the end of a stop without a word.
func TestRelayAnswersPendingRequestsAtEndOfStop(t *testing.T) {
	s := newRelayCluster(t, 1, 0, 0)
	s.addReplica(replica.Options{ID: "d0", Service: "desk", Zone: "a", Slots: 1})
	s.replicas[0].Fail(replica.Faults{Slow: 20 * time.Second})
	d := plainState()
	for _, r := range d.routes {
		r["timeoutMs"] = 15000
	}
	s.put(d)
	time.Sleep(300 * time.Millisecond) // it is in force
	const requests = 12
	got := make(chan relayResponse, requests)
	for range requests {
		go longSender{s, "/unsafe/last", got}.run()
	}
	time.Sleep(500 * time.Millisecond) // they wait
	assert.Equal(t, s.stops[0](), 0)
	statuses := make(map[int]int)
	for range requests {
		a := <-got
		assert.NilError(t, a.err)
		statuses[a.status]++
	}
	assert.Equal(t, statuses[http.StatusGatewayTimeout], s.runs("/unsafe/last"), "%v", statuses)
	assert.Equal(t, statuses[http.StatusServiceUnavailable], requests-s.runs("/unsafe/last"), "%v", statuses)
}

// longSender sends one request that has time.
type longSender struct {
	cluster *relayCluster
	path    string
	got     chan<- relayResponse
}

func (a longSender) run() { a.got <- a.cluster.send(0, a.path, "X-Deadline-Ms", "14000") }

// Guards against operators' requests that are read and dropped at the end of a stop.
func TestRelayAnswersOperatorsDuringStop(t *testing.T) {
	s := newRelayCluster(t, 1, 1, 0)
	c := s.connectTo(s.routers[0].OperatorsAddress())
	text := "GET /metrics HTTP/1.1\r\nHost: router.example\r\n\r\n"
	c.write(text[:10])
	time.Sleep(20 * time.Millisecond) // the router has read it
	left := make(chan int, 1)
	go stopper{s.stops[0], left}.run()
	s.awaitNoListenerAt(s.routers[0].OperatorsAddress())
	c.write(text[10:])
	got := c.readResponse()
	assert.Equal(t, got.StatusCode, http.StatusOK)
	assert.Assert(t, got.Close)
	assert.Equal(t, <-left, 0)
}

// connection is a caller's connection to a router, written by hand.
type connection struct {
	net.Conn
	t testing.TB
	r *bufio.Reader
}

func (s *relayCluster) connect(router int) *connection {
	return s.connectTo(s.routers[router].CallersAddress())
}

func (s *relayCluster) connectTo(address string) *connection {
	c, err := net.Dial("tcp", address)
	assert.NilError(s.t, err)
	s.t.Cleanup(func() { _ = c.Close() })
	assert.NilError(s.t, c.SetDeadline(time.Now().Add(10*time.Second)))
	return &connection{Conn: c, t: s.t, r: bufio.NewReader(c)}
}

// text returns a request as it is on the wire.
func (c *connection) text(path string) string {
	body, prompt := "body of "+path, ""
	if strings.HasPrefix(path, "/stream/") {
		prompt = "X-Token-Usage: 100,10\r\nX-Prefix-Hash: aa:50,bb:40,cc:10\r\n"
	}
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 4000\r\nAuthorization: Bearer k1\r\n%sContent-Length: %d\r\n\r\n%s",
		path, freshID(), prompt, len(body), body)
}

func (c *connection) write(text string) {
	_, err := io.WriteString(c, text)
	assert.NilError(c.t, err)
}

// beginStream asks for a stream, once the router knows an endpoint for it, and reads the
// head of the answer, which keeps the connection.
func (s *relayCluster) beginStream(path string) (c *connection, resp *http.Response) {
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		c = s.connect(0)
		c.write(c.text(path))
		var err error
		resp, err = http.ReadResponse(c.r, nil)
		assert.NilError(s.t, err)
		if resp.StatusCode == http.StatusOK {
			return poll.Success()
		}
		return poll.Continue("the router knows no endpoint")
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(20*time.Millisecond))
	assert.Assert(s.t, !resp.Close)
	return c, resp
}

func (c *connection) readResponse() *http.Response {
	resp, err := http.ReadResponse(c.r, nil)
	assert.NilError(c.t, err, "the connection ended without an answer")
	c.readBody(resp)
	return resp
}

// readBody reads the rest of an answer.
func (c *connection) readBody(resp *http.Response) {
	_, err := io.Copy(io.Discard, resp.Body)
	assert.NilError(c.t, err)
	assert.NilError(c.t, resp.Body.Close())
}

// awaitNoListener waits until a router takes no new connections of callers.
func (s *relayCluster) awaitNoListener(router int) {
	s.awaitNoListenerAt(s.routers[router].CallersAddress())
}

func (s *relayCluster) awaitNoListenerAt(address string) {
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		c, err := net.Dial("tcp", address)
		if err != nil {
			return poll.Success()
		}
		_ = c.Close()
		return poll.Continue("the router listens")
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(5*time.Millisecond))
}
