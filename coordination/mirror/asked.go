package mirror

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"wisteriaspool/coordination"
)

// askedKept is how many calls an Asked keeps: those of the last few seconds.
const askedKept = 4

// Asked remembers the latest calls to other routers: whom a router asked, how
// long it was kept waiting, and what came of it. It tells afterwards where the
// time went when a change came late. The zero Asked is empty and ready to use.
type Asked struct {
	mu   sync.Mutex
	last []askedCall // the oldest first
}

type askedCall struct {
	to     coordination.Instance
	took   time.Duration
	result string
}

func (a *Asked) note(to coordination.Instance, took time.Duration, u Update, err error) {
	result := "nothing"
	switch {
	case err != nil:
		result = "failed"
	case u.Lost:
		result = "lost"
	case len(u.Items) > 0:
		result = "news"
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.last = append(a.last, askedCall{to: to, took: took, result: result})
	if len(a.last) > askedKept {
		a.last = a.last[1:]
	}
}

// String lists the calls, the oldest first: router, milliseconds, result.
func (a *Asked) String() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	calls := make([]string, 0, len(a.last))
	for _, c := range a.last {
		calls = append(calls, fmt.Sprintf("%s %d %s", c.to, c.took.Milliseconds(), c.result))
	}
	return strings.Join(calls, ", ")
}
