// Package service calls the actions of plain services. Idempotent actions are
// retried within a budget. A non-idempotent one is recorded before it is sent,
// and runs at one endpoint at most.
package service

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"syscall"
	"time"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/execution"
	"wisteriaspool/coordination/http1"
	"wisteriaspool/coordination/outcome"
	"wisteriaspool/coordination/pause"
)

// Headers and values of the protocol of plain services.
const (
	headerRequestID  = "X-Request-Id"
	headerState      = "X-State"
	headerRetryAfter = "Retry-After"
	stateLeaving     = "leaving"
)

// Defaults of Options. DefaultMaxResponseBytes is in bytes.
const (
	DefaultDialTimeout      = 500 * time.Millisecond
	DefaultMaxResponseBytes = 8 << 20
)

// ErrTruncated is the error of a call whose response is incomplete or exceeds
// Options.MaxResponseBytes. The service may have run the action.
var ErrTruncated = errors.New("service: response truncated")

// Options configures a Client. Zero fields take the defaults.
type Options struct {
	DialTimeout      time.Duration
	MaxResponseBytes int64 // maximum size of a response body
	// DialContext opens connections; nil means TCP with DialTimeout.
	DialContext func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client calls plain services. It is safe for concurrent use.
type Client struct {
	singleUse        *http.Client // one connection for each call, for non-idempotent actions
	pooled           *http.Client
	dial             http1.DialFunc
	watcher          http1.Watcher
	maxResponseBytes int64
}

// NewClient returns a client, and a function that closes its idle connections.
func NewClient(opts Options) (*Client, func()) {
	if opts.DialTimeout <= 0 {
		opts.DialTimeout = DefaultDialTimeout
	}
	if opts.MaxResponseBytes <= 0 {
		opts.MaxResponseBytes = DefaultMaxResponseBytes
	}
	dial := opts.DialContext
	if dial == nil {
		dial = (&net.Dialer{Timeout: opts.DialTimeout}).DialContext
	}
	pooled := &http.Transport{
		DialContext:         dial,
		DisableCompression:  true,
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     30 * time.Second,

		MaxResponseHeaderBytes: http1.MaxHeadBytes,
	}
	// The service may close a reused connection just as a request is written
	// to it. The transport then sends some requests again on its own, which it
	// never does on a new connection.
	singleUse := &http.Transport{
		DialContext:        dial,
		DisableCompression: true,
		DisableKeepAlives:  true,

		MaxResponseHeaderBytes: http1.MaxHeadBytes,
	}
	c := &Client{
		singleUse:        &http.Client{Transport: http1.Transport(singleUse), CheckRedirect: refuseRedirect},
		pooled:           &http.Client{Transport: http1.Transport(pooled), CheckRedirect: refuseRedirect},
		dial:             dial,
		maxResponseBytes: opts.MaxResponseBytes,
	}
	c.watcher.Dial = func(ctx context.Context, address string) (net.Conn, error) { return dial(ctx, "tcp", address) }
	c.watcher.Refused = isRefused
	c.watcher.OutOfReach = func(err error) bool { return !isRefused(err) }
	return c, pooled.CloseIdleConnections
}

// refuseRedirect returns redirects to the caller: following one would send the
// body a second time.
func refuseRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// opaqueBody hides the type of a body, so that the transport cannot rewind it
// and send it again.
type opaqueBody struct{ io.Reader }

// Call is one attempt of an action at one endpoint.
type Call struct {
	Attempt       coordination.Attempt
	Address       string // host:port
	Action        coordination.Action
	ContentType   string // Content-Type of the body
	Body          []byte
	NonIdempotent bool // must not be sent twice
	// Leaving, if set, reports whether the endpoint is known to be shutting down. Connections are
	// made to it then, to tell the end of its response from that of its process.
	Leaving func() bool
}

func (c Call) leaving() bool { return c.Leaving != nil && c.Leaving() }

// Reply is the response of an endpoint.
type Reply struct {
	Answer     execution.Answer
	Leaving    bool          // the endpoint reported that it is stopping
	RetryAfter time.Duration // as sent by the endpoint; zero if absent
}

// Do makes one call and records in e how far it got. On an error no complete
// response was received; e then holds the possible outcomes of the call.
func (c *Client) Do(ctx context.Context, e *outcome.Evidence, call Call) (Reply, error) {
	e.Begin(call.Attempt)
	req, err := newRequest(ctx, e, call)
	if err != nil {
		e.NothingSent(call.Attempt)
		return Reply{}, err
	}
	client := c.pooled
	if call.NonIdempotent {
		client = c.singleUse
	}
	watched := c.watcher.Watch(call.Address, call.Address, call.leaving)
	defer func() { watched.Release() }()
	watched.BeginRead()
	res, err := client.Do(req)
	if err != nil {
		if ctx.Err() == nil {
			watched.End()
		}
		// No effect if a connection was obtained: see newRequest.
		e.NothingSent(call.Attempt)
		return Reply{}, fmt.Errorf("service: %w", err)
	}
	defer res.Body.Close()
	if isUndelimited(res) {
		watched = c.watcher.WatchUndelimited(watched, call.Address, call.Address, call.leaving)
		watched.BeginRead()
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, c.maxResponseBytes+1))
	if err != nil && ctx.Err() == nil || err == nil && isUndelimited(res) {
		watched.End()
	}
	if err != nil || int64(len(body)) > c.maxResponseBytes {
		return Reply{}, errors.Join(ErrTruncated, err)
	}
	if isUndelimited(res) && c.endedByDeath(ctx, watched, call.Address, res) {
		return Reply{}, fmt.Errorf("%w: the service has ended", ErrTruncated)
	}
	recordOutcome(e, call.Attempt, res)
	return newReply(res, body), nil
}

// isUndelimited reports whether a response has neither a length nor chunks.
func isUndelimited(res *http.Response) bool {
	return res.ContentLength < 0 && len(res.TransferEncoding) == 0
}

// endedByDeath reports whether an undelimited response has probably ended because the process of
// the service has, whose connections the kernel closes in order. A service that shuts down
// refuses connections before its last responses end. If nothing else is known, its word counts
// that it does.
func (c *Client) endedByDeath(ctx context.Context, watched *http1.WatchedRequest, address string, res *http.Response) bool {
	// The kernel may close the connections of a process before its listener.
	if !c.refuses(ctx, address) && (!coordination.Sleep(ctx, http1.ExitTime) || !c.refuses(ctx, address)) {
		return false
	}
	ending := watched.Ending(ctx)
	if ending == http1.Refusing && res.Header.Get(headerState) == stateLeaving {
		return false
	}
	return !ending.Complete()
}

// refuses reports whether a service refuses connections.
func (c *Client) refuses(ctx context.Context, address string) bool {
	conn, err := c.dial(ctx, "tcp", address)
	if err != nil {
		return isRefused(err)
	}
	_ = conn.Close()
	return false
}

func isRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// newRequest returns the HTTP request of a call. Once the transport has a
// connection for it, the request counts as written, since a later failure does
// not tell how much of it was sent.
func newRequest(ctx context.Context, e *outcome.Evidence, call Call) (*http.Request, error) {
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { e.Written(call.Attempt) }}
	var body io.Reader = bytes.NewReader(call.Body)
	if call.NonIdempotent {
		body = opaqueBody{body}
	}
	target := "http://" + call.Address + "/actions/" + url.PathEscape(string(call.Action))
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, target, body)
	if err != nil {
		return nil, fmt.Errorf("service: %w", err)
	}
	req.ContentLength = int64(len(call.Body))
	req.Header.Set(headerRequestID, string(call.Attempt))
	if call.ContentType != "" {
		req.Header.Set("Content-Type", call.ContentType)
	}
	return req, nil
}

// recordOutcome records what a complete response says about its attempt. The
// outcome header of the service takes precedence over the status.
func recordOutcome(e *outcome.Evidence, a coordination.Attempt, res *http.Response) {
	declared := res.Header.Get(outcome.Header)
	switch {
	case declared == outcome.NotRun.String():
		e.Declined(a)
	case declared == outcome.Ran.String(), declared == "" && isFinalStatus(res.StatusCode):
		e.Answered(a)
	}
}

// isFinalStatus reports whether a status without an outcome header is the
// answer of the service to the action. Redirects, temporary refusals and
// server errors prove nothing: a proxy or a partly run action may return them
// as well.
func isFinalStatus(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusTooEarly, http.StatusTooManyRequests:
		return false
	}
	return status/100 == 2 || status/100 == 4
}

func newReply(res *http.Response, body []byte) Reply {
	return Reply{
		Answer: execution.Answer{
			Status:      res.StatusCode,
			ContentType: res.Header.Get("Content-Type"),
			Body:        body,
		},
		Leaving:    res.Header.Get(headerState) == stateLeaving,
		RetryAfter: pause.Parse(res.Header.Get(headerRetryAfter)),
	}
}
