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

	hash         uint64
	prompt       []string // tokens of the prompt, a partial answer included
	cachedTokens int      // prompt tokens found in the cache
	partialLen   int      // answer tokens in the prompt
	generated    int      // answer tokens generated here
	total        int      // length of the whole answer

	phase       phase
	readyAt     time.Time     // end of the prefill
	readers     int           // connections that read the answer
	fullyRead   bool          // a reader got the whole answer
	disconnects int           // counts the times that the last reader left
	changed     chan struct{} // closed at the next change
}

// delivered returns the offset of the last token there is.
func (a *attempt) delivered() int { return a.partialLen + a.generated }

func (a *attempt) ended() bool { return a.phase == finished || a.phase == cancelled }

// notifyReaders tells the readers that something changed.
func (a *attempt) notifyReaders() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// attemptQueue is a heap of waiting attempts: higher priority first, then arrival.
type attemptQueue []*attempt

func (q attemptQueue) Len() int      { return len(q) }
func (q attemptQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q attemptQueue) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority > q[j].priority
	}
	return q[i].seq < q[j].seq
}

// Push is for package heap.
func (q *attemptQueue) Push(x any) { *q = append(*q, x.(*attempt)) }

// Pop is for package heap.
func (q *attemptQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// remove takes a out of the queue, if it is there.
func (q *attemptQueue) remove(a *attempt) {
	for i, other := range *q {
		if other == a {
			heap.Remove(q, i)
			return
		}
	}
}
