package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"wisteriaspool/coordination/http1"
	"wisteriaspool/coordination/kv"
)

// maxResponseBytes limits the body of one response; what exceeds it is not read.
const maxResponseBytes = 64 << 20

const contentType = "application/json"

// keepAlive detects within about 10 s that the peer of a connection vanished
// without closing it. A watch sends nothing after its request, and would wait on
// such a connection for minutes while settings change.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 4 * time.Second, Interval: 2 * time.Second, Count: 3}

func newTransport(cfg Config) *http.Transport {
	dial := cfg.DialContext
	if dial == nil {
		dial = (&net.Dialer{Timeout: cfg.DialTimeout, KeepAliveConfig: keepAlive}).DialContext
	}
	return &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: 16,
		IdleConnTimeout:     time.Minute,

		MaxResponseHeaderBytes: http1.MaxHeadBytes,
	}
}

// refuseRedirect returns the redirect response itself, so that a redirected
// write is not sent a second time.
func refuseRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// opaqueBody hides the concrete type of a body from net/http, which then cannot
// rewind it. The transport may resend a rewindable body after a connection
// failure: the service would get a write twice, and answer the second one with a
// conflict although the first was applied.
type opaqueBody struct{ io.Reader }

// call sends in to path and decodes the response into out. It tries the next
// endpoint after a result of Unavailable, Rejected or, for a read, Unknown.
func (c *Client) call(ctx context.Context, op Op, path string, in any, out checked) (res kv.Result) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	body, err := json.Marshal(in)
	if err != nil {
		panic(fmt.Sprintf("platform: encoding %s request: %v", op, err))
	}
	first := c.current.Load()
	n := uint32(len(c.endpoints))
	for i := range n {
		at := (first + i) % n
		c.current.Store(at)
		res = c.callEndpoint(ctx, op, c.endpoints[at]+path, body, out)
		if !mayTryNext(op, res.Status) || ctx.Err() != nil {
			break
		}
	}
	c.skipUnresponsive(res.Status)
	return res
}

// skipUnresponsive makes later calls start at the next endpoint if status is
// Unknown. Otherwise an endpoint that accepts connections but hangs would fail
// every write.
func (c *Client) skipUnresponsive(status kv.Status) {
	if status == kv.Unknown {
		c.current.Store((c.current.Load() + 1) % uint32(len(c.endpoints)))
	}
}

// mayTryNext reports whether a call that ended with status may be repeated at
// another endpoint. Only reads are repeated if their outcome is unknown.
func mayTryNext(op Op, status kv.Status) bool {
	switch status {
	case kv.Unavailable, kv.Rejected:
		return true
	case kv.Unknown:
		return op == OpGet || op == OpList
	default:
		return false
	}
}

// callEndpoint makes one call to one endpoint and reports it to OnCall.
func (c *Client) callEndpoint(ctx context.Context, op Op, url string, body []byte, out checked) kv.Result {
	start := time.Now()
	res := c.roundTrip(ctx, url, body, out)
	c.observe(op, res.Status, start)
	return res
}

// roundTrip sends body and decodes the response into out. A response that cannot
// be decoded, or has a number out of range, makes the outcome Unknown.
func (c *Client) roundTrip(ctx context.Context, url string, body []byte, out checked) kv.Result {
	resp, res := c.send(ctx, url, body)
	if res.Status != kv.Applied {
		return res
	}
	defer drainAndClose(resp)
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(out); err != nil {
		return kv.Result{Status: kv.Unknown, Err: fmt.Errorf("platform: decoding response: %w", err)}
	}
	if err := out.check(); err != nil {
		return kv.Result{Status: kv.Unknown, Err: fmt.Errorf("platform: response: %w", err)}
	}
	return res
}

// send posts body to url. If the HTTP status is 200, the result is Applied and the
// caller must close the response; otherwise the response is nil.
func (c *Client) send(ctx context.Context, url string, body []byte) (*http.Response, kv.Result) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, url, opaqueBody{bytes.NewReader(body)})
	if err != nil {
		return nil, kv.Result{Status: kv.Unavailable, Err: err}
	}
	req.ContentLength = int64(len(body))
	req.Header.Set("Content-Type", contentType)
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return nil, kv.Result{Status: statusWithoutResponse(connected.Load()), Err: err}
	}
	if resp.StatusCode != http.StatusOK {
		defer drainAndClose(resp)
		return nil, errorResult(resp)
	}
	return resp, kv.Result{Status: kv.Applied}
}

// drainAndClose discards up to 4 KiB of the rest of the body before closing it,
// so that the connection can be reused.
func drainAndClose(resp *http.Response) {
	_, _ = io.CopyN(io.Discard, resp.Body, 4<<10)
	_ = resp.Body.Close()
}

func (c *Client) observe(op Op, status kv.Status, start time.Time) {
	if c.cfg.OnCall != nil {
		c.cfg.OnCall(op, status, time.Since(start))
	}
}
