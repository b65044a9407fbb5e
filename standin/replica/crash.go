package replica

import (
	"net/http"
	"slices"
	"strings"
)

// HasPart reports whether a prompt, given as X-Prefix-Hash, has a part that begins with part,
// but not as its last one.
func HasPart(prompt, part string) bool {
	entries := strings.Split(prompt, ",")
	return slices.ContainsFunc(entries[:len(entries)-1], func(entry string) bool {
		id, _, _ := strings.Cut(entry, ":")
		return strings.HasPrefix(strings.TrimLeft(strings.ToLower(strings.TrimSpace(id)), "0"), part)
	})
}

// beginResponse sends the first events of the response to a request that crashes the
// replica.
func (r *Replica) beginResponse(w http.ResponseWriter, a *Arrival) {
	if r.opts.CrashEvents < 0 {
		return
	}
	r.setHead(w.Header(), a)
	w.Header().Set("Content-Type", "text/event-stream")
	for n := range r.opts.CrashEvents {
		r.opts.Inspector.RecordEvent(a.ID, n+1)
		_, _ = w.Write([]byte(r.event(n + 1)))
	}
	_ = http.NewResponseController(w).Flush() // an error means that the caller disconnected
}

// runCrash crashes the replica, even if the caller has disconnected, and never ends the
// response.
func (r *Replica) runCrash(req *http.Request, a *Arrival) {
	r.crash.Do(func() { go crasher{r}.run() })
	<-req.Context().Done()
	r.withLock(func() { a.Disconnected = true })
}

// crasher ends a replica that a request crashes.
type crasher struct{ replica *Replica }

func (c crasher) run() { c.replica.opts.OnCrash() }
