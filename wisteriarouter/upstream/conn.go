package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/http1"
)

const (
	readBuffer = 4 << 10 // bytes; an event of a stream has a few hundred
	// inlineBody is the size in bytes up to which a request is written before its
	// response is read. It fits the smallest send buffer, so that the write cannot
	// block. A longer one is written concurrently with reading, because an endpoint
	// may refuse it before it has read all of it.
	inlineBody = 4 << 10
	// maxMismatchedBody is the size in bytes up to which the response to another
	// request is discarded; a longer one fails the request.
	maxMismatchedBody = 64 << 10
	// maxMismatchedResponses is how many such responses are discarded.
	maxMismatchedResponses = 2
)

// conn is a connection to an endpoint. It serves one request at a time.
type conn struct {
	client      *Client
	address     string
	nc          net.Conn
	head        *headLimiter  // reads from nc
	r           *bufio.Reader // reads from head
	served      int
	idleSince   time.Time     // start of the idle period
	expires     time.Time     // when the endpoint may close the connection
	written     chan struct{} // closed when the request is written; nil if it was written inline
	writeFailed atomic.Bool   // the write failed
}

func newConn(c *Client, address string, nc net.Conn) *conn {
	if _, ok := nc.(tunnelled); !ok {
		nc = http1.NewConn(nc) // the far end of a tunnel does so
	}
	head := newHeadLimiter(nc)
	return &conn{client: c, address: address, nc: nc, head: head, r: bufio.NewReaderSize(head, readBuffer)}
}

// abort closes the connection. If there are unread bytes the kernel resets it, which
// the endpoint notices at once.
func (c *conn) abort() { _ = c.nc.Close() }

// exchange writes a request and reads the headers of its response. watched may be nil.
func (c *conn) exchange(r *Request, watched *http1.WatchedRequest) (*Response, error) {
	c.served++
	if err := c.write(r); err != nil {
		return nil, ErrBroken.Wrap(err, "write to endpoint %s", c.address)
	}
	watched.BeginRead()
	defer watched.EndRead()
	for n := range maxMismatchedResponses + 1 {
		resp, err := c.readHead(r)
		if err != nil {
			return nil, ErrBroken.Wrap(err, "answer of endpoint %s", c.address)
		}
		if d := c.client.cfg.Detour; d != nil && c.direct() {
			d.Planner.RecordResponse()
		}
		if r.Heard != nil {
			r.Heard(c.via(), resp.StatusCode, resp.Header)
		}
		head := ResponseHead{Status: resp.StatusCode, Header: resp.Header, First: c.served == 1 && n == 0}
		if r.Matches == nil || r.Matches(head) {
			return c.response(resp), nil
		}
		if err := discard(resp); err != nil {
			return nil, ErrMismatch.Wrap(err, "endpoint %s", c.address)
		}
	}
	return nil, ErrMismatch.New("endpoint %s", c.address)
}

func (c *conn) response(resp *http.Response) *Response {
	return &Response{
		Status:      resp.StatusCode,
		Header:      resp.Header,
		Length:      resp.ContentLength,
		Undelimited: isUndelimited(resp),
		Body:        &Body{conn: c, resp: resp},
		Reused:      c.served > 1,
	}
}

// isUndelimited reports whether a response ends where its connection is closed.
func isUndelimited(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Request.Method != http.MethodHead
}

// readHead reads the headers of the final response, after any interim (1xx) ones.
func (c *conn) readHead(r *Request) (*http.Response, error) {
	c.head.begin()
	defer c.head.end()
	for {
		c.head.startRecording(c.r)
		resp, err := http.ReadResponse(c.r, &http.Request{Method: r.Method})
		if err != nil {
			return nil, err
		}
		if err := http1.Check(resp, c.head.recorded(c.r)); err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
		c.head.endInterim()
	}
}

var errTooLongToDiscard = errors.New("upstream: the response to another request is too long to discard")

// discard reads and drops a response that belongs to another request.
func discard(resp *http.Response) error {
	if resp.Close || resp.ContentLength > maxMismatchedBody {
		return errTooLongToDiscard
	}
	var buf [1 << 10]byte
	for read := 0; read <= maxMismatchedBody; {
		n, err := resp.Body.Read(buf[:])
		read += n
		if err != nil {
			return ignoreEOF(err)
		}
	}
	return errTooLongToDiscard
}

// write sends a request, in the background if it is long.
func (c *conn) write(r *Request) error {
	length := r.bodyLength()
	head := encodeHead(r, length)
	c.written = nil
	if len(head)+length <= inlineBody {
		defer r.sent()
		_, err := c.nc.Write(appendAll(head, r.Body))
		return err
	}
	c.written = make(chan struct{})
	go writer{conn: c, head: head, request: r}.run()
	return nil
}

// singleWrite is the size in bytes up to which a request is copied, to be written in one
// packet. A longer one is written without being copied.
const singleWrite = 16 << 10

// writer writes one request in the background.
type writer struct {
	conn    *conn
	head    []byte
	request *Request
}

func (w writer) run() {
	defer close(w.conn.written)
	defer w.request.sent()
	if err := w.write(); err != nil {
		// Reading fails as well, unless the endpoint has sent a whole response before
		// it had read the request.
		w.conn.writeFailed.Store(true)
	}
}

func (w writer) write() error {
	segments := w.request.Body
	if len(segments) > 0 && len(w.head)+len(segments[0]) <= singleWrite {
		w.head, segments = append(w.head, segments[0]...), segments[1:]
	}
	if _, err := w.conn.nc.Write(w.head); err != nil {
		return err
	}
	for _, segment := range segments {
		if _, err := w.conn.nc.Write(segment); err != nil {
			return err
		}
	}
	return nil
}

// appendAll appends the segments to b.
func appendAll(b []byte, segments [][]byte) []byte {
	for _, segment := range segments {
		b = append(b, segment...)
	}
	return b
}

// encodeHead returns the request line and headers in HTTP/1.1 wire format. There is room
// for a short body, so that both can be written in one packet.
func encodeHead(r *Request, length int) []byte {
	var b bytes.Buffer
	b.Grow(1<<10 + min(length, singleWrite))
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = r.Header.WriteSubset(&b, framing) // writes to a Buffer do not fail
	if length > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(length) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// framing holds the headers that this package writes itself.
var framing = map[string]bool{"Host": true, "Content-Length": true, "Transfer-Encoding": true, "Connection": true}

// release returns the connection to the idle pool after a complete response. It
// closes a connection that cannot be reused: the endpoint closes it, the request was
// not written completely, or unexpected bytes follow the response.
func (c *conn) release(resp *http.Response) {
	if resp.Close || !c.writeComplete() || c.r.Buffered() > 0 || c.outdated() {
		c.abort()
		return
	}
	now := time.Now()
	c.idleSince = now
	c.expires = now.Add(c.keepAlive(resp.Header))
	c.client.idle.put(c, c.client.cfg.MaxIdlePerEndpoint)
}

// writeComplete reports whether the whole request has been written.
func (c *conn) writeComplete() bool {
	if c.written == nil {
		return true
	}
	select {
	case <-c.written:
		return !c.writeFailed.Load()
	default:
		return false
	}
}

// keepAliveMargin is how much earlier than the endpoint the client closes an idle
// connection. It covers the round trip of about 10 ms and a pause of the process.
const keepAliveMargin = 250 * time.Millisecond

// maxKeepAliveSeconds is the longest timeout of a Keep-Alive header, a day. A longer one is
// taken for it.
const maxKeepAliveSeconds = 24 * 3600

// keepAlive returns how long the connection may stay idle: the timeout in the
// endpoint's Keep-Alive header less keepAliveMargin, or the configured default.
func (c *conn) keepAlive(h http.Header) time.Duration {
	for field := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(value); err == nil && s >= 0 {
			return time.Duration(min(s, maxKeepAliveSeconds))*time.Second - keepAliveMargin
		}
	}
	return c.client.cfg.IdleTimeout
}

// tunnelled is a connection through another router.
type tunnelled interface {
	// Quiet reports whether the connection is open and has received nothing that
	// was not read.
	Quiet() bool
	// Via returns the router through which the connection goes.
	Via() coordination.Instance
}

// direct reports whether the connection goes through no other router.
func (c *conn) direct() bool {
	_, ok := c.nc.(tunnelled)
	return !ok
}

// via returns the router through which the connection goes, or "".
func (c *conn) via() coordination.Instance {
	if t, ok := c.nc.(tunnelled); ok {
		return t.Via()
	}
	return ""
}

// outdated reports whether the connection goes through another router while a direct
// one may be possible again, or through one that leaves.
func (c *conn) outdated() bool {
	return !c.direct() && !c.client.Detours(c.address) || !c.viaServes()
}

// viaServes reports whether the connection is direct or goes through a router that neither
// leaves nor is silent.
func (c *conn) viaServes() bool {
	d := c.client.cfg.Detour
	return d == nil || c.direct() || d.Tunnels.Serves(c.via())
}

// usable reports whether an idle connection is still open and has received nothing.
// If the endpoint has closed it or sent a second response, the next request on it
// would fail, and if it goes through a router that leaves, the request may be cut off.
func (c *conn) usable() bool {
	if t, ok := c.nc.(tunnelled); ok {
		return t.Quiet() && c.viaServes()
	}
	raw, err := c.nc.(*http1.Conn).SyscallConn()
	if err != nil {
		return errors.Is(err, errors.ErrUnsupported)
	}
	var readErr error
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, readErr = syscall.Read(int(fd), b[:])
		return true
	})
	return err == nil && errors.Is(readErr, syscall.EAGAIN)
}
