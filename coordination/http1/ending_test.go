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
	conns   []*idleConn
	dials   int
}

func (p *watchedPeer) dial(context.Context, string) (net.Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dials++
	if p.refuses {
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
	return &http1.Watcher{Dial: p.dial, Refused: func(err error) bool { return errors.Is(err, errRefused) }}
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
		exits   bool          // right behind the response
		reading bool
		others  int           // responses that end with it
		apart   time.Duration // by which these began earlier
		waiting int           // responses whose readers wait for their callers, so that their ends are not read
		want    http1.Ending
	}{
		{"process lives on", time.Second, false, true, 0, 0, 0, http1.AnotherOpen},
		{"process lives on, listener closed a moment before", 10 * time.Millisecond, false, true, 0, 0, 0, http1.AnotherOpen},
		{"process exits", time.Second, true, true, 0, 0, 0, http1.StoppedBefore},
		{"process exits, reader waited for its caller", time.Second, true, false, 0, 0, 0, http1.Refusing},
		{"process exits, listener closed a moment before", 10 * time.Millisecond, true, true, 0, 0, 0, http1.Refusing},
		{"process is killed with its listener", 0, true, true, 0, 0, 0, http1.Refusing},
		{"process is killed with its listener and other responses", 0, true, true, 3, time.Second, 0, http1.Refusing},
		{"process is killed beside responses to slow callers", 0, true, true, 0, 0, 3, http1.Refusing},
		{"process is killed after its listener was closed", time.Second, true, true, 3, time.Second, 0, http1.EndedTogether},
		{"process exits behind responses that began and ended together", time.Second, true, true, 3, 0, 0, http1.StoppedBefore},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := &watchedPeer{}
				w := newWatcher(p)
				assert.Assert(t, w.Watch("group", "address", yes) == nil)
				var all []*http1.WatchedRequest
				for range test.others {
					all = append(all, w.WatchUndelimited(nil, "group", "address", yes))
				}
				time.Sleep(test.apart)
				first := w.WatchUndelimited(nil, "group", "address", yes)
				all = append(all, first)
				for _, r := range all {
					r.BeginRead()
				}
				for range test.waiting {
					defer w.Watch("group", "address", yes).Release()
				}
				if !test.reading {
					first.EndRead()
				}
				time.Sleep(2 * time.Second)
				if test.stops > 0 {
					p.stopListening()
					time.Sleep(test.stops)
				}
				for _, r := range all {
					r.End()
				}
				p.stopListening()
				if test.exits {
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
