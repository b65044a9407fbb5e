package downstream_test

import (
	"bufio"
	"net"
	"os"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination/synctest"
)

// backlog is a listener that accepts its pending connections only after a first
// wait has exceeded the deadline, as on an overloaded machine.
type backlog struct {
	*pipes
	wake chan struct{} // closed when the deadline is first set
	once sync.Once

	mu     sync.Mutex
	till   time.Time
	passed bool            // a wait has exceeded its deadline
	each   func() net.Conn // returns the next connection, or nil if there is none
}

func newBacklog(each func() net.Conn) *backlog {
	return &backlog{pipes: newPipes(), wake: make(chan struct{}), each: each}
}

// SetDeadline limits the wait for connections.
func (l *backlog) SetDeadline(till time.Time) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.till = till
	l.once.Do(func() { close(l.wake) })
	return nil
}

// acceptTime is how long it takes to accept a connection.
const acceptTime = look / 10

// Accept implements net.Listener.
func (l *backlog) Accept() (net.Conn, error) {
	select {
	case <-l.wake:
	case <-l.done:
		return nil, net.ErrClosed
	}
	time.Sleep(acceptTime)
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.passed || !time.Now().Before(l.till) {
		l.passed = true
		return nil, os.ErrDeadlineExceeded
	}
	if c := l.each(); c != nil {
		return c, nil
	}
	return nil, os.ErrDeadlineExceeded
}

// Guards against connections that were made before the drain and never accepted.
func TestDrainAcceptsPendingConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		used, usedFar := net.Pipe()
		unused, unusedFar := net.Pipe()
		waiting := []net.Conn{usedFar, unusedFar}
		f := &fixture{t: t}
		f.serve(newBacklog(func() net.Conn {
			if len(waiting) == 0 {
				return nil
			}
			c := waiting[0]
			waiting = waiting[1:]
			return c
		}), f)
		synctest.Wait()
		start := time.Now()
		left := f.beginDrain(8 * time.Second)
		c := &client{used, t, bufio.NewReader(used)}
		c.write(text("/"))
		assert.Assert(t, c.readAnswer())
		(&client{unused, t, bufio.NewReader(unused)}).awaitClose()
		assert.Equal(t, <-left, 0)
		assert.Assert(t, time.Since(start) < 2*quiet)
	})
}

// Guards against drains that never end because new connections keep arriving.
func TestDrainEndsDespiteNewConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{t: t}
		f.serve(newBacklog(func() net.Conn {
			near, far := net.Pipe()
			_ = near.Close()
			return far
		}), f)
		synctest.Wait()
		start := time.Now()
		assert.Equal(t, <-f.beginDrain(8*time.Second), 0)
		assert.Assert(t, time.Since(start) < quiet, "the drain took %v", time.Since(start))
	})
}
