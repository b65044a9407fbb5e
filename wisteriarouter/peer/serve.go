package peer

import (
	"context"
	"time"

	"wisteriaspool/coordination"
)

// Handler answers the calls and notices of a topic.
type Handler func(ctx context.Context, from coordination.Instance, payload []byte) ([]byte, error)

// incomingCall is a call that a peer has made.
type incomingCall struct {
	conn    *conn
	request *message
	handler Handler
}

// serve starts the handler of a request or turns it away.
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
	s := incomingCall{conn: c, request: m, handler: h}
	go s.run()
}

func (c *conn) reject(m *message, err error) {
	if m.Kind == kindRequest {
		_ = c.post(&message{Kind: kindAnswer, ID: m.ID, Topic: m.Topic, Failure: Rejected, Error: err.Error()})
	}
}

func (s incomingCall) run() {
	defer s.release()
	ctx, cancel := s.context()
	defer cancel()
	payload, err := s.handler(ctx, s.conn.peer.Instance, s.request.Payload)
	if s.request.Kind != kindRequest {
		return
	}
	m := &message{Kind: kindAnswer, ID: s.request.ID, Topic: s.request.Topic, Payload: payload}
	if err != nil {
		m.Failure = Failed
		m.Error = err.Error()
	}
	if err := s.conn.post(m); err != nil {
		// Without an answer the caller would wait for its whole deadline.
		s.conn.cancel(err)
	}
}

func (s incomingCall) context() (context.Context, context.CancelFunc) {
	if s.request.Timeout == 0 {
		return context.WithCancel(s.conn.ctx)
	}
	return context.WithTimeout(s.conn.ctx, time.Duration(s.request.Timeout)*time.Millisecond)
}

func (s incomingCall) release() {
	s.conn.serving.Add(-1)
	<-s.conn.node.handlerSlots
}
