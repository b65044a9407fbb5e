package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"math"
	"net"
	"net/http"
	"strings"
	"time"

	"wisteriaspool/coordination/http1"
)

// maxHeadTime bounds the time from the first byte of a head to its last. A lost packet is sent
// again after 0.2 s, then 0.4 s and 0.8 s.
const maxHeadTime = 2 * time.Second

var errHeadTooLong = errors.New("upstream: the head of the response is too long")

// headLimiter reads from a connection and bounds what is read of the heads of responses: an
// endpoint may send bytes without an end that are no response. It belongs to one goroutine.
type headLimiter struct {
	nc     net.Conn
	left   int         // bytes that may still be read
	inHead bool        // a head is being read
	timer  *time.Timer // closes the connection; nil before the first byte of a head
	record []byte      // read since startRecording
}

func newHeadLimiter(nc net.Conn) *headLimiter { return &headLimiter{nc: nc, left: math.MaxInt} }

// Read implements io.Reader.
func (l *headLimiter) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, errHeadTooLong
	}
	n, err := l.nc.Read(p[:min(len(p), l.left)])
	if !l.inHead {
		return n, err
	}
	l.left -= n
	l.record = append(l.record, p[:n]...)
	if n > 0 && l.timer == nil {
		l.timer = time.AfterFunc(maxHeadTime, func() { _ = l.nc.Close() })
	}
	return n, err
}

// begin is called before the first head of a response is read.
func (l *headLimiter) begin() { l.left, l.inHead = http1.MaxHeadBytes, true }

// endInterim is called when an interim head has been read. The next one may take its time.
func (l *headLimiter) endInterim() {
	if l.timer != nil {
		l.timer.Stop()
		l.timer = nil
	}
}

// end is called when the final head has been read, or has failed. What follows is not bounded.
func (l *headLimiter) end() {
	l.endInterim()
	l.left, l.inHead, l.record = math.MaxInt, false, nil
}

// startRecording is called before a head is read with r, which reads from l.
func (l *headLimiter) startRecording(r *bufio.Reader) {
	buffered, _ := r.Peek(r.Buffered()) // never more than is buffered, so that it cannot fail
	l.record = append(l.record[:0], buffered...)
}

// recorded returns the bytes of the head that was read with r since startRecording.
func (l *headLimiter) recorded(r *bufio.Reader) []byte { return l.record[:len(l.record)-r.Buffered()] }

// checkFraming returns an error if the fields of a head contradict each other about where the
// body ends: a length beside chunks, which RFC 9112 treats as an error, or chunks in HTTP/1.0,
// which net/http would return as a part of the body. net/http removes these fields from the
// header of the response.
func checkFraming(resp *http.Response, head []byte) error {
	switch {
	case len(resp.TransferEncoding) > 0 && hasField(head, "Content-Length"):
		return http1.ErrInvalid.New("a length beside a transfer encoding")
	case !resp.ProtoAtLeast(1, 1) && hasField(head, "Transfer-Encoding"):
		return http1.ErrInvalid.New("a transfer encoding in %s", resp.Proto)
	default:
		return nil
	}
}

// hasField reports whether a head has a field.
func hasField(head []byte, name string) bool {
	for line := range bytes.SplitSeq(head, []byte("\n")) {
		if field, _, ok := bytes.Cut(line, []byte(":")); ok && strings.EqualFold(string(field), name) {
			return true
		}
	}
	return false
}
