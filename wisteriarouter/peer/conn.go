package peer

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/membership"
)

// conn is a connection to a peer after the hello.
type conn struct {
	node        *Node
	ws          *websocket.Conn
	peer        membership.Member
	dialled     bool // by this side
	gossip      bool // made for the mesh
	connectedAt time.Time

	ctx    context.Context
	cancel context.CancelCauseFunc

	queue              chan *frame
	queued             atomic.Int64               // bytes
	lastReceived       coordination.MonotonicTime // of the last message
	lastUsed           coordination.MonotonicTime // of the last call
	replyExpectedSince coordination.MonotonicTime // of the first message behind the last one heard that wants a sign of life
	lastPing           coordination.MonotonicTime // of the last ping
	serving            atomic.Int64               // calls being handled for the peer

	mu            sync.Mutex
	calls         map[uint64]*call
	nextCall      uint64
	closed        bool
	drainingSince time.Time // when draining began
}

// frame is an encoded message in the queue.
type frame struct {
	data  []byte
	kind  kind
	topic string
	state atomic.Int32
}

// The states of a frame. Whoever changes it from queued decides whether the
// frame is written, so that a call that gives up knows whether its request
// can have been delivered.
const (
	frameQueued int32 = iota
	frameStarted
	frameCancelled
)

// call is a request that waits for its answer.
type call struct {
	frame  *frame
	answer chan *message
}

func newConn(n *Node, ws *websocket.Conn, peer hello, dialled bool) *conn {
	ctx, cancel := context.WithCancelCause(context.Background())
	now := time.Now()
	c := &conn{
		node:        n,
		ws:          ws,
		peer:        peer.Member,
		dialled:     dialled,
		gossip:      peer.Gossip,
		connectedAt: now,
		ctx:         ctx,
		cancel:      cancel,
		queue:       make(chan *frame, maxQueuedFrames),
		calls:       make(map[uint64]*call),
	}
	c.lastReceived.Set(now)
	c.lastUsed.Set(now)
	return c
}

// enqueue gives a message to the writer. It never blocks.
func (c *conn) enqueue(f *frame) error {
	if c.ctx.Err() != nil {
		return errClosed
	}
	if len(f.data) > c.node.cfg.MaxMessage {
		return errTooLarge
	}
	if c.queued.Add(int64(len(f.data))) > int64(c.node.cfg.MaxQueue) {
		c.queued.Add(-int64(len(f.data)))
		return errQueueFull
	}
	select {
	case c.queue <- f:
		return nil
	default:
		c.queued.Add(-int64(len(f.data)))
		return errQueueFull
	}
}

// post enqueues a message that may be lost.
func (c *conn) post(m *message) error {
	return c.enqueue(&frame{data: encode(m), kind: m.Kind, topic: m.Topic})
}

// writer writes the queue of a conn.
type writer struct {
	*conn
}

func (w writer) run() {
	defer w.node.wg.Done()
	for {
		select {
		case <-w.ctx.Done():
			return
		case f := <-w.queue:
			if err := w.write(f); err != nil {
				w.cancel(err)
				return
			}
		}
	}
}

func (w writer) write(f *frame) error {
	defer w.queued.Add(-int64(len(f.data)))
	if !f.state.CompareAndSwap(frameQueued, frameStarted) {
		return nil
	}
	ctx, cancel := context.WithTimeout(w.ctx, writeTimeout)
	defer cancel()
	w.node.count(f.kind, f.topic, true, framed(len(f.data), w.dialled))
	return w.ws.Write(ctx, websocket.MessageBinary, f.data)
}

// run reads messages until the connection ends, and then ends what waits for
// it. It returns what ended it.
func (c *conn) run() error {
	err := c.read()
	c.cancel(err)
	if cause := context.Cause(c.ctx); cause != nil {
		err = cause
	}
	c.ws.CloseNow()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for id, waiting := range c.calls {
		delete(c.calls, id)
		close(waiting.answer)
	}
	return err
}

func (c *conn) read() error {
	c.ws.SetReadLimit(int64(c.node.cfg.MaxMessage))
	for {
		_, data, err := c.ws.Read(c.ctx)
		if err != nil {
			return c.readError(err)
		}
		c.lastReceived.Set(time.Now())
		m, err := decode(data)
		if err != nil {
			c.node.malformed.Add(1)
			c.node.event(Event{Kind: Malformed, Peer: c.peer.Instance, Address: c.peer.Address, Err: err})
			c.ws.Close(websocket.StatusUnsupportedData, "malformed")
			return err
		}
		c.node.count(m.Kind, m.Topic, false, framed(len(data), !c.dialled))
		c.handle(m)
	}
}

func (c *conn) readError(err error) error {
	if errors.Is(err, websocket.ErrMessageTooBig) {
		c.node.event(Event{Kind: Oversized, Peer: c.peer.Instance, Address: c.peer.Address, Err: err})
	}
	return err
}

// handle acts on a message. Kinds that are not known are ignored.
func (c *conn) handle(m *message) {
	switch m.Kind {
	case kindGossip:
		if m.Gossip != nil {
			c.node.gossip(c, *m.Gossip)
		}
	case kindRequest, kindNotice:
		c.lastUsed.Set(time.Now())
		c.serve(m)
	case kindAnswer:
		c.deliverAnswer(m)
	case kindPing:
		_ = c.post(&message{Kind: kindPong})
	case kindGoodbye:
		c.node.retire(c, false)
	}
}

func (c *conn) deliverAnswer(m *message) {
	c.mu.Lock()
	waiting := c.calls[m.ID]
	delete(c.calls, m.ID)
	c.mu.Unlock()
	if waiting != nil {
		waiting.answer <- m
	}
}

// idle reports whether no call is under way in either direction.
func (c *conn) idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.calls) == 0 && c.serving.Load() == 0 && c.queued.Load() == 0
}

// expectReply notes that something has been sent that wants a sign of life.
func (c *conn) expectReply(now time.Time) {
	if !c.awaitsReply(now) {
		c.replyExpectedSince.Set(now)
	}
}

// awaitsReply reports whether nothing has been heard since a sign of life was asked for.
func (c *conn) awaitsReply(now time.Time) bool {
	return c.replyExpectedSince.Ago(now) < c.lastReceived.Ago(now)
}

// active reports whether something is awaited from the peer.
func (c *conn) active(now time.Time) bool { return !c.idle() || c.awaitsReply(now) }

// silentFor returns for how long the peer has owed a sign of life.
func (c *conn) silentFor(now time.Time) time.Duration {
	return min(c.lastReceived.Ago(now), c.replyExpectedSince.Ago(now))
}

// pingIfQuiet has the peer answer if nothing has been heard of it for long, as where a
// message is posted that has no answer.
func (c *conn) pingIfQuiet(now time.Time) {
	if c.lastReceived.Ago(now) > c.node.cfg.DeadAfter/3 && c.pingDue(now) {
		c.expectReply(now)
		_ = c.post(&message{Kind: kindPing})
	}
}

// call sends a request and waits for its answer.
func (c *conn) call(ctx context.Context, topic string, payload []byte) ([]byte, Failure, error) {
	c.lastUsed.Set(time.Now())
	waiting, id, err := c.startCall(ctx, topic, payload)
	if err != nil {
		return nil, NotConnected, err
	}
	select {
	case m, ok := <-waiting.answer:
		return c.callResult(waiting, m, ok)
	case <-ctx.Done():
		c.mu.Lock()
		delete(c.calls, id)
		c.mu.Unlock()
		return nil, waiting.frame.withdraw(), ctx.Err()
	}
}

func (c *conn) startCall(ctx context.Context, topic string, payload []byte) (*call, uint64, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, 0, errClosed
	}
	c.nextCall++
	id := c.nextCall
	m := &message{Kind: kindRequest, ID: id, Topic: topic, Payload: payload, Timeout: timeoutOf(ctx)}
	waiting := &call{
		frame:  &frame{data: encode(m), kind: kindRequest, topic: topic},
		answer: make(chan *message, 1),
	}
	if err := c.enqueue(waiting.frame); err != nil {
		return nil, 0, err
	}
	c.expectReply(time.Now())
	c.calls[id] = waiting
	return waiting, id, nil
}

func (c *conn) callResult(waiting *call, m *message, ok bool) ([]byte, Failure, error) {
	switch {
	case !ok:
		return nil, waiting.frame.withdraw(), fmt.Errorf("%w: %w", errClosed, context.Cause(c.ctx))
	case m.Failure != 0:
		failure := Failed
		if m.Failure == Rejected {
			failure = Rejected
		}
		return nil, failure, errors.New(m.Error)
	default:
		return m.Payload, 0, nil
	}
}

// withdraw withdraws the frame if it is still in the queue, and tells how far
// it came.
func (f *frame) withdraw() Failure {
	if f.state.CompareAndSwap(frameQueued, frameCancelled) {
		return NotConnected
	}
	return Lost
}

// timeoutOf returns the time that ctx has left in milliseconds, or zero.
func timeoutOf(ctx context.Context) uint32 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return uint32(min(max(1, time.Until(deadline).Milliseconds()), 1<<31))
}
