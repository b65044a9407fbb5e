// Package upstream sends requests to endpoints over HTTP/1.1 and keeps their
// connections. Unlike a client of net/http it never sends a request twice by
// itself, it tells how far a failed one has come, and it takes no bytes for an
// answer that another request is owed.
package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/joomcode/errorx"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("upstream")

var (
	// ErrDial says that no connection could be made: nothing was sent.
	ErrDial = Errors.NewType("dial")
	// ErrBroken says that the connection failed behind the first byte that was
	// sent: the endpoint may have run the request.
	ErrBroken = Errors.NewType("broken")
	// ErrMismatch says that the answer belongs to another request. The endpoint
	// may have run this one.
	ErrMismatch = Errors.NewType("foreign")
)

// MayHaveSent reports whether a byte of the request may have reached the endpoint.
func MayHaveSent(err error) bool { return !errorx.IsOfType(err, ErrDial) }

// Refused reports whether nobody listens at the endpoint's address: its process
// has ended. Without an answer it may be a lost packet as well.
func Refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// Request is one request to one endpoint.
type Request struct {
	Method string
	Target string // path and query as the caller sent them
	Host   string
	Header http.Header // without those that concern one connection only
	Body   []byte
	// AtMostOnce says that the request may run at most once. It is then not sent on
	// a connection that has been idle for long: the endpoint may just be
	// closing it, and nobody could tell whether the request has run.
	AtMostOnce bool
	// Group names endpoints that treat unused connections alike, such as those
	// of one pool.
	Group string
	// Matches reports whether an answer belongs to this request. Endpoints have
	// been seen to answer twice; the second answer then stands where the next
	// request expects its own.
	Matches func(status int, h http.Header) bool
}

// Response is an endpoint's answer. Its Body has to be read to its end or
// closed; only then does the connection serve again.
type Response struct {
	Status int
	Header http.Header
	Length int64 // of the body in bytes, or -1 if it is not known
	Body   *Body
	// Reused tells that the connection had served before.
	Reused bool
}

// Config tunes a Client. A zero field means its default.
type Config struct {
	// Dial makes connections; plain TCP by default.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// DialTimeout is the longest time for a new connection, 1 s. A full queue
	// of new connections at an endpoint loses the first packet, and the next
	// one comes a second later.
	DialTimeout time.Duration
	// IdleTimeout is how long an unused connection is kept if the endpoint does not
	// say, 4 s.
	IdleTimeout time.Duration
	// AtMostOnceIdle is how long a connection may have been unused for a request
	// that must run at most once, before longer times have been proven, 1 s.
	AtMostOnceIdle time.Duration
	// MaxIdlePerEndpoint is how many unused connections are kept to an endpoint, 16.
	MaxIdlePerEndpoint int
	// OnDial, if set, is told of each connection that was made.
	OnDial func(address string, err error, d time.Duration)
}

func (c Config) withDefaults() Config {
	if c.Dial == nil {
		c.Dial = (&net.Dialer{}).DialContext
	}
	setDuration(&c.DialTimeout, time.Second)
	setDuration(&c.IdleTimeout, 4*time.Second)
	setDuration(&c.AtMostOnceIdle, time.Second)
	if c.MaxIdlePerEndpoint == 0 {
		c.MaxIdlePerEndpoint = 16
	}
	return c
}

func setDuration(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// Client sends requests to endpoints. It is safe for concurrent use.
type Client struct {
	cfg        Config
	idle       pool
	idleLimits idleLimits
}

// NewClient returns a client, and a function that closes its idle connections.
func NewClient(cfg Config) (*Client, func()) {
	c := &Client{cfg: cfg.withDefaults()}
	c.idle.conns = make(map[string][]*conn)
	ctx, cancel := context.WithCancel(context.Background())
	go c.run(ctx)
	return c, func() {
		cancel()
		c.idle.closeAll()
	}
}

// sweepInterval is how often connections are looked for that have been unused
// for too long.
const sweepInterval = time.Second

func (c *Client) run(ctx context.Context) {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			c.idle.sweep(now)
		}
	}
}

// Send sends a request and returns the head of its answer. When ctx ends, the
// connection is closed, which makes the endpoint stop its work.
func (c *Client) Send(ctx context.Context, address string, r *Request) (*Response, error) {
	cn, err := c.connect(ctx, address, r)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, cn.abort)
	sent := time.Now()
	resp, err := cn.exchange(r)
	if err != nil {
		stop()
		cn.abort()
		c.idleLimits.recordFailure(r.Group, cn, sent, time.Now())
		return nil, err
	}
	if resp.Reused {
		c.idleLimits.recordSuccess(r.Group, sent.Sub(cn.idleSince))
	}
	resp.Body.stop = stop
	return resp, nil
}

// Reusable returns for how long a connection to an endpoint of a group may be
// unused until a request that runs once needs a new one.
func (c *Client) Reusable(group string) time.Duration {
	return c.idleLimits.maxIdle(group, true, c.cfg.AtMostOnceIdle, c.cfg.IdleTimeout)
}

// aliveTimeout is how long an endpoint has to take a connection. A process that
// has died refuses it at once; a machine without power does not answer.
const aliveTimeout = 250 * time.Millisecond

// Alive reports whether an endpoint takes connections. The connection that
// shows it serves the next request.
func (c *Client) Alive(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, aliveTimeout)
	defer cancel()
	cn, err := c.dial(ctx, address)
	if err != nil {
		return false
	}
	now := time.Now()
	cn.idleSince, cn.expires = now, now.Add(c.cfg.IdleTimeout)
	c.idle.put(cn, c.cfg.MaxIdlePerEndpoint)
	return true
}

func (c *Client) connect(ctx context.Context, address string, r *Request) (*conn, error) {
	longest := c.idleLimits.maxIdle(r.Group, r.AtMostOnce, c.cfg.AtMostOnceIdle, c.cfg.IdleTimeout)
	if cn := c.idle.take(time.Now(), address, longest); cn != nil {
		return cn, nil
	}
	return c.dial(ctx, address)
}

func (c *Client) dial(ctx context.Context, address string) (*conn, error) {
	start := time.Now()
	dialCtx, cancel := context.WithTimeout(ctx, c.cfg.DialTimeout)
	defer cancel()
	nc, err := c.cfg.Dial(dialCtx, "tcp", address)
	if c.cfg.OnDial != nil {
		c.cfg.OnDial(address, err, time.Since(start))
	}
	if err != nil {
		return nil, ErrDial.Wrap(err, "endpoint %s", address)
	}
	return newConn(c, address, nc), nil
}

// Body is the body of an answer.
type Body struct {
	conn *conn
	resp *http.Response
	stop func() bool // ends the watch over the request's context
	done bool
}

// Read implements io.Reader. Behind the end of the whole body it returns
// io.EOF; a body that was cut off ends with another error.
func (b *Body) Read(p []byte) (int, error) {
	if b.done {
		return 0, io.EOF
	}
	n, err := b.resp.Body.Read(p)
	switch {
	case err == io.EOF:
		b.finish()
	case err != nil:
		b.Close()
		err = ErrBroken.Wrap(err, "endpoint %s", b.conn.address)
	}
	return n, err
}

// Buffered reports whether more of the answer has arrived and waits to be
// read, so that it can go on in one packet with what was read before.
func (b *Body) Buffered() bool { return !b.done && b.conn.r.Buffered() > 0 }

// finish gives the connection back for the next request.
func (b *Body) finish() {
	b.done = true
	if b.stop() {
		b.conn.release(b.resp)
	}
}

// Close ends the answer. The connection is closed unless the body was read to
// its end.
func (b *Body) Close() {
	if b.done {
		return
	}
	b.done = true
	b.stop()
	b.conn.abort()
}
