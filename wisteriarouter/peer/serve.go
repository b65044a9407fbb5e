package peer

import (
	"context"
	"time"

	"wisteriaspool/coordination"
)

// Handler handles the requests and notices of a topic. The payload it returns is
// the answer to a request; an error is sent to the caller as text. Both are ignored
// for a notice.
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
		// Without an answer the caller would wait until its deadline.
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
