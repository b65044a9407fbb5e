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
	Delay   time.Duration // between two events, and for a whole answer
	// Unregistered leaves it to the caller to list the replica.
	Unregistered bool
}

// Faults are what goes wrong at the replica.
type Faults struct {
	CutAfter    int  // a stream is cut in the middle of the event behind this many; 0 is never
	CutResponse bool // a whole answer is made and its connection is cut
	Status      int  // of answers in place of 200
	StatusCount int  // how many answers have Status; 0 is all
	RefuseAll   bool // everything is turned away as not run
	NoResponse  bool // a request is run, and no answer ever comes
	// ExtraDelay is how much longer an answer, or the first event of one, takes.
	ExtraDelay time.Duration
	// Every limits these faults to each so-manieth request; all if zero.
	Every int
	// PathPrefix limits these faults to requests whose path begins so; all if empty.
	PathPrefix string
	// CrashPath is a path whose requests crash the replica as they begin to run.
	CrashPath string
}

// Arrival is one request that was run.
type Arrival struct {
	ID           string
	Path         string
	Tenant       string
	LastEventID  string // id of the last event that the caller has
	KVFetch      string
	Body         string
	Timeout      time.Duration // in which the answer is wanted; zero if none was named
	StartedAt    time.Time     // when it came
	EndedAt      time.Time     // when its run ended, in whatever way; zero while it runs
	Completed    bool          // it ran to its end
	Disconnected bool          // the caller went away
}

// Replica is the stand-in.
type Replica struct {
	opts            Options
	store           *hub.Store
	listener        net.Listener
	server          *http.Server
	startedAtMillis int64
	registeredAddr  string // address in the entry

	mu           sync.Mutex
	faults       Faults
	requestCount int // requests since the start
	running      int
	queue        []*slotWaiter // requests that wait for a slot, the oldest first
	arrivals     []*Arrival
	state        string
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
	r := &Replica{opts: o, store: store, listener: l, startedAtMillis: time.Now().UnixMilli(), state: "ready"}
	r.server = &http.Server{Handler: r}
	r.registeredAddr = r.Address()
	go r.run()
	if !o.Unregistered {
		r.Register()
	}
	return r, func() { _ = r.server.Close() }, nil
}

func (r *Replica) run() { _ = r.server.Serve(r.listener) }

// Address returns where the replica listens.
func (r *Replica) Address() string { return r.listener.Addr().String() }

// Key returns the key of the replica's entry.
func (r *Replica) Key() string { return "servers/" + r.opts.ID }

// RegisterAt lists the replica at another address, such as that of a proxy.
func (r *Replica) RegisterAt(address string) {
	r.mu.Lock()
	r.registeredAddr = address
	r.mu.Unlock()
	r.Register()
}

// Register writes the replica's entry.
func (r *Replica) Register() {
	r.mu.Lock()
	state, address := r.state, r.registeredAddr
	r.mu.Unlock()
	entry, err := json.Marshal(map[string]any{
		"backend": r.opts.Service, "address": address, "zone": r.opts.Zone, "version": "v1",
		"slots": r.opts.Slots, "state": state, "coldLeftMs": 0, "seqno": 1, "born": r.startedAtMillis,
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
	r.Register()
}

// SetFaults sets what goes wrong from now on.
func (r *Replica) SetFaults(f Faults) {
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
	defer r.finish(a)
	if f.CrashPath != "" && f.CrashPath == a.Path {
		_ = r.server.Close() // with all its connections
		panic(http.ErrAbortHandler)
	}
	r.readBody(req, a)
	if f.NoResponse {
		<-req.Context().Done()
		r.withLock(func() { a.Disconnected = true })
		return
	}
	if f.ExtraDelay > 0 && !r.wait(req, a, f.ExtraDelay) {
		return
	}
	h.Set("X-Attempt-Id", a.ID)
	h.Set("X-Server-Signature", r.opts.ID+"."+a.ID)
	h.Set("X-Instance-Load", fmt.Sprintf("%d,0,%d", r.runningCount(), r.opts.Slots))
	if req.Header.Get("X-Token-Usage") != "" && f.Status == 0 {
		r.serveStream(w, req, a, f)
		return
	}
	r.serveWhole(w, req, a, f)
}

// slotWaiter is a request's wait for a slot.
type slotWaiter struct {
	granted chan struct{} // closed when the request has a slot
}

// admit gives a request a slot, and reports false if it is turned away as not run:
// at once if too many wait, or when its time is up.
func (r *Replica) admit(req *http.Request) (*Arrival, Faults, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.faults.RefuseAll || !r.acquireSlot(req) {
		return nil, r.faults, false
	}
	return r.recordArrival(req)
}

// acquireSlot takes a slot and reports whether there is one in time. The caller holds
// r.mu, which is free while the request waits.
func (r *Replica) acquireSlot(req *http.Request) bool {
	if r.running < r.opts.Slots {
		r.running++
		return true
	}
	if len(r.queue) >= r.opts.Slots/2 {
		return false
	}
	t := &slotWaiter{granted: make(chan struct{})}
	r.queue = append(r.queue, t)
	r.mu.Unlock()
	defer r.mu.Lock()
	return r.awaitSlot(req, t)
}

// awaitSlot waits for a slot, for as long as the caller waits.
func (r *Replica) awaitSlot(req *http.Request, t *slotWaiter) bool {
	var expired <-chan time.Time
	if left := callerTimeout(req); left > 0 {
		expired = time.After(left)
	}
	select {
	case <-t.granted:
		return true
	case <-expired:
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

// releaseSlot passes a slot on to the request that has waited longest. The caller holds
// r.mu.
func (r *Replica) releaseSlot() {
	if len(r.queue) == 0 {
		r.running--
		return
	}
	close(r.queue[0].granted)
	r.queue = r.queue[1:]
}

// callerTimeout returns how long a request's caller waits; zero if it does not say.
func callerTimeout(req *http.Request) time.Duration {
	ms, _ := strconv.Atoi(req.Header.Get("X-Deadline-Ms")) // none is zero
	return time.Duration(ms) * time.Millisecond
}

// recordArrival notes a request that begins to run. The caller holds r.mu.
func (r *Replica) recordArrival(req *http.Request) (*Arrival, Faults, bool) {
	a := &Arrival{
		StartedAt: time.Now(), Timeout: callerTimeout(req),
		ID: req.Header.Get("X-Attempt-Id"), Path: req.URL.Path, Tenant: req.Header.Get("X-Tenant"),
		LastEventID: req.Header.Get("Last-Event-Id"), KVFetch: req.Header.Get("Kv-Fetch"),
	}
	r.arrivals = append(r.arrivals, a)
	f := r.faults
	r.requestCount++
	if !strings.HasPrefix(a.Path, f.PathPrefix) || f.Every > 0 && r.requestCount%f.Every != 0 {
		return a, Faults{}, true
	}
	if r.faults.StatusCount == 1 {
		r.faults = Faults{}
	}
	r.faults.StatusCount = max(r.faults.StatusCount-1, 0)
	return a, f, true
}

func (r *Replica) runningCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.running
}

func (r *Replica) finish(a *Arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.releaseSlot()
	a.EndedAt = time.Now()
}

// readBody reads the whole body: else the server would not notice that a caller
// leaves. A body that breaks off is kept as far as it came.
func (r *Replica) readBody(req *http.Request, a *Arrival) {
	body, _ := io.ReadAll(req.Body)
	r.withLock(func() { a.Body = string(body) })
}

func (r *Replica) withLock(fn func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fn()
}

// waitDelay waits between two events and reports whether the caller is still there.
func (r *Replica) waitDelay(req *http.Request, a *Arrival) bool {
	return r.wait(req, a, r.opts.Delay)
}

// wait waits and reports whether the caller is still there.
func (r *Replica) wait(req *http.Request, a *Arrival, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-req.Context().Done():
		r.withLock(func() { a.Disconnected = true })
		return false
	}
}

func (r *Replica) serveWhole(w http.ResponseWriter, req *http.Request, a *Arrival, f Faults) {
	if !r.waitDelay(req, a) {
		return
	}
	r.withLock(func() { a.Completed = true })
	if f.CutResponse {
		panic(http.ErrAbortHandler)
	}
	if f.Status != 0 {
		w.WriteHeader(f.Status)
	}
	_, _ = w.Write([]byte("done " + a.ID)) // the caller may have gone
}

// serveStream sends events numbered from 1, behind the last one that the caller has.
func (r *Replica) serveStream(w http.ResponseWriter, req *http.Request, a *Arrival, f Faults) {
	lastID, _ := strconv.Atoi(a.LastEventID) // none is zero
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w).Flush
	for n := lastID + 1; n <= r.opts.Events; n++ {
		if !r.waitDelay(req, a) {
			return
		}
		event := fmt.Sprintf("id: %d\ndata: token %d\n\n", n, n)
		if f.CutAfter > 0 && n > f.CutAfter {
			_, _ = w.Write([]byte(event[:len(event)/2]))
			_ = flush()
			panic(http.ErrAbortHandler)
		}
		if _, err := w.Write([]byte(event)); err != nil || flush() != nil {
			r.withLock(func() { a.Disconnected = true })
			return
		}
	}
	r.withLock(func() { a.Completed = true })
}
