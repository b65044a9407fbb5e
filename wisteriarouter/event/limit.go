package event

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// Maximum number of lines of one kind logged per second. An instance at full
// load handles about 30 requests per second with two lines each. The limits
// allow five times that and keep the log below 200 KB/s when one kind floods
// it.
const (
	ordinaryPerSecond = 300
	urgentPerSecond   = 300
)

// limiter limits the rate of lines of each kind.
type limiter struct {
	mu    sync.Mutex
	kinds map[Number]*lineCount
}

// lineCount counts the lines of one kind within one second.
type lineCount struct {
	second  int64
	lines   int
	dropped int
}

// allow reports whether a line of a kind may be logged at now. For the first
// line of a new second, dropped is the number of lines dropped in the last
// second that had any; otherwise it is zero.
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
