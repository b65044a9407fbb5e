package peer

import (
	"context"
	"time"

	"wisteriaspool/coordination"
)

// Handler handles the requests and notices of a topic. The payload it returns is
// the answer to a request; an error, which means that the request is wrong, is sent to the
// caller as text. Both are ignored for a notice.
type Handler func(ctx context.Context, from coordination.Instance, payload []byte) ([]byte, error)

// incomingCall is a request or notice received from a peer.
type incomingCall struct {
	conn    *conn
	request *message
	handler Handler
}

// serve runs the handler of m in a new goroutine, or rejects m.
func (c *conn) serve(m *message) {
	h := c.node.handler(m.Topic)
	if h == nil {
		c.reject(m, errNoHandler)
		return
	}
	select {
	case c.node.handlerSlots <- struct{}{}:
	default:
		if n := c.node.busy.Add(1); n%lossesPerEvent == 1 {
			c.node.event(Event{Kind: HandlersBusy, Peer: c.peer.Instance, Address: c.peer.Address, Count: n})
		}
		c.reject(m, errTooManyCalls)
		return
	}
	c.serving.Add(1)
	in := incomingCall{conn: c, request: m, handler: h}
	go in.run()
}

func (c *conn) reject(m *message, err error) {
	if m.Kind == kindRequest {
		_ = c.post(&message{Kind: kindAnswer, ID: m.ID, Topic: m.Topic, Failure: Rejected, Error: err.Error()})
	}
}

func (in incomingCall) run() {
	defer in.release()
	ctx, cancel := in.context()
	defer cancel()
	payload, err := in.handler(ctx, in.conn.peer.Instance, in.request.Payload)
	if in.request.Kind != kindRequest {
		return
	}
	m := &message{Kind: kindAnswer, ID: in.request.ID, Topic: in.request.Topic, Payload: payload}
	if err != nil {
		m.Failure = Failed
		m.Error = err.Error()
	}
	if err := in.conn.post(m); err != nil {
		// Without an answer the caller would wait until its deadline.
		in.conn.cancel(err)
	}
}

func (in incomingCall) context() (context.Context, context.CancelFunc) {
	if in.request.Timeout == 0 {
		return context.WithCancel(in.conn.ctx)
	}
	return context.WithTimeout(in.conn.ctx, time.Duration(in.request.Timeout)*time.Millisecond)
}

func (in incomingCall) release() {
	in.conn.serving.Add(-1)
	<-in.conn.node.handlerSlots
}
