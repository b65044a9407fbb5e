package upstream

import (
	"errors"
	"math"
	"net"
	"time"
)

const (
	// maxHead bounds the bytes read for the head of a response, with the interim responses
	// before it.
	maxHead = 64 << 10
	// maxHeadTime bounds the time from the first byte of a head to its last. A lost packet
	// is sent again after 0.2 s, then 0.4 s and 0.8 s.
	maxHeadTime = 2 * time.Second
)

var errHeadTooLong = errors.New("upstream: the head of the response is too long")

// headLimiter reads from a connection and bounds what is read of the heads of responses: an
// endpoint may send bytes without an end that are no response. It belongs to one goroutine.
type headLimiter struct {
	nc     net.Conn
	left   int         // bytes that may still be read
	inHead bool        // a head is being read
	timer  *time.Timer // closes the connection; nil before the first byte of a head
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
	if n > 0 && l.timer == nil {
		l.timer = time.AfterFunc(maxHeadTime, func() { _ = l.nc.Close() })
	}
	return n, err
}

// begin is called before the first head of a response is read.
func (l *headLimiter) begin() { l.left, l.inHead = maxHead, true }

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
	l.left, l.inHead = math.MaxInt, false
}
