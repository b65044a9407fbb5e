// Package replica stands in for an endpoint behind routers that relay plain
// HTTP: it writes its entry into the store's stand-in, answers requests whole or
// as a series of events, counts what arrives, and fails as told.
package replica

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"wisteriaspool/standin/hub"
)

// Options configure a Replica.
type Options struct {
	ID      string
	Service string
	Zone    string
	Slots   int           // requests at a time; 8 if zero. Half as many wait for one
	Events  int           // of a stream; 5 if zero
	Pause   time.Duration // between two events, and for a whole answer
	// Unlisted leaves it to the caller to list the replica.
	Unlisted bool
}

// Faults are what goes wrong at the replica.
type Faults struct {
	CutAfter int  // a stream is cut in the middle of the event behind this many; 0 is never
	CutLate  bool // a whole answer is made and its connection is cut
	Status   int  // of answers in place of 200
	Times    int  // how many answers have Status; 0 is all
	Full     bool // everything is turned away as not run
	Mute     bool // a request is run, and no answer ever comes
	// Slow is how much longer an answer, or the first event of one, takes.
	Slow time.Duration
	// Every limits these faults to each so-manieth request; all if zero.
	Every int
	// Only limits these faults to requests whose path begins so; all if empty.
	Only string
	// Crash is a path whose requests crash the replica as they begin to run.
	Crash string
}

// Arrival is one request that was run.
type Arrival struct {
	ID     string
	Path   string
	Tenant string
	From   string // id of the last event that the caller has
	Fetch  string
	Body   string
	Limit  time.Duration // in which the answer is wanted; zero if none was named
	At     time.Time     // when it came
	Done   time.Time     // when its run ended, in whatever way; zero while it runs
	Ended  bool          // it ran to its end
	Left   bool          // the caller went away
}

// Replica is the stand-in.
type Replica struct {
	opts     Options
	store    *hub.Store
	listener net.Listener
	server   *http.Server
	born     int64
	listed   string // address in the entry

	mu       sync.Mutex
	faults   Faults
	met      int // requests since the start
	running  int
	queue    []*turn // requests that wait for a slot, the oldest first
	arrivals []*Arrival
	state    string
}

// Start starts a replica on loopback and lists it in the store. The function
// that it returns ends the process that it stands for, without a word.
func Start(store *hub.Store, o Options) (*Replica, func(), error) {
	if o.Slots == 0 {
		o.Slots = 8
	}
	if o.Events == 0 {
		o.Events = 5
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	r := &Replica{opts: o, store: store, listener: l, born: time.Now().UnixMilli(), state: "ready"}
	r.server = &http.Server{Handler: r}
	r.listed = r.Address()
	go r.run()
	if !o.Unlisted {
		r.List()
	}
	return r, func() { _ = r.server.Close() }, nil
}

func (r *Replica) run() { _ = r.server.Serve(r.listener) }

// Address returns where the replica listens.
func (r *Replica) Address() string { return r.listener.Addr().String() }

// Key returns the key of the replica's entry.
func (r *Replica) Key() string { return "servers/" + r.opts.ID }

// ListAt lists the replica at another address, such as that of a proxy.
func (r *Replica) ListAt(address string) {
	r.mu.Lock()
	r.listed = address
	r.mu.Unlock()
	r.List()
}

// List writes the replica's entry.
func (r *Replica) List() {
	r.mu.Lock()
	state, address := r.state, r.listed
	r.mu.Unlock()
	entry, err := json.Marshal(map[string]any{
		"backend": r.opts.Service, "address": address, "zone": r.opts.Zone, "version": "v1",
		"slots": r.opts.Slots, "state": state, "coldLeftMs": 0, "seqno": 1, "born": r.born,
	})
	if err != nil {
		panic("replica: encoding an entry: " + err.Error())
	}
	r.store.Put(r.Key(), entry)
}

// Drain announces that the replica stops.
func (r *Replica) Drain() {
	r.mu.Lock()
	r.state = "draining"
	r.mu.Unlock()
	r.List()
}

// Fail sets what goes wrong from now on.
func (r *Replica) Fail(f Faults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = f
}

// Arrivals returns what was run.
func (r *Replica) Arrivals() []Arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make([]Arrival, 0, len(r.arrivals))
	for _, a := range r.arrivals {
		all = append(all, *a)
	}
	return all
}

// ServeHTTP implements http.Handler.
func (r *Replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	h := w.Header()
	h.Set("X-Instance-Id", r.opts.ID)
	if expected := req.Header.Get("X-Expect-Instance"); expected != "" && expected != r.opts.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	a, f, ok := r.admit(req)
	if !ok {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer r.end(a)
	if f.Crash != "" && f.Crash == a.Path {
		_ = r.server.Close() // with all its connections
		panic(http.ErrAbortHandler)
	}
	r.read(req, a)
	if f.Mute {
		<-req.Context().Done()
		r.mark(func() { a.Left = true })
		return
	}
	if f.Slow > 0 && !r.wait(req, a, f.Slow) {
		return
	}
	h.Set("X-Attempt-Id", a.ID)
	h.Set("X-Server-Signature", r.opts.ID+"."+a.ID)
	h.Set("X-Instance-Load", fmt.Sprintf("%d,0,%d", r.load(), r.opts.Slots))
	if req.Header.Get("X-Token-Usage") != "" && f.Status == 0 {
		r.stream(w, req, a, f)
		return
	}
	r.whole(w, req, a, f)
}

// turn is a request's wait for a slot.
type turn struct {
	come chan struct{} // closed when the request has a slot
}

// admit gives a request a slot, and reports false if it is turned away as not run:
// at once if too many wait, or when its time is up.
func (r *Replica) admit(req *http.Request) (*Arrival, Faults, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.faults.Full || !r.takeSlot(req) {
		return nil, r.faults, false
	}
	return r.arrive(req)
}

// takeSlot takes a slot and reports whether there is one in time. The caller holds
// r.mu, which is free while the request waits.
func (r *Replica) takeSlot(req *http.Request) bool {
	if r.running < r.opts.Slots {
		r.running++
		return true
	}
	if len(r.queue) >= r.opts.Slots/2 {
		return false
	}
	t := &turn{come: make(chan struct{})}
	r.queue = append(r.queue, t)
	r.mu.Unlock()
	defer r.mu.Lock()
	return r.await(req, t)
}

// await waits for a slot, for as long as the caller waits.
func (r *Replica) await(req *http.Request, t *turn) bool {
	var late <-chan time.Time
	if left := limitOf(req); left > 0 {
		late = time.After(left)
	}
	select {
	case <-t.come:
		return true
	case <-late:
	case <-req.Context().Done():
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	i := slices.Index(r.queue, t)
	if i < 0 {
		return true // it has got a slot meanwhile
	}
	r.queue = slices.Delete(r.queue, i, i+1)
	return false
}

// freeSlot passes a slot on to the request that has waited longest. The caller holds
// r.mu.
func (r *Replica) freeSlot() {
	if len(r.queue) == 0 {
		r.running--
		return
	}
	close(r.queue[0].come)
	r.queue = r.queue[1:]
}

// limitOf returns how long a request's caller waits; zero if it does not say.
func limitOf(req *http.Request) time.Duration {
	ms, _ := strconv.Atoi(req.Header.Get("X-Deadline-Ms")) // none is zero
	return time.Duration(ms) * time.Millisecond
}

// arrive notes a request that begins to run. The caller holds r.mu.
func (r *Replica) arrive(req *http.Request) (*Arrival, Faults, bool) {
	a := &Arrival{
		At: time.Now(), Limit: limitOf(req),
		ID: req.Header.Get("X-Attempt-Id"), Path: req.URL.Path, Tenant: req.Header.Get("X-Tenant"),
		From: req.Header.Get("Last-Event-Id"), Fetch: req.Header.Get("Kv-Fetch"),
	}
	r.arrivals = append(r.arrivals, a)
	f := r.faults
	r.met++
	if !strings.HasPrefix(a.Path, f.Only) || f.Every > 0 && r.met%f.Every != 0 {
		return a, Faults{}, true
	}
	if r.faults.Times == 1 {
		r.faults = Faults{}
	}
	r.faults.Times = max(r.faults.Times-1, 0)
	return a, f, true
}

func (r *Replica) load() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.running
}

func (r *Replica) end(a *Arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.freeSlot()
	a.Done = time.Now()
}

// read reads the whole body: else the server would not notice that a caller
// leaves. A body that breaks off is kept as far as it came.
func (r *Replica) read(req *http.Request, a *Arrival) {
	body, _ := io.ReadAll(req.Body)
	r.mark(func() { a.Body = string(body) })
}

func (r *Replica) mark(fn func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fn()
}

// pause waits between two events and reports whether the caller is still there.
func (r *Replica) pause(req *http.Request, a *Arrival) bool {
	return r.wait(req, a, r.opts.Pause)
}

// wait waits and reports whether the caller is still there.
func (r *Replica) wait(req *http.Request, a *Arrival, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-req.Context().Done():
		r.mark(func() { a.Left = true })
		return false
	}
}

func (r *Replica) whole(w http.ResponseWriter, req *http.Request, a *Arrival, f Faults) {
	if !r.pause(req, a) {
		return
	}
	r.mark(func() { a.Ended = true })
	if f.CutLate {
		panic(http.ErrAbortHandler)
	}
	if f.Status != 0 {
		w.WriteHeader(f.Status)
	}
	_, _ = w.Write([]byte("done " + a.ID)) // the caller may have gone
}

// stream sends events numbered from 1, behind the last one that the caller has.
func (r *Replica) stream(w http.ResponseWriter, req *http.Request, a *Arrival, f Faults) {
	from, _ := strconv.Atoi(a.From) // none is zero
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w).Flush
	for n := from + 1; n <= r.opts.Events; n++ {
		if !r.pause(req, a) {
			return
		}
		event := fmt.Sprintf("id: %d\ndata: token %d\n\n", n, n)
		if f.CutAfter > 0 && n > f.CutAfter {
			_, _ = w.Write([]byte(event[:len(event)/2]))
			_ = flush()
			panic(http.ErrAbortHandler)
		}
		if _, err := w.Write([]byte(event)); err != nil || flush() != nil {
			r.mark(func() { a.Left = true })
			return
		}
	}
	r.mark(func() { a.Ended = true })
}
