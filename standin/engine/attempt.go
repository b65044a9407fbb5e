package engine

import (
	"container/heap"
	"time"
)

// phase is where an attempt stands.
type phase int

const (
	waiting phase = iota
	running
	finished  // all tokens are there
	cancelled // by call, or for want of a reader
)

// attempt is one request that the engine accepted. The engine's lock guards
// its fields.
type attempt struct {
	id       string
	chat     string
	priority int
	seq      int // of arrival
	request  Request

	hash      uint64
	prompt    []string // tokens of the prompt, a partial answer included
	cached    int      // prompt tokens found in the cache
	had       int      // answer tokens in the prompt
	generated int      // answer tokens generated here
	total     int      // length of the whole answer

	phase   phase
	readyAt time.Time     // end of the prefill
	readers int           // connections that read the answer
	read    bool          // a reader got the whole answer
	unread  int           // counts the times that the last reader left
	changed chan struct{} // closed at the next change
}

// delivered returns the offset of the last token there is.
func (a *attempt) delivered() int { return a.had + a.generated }

func (a *attempt) ended() bool { return a.phase == finished || a.phase == cancelled }

// wake tells the readers that something changed.
func (a *attempt) wake() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// queue is a heap of waiting attempts: higher priority first, then arrival.
type queue []*attempt

func (q queue) Len() int      { return len(q) }
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q queue) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority > q[j].priority
	}
	return q[i].seq < q[j].seq
}

// Push is for package heap.
func (q *queue) Push(x any) { *q = append(*q, x.(*attempt)) }

// Pop is for package heap.
func (q *queue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// remove takes a out of the queue, if it is there.
func (q *queue) remove(a *attempt) {
	for i, other := range *q {
		if other == a {
			heap.Remove(q, i)
			return
		}
	}
}
