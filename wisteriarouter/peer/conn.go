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

// conn is a connection to a peer on which hellos have been exchanged.
type conn struct {
	node        *Node
	ws          *websocket.Conn
	peer        membership.Member
	dialled     bool // this side dialled
	gossip      bool // made for the gossip mesh
	replaces    bool // it replaces the connection to the peer, on which one side gets no replies
	duplicate   bool // not kept, as there is another connection to the peer
	connectedAt time.Time

	ctx    context.Context
	cancel context.CancelCauseFunc

	queue              chan *frame
	queued             atomic.Int64               // bytes in the queue
	lastReceived       coordination.MonotonicTime // when the last message was received
	lastUsed           coordination.MonotonicTime // when the last request or notice was sent or received
	replyExpectedSince coordination.MonotonicTime // send time of the first message after lastReceived that needs a reply
	lastPing           coordination.MonotonicTime // when the last ping was sent
	serving            atomic.Int64               // requests and notices of the peer being handled

	mu            sync.Mutex
	calls         map[uint64]*call
	nextCall      uint64
	closed        bool
	drainingSince time.Time // when draining began; zero if it has not
}

// frame is an encoded message in the send queue.
type frame struct {
	data  []byte
	kind  kind
	topic string
	state atomic.Int32
}

// The states of a frame. The transition away from frameQueued is atomic and decides
// whether the frame is written, so that a cancelled call knows whether its request
// may have been delivered.
const (
	frameQueued int32 = iota
	frameStarted
	frameCancelled
)

// call is a request that awaits its answer.
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
		replaces:    peer.Replaces,
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

// enqueue adds f to the send queue. It never blocks; it returns errClosed,
// errTooLarge or errQueueFull.
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

// post enqueues a message. The message is lost if the connection breaks before it
// is written.
func (c *conn) post(m *message) error {
	return c.enqueue(&frame{data: encode(m), kind: m.Kind, topic: m.Topic})
}

// writer writes the send queue of a conn to the WebSocket.
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

// run reads messages until the connection ends, then fails all pending calls. It
// returns the reason for the end.
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

// handle processes a received message. It ignores unknown kinds.
func (c *conn) handle(m *message) {
	switch m.Kind {
	case kindGossip:
		if m.Gossip != nil {
			c.node.receiveGossip(c, *m.Gossip)
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

// idle reports whether no call is in progress in either direction and the send
// queue is empty.
func (c *conn) idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.calls) == 0 && c.serving.Load() == 0 && c.queued.Load() == 0
}

// expectReply records that a message has been sent that the peer must react to.
func (c *conn) expectReply(now time.Time) {
	if !c.awaitsReply(now) {
		c.replyExpectedSince.Set(now)
	}
}

// awaitsReply reports whether nothing has been received since a reply became due.
func (c *conn) awaitsReply(now time.Time) bool {
	return c.replyExpectedSince.Ago(now) < c.lastReceived.Ago(now)
}

// active reports whether a call is in progress, data is queued or a reply is due.
func (c *conn) active(now time.Time) bool { return !c.idle() || c.awaitsReply(now) }

// silentFor returns the time since the last message was received or, if later,
// since a reply became due.
func (c *conn) silentFor(now time.Time) time.Duration {
	return min(c.lastReceived.Ago(now), c.replyExpectedSince.Ago(now))
}

// pingIfQuiet sends a ping if nothing has been received for a third of DeadAfter.
// It makes a broken connection detectable when only messages without an answer are
// sent.
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
		return nil, failure, refusal(m.Error)
	default:
		return m.Payload, 0, nil
	}
}

// withdraw cancels the write of the frame if it has not started. It returns
// NotConnected if so, and Lost otherwise.
func (f *frame) withdraw() Failure {
	if f.state.CompareAndSwap(frameQueued, frameCancelled) {
		return NotConnected
	}
	return Lost
}

// timeoutOf returns the time left until the deadline of ctx in milliseconds, at
// least 1, or 0 if ctx has no deadline.
func timeoutOf(ctx context.Context) uint32 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return uint32(min(max(1, time.Until(deadline).Milliseconds()), 1<<31))
}
