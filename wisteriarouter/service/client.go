// Package service speaks to plain services, such as an order desk. Actions
// that may be repeated are retried within a budget; a non-idempotent one is
// put on record first, and reaches an endpoint once at most.
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
	"strconv"
	"time"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/execution"
	"wisteriaspool/coordination/outcome"
)

// Header names of the services' protocol.
const (
	headerRequestID  = "X-Request-Id"
	headerState      = "X-State"
	headerRetryAfter = "Retry-After"
	stateLeaving     = "leaving"
)

// Defaults of Options.
const (
	DefaultDialTimeout      = 500 * time.Millisecond
	DefaultMaxResponseBytes = 8 << 20
)

// ErrTruncated is the error of a call whose answer did not come whole. The service
// may have run it.
var ErrTruncated = errors.New("service: answer cut off")

// Options configure a Client. Zero fields take the defaults.
type Options struct {
	DialTimeout      time.Duration
	MaxResponseBytes int64 // the longest answer that is taken, in bytes
	// DialContext makes connections; nil means TCP.
	DialContext func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client makes calls to plain services. It is safe for concurrent use.
type Client struct {
	singleUse        *http.Client // for calls that must not be sent twice
	pooled           *http.Client
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
	}
	// A connection that is used again may be closed by the service just as the
	// request goes out. The transport then sends some requests once more on
	// its own; on a connection of their own it never does.
	once := &http.Transport{
		DialContext:        dial,
		DisableCompression: true,
		DisableKeepAlives:  true,
	}
	c := &Client{
		singleUse:        &http.Client{Transport: once, CheckRedirect: refuseRedirect},
		pooled:           &http.Client{Transport: pooled, CheckRedirect: refuseRedirect},
		maxResponseBytes: opts.MaxResponseBytes,
	}
	return c, pooled.CloseIdleConnections
}

// refuseRedirect hands a redirect to the caller: followed, it would send the
// body a second time.
func refuseRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// opaqueBody hides that a body could be rewound, without which the transport
// has no second copy to send.
type opaqueBody struct{ io.Reader }

// Call is one attempt of an action at one endpoint.
type Call struct {
	Attempt       coordination.Attempt
	Address       string // host:port
	Action        coordination.Action
	ContentType   string // Content-Type of the body
	Body          []byte
	NonIdempotent bool // the action is non-idempotent
}

// Reply is what an endpoint answered.
type Reply struct {
	Answer     execution.Answer
	Leaving    bool          // the endpoint says that it is stopping
	RetryAfter time.Duration // as the endpoint asked; zero if it did not
}

// Do makes one call, and records in e what is known of it. An error means that
// no whole answer came; e tells what may have become of the call.
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
	res, err := client.Do(req)
	if err != nil {
		// Ignored by e if a connection was got: see newRequest.
		e.NothingSent(call.Attempt)
		return Reply{}, fmt.Errorf("service: %w", err)
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, c.maxResponseBytes+1))
	if err != nil || int64(len(body)) > c.maxResponseBytes {
		return Reply{}, errors.Join(ErrTruncated, err)
	}
	recordOutcome(e, call.Attempt, res)
	return newReply(res, body), nil
}

// newRequest builds the request of a call. From the moment that the transport
// has a connection for it, its bytes count as sent, since a failure after that
// does not tell how far they got.
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

// recordOutcome records what a whole answer says about its attempt. The service's own
// word counts most.
func recordOutcome(e *outcome.Evidence, a coordination.Attempt, res *http.Response) {
	declared := res.Header.Get(outcome.Header)
	switch {
	case declared == outcome.NotRun.String():
		e.Declined(a)
	case declared == outcome.Ran.String(), declared == "" && isFinalStatus(res.StatusCode):
		e.Answered(a)
	}
}

// isFinalStatus tells whether a status without the service's word is its answer to
// the action. A redirect, a refusal for the moment or an error of the server's
// side proves nothing: a proxy or a half-run action answers so, too.
func isFinalStatus(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusTooEarly, http.StatusTooManyRequests:
		return false
	}
	return status/100 == 2 || status/100 == 4
}

func newReply(res *http.Response, body []byte) Reply {
	r := Reply{
		Answer: execution.Answer{
			Status:      res.StatusCode,
			ContentType: res.Header.Get("Content-Type"),
			Body:        body,
		},
		Leaving: res.Header.Get(headerState) == stateLeaving,
	}
	if seconds, err := strconv.Atoi(res.Header.Get(headerRetryAfter)); err == nil && seconds > 0 {
		r.RetryAfter = time.Duration(seconds) * time.Second
	}
	return r
}
