package replica

import (
	"net/http"
	"slices"
	"time"
)

// slotWaiter is a request that waits for a slot.
type slotWaiter struct {
	granted chan struct{} // closed when the request gets a slot
}

// admit acquires a slot for a request. It reports false if the request is refused
// as not run, either immediately because too many requests wait, or when the
// caller's timeout expires.
func (r *Replica) admit(req *http.Request) (*Arrival, Faults, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.offered++
	full := r.faults.Full || r.faults.FullEvery > 0 && r.offered%r.faults.FullEvery == 0
	if full || !r.acquireSlot(req) {
		return nil, r.faults, false
	}
	return r.recordArrival(req)
}

// acquireSlot acquires a slot and reports whether it got one in time. The caller
// holds r.mu, which is unlocked while the request waits.
func (r *Replica) acquireSlot(req *http.Request) bool {
	if r.running < r.opts.Slots {
		r.running++
		return true
	}
	if len(r.queue) >= r.opts.Slots/2 {
		return false
	}
	waiter := &slotWaiter{granted: make(chan struct{})}
	r.queue = append(r.queue, waiter)
	r.mu.Unlock()
	defer r.mu.Lock()
	return r.awaitSlot(req, waiter)
}

// awaitSlot waits for a slot until the caller's timeout expires or the caller
// disconnects.
func (r *Replica) awaitSlot(req *http.Request, waiter *slotWaiter) bool {
	var expired <-chan time.Time
	if left := callerTimeout(req); left > 0 {
		expired = time.After(left)
	}
	select {
	case <-waiter.granted:
		return true
	case <-expired:
	case <-req.Context().Done():
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	i := slices.Index(r.queue, waiter)
	if i < 0 {
		return true // the slot was granted concurrently
	}
	r.queue = slices.Delete(r.queue, i, i+1)
	return false
}

// releaseSlot passes the slot to the request that has waited longest, or frees it.
// The caller holds r.mu.
func (r *Replica) releaseSlot() {
	if len(r.queue) == 0 {
		r.running--
		return
	}
	close(r.queue[0].granted)
	r.queue = r.queue[1:]
}
