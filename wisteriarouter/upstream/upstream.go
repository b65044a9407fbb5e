// Package upstream sends requests to endpoints over HTTP/1.1 and pools their
// connections. Unlike the client of net/http it never repeats a request by itself,
// it reports whether a failed request may have reached the endpoint, and it accepts
// no response that belongs to another request.
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

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/detour"
	"wisteriaspool/coordination/http1"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("upstream")

var (
	// ErrDial reports that no connection could be made: nothing was sent.
	ErrDial = Errors.NewType("dial")
	// ErrBroken reports that the connection failed after the first byte was sent:
	// the endpoint may have run the request.
	ErrBroken = Errors.NewType("broken")
	// ErrWithheld reports that Request.Proceed held the request back: nothing was sent.
	ErrWithheld = Errors.NewType("withheld")
	// ErrMismatch reports that the response belongs to another request. The
	// endpoint may have run this one.
	ErrMismatch = Errors.NewType("foreign")
)

// MayHaveSent reports whether a byte of the request may have reached the endpoint.
func MayHaveSent(err error) bool {
	return !errorx.IsOfType(err, ErrDial) && !Withheld(err)
}

// Withheld reports whether Request.Proceed held the request back.
func Withheld(err error) bool { return errorx.IsOfType(err, ErrWithheld) }

// Refused reports whether the endpoint refused the connection, which means that its
// process has ended. A dial that gets no answer may be due to a lost packet instead.
func Refused(err error) bool { return causedBy(err, syscall.ECONNREFUSED) }

// causedBy reports whether target is in the chain of err. [errors.Is] does not look
// behind an error of this package, whose Wrap hides its cause.
func causedBy(err, target error) bool {
	for err != nil {
		if errors.Is(err, target) {
			return true
		}
		e := errorx.Cast(err)
		if e == nil {
			return false
		}
		err = e.Cause()
	}
	return false
}

// Request is one request to one endpoint.
type Request struct {
	Method string
	Target string // path and query as sent by the caller
	Host   string
	Header http.Header // without hop-by-hop headers
	Body   [][]byte    // in segments; not changed
	// Sent, if set, is called once for each Send, when Body is not read any more. That
	// may be after the response has arrived.
	Sent func()
	// AtMostOnce reports that the request may run at most once. It is not sent on a
	// connection that has been idle for long: the endpoint may just be closing it,
	// and whether the request has run could not be determined.
	AtMostOnce bool
	// Group names endpoints that treat idle connections alike, such as those of
	// one pool.
	Group string
	// Proceed, if set, is asked just before the first byte is sent, and holds the
	// request back if it returns false. Making a connection takes time, in which the
	// endpoint may have become unusable. via is the router through which the
	// connection goes, or empty.
	Proceed func(via coordination.Instance) bool
	// Heard, if set, is called with the status and headers of each response that
	// arrives, also of one that belongs to another request.
	Heard func(via coordination.Instance, status int, h http.Header)
	// Leaving, if set, reports whether the endpoint may be shutting down. Connections are made
	// to it then while its response may be undelimited, to tell its end from that of its process.
	Leaving func() bool
	// Matches reports whether a response belongs to this request; nil accepts all.
	// Some endpoints answer a request twice, and the second response then arrives
	// in place of the response to the next request.
	Matches func(h ResponseHead) bool
}

// ResponseHead is what is known of a response before its body is read.
type ResponseHead struct {
	Status int
	Header http.Header
	// First reports that the connection has brought no other response, so that this
	// one cannot be a late response to an earlier request.
	First bool
}

func (r *Request) leaving() bool { return r.Leaving != nil && r.Leaving() }

func (r *Request) sent() {
	if r.Sent != nil {
		r.Sent()
	}
}

func (r *Request) bodyLength() (n int) {
	for _, segment := range r.Body {
		n += len(segment)
	}
	return n
}

// Response is an endpoint's response. Its Body must be read to its end or closed.
// The connection is reused only if it was read to its end.
type Response struct {
	Status int
	Header http.Header
	Length int64 // of the body in bytes, or -1 if unknown
	// Undelimited reports that the body has neither a length nor chunks. It ends where
	// the endpoint closes the connection, so that its end does not prove it complete.
	Undelimited bool
	Body        *Body
	// Reused reports that the connection had served an earlier request.
	Reused bool
}

// Config configures a Client. A zero field selects the default.
type Config struct {
	// Dial makes connections; the default is plain TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Detour, if set, makes connections in place of Dial.
	Detour *Detour
	// DialTimeout limits the time for a new connection; the default is 1 s. An
	// endpoint whose accept queue is full loses the first packet, which is sent
	// again after a second.
	DialTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept if the endpoint does not
	// announce a timeout; the default is 4 s.
	IdleTimeout time.Duration
	// AtMostOnceIdle is how long a connection may have been idle to be reused for
	// a request that may run at most once, until longer idle times have been
	// proven; the default is 1 s.
	AtMostOnceIdle time.Duration
	// MaxIdlePerEndpoint is the maximum number of idle connections to an endpoint;
	// the default is 16.
	MaxIdlePerEndpoint int
	// OnDial, if set, is called after each dial with its error and duration.
	OnDial func(address string, err error, d time.Duration)
}

func (c Config) withDefaults() Config {
	if c.Detour != nil {
		c.Dial = c.Detour.DialContext
	}
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
	active     activeConns
	watcher    http1.Watcher
}

// NewClient returns a client, and a function that closes its idle connections.
func NewClient(cfg Config) (*Client, func()) {
	c := &Client{cfg: cfg.withDefaults()}
	c.idle.conns = make(map[string][]*conn)
	c.active.heardAt = make(map[*conn]time.Time)
	c.watcher.Dial, c.watcher.Refused, c.watcher.OutOfReach = c.dialUnused, Refused, outOfReach
	ctx, cancel := context.WithCancel(context.Background())
	go c.run(ctx)
	return c, func() {
		cancel()
		c.idle.closeAll()
	}
}

const (
	// sweepInterval is the interval between searches for expired idle connections.
	sweepInterval = time.Second
	// silenceInterval is the interval between searches for connections on which
	// nothing arrives any more.
	silenceInterval = 250 * time.Millisecond
)

func (c *Client) run(ctx context.Context) {
	t := time.NewTicker(silenceInterval)
	defer t.Stop()
	swept := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			if c.cfg.Detour != nil && c.cfg.Detour.Planner.Silent() {
				c.active.abortSilent(now)
			}
			if now.Sub(swept) >= sweepInterval {
				c.idle.sweep(now)
				swept = now
			}
		}
	}
}

// Send sends a request and returns its response once the headers have arrived. When
// ctx ends, the connection is closed, which makes the endpoint stop its work. The
// error is an ErrDial, ErrWithheld, ErrBroken or ErrMismatch.
func (c *Client) Send(ctx context.Context, address string, r *Request) (*Response, error) {
	cn, err := c.connect(ctx, address, r)
	if err != nil {
		r.sent()
		return nil, err
	}
	if r.Proceed != nil && !r.Proceed(cn.via()) {
		r.sent()
		c.putBack(cn)
		return nil, ErrWithheld.New("endpoint %s", address)
	}
	stop := context.AfterFunc(ctx, cn.abort)
	sent := time.Now()
	c.active.add(cn, sent)
	watched := c.watcher.Watch(r.Group, address, r.leaving)
	resp, err := cn.exchange(r, watched)
	if err != nil {
		stop()
		endWatch(watched, err)
		cn.abort()
		c.active.remove(cn)
		c.idleLimits.recordFailure(r.Group, cn, sent, time.Now())
		return nil, err
	}
	if resp.Reused {
		c.idleLimits.recordSuccess(r.Group, sent.Sub(cn.idleSince))
	}
	if resp.Undelimited {
		watched = c.watcher.WatchUndelimited(watched, r.Group, address, r.leaving)
	}
	resp.Body.stop, resp.Body.watched = stop, watched
	return resp, nil
}

// Reusable returns how long a connection to an endpoint of the group may have
// been idle to be reused for a request that may run at most once.
func (c *Client) Reusable(group string) time.Duration {
	return c.idleLimits.maxIdle(group, true, c.cfg.AtMostOnceIdle, c.cfg.IdleTimeout)
}

// aliveTimeout is how long an endpoint has to accept a connection. A dead process
// refuses it at once; a machine without power does not answer.
const aliveTimeout = 250 * time.Millisecond

// Check returns nil if an endpoint accepts connections, and otherwise an ErrDial. It
// says nothing about the endpoint if it is [CutOff]. The connection made for the
// check is kept for the next request.
func (c *Client) Check(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, aliveTimeout)
	defer cancel()
	cn, err := c.dial(ctx, address)
	if err != nil {
		return err
	}
	c.keep(cn)
	return nil
}

// Recheck is like Check but makes no connection while an idle one to the endpoint is open.
func (c *Client) Recheck(ctx context.Context, address string) error {
	if cn := c.idle.take(time.Now(), address, 0); cn != nil {
		c.idle.put(cn, c.cfg.MaxIdlePerEndpoint)
		return nil
	}
	return c.Check(ctx, address)
}

// Detours reports whether an endpoint is reached through other routers.
func (c *Client) Detours(address string) bool {
	return c.cfg.Detour != nil && c.cfg.Detour.Planner.Blocked(time.Now(), detour.Address(address))
}

// Doubtful reports whether this router may be cut off from an endpoint, so that its
// direct connections say nothing about it.
func (c *Client) Doubtful(address string) bool {
	return c.Detours(address) || c.cfg.Detour != nil && c.cfg.Detour.Planner.CutOff()
}

// Probe connects to an endpoint without a detour and reports whether that succeeds.
// The connection is kept for the next request. The client must have a Detour.
func (c *Client) Probe(ctx context.Context, address string) bool {
	nc, err := c.cfg.Detour.DialDirect(ctx, "tcp", address)
	if err != nil {
		return false
	}
	c.keep(newConn(c, address, nc))
	return true
}

// keep makes a new connection available for the next request.
func (c *Client) keep(cn *conn) {
	now := time.Now()
	cn.idleSince, cn.expires = now, now.Add(c.cfg.IdleTimeout)
	c.idle.put(cn, c.cfg.MaxIdlePerEndpoint)
}

// putBack makes a connection available again on which nothing was sent.
func (c *Client) putBack(cn *conn) {
	if cn.served == 0 && cn.idleSince.IsZero() {
		c.keep(cn)
		return
	}
	c.idle.put(cn, c.cfg.MaxIdlePerEndpoint)
}

// DropIdle closes the idle direct connections to an endpoint, or to all endpoints if
// address is empty: packets sent on them may be lost.
func (c *Client) DropIdle(address string) { c.idle.drop(address) }

func (c *Client) connect(ctx context.Context, address string, r *Request) (*conn, error) {
	maxIdle := c.idleLimits.maxIdle(r.Group, r.AtMostOnce, c.cfg.AtMostOnceIdle, c.cfg.IdleTimeout)
	if cn := c.idle.take(time.Now(), address, maxIdle); cn != nil {
		return cn, nil
	}
	return c.dial(ctx, address)
}

func (c *Client) dial(ctx context.Context, address string) (*conn, error) {
	nc, err := c.dialUnused(ctx, address)
	if err != nil {
		return nil, ErrDial.Wrap(err, "endpoint %s", address)
	}
	return newConn(c, address, nc), nil
}

// dialUnused makes a connection on which no request need be sent.
func (c *Client) dialUnused(ctx context.Context, address string) (net.Conn, error) {
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, c.cfg.DialTimeout)
	defer cancel()
	nc, err := c.cfg.Dial(ctx, "tcp", address)
	if c.cfg.OnDial != nil {
		c.cfg.OnDial(address, err, time.Since(start))
	}
	return nc, err
}

// Body is the body of a response.
type Body struct {
	conn *conn
	resp *http.Response
	stop func() bool // detaches the connection from the request's context
	done bool
	// watched is nil for a response that cannot be undelimited.
	watched *http1.WatchedRequest
}

// Read implements io.Reader. It returns io.EOF after a complete body and ErrBroken
// for one that was cut off.
func (b *Body) Read(p []byte) (int, error) {
	if b.done {
		return 0, io.EOF
	}
	b.watched.BeginRead()
	n, err := b.resp.Body.Read(p)
	b.watched.EndRead()
	b.conn.client.active.heard(b.conn, time.Now())
	switch {
	case err == io.EOF:
		b.finish()
	case err != nil:
		endWatch(b.watched, err)
		b.Close()
		err = ErrBroken.Wrap(err, "endpoint %s", b.conn.address)
	}
	return n, err
}

// Buffered reports whether more of the response has arrived and is unread, so that
// it can be forwarded in one packet with what was read before.
func (b *Body) Buffered() bool { return !b.done && b.conn.r.Buffered() > 0 }

// finish makes the connection available for the next request.
func (b *Body) finish() {
	b.done = true
	b.conn.client.active.remove(b.conn)
	if isUndelimited(b.resp) {
		b.watched.End()
	} else {
		b.watched.Release()
	}
	if b.stop() {
		b.conn.release(b.resp)
	}
}

// Close ends the response. It closes the connection unless the body was read to its
// end.
func (b *Body) Close() {
	b.watched.Release()
	if b.done {
		return
	}
	b.done = true
	b.conn.client.active.remove(b.conn)
	b.stop()
	b.conn.abort()
}

// LimitTime closes the connection after d unless the response has ended by then.
func (b *Body) LimitTime(d time.Duration) {
	t, detach := time.AfterFunc(d, b.conn.abort), b.stop
	b.stop = func() bool {
		inTime := t.Stop()
		return detach() && inTime
	}
}

const (
	// maxDiscardedBody is the size in bytes up to which the rest of a body is read for
	// its connection to be reused.
	maxDiscardedBody = 16 << 10
	// discardTime limits the time for that. Endpoints send short responses at once.
	discardTime = 250 * time.Millisecond
)

// Discard ends the response without waiting for the rest of its body. The connection
// is reused if the rest is short and arrives soon.
func (b *Body) Discard() {
	if b.done {
		return
	}
	if b.resp.Close || b.resp.ContentLength > maxDiscardedBody || !b.stop() {
		b.Close()
		return
	}
	b.done = true
	rest := &Body{conn: b.conn, resp: b.resp, stop: func() bool { return true }}
	rest.LimitTime(discardTime)
	go discarder{rest}.run()
}

// discarder reads the rest of a body.
type discarder struct{ body *Body }

func (d discarder) run() {
	// A failure has closed the connection.
	_, _ = io.Copy(io.Discard, io.LimitReader(d.body, maxDiscardedBody+1))
	d.body.Close()
}
