package replica

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

// serveSingle sends a single response.
func (r *Replica) serveSingle(w http.ResponseWriter, req *http.Request, a *Arrival, f Faults) {
	if !r.waitDelay(req, a) {
		return
	}
	r.withLock(func() { a.Completed = true })
	if f.CutLate {
		panic(http.ErrAbortHandler)
	}
	if f.Status != 0 {
		if f.Stall > 0 {
			w.Header().Set("Content-Length", strconv.Itoa(len("done "+a.ID)))
		}
		w.WriteHeader(f.Status)
		r.stall(w, req, f)
	}
	if f.CutExits {
		_, _ = w.Write([]byte("done"))
		r.exit()
		return
	}
	_, _ = w.Write([]byte("done " + a.ID)) // an error means that the caller disconnected
}

// endCut resets the connection of a cut response, unless it ends in order.
func endCut(f Faults) {
	if !f.CutInOrder {
		panic(http.ErrAbortHandler)
	}
}

// cutBytes returns how many bytes of the event in which a stream is cut are sent.
func cutBytes(f Faults, event string) int {
	if f.CutBytes == 0 {
		return len(event) / 2
	}
	return min(max(f.CutBytes, 0), len(event))
}

// event returns event n of a stream.
func (r *Replica) event(n int) string {
	if r.opts.Version == "" {
		return fmt.Sprintf("id: %d\ndata: token %d\n\n", n, n)
	}
	return fmt.Sprintf("id: %d\ndata: token %d of %s\n\n", n, n, r.opts.Version)
}

// serveStream sends the events after the last one that the caller has received.
// Events are numbered from 1.
func (r *Replica) serveStream(w http.ResponseWriter, req *http.Request, a *Arrival, f Faults) {
	lastID, _ := strconv.Atoi(a.LastEventID) // a missing id means zero
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w).Flush
	for n := lastID + 1; n <= r.opts.Events; n++ {
		if !r.waitDelay(req, a) {
			return
		}
		event := r.event(n)
		if f.Endless && n > lastID+1 {
			r.serveEndlessEvent(w, event)
			return
		}
		if f.CutAfter < 0 {
			endCut(f)
			return
		}
		if f.CutAfter > 0 && n > f.CutAfter {
			if cutBytes(f, event) == len(event) {
				r.opts.Inspector.RecordEvent(a.ID, n)
			}
			_, _ = w.Write([]byte(event[:cutBytes(f, event)]))
			_ = flush()
			if f.CutExits {
				r.exit()
			}
			endCut(f)
			return
		}
		r.opts.Inspector.RecordEvent(a.ID, n)
		if _, err := w.Write([]byte(event)); err != nil || flush() != nil {
			r.withLock(func() { a.Disconnected = true })
			return
		}
	}
	r.withLock(func() { a.Completed = true })
}

// serveEndlessEvent sends an event that does not end before the caller disconnects.
func (r *Replica) serveEndlessEvent(w http.ResponseWriter, event string) {
	chunk := []byte(strings.TrimRight(event, "\n") + strings.Repeat(" more", 1000))
	for {
		n, err := w.Write(chunk)
		r.endless.Add(int64(n))
		if err != nil {
			return
		}
	}
}
