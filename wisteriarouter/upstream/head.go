package upstream

import (
	"bufio"
	"errors"
	"math"
	"net"
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
