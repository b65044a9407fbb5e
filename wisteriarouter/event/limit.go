package event

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// Lines of one kind that are logged a second, at most. An instance at full load
// handles some 30 requests a second with two lines each; the limits leave room
// for five times that, and keep the log of a flood under 200 KB/s.
const (
	ordinaryPerSecond = 300
	urgentPerSecond   = 300
)

// limiter bounds the lines of each kind.
type limiter struct {
	mu    sync.Mutex
	kinds map[Number]*lineCount
}

// lineCount is what was logged of a kind in a second.
type lineCount struct {
	second  int64
	lines   int
	dropped int
}

// allow reports whether another line of a kind may be logged. With the first
// one of a second it returns how many were dropped before.
func (l *limiter) allow(now time.Time, k Kind) (ok bool, dropped int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.kinds[k.Number]
	if c == nil {
		c = &lineCount{}
		l.kinds[k.Number] = c
	}
	if s := now.Unix(); s != c.second {
		dropped = c.dropped
		*c = lineCount{second: s}
	}
	limit := ordinaryPerSecond
	if k.Level <= logrus.WarnLevel {
		limit = urgentPerSecond
	}
	if c.lines >= limit {
		c.dropped++
		return false, dropped
	}
	c.lines++
	return true, dropped
}
