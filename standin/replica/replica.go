// Package replica simulates an endpoint behind routers that relay plain HTTP. It
// registers itself in the simulated store, answers requests with a single response
// or a stream of events, records the requests it runs, and injects faults on
// request.
package replica

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"wisteriaspool/standin/hub"
	"wisteriaspool/standin/loopback"
)

// Options configures a Replica.
type Options struct {
	ID      string
	Service string
	Zone    string
	Slots   int           // requests run at a time; 0 means 8. Half as many may wait for a slot
	Events  int           // number of events in a stream; 0 means 5
	Version string        // of the replica's software, which marks its events; empty means v1, without a mark
	Delay   time.Duration // before each event of a stream, and before a single response
	// Unregistered leaves it to the caller to register the replica.
	Unregistered bool
	// Undelimited makes responses have neither a length nor chunks. They end with
	// their connection.
	Undelimited bool
	// CrashMark makes each request whose path contains it crash the replica when it has
	// run for Delay. The replica then calls OnCrash once, which has to end it, and never
	// answers the request. Empty means none.
	CrashMark string
	OnCrash   func()
	// CrashPart does the same for each request whose prompt has a part that begins so, but
	// not as its last one. The request runs for Delay, and CrashEvents events of its response are
	// sent first: only the head if zero, nothing if negative.
	CrashPart   string
	CrashEvents int
	// Pace multiplies Delay; 0 means 1. With a PacePeriod, Pace and SlowPace alternate, each
	// for that long. The pace is read when a delay begins.
	Pace       float64
	SlowPace   float64
	PacePeriod time.Duration
	// SlowAbove is the number of running requests above which work slows down: each further
	// one adds SlowBy times the delay. 0 means never.
	SlowAbove int
	SlowBy    float64
	// Reports selects what responses report; FalsePace is the pace of false reports, in
	// percent.
	Reports   Reports
	FalsePace int
	// Serve, if set, writes the responses to requests that run, in place of the replica.
	Serve http.HandlerFunc
	// Inspector checks the requests of routers; nil means one of the replica's own.
	Inspector *Inspector
}

// Faults selects the faults that the replica injects.
type Faults struct {
	CutAfter int  // a stream is cut in the middle of the event after this many; 0 means never, a negative number before the first event
	CutBytes int  // bytes of that event that are sent before the cut; 0 means half of it, a negative number none
	CutLate  bool // a single response is completed, but the connection breaks before it is sent
	// CutInOrder makes a cut response end as a complete one does, in place of a reset
	// of its connection.
	CutInOrder bool
	// CutExits makes the replica's process end with a cut response, also with a single
	// one.
	CutExits bool
	Status   int  // replaces status 200; 0 means no change
	Times    int  // number of requests to which these faults apply; 0 means all
	Full     bool // every request is refused as not run, regardless of Every, Only and Times
	// FullEvery refuses every n-th request like Full; 0 means none.
	FullEvery  int
	RetryAfter string // of refusals; empty for none
	// Stall is how long a refusal or a failure is held back before the end of its
	// body.
	Stall time.Duration
	Mute  bool // requests run but are never answered
	// Endless makes the second event of each stream go on until the caller disconnects.
	Endless bool
	// Slow is an extra delay before a response or the first event of a stream.
	Slow time.Duration
	// Every limits these faults to every n-th request; 0 means all requests.
	Every int
	// Only limits these faults to requests whose path has this prefix; empty
	// means all.
	Only string
	// Crash is a path whose requests crash the replica when they begin to run.
	Crash string
}

// Arrival records one request that began to run.
type Arrival struct {
	ID           string
	Path         string
	Tenant       string
	Credentials  []string // values of Authorization
	LastEventID  string   // id of the last event that the caller has received, from Last-Event-Id
	KVFetch      string
	Prompt       string // the parts of the prompt, from X-Prefix-Hash
	Body         string
	Timeout      time.Duration // time that the caller allows for the response; 0 means none given
	StartedAt    time.Time     // when the request began to run
	EndedAt      time.Time     // when the run ended for any reason; zero while it runs
	Completed    bool          // the run completed
	Disconnected bool          // the caller disconnected
}

// Replica is a simulated endpoint. Its methods are safe for concurrent use.
type Replica struct {
	opts            Options
	store           *hub.Store
	listener        *net.TCPListener
	server          *http.Server
	startedAt       time.Time
	startedAtMillis int64
	registeredAddr  string       // address in the store entry
	endless         atomic.Int64 // bytes written of endless events
	seqno           int          // of the latest store entry

	crash sync.Once

	mu           sync.Mutex
	conns        map[*inspectedConn]struct{}
	ending       bool // the process ends; connections are accepted and not served
	faults       Faults
	requestCount int // requests that began to run
	offered      int // requests that arrived
	running      int
	setPace      float64       // pace set while the replica runs; 0 means that of the options
	queue        []*slotWaiter // requests waiting for a slot, oldest first
	arrivals     []*Arrival
	refusals     []time.Time // when requests were refused
	state        string
	leaving      bool      // responses say that the replica leaves
	brittle      int       // rejections within a second above which the replica crashes; 0 means any number
	coldUntil    time.Time // until when the replica reports itself cold
}

// Start starts a replica on a loopback port and registers it in the store. The
// returned function simulates a process that ends abruptly: it closes all
// connections and leaves the store entry in place. Start returns an error if it
// cannot listen.
func Start(store *hub.Store, o Options) (*Replica, func(), error) {
	if o.Slots == 0 {
		o.Slots = 8
	}
	if o.Events == 0 {
		o.Events = 5
	}
	if o.Inspector == nil {
		o.Inspector = NewInspector()
	}
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.ParseIP(loopback.Host())})
	if err != nil {
		return nil, nil, err
	}
	r := &Replica{opts: o, store: store, listener: l, startedAt: time.Now(), startedAtMillis: time.Now().UnixMilli(), state: "ready", conns: make(map[*inspectedConn]struct{})}
	r.server = &http.Server{Handler: r}
	r.registeredAddr = r.Address()
	go r.run()
	if !o.Unregistered {
		r.Register()
	}
	return r, func() { _ = r.server.Close() }, nil
}

func (r *Replica) run() { _ = r.server.Serve(inspectedListener{r.listener, r}) }

// Address returns the host and port on which the replica listens.
func (r *Replica) Address() string { return r.listener.Addr().String() }

// Version returns the version of the replica's software; empty if it marks no events.
func (r *Replica) Version() string { return r.opts.Version }

// Key returns the key of the replica's store entry.
func (r *Replica) Key() string { return "servers/" + r.opts.ID }

// RegisterAt registers the replica at another address, such as that of a proxy.
func (r *Replica) RegisterAt(address string) {
	r.mu.Lock()
	r.registeredAddr = address
	r.mu.Unlock()
	r.Register()
}

// Register writes the replica's entry to the store.
func (r *Replica) Register() {
	r.mu.Lock()
	r.seqno++
	seqno, state, address := r.seqno, r.state, r.registeredAddr
	cold := max(time.Until(r.coldUntil), 0)
	r.mu.Unlock()
	version := r.opts.Version
	if version == "" {
		version = "v1"
	}
	entry, err := json.Marshal(map[string]any{
		"backend": r.opts.Service, "address": address, "zone": r.opts.Zone, "version": version,
		"slots": r.opts.Slots, "state": state, "coldLeftMs": cold.Milliseconds(), "seqno": seqno, "born": r.startedAtMillis,
	})
	if err != nil {
		panic("replica: encoding an entry: " + err.Error())
	}
	r.store.Put(r.Key(), entry)
}

// Drain sets the replica's state to draining in its store entry.
func (r *Replica) Drain() {
	r.mu.Lock()
	r.state = "draining"
	r.mu.Unlock()
	r.Register()
}

// SayLeaving makes responses say that the replica leaves, whatever its store entry says.
func (r *Replica) SayLeaving() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = true
}

// SetBrittle makes the replica crash if it rejects more than n requests within a second,
// which its responses say. Zero ends that.
func (r *Replica) SetBrittle(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.brittle = n
}

// recordRefusal records a refusal and reports whether the replica crashes of it.
func (r *Replica) recordRefusal() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.refusals = append(r.refusals, now)
	recent := 0
	for _, at := range r.refusals {
		if now.Sub(at) < time.Second {
			recent++
		}
	}
	return r.brittle > 0 && recent > r.brittle
}

// Refusals returns when requests were refused.
func (r *Replica) Refusals() []time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.refusals)
}

// SetCold makes the replica report itself cold for d from now on.
func (r *Replica) SetCold(d time.Duration) {
	r.mu.Lock()
	r.coldUntil = time.Now().Add(d)
	r.mu.Unlock()
	r.Register()
}

// SetFaults replaces the faults for requests from now on.
func (r *Replica) SetFaults(f Faults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = f
}

// EndlessBytes returns the number of bytes written of endless events.
func (r *Replica) EndlessBytes() int64 { return r.endless.Load() }

// Arrivals returns copies of the records of all requests that began to run.
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
	w.Header().Set("X-Instance-Id", r.opts.ID)
	if id := req.Header.Get("X-Attempt-Id"); id != "" {
		w.Header().Set("X-Attempt-Id", id)
	}
	if status := r.inspect(req); status != 0 {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(status)
		return
	}
	if expected := req.Header.Get("X-Expect-Instance"); expected != "" && expected != r.opts.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	a, f, ok := r.admit(req)
	r.setWords(w.Header())
	if !ok {
		if r.recordRefusal() {
			r.exit()
			panic(http.ErrAbortHandler)
		}
		if f.RetryAfter != "" {
			w.Header().Set("Retry-After", f.RetryAfter)
		}
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		r.stall(w, req, f)
		return
	}
	defer r.finish(a)
	if r.opts.Undelimited {
		var end func()
		w, end = newUndelimitedWriter(w)
		defer end()
	}
	if f.Crash != "" && f.Crash == a.Path {
		r.exit()
		panic(http.ErrAbortHandler)
	}
	r.readBody(req, a)
	if r.opts.CrashMark != "" && strings.Contains(a.Path, r.opts.CrashMark) {
		time.Sleep(r.opts.Delay)
		r.runCrash(req, a)
		return
	}
	if r.opts.CrashPart != "" && HasPart(a.Prompt, r.opts.CrashPart) {
		time.Sleep(r.opts.Delay)
		r.beginResponse(w, a)
		r.runCrash(req, a)
		return
	}
	if f.Mute {
		<-req.Context().Done()
		r.withLock(func() { a.Disconnected = true })
		return
	}
	if f.Slow > 0 && !r.wait(req, a, f.Slow) {
		return
	}
	r.setHead(w.Header(), a)
	if r.opts.Serve != nil {
		r.opts.Serve(w, req)
		return
	}
	if req.Header.Get("X-Token-Usage") != "" && f.Status == 0 {
		r.serveStream(w, req, a, f)
		return
	}
	r.serveSingle(w, req, a, f)
}

// stall sends the headers of a response and holds the rest back.
func (r *Replica) stall(w http.ResponseWriter, req *http.Request, f Faults) {
	if f.Stall == 0 {
		return
	}
	_ = http.NewResponseController(w).Flush() // an error means that the caller disconnected
	select {
	case <-time.After(f.Stall):
	case <-req.Context().Done():
	}
}

// callerTimeout returns the timeout that a request's caller specifies, or zero if
// there is none.
func callerTimeout(req *http.Request) time.Duration {
	ms, _ := strconv.Atoi(req.Header.Get("X-Deadline-Ms")) // a missing header means zero
	return time.Duration(ms) * time.Millisecond
}

// recordArrival records a request that begins to run and returns the faults that
// apply to it. The caller holds r.mu.
func (r *Replica) recordArrival(req *http.Request) (*Arrival, Faults, bool) {
	a := &Arrival{
		StartedAt: time.Now(), Timeout: callerTimeout(req),
		ID: req.Header.Get("X-Attempt-Id"), Path: req.URL.Path, Tenant: req.Header.Get("X-Tenant"),
		Credentials: req.Header.Values("Authorization"),
		LastEventID: req.Header.Get("Last-Event-Id"), KVFetch: req.Header.Get("Kv-Fetch"),
		Prompt: req.Header.Get("X-Prefix-Hash"),
	}
	r.arrivals = append(r.arrivals, a)
	f := r.faults
	r.requestCount++
	if !strings.HasPrefix(a.Path, f.Only) || f.Every > 0 && r.requestCount%f.Every != 0 {
		return a, Faults{}, true
	}
	if r.faults.Times == 1 {
		r.faults = Faults{}
	}
	r.faults.Times = max(r.faults.Times-1, 0)
	return a, f, true
}

// setHead sets the headers of a response to a request that runs.
func (r *Replica) setHead(h http.Header, a *Arrival) {
	h.Set("X-Attempt-Id", a.ID)
	h.Set("X-Server-Signature", r.opts.ID+"."+a.ID)
	r.setReport(h)
}

// setWords sets the headers that say of the replica itself.
func (r *Replica) setWords(h http.Header) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leaving {
		h.Set("Server-Leaving", "1")
	}
	if r.brittle > 0 {
		h.Set("Server-Brittle", strconv.Itoa(r.brittle))
	}
}

func (r *Replica) runningCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.running
}

// finish records the end of a run and releases its slot.
func (r *Replica) finish(a *Arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.releaseSlot()
	a.EndedAt = time.Now()
}

// readBody reads the body to its end, because the server detects that a caller
// disconnects only after that. An incomplete body is recorded as far as it was
// received.
func (r *Replica) readBody(req *http.Request, a *Arrival) {
	body, err := io.ReadAll(req.Body)
	if err == nil {
		r.inspectBody(req, body)
	}
	r.withLock(func() { a.Body = string(body) })
}

func (r *Replica) withLock(fn func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fn()
}

// waitDelay waits for Options.Delay at the current pace and reports whether the caller is still
// connected.
func (r *Replica) waitDelay(req *http.Request, a *Arrival) bool {
	return r.wait(req, a, r.delay())
}

// wait waits for d and reports whether the caller is still connected.
func (r *Replica) wait(req *http.Request, a *Arrival, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-req.Context().Done():
		r.withLock(func() { a.Disconnected = true })
		return false
	}
}

// exit simulates the end of the process: no further connection is accepted.
func (r *Replica) exit() { _ = r.server.Close() }
