package downstream_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination/synctest"
	"wisteriaspool/wisteriarouter/downstream"
)

// The timeouts of a drain: how long a connection has to be without a request before
// it is closed, and how long its last read may take.
const (
	quiet = time.Second
	look  = time.Millisecond
)

// pipes is a listener whose connections are in-memory pipes, as needed for the fake
// clock.
type pipes struct {
	queue chan net.Conn
	once  sync.Once
	done  chan struct{}
}

func newPipes() *pipes {
	return &pipes{queue: make(chan net.Conn, 8), done: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-l.queue:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *pipes) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

// Addr implements net.Listener.
func (l *pipes) Addr() net.Addr { return &net.TCPAddr{} }

// fixture is a server under test. It is also its handler and records the drops that
// are reported to it.
type fixture struct {
	*downstream.Server
	t       *testing.T
	pipes   *pipes
	served  serving
	release chan struct{} // ends the handlers of /slow

	mu    sync.Mutex
	drops []downstream.Drop
}

// serving runs a server and passes on the error of Serve.
type serving struct {
	server *downstream.Server
	err    chan error
}

func (s serving) run() { s.err <- s.server.Serve() }

func newFixture(t *testing.T) *fixture {
	f := &fixture{t: t, pipes: newPipes(), release: make(chan struct{})}
	f.serve(f.pipes, f)
	return f
}

// newFixtureOf returns a fixture with the given handler.
func newFixtureOf(t *testing.T, h http.HandlerFunc) *fixture {
	f := &fixture{t: t, pipes: newPipes()}
	f.serve(f.pipes, h)
	return f
}

// headerTimeout is the maximum time to read a request header.
const headerTimeout = 4 * time.Second

func (f *fixture) serve(l net.Listener, h http.Handler) {
	cfg := downstream.Config{HeaderTimeout: headerTimeout, MaxHeaderBytes: 64 << 10, IdleTimeout: time.Minute, Observer: f}
	s, closeAll := downstream.NewServer(l, h, cfg)
	f.Server, f.served = s, serving{s, make(chan error, 1)}
	go f.served.run()
	f.t.Cleanup(closeAll)
}

// ServeHTTP implements http.Handler. It echoes the request body. For /slow it first
// sends the response header and waits for the test to release it.
func (f *fixture) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/slow" {
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
		select {
		case <-f.release:
		case <-r.Context().Done():
		}
	}
	body, err := io.ReadAll(r.Body)
	if err == nil {
		_, _ = w.Write(body)
	}
}

// Dropped implements downstream.Observer.
func (f *fixture) Dropped(d downstream.Drop) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.drops = append(f.drops, d)
}

func (f *fixture) dropped() []downstream.Drop {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]downstream.Drop(nil), f.drops...)
}

// draining drains a server and passes on the result.
type draining struct {
	server *downstream.Server
	within time.Duration
	left   chan int
}

func (d draining) run() {
	ctx, cancel := context.WithTimeout(context.Background(), d.within)
	defer cancel()
	d.left <- d.server.Drain(ctx)
}

// beginDrain starts to drain the server and returns once it accepts no new
// connections.
func (f *fixture) beginDrain(within time.Duration) chan int {
	d := draining{f.Server, within, make(chan int, 1)}
	go d.run()
	assert.Equal(f.t, <-f.served.err, http.ErrServerClosed)
	return d.left
}

// client is a connection to the server.
type client struct {
	net.Conn
	t *testing.T
	r *bufio.Reader
}

func (f *fixture) connect() *client {
	near, far := net.Pipe()
	f.pipes.queue <- far
	f.t.Cleanup(func() { _ = near.Close() })
	return &client{near, f.t, bufio.NewReader(near)}
}

// text returns a request in wire format.
func text(path string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 4\r\n\r\nbody"
}

func (c *client) write(text string) {
	_, err := io.WriteString(c, text)
	assert.NilError(c.t, err)
}

// readHeader reads a response header.
func (c *client) readHeader() *http.Response {
	resp, err := http.ReadResponse(c.r, nil)
	assert.NilError(c.t, err, "the connection ended without an answer")
	return resp
}

// readAnswer reads a response and reports whether it closes the connection.
func (c *client) readAnswer() (last bool) {
	resp := c.readHeader()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(c.t, err)
	assert.Equal(c.t, string(body), "body")
	return resp.Close
}

// awaitClose waits until the server closes the connection.
func (c *client) awaitClose() {
	_, err := c.r.ReadByte()
	assert.Equal(c.t, err, io.EOF)
}

// Guards against requests that a draining server reads and drops.
func TestDrainAnswersWhatIsRead(t *testing.T) {
	whole := text("/")
	for _, tc := range []struct {
		name   string
		kept   bool          // the connection has served a request before
		before int           // bytes written before the drain
		after  time.Duration // delay until the rest is written
		keeps  bool          // the handler started before the drain, so its response keeps the connection open
	}{
		{name: "first request at once", after: 0},
		{name: "first request at the last moment", after: quiet - time.Nanosecond},
		{name: "next request at the last moment", kept: true, after: quiet - time.Nanosecond},
		{name: "one byte of a first head before", before: 1, after: 3 * time.Second},
		{name: "one byte of a next head before", kept: true, before: 1, after: 3 * time.Second},
		{name: "head before", before: len(whole) - 4, after: 3 * time.Second, keeps: true},
		{name: "next head before", kept: true, before: len(whole) - 4, after: 3 * time.Second, keeps: true},
		{name: "all but a byte before", kept: true, before: len(whole) - 1, after: 3 * time.Second, keeps: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				c := f.connect()
				if tc.kept {
					c.write(whole)
					assert.Assert(t, !c.readAnswer())
				}
				c.write(whole[:tc.before])
				synctest.Wait()
				left := f.beginDrain(8 * time.Second)
				time.Sleep(tc.after)
				c.write(whole[tc.before:])
				assert.Equal(t, c.readAnswer(), !tc.keeps)
				c.awaitClose()
				assert.Equal(t, <-left, 0)
				assert.Equal(t, len(f.dropped()), 0)
			})
		})
	}
}

// Guards against dropping a request whose first byte arrived while the previous one
// was handled.
func TestDrainAnswersWhatWasReadAhead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		c := f.connect()
		c.write(text("/slow"))
		resp := c.readHeader()
		c.write(text("/")[:1])
		synctest.Wait()
		close(f.release)
		_, err := io.Copy(io.Discard, resp.Body)
		assert.NilError(t, err)
		left := f.beginDrain(8 * time.Second)
		time.Sleep(3 * time.Second)
		c.write(text("/")[1:])
		assert.Assert(t, c.readAnswer(), "the response keeps the connection open")
		assert.Equal(t, <-left, 0)
		assert.Equal(t, len(f.dropped()), 0)
	})
}

// Guards against closing a connection after a response that announced that it stays
// open.
func TestDrainServesRequestAfterLongResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		c := f.connect()
		c.write(text("/slow"))
		resp := c.readHeader()
		assert.Assert(t, !resp.Close)
		left := f.beginDrain(8 * time.Second)
		time.Sleep(3 * time.Second)
		close(f.release)
		_, err := io.Copy(io.Discard, resp.Body)
		assert.NilError(t, err)
		time.Sleep(quiet / 2)
		c.write(text("/"))
		assert.Assert(t, c.readAnswer(), "the response keeps the connection open")
		assert.Equal(t, <-left, 0)
	})
}

func TestDrainClosesUnusedConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		unused, fresh := f.connect(), f.connect()
		unused.write(text("/"))
		assert.Assert(t, !unused.readAnswer())
		time.Sleep(quiet / 4)
		fresh.write(text("/"))
		assert.Assert(t, !fresh.readAnswer())
		time.Sleep(quiet / 2)
		start := time.Now()
		left := f.beginDrain(8 * time.Second)
		unused.awaitClose()
		assert.Equal(t, time.Since(start), quiet/4+look)
		fresh.awaitClose()
		assert.Equal(t, time.Since(start), quiet/2+look)
		assert.Equal(t, <-left, 0)
		assert.Equal(t, time.Since(start), quiet/2+look)
	})
}

// Guards against drains that exceed their time limit and report that no request was
// cut off.
func TestDrainEndsInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		c := f.connect()
		c.write(text("/slow"))
		c.readHeader()
		start := time.Now()
		assert.Equal(t, <-f.beginDrain(2*time.Second), 1)
		assert.Equal(t, time.Since(start), 2*time.Second)
	})
}

// Guards against a server that keeps connections open after DisableKeepAlives, or
// no longer serves them.
func TestDisableKeepAlivesClosesAfterResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		kept := f.connect()
		kept.write(text("/"))
		assert.Assert(t, !kept.readAnswer())
		f.DisableKeepAlives()
		time.Sleep(10 * time.Second)
		kept.write(text("/"))
		assert.Assert(t, kept.readAnswer())
		fresh := f.connect()
		fresh.write(text("/"))
		assert.Assert(t, fresh.readAnswer())
	})
}

// Guards against requests that are lost without a report. A server that is closed
// immediately reports the requests that it has partly read.
func TestCloseReportsDroppedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newPipes()
		f := &fixture{t: t, pipes: l}
		s, closeAll := downstream.NewServer(l, f, downstream.Config{Observer: f})
		go serving{s, make(chan error, 1)}.run()
		c := f.connect()
		c.write(text("/")[:20])
		time.Sleep(time.Second)
		closeAll()
		c.awaitClose()
		assert.DeepEqual(t, f.dropped(), []downstream.Drop{{BytesRead: 20, Elapsed: time.Second, FirstRequest: true}})
	})
}

// late is a connection whose data becomes readable only after a read has exceeded
// its deadline, as on an overloaded machine.
type late struct {
	net.Conn
	text io.Reader

	mu     sync.Mutex
	till   time.Time
	passed bool // a read has exceeded its deadline
}

func (c *late) Read(b []byte) (int, error) {
	for {
		c.mu.Lock()
		till, passed := c.till, c.passed
		c.passed = passed || !till.IsZero() && !time.Now().Before(till)
		now := c.passed
		c.mu.Unlock()
		switch {
		case passed:
			return c.text.Read(b)
		case now:
			return 0, os.ErrDeadlineExceeded
		}
		time.Sleep(look)
	}
}

func (c *late) SetReadDeadline(till time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.till = till
	return nil
}

// Guards against dropping requests that have arrived when the wait for them ends,
// but were not read because the process got no CPU time.
func TestDrainReadsWhatHasArrivedWhenTheWaitEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		near, far := net.Pipe()
		f.pipes.queue <- &late{Conn: far, text: strings.NewReader(text("/"))}
		c := &client{near, t, bufio.NewReader(near)}
		synctest.Wait()
		left := f.beginDrain(8 * time.Second)
		assert.Assert(t, c.readAnswer())
		assert.Equal(t, <-left, 0)
	})
}
