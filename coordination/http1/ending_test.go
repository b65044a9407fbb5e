package http1_test

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination/http1"
	"wisteriaspool/coordination/synctest"
)

var errRefused = errors.New("refused")

// idleConn is a connection on which nothing is sent.
type idleConn struct {
	net.Conn
	closing sync.Once
	closed  chan struct{}
}

func (c *idleConn) Read([]byte) (int, error) {
	<-c.closed
	return 0, io.EOF
}

func (c *idleConn) Close() error {
	c.closing.Do(func() { close(c.closed) })
	return nil
}

// open reports whether neither end has closed the connection.
func (c *idleConn) open() bool {
	select {
	case <-c.closed:
		return false
	default:
		return true
	}
}

// watchedPeer is a server whose connections and listener are under the control of a test.
type watchedPeer struct {
	mu      sync.Mutex
	refuses bool
	silent  bool // connections fail without being refused
	conns   []*idleConn
	dials   int
}

func (p *watchedPeer) dial(context.Context, string) (net.Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dials++
	switch {
	case p.silent:
		return nil, context.DeadlineExceeded
	case p.refuses:
		return nil, errRefused
	}
	c := &idleConn{closed: make(chan struct{})}
	p.conns = append(p.conns, c)
	return c, nil
}

// stopListening makes the server refuse connections.
func (p *watchedPeer) stopListening() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refuses = true
}

// setSilent sets whether connections to the server fail without being refused.
func (p *watchedPeer) setSilent(silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent = silent
}

// end ends the process of the server.
func (p *watchedPeer) end() {
	p.stopListening()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		_ = c.Close()
	}
}

// open returns the number of open connections, and of all that were tried.
func (p *watchedPeer) open() (n, dials int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		if c.open() {
			n++
		}
	}
	return n, p.dials
}

func newWatcher(p *watchedPeer) *http1.Watcher {
	refused := func(err error) bool { return errors.Is(err, errRefused) }
	return &http1.Watcher{Dial: p.dial, Refused: refused, OutOfReach: func(err error) bool { return !refused(err) }}
}

func yes() bool { return true }
func no() bool  { return false }

// Guards against the watch over endings loading servers with connections.
func TestWatcherMakesFewConnections(t *testing.T) {
	for _, test := range []struct {
		name      string
		leaves    func() bool
		stops     bool
		min, most int // connections tried in ten seconds
		open      int
	}{
		{"serves", no, false, 0, 0, 0},
		{"leaves", yes, false, 60, 70, 1},
		{"leaves, stops listening after a second", yes, true, 7, 9, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := &watchedPeer{}
				w := newWatcher(p)
				var held []*http1.WatchedRequest
				for range 20 {
					r := w.WatchUndelimited(nil, "group", "address", test.leaves)
					r.BeginRead()
					held = append(held, r)
				}
				time.Sleep(time.Second)
				if test.stops {
					p.stopListening()
				}
				time.Sleep(9 * time.Second)
				open, dials := p.open()
				assert.Assert(t, test.min <= dials && dials <= test.most, "%d connections", dials)
				assert.Equal(t, open, test.open)
				for _, r := range held {
					r.Release()
					r.Release()
				}
				time.Sleep(time.Second)
				open, _ = p.open()
				assert.Equal(t, open, 0)
			})
		})
	}
}

// Guards against endings that are judged by what is not known: a reader that waits for its caller may have the end of the connection before it.
func TestEndingOfUndelimitedResponse(t *testing.T) {
	for _, test := range []struct {
		name    string
		stops   time.Duration // before the end; 0 for a listener that is closed with it
		livesOn bool          // the process does not end right behind the response
		blocked bool          // the reader waits for its caller
		others  int           // responses that end with it
		apart   time.Duration // by which these began earlier
		waiting int           // responses whose readers wait for their callers, so that their ends are not read
		unknown bool          // that the server leaves
		cutOff  bool          // from the server, for a time before the listener is closed
		want    http1.Ending
	}{
		{name: "process lives on", stops: time.Second, livesOn: true, want: http1.AnotherOpen},
		{name: "process lives on, listener closed a moment before", stops: 10 * time.Millisecond, livesOn: true, want: http1.AnotherOpen},
		{name: "process exits", stops: time.Second, want: http1.StoppedBefore},
		{name: "process exits, reader waited for its caller", stops: time.Second, blocked: true, want: http1.Refusing},
		{name: "process exits, listener closed a moment before", stops: 10 * time.Millisecond, want: http1.Refusing},
		{name: "process exits, not known to leave", stops: time.Second, unknown: true, want: http1.Refusing},
		{name: "process ends while it is out of reach", stops: time.Second, cutOff: true, want: http1.Refusing},
		{name: "process is out of reach and lives on", stops: time.Second, cutOff: true, livesOn: true, want: http1.Refusing},
		{name: "process is killed with its listener", want: http1.Refusing},
		{name: "process is killed with its listener and other responses", others: 3, apart: time.Second, want: http1.Refusing},
		{name: "process is killed beside responses to slow callers", waiting: 3, want: http1.Refusing},
		{name: "process is killed after its listener was closed", stops: time.Second, others: 3, apart: time.Second, want: http1.EndedTogether},
		{name: "process exits behind responses that began and ended together", stops: time.Second, others: 3, want: http1.StoppedBefore},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := &watchedPeer{}
				w := newWatcher(p)
				assert.Assert(t, w.Watch("group", "address", yes) == nil)
				leaves := func() bool { return !test.unknown }
				var all []*http1.WatchedRequest
				for range test.others {
					all = append(all, w.WatchUndelimited(nil, "group", "address", leaves))
				}
				time.Sleep(test.apart)
				first := w.WatchUndelimited(nil, "group", "address", leaves)
				all = append(all, first)
				for _, r := range all {
					r.BeginRead()
				}
				for range test.waiting {
					defer w.Watch("group", "address", yes).Release()
				}
				if test.blocked {
					first.EndRead()
				}
				time.Sleep(2 * time.Second)
				if test.cutOff {
					p.setSilent(true)
					time.Sleep(time.Second)
					p.setSilent(false)
				}
				if test.stops > 0 {
					p.stopListening()
					time.Sleep(test.stops)
				}
				for _, r := range all {
					r.End()
				}
				p.stopListening()
				if !test.livesOn {
					p.end()
				}
				assert.Equal(t, first.Ending(t.Context()).String(), test.want.String())
				for _, r := range all {
					r.Release()
				}
				time.Sleep(time.Second)
			})
		})
	}
}
