package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/coder/websocket"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/http1"
)

// TunnelPath is the HTTP path on which a router connects another router to an
// endpoint.
const TunnelPath = "/v1/tunnel"

// ErrEndpointUnreachable reports that a router which reaches other endpoints cannot
// connect to an endpoint.
var ErrEndpointUnreachable = errors.New("peer: the other router cannot connect to the endpoint either")

const (
	// tunnelChunk is the most bytes of a message of a tunnel.
	tunnelChunk = 8 << 10
	// tunnelLimit is the most bytes that are accepted in one message.
	tunnelLimit = 64 << 10
	// tunnelMargin is how much sooner than the router that asks the other one gives
	// up connecting, so that its answer arrives in time.
	tunnelMargin = 30 * time.Millisecond
	// maxTunnelDial is the longest time in which a router may be asked to connect.
	maxTunnelDial = time.Minute
	// drainInterval is how often Drain looks for tunnels that are open.
	drainInterval = 20 * time.Millisecond
	// maxTunnels is how many tunnels a router serves. Each takes two connections
	// and some 40 KB.
	maxTunnels = 512
)

// TunnelServer connects other routers to endpoints that they cannot reach.
type TunnelServer struct {
	// Dial connects to an endpoint directly.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Known reports whether an address is that of an endpoint.
	Known func(address string) bool
	// CutOff reports whether this router cannot reach an endpoint itself.
	CutOff func(address string) bool
	// InTouch reports whether this router has reached an endpoint other than the one
	// given since a time, or reaches one now. A router that is cut off would else
	// take each endpoint for dead.
	InTouch func(ctx context.Context, address string, since time.Time) bool

	mu   sync.Mutex
	open int
}

// Open returns the number of tunnels that are open.
func (s *TunnelServer) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open
}

// Drain waits until no tunnel is open or ctx ends.
func (s *TunnelServer) Drain(ctx context.Context) {
	t := time.NewTicker(drainInterval)
	defer t.Stop()
	for s.Open() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// ServeHTTP connects to the endpoint of the query's address and passes bytes in both
// directions until either side closes. It answers 502 if the endpoint cannot be
// reached and 503 if this router cannot help.
func (s *TunnelServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	address := r.URL.Query().Get("address")
	within, ok := parseWithin(r.URL.Query().Get("within-ms"))
	if !ok || !s.Known(address) || s.CutOff(address) || !s.acquire() {
		http.Error(w, "this router does not connect to the endpoint", http.StatusServiceUnavailable)
		return
	}
	defer s.release()
	endpoint, err := s.dial(r.Context(), address, within)
	switch {
	case errors.Is(err, ErrEndpointUnreachable):
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	defer func() { _ = endpoint.Close() }()
	ws, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		return // Accept has answered
	}
	ws.SetReadLimit(tunnelLimit)
	tunnel{ws: ws, endpoint: endpoint}.run()
}

// parseWithin returns the time that a router allows for connecting, given in milliseconds.
// It returns false unless that is above 0 and at most maxTunnelDial: with a time that
// wraps, connecting would fail at once, and the endpoint count as dead.
func parseWithin(s string) (time.Duration, bool) {
	ms, err := strconv.ParseInt(s, 10, 64)
	if err != nil || ms <= 0 || ms > maxTunnelDial.Milliseconds() {
		return 0, false
	}
	return time.Duration(ms) * time.Millisecond, true
}

// dial connects to an endpoint. A third of the time is left to find out whether a
// failure is due to this router.
func (s *TunnelServer) dial(ctx context.Context, address string, within time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	dialCtx, cancelDial := context.WithTimeout(ctx, within*2/3)
	defer cancelDial()
	began := time.Now()
	c, err := http1.Dial(s.Dial)(dialCtx, "tcp", address)
	if err != nil && s.InTouch(ctx, address, began) {
		err = fmt.Errorf("%w: %w", ErrEndpointUnreachable, err)
	}
	return c, err
}

func (s *TunnelServer) acquire() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open >= maxTunnels {
		return false
	}
	s.open++
	return true
}

func (s *TunnelServer) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open--
}

// tunnel passes bytes between a router and an endpoint.
type tunnel struct {
	ws       *websocket.Conn
	endpoint net.Conn
}

// run passes on what the endpoint sends, and ends when either side has ended. Only an
// endpoint that has closed its connection in order ends the tunnel in order: a
// response without a length would otherwise look complete.
func (t tunnel) run() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	up := tunnelUpload{tunnel: t, ctx: ctx}
	go up.run()
	buf := make([]byte, tunnelChunk)
	for {
		n, err := t.endpoint.Read(buf)
		if n > 0 {
			if werr := t.ws.Write(ctx, websocket.MessageBinary, buf[:n]); werr != nil {
				_ = t.ws.CloseNow()
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			_ = t.ws.Close(websocket.StatusNormalClosure, "")
			return
		case err != nil:
			_ = t.ws.CloseNow()
			return
		}
	}
}

// tunnelUpload passes on what the router sends, and closes the connection to the
// endpoint when the router has gone.
type tunnelUpload struct {
	tunnel
	ctx context.Context
}

func (u tunnelUpload) run() {
	defer func() { _ = u.endpoint.Close() }()
	for {
		_, b, err := u.ws.Read(u.ctx)
		if err != nil {
			return
		}
		if _, err := u.endpoint.Write(b); err != nil {
			return
		}
	}
}

// OpenTunnel connects to an endpoint through another router. The error wraps
// ErrEndpointUnreachable if that router cannot connect to it and is not cut off
// itself.
func (n *Node) OpenTunnel(ctx context.Context, via coordination.Instance, address string) (net.Conn, error) {
	m, ok := n.lookup(via)
	if !ok || !m.Live() || m.Address == "" {
		return nil, errUnknownMember
	}
	within := min(n.cfg.DialTimeout, maxTunnelDial)
	if end, ok := ctx.Deadline(); ok {
		within = min(within, time.Until(end))
	}
	query := url.Values{"address": {address}, "within-ms": {strconv.FormatInt((within - tunnelMargin).Milliseconds(), 10)}}
	// The response's body is closed by the package.
	ws, resp, err := websocket.Dial(ctx, "ws://"+m.Address+TunnelPath+"?"+query.Encode(), &websocket.DialOptions{
		HTTPClient:      n.client,
		CompressionMode: websocket.CompressionDisabled,
	})
	switch {
	case err == nil:
	case resp != nil && resp.StatusCode == http.StatusBadGateway:
		return nil, fmt.Errorf("%w: %s", ErrEndpointUnreachable, address)
	default:
		return nil, err
	}
	ws.SetReadLimit(tunnelLimit)
	return newTunnelConn(n.ctx, ws, via), nil
}

// tunnelConn is a connection to an endpoint through another router. It is a net.Conn
// without deadlines.
type tunnelConn struct {
	ws     *websocket.Conn
	via    coordination.Instance
	ctx    context.Context
	cancel context.CancelFunc
	rest   []byte        // received and not yet read
	chunks chan []byte   // received, in order
	ended  chan struct{} // closed when nothing more arrives
	err    error         // valid once ended is closed
}

func newTunnelConn(ctx context.Context, ws *websocket.Conn, via coordination.Instance) *tunnelConn {
	ctx, cancel := context.WithCancel(ctx)
	c := &tunnelConn{ws: ws, via: via, ctx: ctx, cancel: cancel, chunks: make(chan []byte, 1), ended: make(chan struct{})}
	go c.run()
	return c
}

// run receives, so that Quiet knows of an end that nobody has read.
func (c *tunnelConn) run() {
	defer close(c.ended)
	for {
		_, b, err := c.ws.Read(c.ctx)
		switch {
		case websocket.CloseStatus(err) == websocket.StatusNormalClosure:
			c.err = io.EOF
			return
		case err != nil:
			c.err = err
			return
		}
		select {
		case c.chunks <- b:
		case <-c.ctx.Done():
			c.err = c.ctx.Err()
			return
		}
	}
}

// Via returns the router through which the connection goes.
func (c *tunnelConn) Via() coordination.Instance { return c.via }

// Quiet reports whether the connection is open and nothing has been received that is
// not read.
func (c *tunnelConn) Quiet() bool {
	select {
	case <-c.ended:
		return false
	default:
		return len(c.rest) == 0 && len(c.chunks) == 0
	}
}

// Read implements net.Conn. It returns io.EOF only if the endpoint has closed its
// connection in order.
func (c *tunnelConn) Read(p []byte) (int, error) {
	if len(c.rest) == 0 {
		select {
		case c.rest = <-c.chunks:
		case <-c.ended:
			select {
			case c.rest = <-c.chunks:
			default:
				return 0, c.err
			}
		}
	}
	n := copy(p, c.rest)
	c.rest = c.rest[n:]
	return n, nil
}

// Write implements net.Conn.
func (c *tunnelConn) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		end := min(len(p), written+tunnelChunk)
		if err := c.ws.Write(c.ctx, websocket.MessageBinary, p[written:end]); err != nil {
			return written, err
		}
		written = end
	}
	return written, nil
}

// Close implements net.Conn. The endpoint's connection is closed as well.
func (c *tunnelConn) Close() error {
	c.cancel()
	return c.ws.CloseNow()
}

// LocalAddr and RemoteAddr implement net.Conn.
func (c *tunnelConn) LocalAddr() net.Addr  { return tunnelAddr{} }
func (c *tunnelConn) RemoteAddr() net.Addr { return tunnelAddr{} }

// SetDeadline, SetReadDeadline and SetWriteDeadline implement net.Conn.
func (c *tunnelConn) SetDeadline(time.Time) error      { return errors.ErrUnsupported }
func (c *tunnelConn) SetReadDeadline(time.Time) error  { return errors.ErrUnsupported }
func (c *tunnelConn) SetWriteDeadline(time.Time) error { return errors.ErrUnsupported }

// tunnelAddr implements net.Addr.
type tunnelAddr struct{}

func (tunnelAddr) Network() string { return "tunnel" }
func (tunnelAddr) String() string  { return "tunnel" }
