package mirror

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"wisteriaspool/coordination"
)

// maxRecentCalls is the number of calls that a CallLog keeps, which covers the
// last few seconds.
const maxRecentCalls = 4

// CallLog keeps the most recent calls to other routers: the router called, the
// duration and the result. When a change arrives late, it shows where the time
// went. The zero value is empty and ready to use.
type CallLog struct {
	mu     sync.Mutex
	recent []peerCall // oldest first
}

type peerCall struct {
	to       coordination.Instance
	duration time.Duration
	result   string
}

func (l *CallLog) record(to coordination.Instance, duration time.Duration, u Update, err error) {
	result := "nothing"
	switch {
	case err != nil:
		result = "failed"
	case u.Lost:
		result = "lost"
	case len(u.Items) > 0:
		result = "news"
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recent = append(l.recent, peerCall{to: to, duration: duration, result: result})
	if len(l.recent) > maxRecentCalls {
		l.recent = l.recent[1:]
	}
}

// String lists the calls, oldest first: router, duration in milliseconds,
// result.
func (l *CallLog) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	calls := make([]string, 0, len(l.recent))
	for _, c := range l.recent {
		calls = append(calls, fmt.Sprintf("%s %d %s", c.to, c.duration.Milliseconds(), c.result))
	}
	return strings.Join(calls, ", ")
}
