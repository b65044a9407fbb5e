package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// outcome is what a caller received for one request.
type outcome struct {
	id             string
	path           string        // the prefix of its route
	repeated       string        // the path of a request that comes again and again; empty for others
	account        string        // empty for clientAccount
	deadline       time.Duration // zero for callerDeadline
	surge          bool          // sent while an account surges
	part           string        // of its prompt that crashes endpoints; empty for others
	sent           time.Time     // only set for requests that crash endpoints
	inTouch        bool          // neither its router nor the store had a fault for contactTime before it
	status         int           // 0 if no response headers were received
	served         bool
	err            error
	disconnectedAt time.Time // when the caller disconnected; zero if it stayed or its router had a fault
}

// target returns the path that the request has.
func (o outcome) target() string {
	if o.repeated != "" {
		return o.repeated
	}
	return o.path + o.id
}

// prompt returns the parts of the request's prompt.
func (o outcome) prompt() string {
	if o.part != "" {
		return "aa:50," + o.part + ":40," + o.id + ":10"
	}
	return "aa:50,bb:40," + o.id + ":10"
}

// repeatable reports whether the request may run more than once.
func (o outcome) repeatable() bool {
	return o.path == "/safe/" || o.path == "/resumable/" || o.path == "/long/" || o.path == releasePath || o.path == unevenPath || o.path == piecesPath
}

// timeout returns the deadline that the caller sets on the request.
func (o outcome) timeout() time.Duration {
	if o.deadline > 0 {
		return o.deadline
	}
	return callerDeadline
}

// tenant returns the client account of the request.
func (o outcome) tenant() string {
	if o.account != "" {
		return o.account
	}
	return clientAccount
}

// notRun reports whether the response promises that the request did not run.
func (o outcome) notRun() bool {
	return slices.Contains(promises, o.status)
}

// load is the set of callers of a soak, with their load balancer.
type load struct {
	soak   *soak
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	lastID atomic.Int64
	ready  atomic.Pointer[[]*router] // routers that the load balancer selects from
	// named and unnamed count the streams of endpoints of several versions, by whether their
	// callers name them.
	named, unnamed releaseTally

	mu  sync.Mutex
	all []outcome
}

func newLoad(s *soak) *load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{soak: s, ctx: ctx, cancel: cancel}
	l.ready.Store(&s.routers)
	return l
}

func (l *load) start() {
	l.wg.Go(l.runBalancer)
	for n := range l.soak.opts.Callers {
		c := &caller{load: l, rng: rand.New(rand.NewPCG(l.soak.opts.Seed, uint64(100+n))), client: l.newClient()}
		l.wg.Go(c.run)
	}
	l.wg.Go((&disconnectingCaller{load: l, rng: rand.New(rand.NewPCG(l.soak.opts.Seed, 99))}).run)
	for n := range slowCallers {
		l.wg.Go((&slowCaller{load: l, rng: rand.New(rand.NewPCG(l.soak.opts.Seed, uint64(50+n)))}).run)
	}
	if l.soak.opts.Versions {
		for n := range releaseCallers {
			c := &resumingCaller{load: l, rng: rand.New(rand.NewPCG(l.soak.opts.Seed, uint64(200+n))), tally: &l.unnamed}
			if n%2 == 0 {
				c.named, c.tally = true, &l.named
			}
			l.wg.Go(c.run)
		}
	}
	if l.soak.opts.Uneven {
		for n := range calmCallers * len(calmAccounts) {
			rng := rand.New(rand.NewPCG(l.soak.opts.Seed, uint64(300+n)))
			l.wg.Go((&unevenCaller{load: l, rng: rng, client: l.newClient(), account: calmAccounts[n%len(calmAccounts)]}).run)
		}
	}
	if l.soak.opts.Order {
		for n := range max(minPieceCallers, l.soak.opts.Callers) {
			l.wg.Go((&pieceCaller{load: l, rng: rand.New(rand.NewPCG(l.soak.opts.Seed, uint64(1000+n))), n: n}).run)
		}
	}
	for _, r := range l.soak.routers {
		l.wg.Go((&prober{load: l, router: r}).run)
	}
}

// slowCallers is the number of callers that send their requests slowly.
const slowCallers = 8

func (l *load) stop() {
	l.cancel()
	l.wg.Wait()
}

// balanceInterval is the time between two readiness checks of the routers.
const balanceInterval = 500 * time.Millisecond

// runBalancer maintains the list of ready routers, or of all routers if none is
// ready.
func (l *load) runBalancer() {
	t := time.NewTicker(balanceInterval)
	defer t.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-t.C:
		}
		var ready []*router
		for _, r := range l.soak.routers {
			if r.isReady() {
				ready = append(ready, r)
			}
		}
		if len(ready) == 0 {
			ready = l.soak.routers
		}
		l.ready.Store(&ready)
	}
}

// newClient returns a client that keeps idle connections open for up to a minute
// and reuses them until their router closes them. Endpoints compare with its requests what
// reaches them.
func (l *load) newClient() *http.Client {
	return &http.Client{Transport: l.soak.inspector.Transport(&http.Transport{DisableCompression: true, IdleConnTimeout: time.Minute})}
}

// caller sends requests sequentially.
type caller struct {
	load   *load
	rng    *rand.Rand
	client *http.Client
}

// callerPause is the mean pause between two requests of a caller.
const callerPause = 60 * time.Millisecond

func (c *caller) run() {
	paths := []string{"/safe/", "/unsafe/", "/stream/", "/resumable/"}
	for c.load.ctx.Err() == nil {
		ready := *c.load.ready.Load()
		r := ready[c.rng.IntN(len(ready))]
		path := paths[c.rng.IntN(len(paths))]
		c.load.record(c.load.send(c.client, r, path, steadyKey))
		time.Sleep(time.Duration(c.rng.Int64N(int64(2 * callerPause))))
	}
}

func (l *load) record(o outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, o)
}

func (l *load) outcomes() []outcome {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]outcome(nil), l.all...)
}

func (l *load) count() int { return len(l.outcomes()) }

func (l *load) countServed() (n int) {
	for _, o := range l.outcomes() {
		if o.served {
			n++
		}
	}
	return n
}

// disconnectingCaller requests long streams and disconnects in the middle of each.
type disconnectingCaller struct {
	load *load
	rng  *rand.Rand
}

// disconnectPause is the mean pause between two requests of a disconnectingCaller.
const disconnectPause = 300 * time.Millisecond

func (c *disconnectingCaller) run() {
	for c.load.ctx.Err() == nil {
		ready := *c.load.ready.Load()
		c.disconnect(ready[c.rng.IntN(len(ready))])
		time.Sleep(time.Duration(c.rng.Int64N(int64(2 * disconnectPause))))
	}
}

// disconnect sends a request and disconnects 50 ms to 250 ms later. What endpoints
// do afterwards is checked only if the router had no fault shortly before and
// after the disconnect.
func (c *disconnectingCaller) disconnect(r *router) {
	ctx, cancel := context.WithTimeout(c.load.ctx, time.Duration(50+c.rng.IntN(200))*time.Millisecond)
	defer cancel()
	client := c.load.newClient()
	o := c.load.sendContext(ctx, client, r, "/long/", steadyKey)
	client.CloseIdleConnections()
	at := time.Now()
	time.Sleep(2 * disconnectSlack)
	if r.healthySince(at.Add(-2 * disconnectSlack)) {
		o.disconnectedAt = at
	}
	c.load.record(o)
}

// sendOnce sends a request on a new connection and records its outcome.
func (l *load) sendOnce(r *router, path string) outcome {
	client := l.newClient()
	defer client.CloseIdleConnections()
	o := l.send(client, r, path, steadyKey)
	l.record(o)
	return o
}

// callerDeadline is the deadline that callers set on their requests.
const callerDeadline = 4 * time.Second

// The body of each request, and the client account that owns the API keys.
const (
	requestBody   = "body"
	clientAccount = "acme"
)

// send sends a request and checks the answer. It waits for up to a second longer
// than callerDeadline.
func (l *load) send(client *http.Client, r *router, path, key string) outcome {
	ctx, cancel := context.WithTimeout(context.Background(), callerDeadline+time.Second)
	defer cancel()
	return l.sendContext(ctx, client, r, path, key)
}

// sendContext sends a request, checks the answer, and disconnects when ctx ends.
func (l *load) sendContext(ctx context.Context, client *http.Client, r *router, path, key string) outcome {
	o := outcome{id: fmt.Sprintf("q%d", l.lastID.Add(1)), path: path}
	l.exchange(ctx, client, r, &o, key)
	return o
}

// exchange sends the request of o, and records what its caller received.
func (l *load) exchange(ctx context.Context, client *http.Client, r *router, o *outcome, key string) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.callerAddress+o.target(), strings.NewReader(requestBody))
	if err != nil {
		o.err = err
		return
	}
	req.GetBody = nil // prevents the client from resending the request by itself
	req.Host = "soak.example"
	req.Header.Set("X-Attempt-Id", o.id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(o.timeout().Milliseconds()))
	req.Header.Set("Authorization", "Bearer "+key)
	if isStream(o.path) {
		req.Header.Set("X-Token-Usage", "100,10")
		req.Header.Set("X-Prefix-Hash", o.prompt())
	}
	resp, err := client.Do(req)
	if err != nil {
		o.err = err
		return
	}
	defer func() { _ = resp.Body.Close() }()
	o.status = resp.StatusCode
	l.checkHead(o.id, key, resp)
	body, err := io.ReadAll(resp.Body)
	o.err = err
	l.checkAnswer(o, resp, string(body))
}

// checkAnswer reports a violation if a successful response contains bytes or an
// attempt ID that do not belong to the request, or looks complete but is not. It
// sets o.served if the answer is complete.
func (l *load) checkAnswer(o *outcome, resp *http.Response, body string) {
	if o.status != http.StatusOK {
		return
	}
	want := "done " + o.id
	if resp.Header.Get("Content-Type") == "text/event-stream" {
		want = streamBody(eventCount(o.path))
	}
	switch {
	case o.err != nil && !strings.HasPrefix(want, body):
		l.soak.reportViolation("request %s %s got bytes that are not its answer: %q", o.id, o.path, body)
	case o.err == nil && body != want:
		l.soak.reportViolation("request %s %s got an answer that looks whole and is not: %q", o.id, o.path, body)
	case resp.Header.Get("X-Attempt-Id") != o.id:
		l.soak.reportViolation("request %s %s got the answer to %q", o.id, o.path, resp.Header.Get("X-Attempt-Id"))
	}
	o.served = o.err == nil && body == want
}

// The number of events per stream. A stream of manyEvents takes 1.5 s.
const (
	fewEvents  = 5
	manyEvents = 100
)

func eventCount(path string) int {
	if path == "/long/" {
		return manyEvents
	}
	return fewEvents
}

// streamBody returns the body of a complete stream with the given number of
// events.
func streamBody(events int) string {
	var b strings.Builder
	for n := 1; n <= events; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: token %d\n\n", n, n)
	}
	return b.String()
}
