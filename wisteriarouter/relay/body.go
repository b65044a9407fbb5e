package relay

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"wisteriaspool/coordination/memory"
	"wisteriaspool/wisteriarouter/upstream"
)

const (
	minSegment = 4 << 10  // bytes
	maxSegment = 64 << 10 // bytes
)

// errNoMemory reports that the client account may not hold more bytes now.
var errNoMemory = errors.New("relay: the requests of the client account hold too many bytes")

// buffer collects bytes in segments, so that it grows without being copied. What it
// allocates is taken from a hold before.
type buffer struct {
	hold      *memory.Hold
	segments  [][]byte
	size      int64 // bytes read
	allocated int64
	taken     int64
}

// reserve takes n bytes for what will be read.
func (b *buffer) reserve(n int64) bool {
	if !b.hold.Take(memory.Bytes(n)) {
		return false
	}
	b.taken += n
	return true
}

// readFrom reads from r to its end, or up to length bytes if that is not negative. The
// error is errNoMemory if the hold does not allow more, or that of r; what was read
// before stays in the buffer.
func (b *buffer) readFrom(r io.Reader, length int64) error {
	for length < 0 || b.size < length {
		free, ok := b.free(length)
		if !ok {
			return errNoMemory
		}
		n, err := r.Read(free)
		last := len(b.segments) - 1
		b.segments[last] = b.segments[last][:len(b.segments[last])+n]
		b.size += int64(n)
		switch {
		case errors.Is(err, io.EOF) && b.size < length:
			return io.ErrUnexpectedEOF
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
	return nil
}

// free returns where the next bytes go. A segment is added if all are full: as large as
// what is missing of a known length, or else as all before it.
func (b *buffer) free(length int64) ([]byte, bool) {
	if last := len(b.segments) - 1; last >= 0 && len(b.segments[last]) < cap(b.segments[last]) {
		s := b.segments[last]
		return s[len(s):cap(s)], true
	}
	n := max(b.size, minSegment)
	if length >= 0 {
		n = length - b.size
	}
	n = min(n, maxSegment)
	if missing := b.allocated + n - b.taken; missing > 0 && !b.reserve(missing) {
		return nil, false
	}
	b.allocated += n
	b.segments = append(b.segments, make([]byte, 0, n))
	return b.segments[len(b.segments)-1][:n], true
}

// errTooLong reports that a response has more bytes than are buffered.
var errTooLong = errors.New("relay: the response is too long to buffer")

// readAll reads a response of up to maxBufferedBody bytes. The error is that of readFrom,
// or errTooLong.
func (b *buffer) readAll(resp *upstream.Response) error {
	// The length of a response to a HEAD request is not that of its body.
	err := b.readFrom(io.LimitReader(resp.Body, maxBufferedBody+1), -1)
	if err == nil && b.size > maxBufferedBody {
		return errTooLong
	}
	return err
}

// writeTo writes all segments to w.
func (b *buffer) writeTo(w io.Writer) error {
	for _, s := range b.segments {
		if _, err := w.Write(s); err != nil {
			return err
		}
	}
	return nil
}

// requestBody is the body of a request. Its memory is freed as soon as no attempt needs
// it any more: neither one that is to come nor one that is still sending it.
type requestBody struct {
	mu      sync.Mutex
	buffer  buffer
	sending int  // attempts that are sending it
	dropped bool // no further attempt needs it
}

// beginSend returns the segments for an attempt, which must call endSend when it does not
// read them any more.
func (b *requestBody) beginSend() [][]byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sending++
	return b.buffer.segments
}

func (b *requestBody) endSend() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sending--
	b.freeUnused()
}

// drop records that no further attempt needs the body. It may be called again.
func (b *requestBody) drop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.dropped = true
	b.freeUnused()
}

// freeUnused frees the body if nothing needs it. The caller holds b.mu.
func (b *requestBody) freeUnused() {
	if b.dropped && b.sending == 0 {
		b.buffer.segments = nil
		b.buffer.hold.Close()
	}
}

// requestOverhead is about what a request holds besides its headers and bodies: the
// buffers of two connections, goroutines and an event of a stream, in bytes.
const requestOverhead = 24 << 10

// holdOverhead takes the memory that each request needs, or refuses the request. Headers
// count twice, as each attempt has a copy.
func (x *exchange) holdOverhead() bool {
	n := memory.Bytes(requestOverhead)
	for name, values := range x.r.Header {
		for _, v := range values {
			n += memory.Bytes(2 * (len(name) + len(v)))
		}
	}
	x.hold = x.server.Memory.Open(x.account)
	x.body.buffer.hold = x.server.Memory.Open(x.account)
	if x.hold.Take(n) {
		return true
	}
	x.refuseForMemory()
	return false
}

// releaseMemory returns what the request holds. A body that is still being sent is
// returned by the attempt that sends it.
func (x *exchange) releaseMemory() {
	x.body.drop()
	x.hold.Close()
}

func (x *exchange) refuseForMemory() {
	x.server.Metrics.refusedForMemory()
	x.refuse(http.StatusServiceUnavailable, "the requests of the client account hold too much memory of this router", x.server.Memory.RetryAfter())
}

// defaultBodyBytes limits the size of a request body if the desired state does not.
const defaultBodyBytes = 4 << 20

// readBody reads the whole body, or refuses the request. The request can then be
// sent again where that is allowed, and a slow caller does not occupy an endpoint.
func (x *exchange) readBody() bool {
	limit := int64(x.table.BodyBytes)
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	length := x.r.ContentLength
	if length > limit {
		x.refuse(http.StatusRequestEntityTooLarge, "the body is too large", 0)
		return false
	}
	if length > 0 && !x.body.buffer.reserve(length) {
		x.refuseForMemory()
		return false
	}
	if length != 0 {
		defer x.interruptReading(x.remaining())()
	}
	err := x.body.buffer.readFrom(http.MaxBytesReader(x.w, x.r.Body, limit), length)
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		x.bodyRead = true
		return true
	case errors.Is(err, errNoMemory):
		x.refuseForMemory()
	case errors.As(err, &tooLarge):
		x.refuse(http.StatusRequestEntityTooLarge, "the body is too large", 0)
	case errors.Is(err, os.ErrDeadlineExceeded):
		x.bodyRead = true
		x.refuse(http.StatusRequestTimeout, "the body has not arrived in time", 0)
	default:
		x.bodyRead = true
		x.refuse(http.StatusBadRequest, "the body cannot be read", 0)
	}
	return false
}

// interruptReading makes reads of the body fail after d, until the function that it
// returns is called. A read deadline that is set from the start would also apply to the
// read with which net/http notices that a caller leaves.
func (x *exchange) interruptReading(d time.Duration) (stop func()) {
	control := http.NewResponseController(x.w)
	t := time.AfterFunc(d, func() {
		_ = control.SetReadDeadline(time.Now()) // fails only if the connection has ended
	})
	return func() {
		if !t.Stop() {
			_ = control.SetReadDeadline(time.Time{})
		}
	}
}

// lingerTime is how long the router goes on reading the body of a request that it has
// refused. If the connection were closed while the caller is still sending, the caller
// might be reset before it has read the refusal.
const lingerTime = 2 * time.Second

// sendRefusal sends a refusal, also before the body has been read. It closes the connection
// if the caller does not end the body soon.
func (x *exchange) sendRefusal(status int, text string) {
	if x.bodyRead || x.r.ContentLength == 0 || x.r.Header.Get("Expect") != "" {
		x.w.WriteHeader(status)
		_, _ = io.WriteString(x.w, text) // the caller may have disconnected
		return
	}
	control := http.NewResponseController(x.w)
	// Without it net/http reads the body first. Other writers do not support it or need it.
	_ = control.EnableFullDuplex()
	x.w.WriteHeader(status)
	_, _ = io.WriteString(x.w, text)
	_ = control.Flush()
	x.releaseMemory()
	stop := x.interruptReading(lingerTime)
	_, err := io.Copy(io.Discard, x.r.Body)
	stop()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}
