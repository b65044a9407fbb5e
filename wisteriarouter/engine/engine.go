// Package engine speaks to model engines: it starts, follows, resumes and
// cancels their answers, and reads their load. It knows nothing of placement.
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
)

// Header names of the engines' protocol.
const (
	headerAttempt  = "X-Attempt-Id"
	headerPriority = "X-Priority"
	headerChat     = "X-Chat-Id"
	headerOutcome  = "X-Outcome"
	headerState    = "X-State"
	stateLeaving   = "leaving"
	outcomeNotRun  = "not-run"
)

// Limits of what is read from an engine.
const (
	maxEventBytes = 256 << 10
	maxReplyBytes = 1 << 20
)

// ErrTruncated is the error of a stream whose connection ended before its answer
// did. The engine may still be generating.
var ErrTruncated = errors.New("engine: stream cut")

// ErrNotFound is the error of a call about an attempt that the engine does not
// have, or no longer has.
var ErrNotFound = errors.New("engine: attempt gone")

// ErrTimeout is the error of a resume that the engine did not answer in time.
var ErrTimeout = errors.New("engine: no answer in time")

// ErrMalformed is the error of a stream with a chunk that cannot be read.
var ErrMalformed = errors.New("engine: malformed chunk")

// StartError tells why an attempt brought no stream.
type StartError struct {
	NotRun     bool // the engine certainly did not run the request
	Leaving    bool // the engine says that it is stopping
	NoResponse bool // no connection could be made, or it broke without an answer
	Status     int  // HTTP status, zero if there was no answer
	Err        error
}

// Error implements error.
func (e *StartError) Error() string {
	return fmt.Sprintf("engine: start: status %d: %v", e.Status, e.Err)
}

// Unwrap returns the underlying error.
func (e *StartError) Unwrap() error { return e.Err }

// Usage counts the tokens of one attempt, as the engine bills them.
type Usage struct {
	Prompt     coordination.Tokens
	Cached     coordination.Tokens
	Completion coordination.Tokens
}

// Chunk is one event of an answer.
type Chunk struct {
	Offset int    // tokens of the whole answer up to and including this chunk
	Text   string // what the chunk adds to the answer
	Data   string // the chunk as the engine sent it, for callers that stream
	Finish string // the reason to finish, in the last chunk of an answer
	Usage  *Usage
}

// Request is one attempt at one engine.
type Request struct {
	Attempt     coordination.Attempt
	Chat        coordination.Chat
	Priority    coordination.Priority
	Body        []byte
	Offset      int           // tokens that the body's partial answer holds already
	IdleTimeout time.Duration // longest silence inside the stream
}

// Load is an engine's own report, which lags.
type Load struct {
	Running     int                      `json:"running"`
	Waiting     int                      `json:"waiting"`
	Capacity    int                      `json:"capacity"`
	State       string                   `json:"state"`
	Incarnation coordination.Incarnation `json:"incarnation"`
	ObservedAt  time.Time                `json:"observed_at"`
}

// Leaving reports whether the engine has announced its stop.
func (l Load) Leaving() bool { return l.State == stateLeaving }

// Client makes calls to engines. It is safe for concurrent use.
type Client struct {
	http        *http.Client
	callTimeout time.Duration
}

// Options are the options of a client. The zero value is ready for use.
type Options struct {
	// CallTimeout is the longest time of a short call, such as a cancel; 500 ms.
	CallTimeout time.Duration
	// DialContext makes connections; that of net.Dialer.
	DialContext func(ctx context.Context, network, address string) (net.Conn, error)
}

const (
	defaultCallTimeout  = 500 * time.Millisecond
	dialTimeout         = time.Second
	maxIdleConnsPerHost = 256
	idleConnTimeout     = 30 * time.Second
)

// NewClient returns a client and a function that closes its connections.
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
	}
	return &Client{http: &http.Client{Transport: tr}, callTimeout: opts.CallTimeout}, tr.CloseIdleConnections
}

// Start sends one attempt to the engine at address. On success the answer's
// stream is open. Every failure is a *StartError.
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

// livenessProbe returns a function that tells whether the engine answers a short call
// at all, whatever the answer.
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
		_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, maxReplyBytes)) // so that the connection is kept
		return true
	}
}

// responseError turns an answer other than OK into an error and closes it.
func responseError(res *http.Response) *StartError {
	defer res.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(res.Body, 512))
	return &StartError{
		NotRun:  res.Header.Get(headerOutcome) == outcomeNotRun,
		Leaving: res.Header.Get(headerState) == stateLeaving,
		Status:  res.StatusCode,
		Err:     fmt.Errorf("%s", text),
	}
}

// Resume opens the rest of an attempt's stream behind token Offset of req,
// whose body it does not need. The stream has to open within the time of a
// short call: on a frozen engine each try would wait for the whole limit.
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

// Cancel tells the engine to stop an attempt, so that nobody is billed for
// what nobody reads. It returns how many tokens the attempt had generated.
func (c *Client) Cancel(ctx context.Context, address string, id coordination.Attempt) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, c.callTimeout)
	defer cancel()
	var reply struct {
		Generated int `json:"generated"`
	}
	err := c.callJSON(ctx, http.MethodPost, fmt.Sprintf("http://%s/v1/attempts/%s/cancel", address, id), &reply)
	return reply.Generated, err
}

// Load reads the engine's report.
func (c *Client) Load(ctx context.Context, address string) (Load, error) {
	ctx, cancel := context.WithTimeout(ctx, c.callTimeout)
	defer cancel()
	var l Load
	err := c.callJSON(ctx, http.MethodGet, fmt.Sprintf("http://%s/v1/load", address), &l)
	return l, err
}

// callJSON makes one short call and decodes its answer into v.
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
		return fmt.Errorf("engine: %s answers %s", req.URL.Path, res.Status)
	}
	if err := json.NewDecoder(io.LimitReader(res.Body, maxReplyBytes)).Decode(v); err != nil {
		return fmt.Errorf("engine: %w", err)
	}
	return nil
}

func formatPriority(p coordination.Priority) string { return strconv.Itoa(int(p)) }
