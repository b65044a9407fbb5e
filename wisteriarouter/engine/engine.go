// Package engine is the client for model engines. It starts, reads, resumes and
// cancels attempts, reads load reports, transfers KV caches and sends orders.
// It does not choose endpoints.
package engine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/http1"
	"wisteriaspool/coordination/pause"
)

// Names and values of the headers of the engine protocol.
const (
	headerAttempt    = "X-Attempt-Id"
	headerPriority   = "X-Priority"
	headerChat       = "X-Chat-Id"
	headerOutcome    = "X-Outcome"
	headerState      = "X-State"
	headerRetryAfter = "Retry-After"
	stateLeaving     = "leaving"
	outcomeNotRun    = "not-run"
)

// Limits on the size of what is read from an engine.
const (
	maxEventBytes = 256 << 10
	// maxReorderBytes limits the chunks of a stream that are buffered out of order.
	maxReorderBytes = 1 << 20
	maxReplyBytes   = 1 << 20
)

// ErrTruncated means that a stream or a KV cache ended before it was complete.
// After a truncated stream the engine may still be generating.
var ErrTruncated = errors.New("engine: stream truncated")

// ErrNotFound means that the engine does not have, or no longer has, the
// attempt or the KV cache that a call is about.
var ErrNotFound = errors.New("engine: not found")

// ErrTimeout means that the engine did not answer a resume request within the
// call timeout.
var ErrTimeout = errors.New("engine: timed out waiting for a response")

// ErrMalformed means that a stream contains a chunk that cannot be decoded.
var ErrMalformed = errors.New("engine: malformed chunk")

// StartError describes why an attempt returned no stream.
type StartError struct {
	NotRun     bool // the engine is known not to have run the request
	Leaving    bool // the engine reports that it is shutting down
	NoResponse bool // the connection failed, or closed before any response
	Status     int  // HTTP status, zero if there was no response
	// Pause is how long the engine wants no requests from this router; zero if it does
	// not say.
	Pause time.Duration
	Err   error
}

// Error implements the error interface.
func (e *StartError) Error() string {
	return fmt.Sprintf("engine: start: status %d: %v", e.Status, e.Err)
}

// Unwrap returns the underlying error.
func (e *StartError) Unwrap() error { return e.Err }

// Usage holds the token counts of one attempt, as billed by the engine.
type Usage struct {
	Prompt     coordination.Tokens
	Cached     coordination.Tokens
	Completion coordination.Tokens
}

// Chunk is one event of an answer.
type Chunk struct {
	Offset int    // number of tokens of the answer up to and including this chunk
	Text   string // text that the chunk adds to the answer
	Data   string // the JSON that the engine sent, without line breaks, for streaming callers
	Finish string // finish reason, set only in the last chunk of an answer
	Usage  *Usage
}

// Request describes one attempt.
type Request struct {
	Attempt     coordination.Attempt
	Chat        coordination.Chat
	Priority    coordination.Priority
	Body        []byte
	Offset      int           // number of tokens in the partial answer that the body contains
	IdleTimeout time.Duration // maximum time without an event; if not positive, 10 s
}

// Load is an engine's report of its own load. It lags behind the actual load.
type Load struct {
	Running     int                      `json:"running"`
	Waiting     int                      `json:"waiting"`
	Capacity    int                      `json:"capacity"`
	State       string                   `json:"state"`
	Incarnation coordination.Incarnation `json:"incarnation"`
	ObservedAt  time.Time                `json:"observed_at"`
}

// Leaving reports whether the engine has announced its shutdown.
func (l Load) Leaving() bool { return l.State == stateLeaving }

// Client calls engines. It is safe for concurrent use.
type Client struct {
	http        *http.Client
	callTimeout time.Duration
}

// Options configure a client. The zero value selects the defaults.
type Options struct {
	// CallTimeout limits a short call, such as a cancel. The default is 500 ms.
	CallTimeout time.Duration
	// DialContext opens connections. The default is that of net.Dialer with a
	// timeout of 1 s.
	DialContext func(ctx context.Context, network, address string) (net.Conn, error)
}

const (
	defaultCallTimeout  = 500 * time.Millisecond
	dialTimeout         = time.Second
	maxIdleConnsPerHost = 256
	idleConnTimeout     = 30 * time.Second
)

// NewClient returns a client, and a function that closes its idle connections.
func NewClient(opts Options) (*Client, func()) {
	if opts.CallTimeout <= 0 {
		opts.CallTimeout = defaultCallTimeout
	}
	if opts.DialContext == nil {
		opts.DialContext = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	tr := &http.Transport{
		DialContext:         opts.DialContext,
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: http1.MaxHeadBytes,
	}
	return &Client{http: &http.Client{Transport: http1.Transport(tr)}, callTimeout: opts.CallTimeout}, tr.CloseIdleConnections
}

// Start sends one attempt to the engine at address and returns the open stream
// of its answer. Every error is a *StartError.
func (c *Client) Start(ctx context.Context, address string, req Request) (*Stream, error) {
	w := newProbingWatchdog(ctx, req.IdleTimeout, c.livenessProbe(address))
	sent, err := newStartRequest(w.traceContext(), address, req)
	if err != nil {
		w.stop()
		return nil, &StartError{NotRun: true, Err: err}
	}
	res, err := c.http.Do(sent)
	if err != nil {
		w.stop()
		return nil, &StartError{NotRun: !w.gotConn.Load(), NoResponse: ctx.Err() == nil, Err: err}
	}
	if res.StatusCode != http.StatusOK {
		defer w.stop()
		return nil, responseError(res)
	}
	return newStream(res.Body, w, req.Attempt, req.Offset), nil
}

// livenessProbe returns a function that reports whether the engine responds to
// a short call, regardless of the status. It also returns true if its context
// is canceled.
func (c *Client) livenessProbe(address string) func(context.Context) bool {
	return func(ctx context.Context) bool {
		call, cancel := context.WithTimeout(ctx, c.callTimeout)
		defer cancel()
		req, err := http.NewRequestWithContext(call, http.MethodGet, fmt.Sprintf("http://%s/v1/load", address), nil)
		if err != nil {
			return true
		}
		res, err := c.http.Do(req)
		if err != nil {
			return ctx.Err() != nil
		}
		defer res.Body.Close()
		_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, maxReplyBytes)) // drain the body so that the connection can be reused
		return true
	}
}

// responseError converts a response with a status other than 200 OK to an error
// and closes its body.
func responseError(res *http.Response) *StartError {
	defer res.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(res.Body, 512))
	e := &StartError{
		NotRun:  res.Header.Get(headerOutcome) == outcomeNotRun,
		Leaving: res.Header.Get(headerState) == stateLeaving,
		Status:  res.StatusCode,
		Err:     fmt.Errorf("%s", text),
	}
	if res.StatusCode == http.StatusServiceUnavailable {
		e.Pause = pause.Parse(res.Header.Get(headerRetryAfter))
	}
	return e
}

// Resume reopens the stream of the attempt after token req.Offset; it does not
// use req.Body. The response headers must arrive within the call timeout,
// because with a frozen engine every try would otherwise last for the whole
// idle timeout. The error is ErrTimeout if they do not, ErrNotFound if the
// engine does not have the attempt, and a *StartError for any other unexpected
// status.
func (c *Client) Resume(ctx context.Context, address string, req Request) (*Stream, error) {
	w := newProbingWatchdog(ctx, req.IdleTimeout, c.livenessProbe(address))
	opening := time.AfterFunc(c.callTimeout, w.cancel)
	defer opening.Stop()
	url := fmt.Sprintf("http://%s/v1/attempts/%s/stream?after=%d", address, req.Attempt, req.Offset)
	get, err := http.NewRequestWithContext(w.ctx, http.MethodGet, url, nil)
	if err != nil {
		w.stop()
		return nil, fmt.Errorf("engine: resume: %w", err)
	}
	res, err := c.http.Do(get)
	if err != nil {
		silent := w.ctx.Err() != nil && ctx.Err() == nil
		w.stop()
		if silent {
			return nil, ErrTimeout
		}
		return nil, fmt.Errorf("engine: resume: %w", err)
	}
	if res.StatusCode == http.StatusNotFound {
		w.stop()
		res.Body.Close()
		return nil, ErrNotFound
	}
	if res.StatusCode != http.StatusOK {
		w.stop()
		return nil, responseError(res)
	}
	return newStream(res.Body, w, req.Attempt, req.Offset), nil
}

// Cancel stops an attempt, so that tokens that nobody reads are not billed. It
// returns the number of tokens that the attempt has generated. The error is
// ErrNotFound if the engine does not have the attempt.
func (c *Client) Cancel(ctx context.Context, address string, id coordination.Attempt) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, c.callTimeout)
	defer cancel()
	var reply struct {
		Generated int `json:"generated"`
	}
	err := c.callJSON(ctx, http.MethodPost, fmt.Sprintf("http://%s/v1/attempts/%s/cancel", address, id), &reply)
	return reply.Generated, err
}

// Load reads the engine's load report.
func (c *Client) Load(ctx context.Context, address string) (Load, error) {
	ctx, cancel := context.WithTimeout(ctx, c.callTimeout)
	defer cancel()
	var l Load
	err := c.callJSON(ctx, http.MethodGet, fmt.Sprintf("http://%s/v1/load", address), &l)
	return l, err
}

// callJSON makes one call and decodes the JSON response into v. The error is
// ErrNotFound if the status is 404.
func (c *Client) callJSON(ctx context.Context, method, url string, v any) error {
	req, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return fmt.Errorf("engine: %w", err)
	}
	res, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("engine: %w", err)
	}
	defer res.Body.Close()
	if res.StatusCode == http.StatusNotFound {
		return ErrNotFound
	}
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("engine: %s: unexpected status %s", req.URL.Path, res.Status)
	}
	if err := json.NewDecoder(io.LimitReader(res.Body, maxReplyBytes)).Decode(v); err != nil {
		return fmt.Errorf("engine: %w", err)
	}
	return nil
}

func formatPriority(p coordination.Priority) string { return strconv.Itoa(int(p)) }
