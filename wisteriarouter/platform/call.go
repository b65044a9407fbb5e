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

	"wisteriaspool/coordination/kv"
)

// maxResponseBytes bounds the bytes read of one answer.
const maxResponseBytes = 64 << 20

const contentType = "application/json"

// keepAlive finds out within about ten seconds that the other end of a
// connection is gone without a word. A watch has nothing to send, and would
// wait on such a connection for minutes while settings change.
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
	}
}

// refuseRedirect keeps a redirected write from being sent a second time.
func refuseRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// opaqueBody hides from net/http that a body could be rewound. A rewindable
// body may be sent again by the transport after the connection broke: the
// service would then apply one write twice, and the second answer, a conflict,
// would deny the first.
type opaqueBody struct{ io.Reader }

// call sends in to path and decodes the answer into out. It goes on to the
// next endpoint if no connection could be made, or after any broken call if
// the call only reads.
func (c *Client) call(ctx context.Context, op Op, path string, in, out any) (res kv.Result) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	body, err := json.Marshal(in)
	if err != nil {
		panic(fmt.Sprintf("platform: encoding a %s: %v", op, err))
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

// skipUnresponsive moves on to the next endpoint after one that gave no answer: one that
// takes connections but hangs would else spoil every write.
func (c *Client) skipUnresponsive(status kv.Status) {
	if status == kv.Unknown {
		c.current.Store((c.current.Load() + 1) % uint32(len(c.endpoints)))
	}
}

// mayTryNext tells whether another endpoint may be asked after status.
func mayTryNext(op Op, status kv.Status) bool {
	switch status {
	case kv.Unavailable:
		return true
	case kv.Unknown:
		return op == OpGet || op == OpList
	default:
		return false
	}
}

// callEndpoint makes one call of one endpoint.
func (c *Client) callEndpoint(ctx context.Context, op Op, url string, body []byte, out any) kv.Result {
	start := time.Now()
	res := c.roundTrip(ctx, url, body, out)
	c.observe(op, res.Status, start)
	return res
}

func (c *Client) roundTrip(ctx context.Context, url string, body []byte, out any) kv.Result {
	resp, res := c.send(ctx, url, body)
	if res.Status != kv.Applied {
		return res
	}
	defer drainAndClose(resp)
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(out); err != nil {
		return kv.Result{Status: kv.Unknown, Err: fmt.Errorf("platform: answer cut off: %w", err)}
	}
	return res
}

// send posts body. Its result is Applied if the answer's status is 200, and
// only then is the response open.
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

// drainAndClose reads what little is left, so that the connection can be used
// again.
func drainAndClose(resp *http.Response) {
	_, _ = io.CopyN(io.Discard, resp.Body, 4<<10)
	_ = resp.Body.Close()
}

func (c *Client) observe(op Op, status kv.Status, start time.Time) {
	if c.cfg.OnCall != nil {
		c.cfg.OnCall(op, status, time.Since(start))
	}
}
