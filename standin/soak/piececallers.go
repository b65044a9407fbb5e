package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The routes of the service whose streams are checked piece by piece: one whose streams may be
// resumed, and one whose requests may run once.
const (
	piecesPath = "/pieces/"
	oncePath   = "/once/"
)

const (
	// minPieceCallers is the least number of callers of the service.
	minPieceCallers = 16
	// pieceTries is how often a caller asks for a stream.
	pieceTries = 6
	// popularStreams is the number of paths that several callers ask for.
	popularStreams = 6
)

// pieceTally counts the streams of the service.
type pieceTally struct {
	mu sync.Mutex
	// asked counts the streams, whole those that were received completely.
	asked, whole int
	// takenUp counts the tries to take up streams that the caller names, or does not, at a
	// router in step, goneOn those that brought an event or the end. The first index is 1 for
	// streams that the caller names, the second for routers out of step.
	takenUp, goneOn [2][2]int
	found           []pieceFinding
}

// pieceFinding is a problem of a stream.
type pieceFinding struct {
	problem pieceProblem
	attempt string // of the caller that met it
	text    string
}

func boolIndex(b bool) int {
	if b {
		return 1
	}
	return 0
}

func (t *pieceTally) addStream(whole bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.asked++
	t.whole += boolIndex(whole)
}

func (t *pieceTally) addTakeUp(named, outOfStep, wentOn bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.takenUp[boolIndex(named)][boolIndex(outOfStep)]++
	t.goneOn[boolIndex(named)][boolIndex(outOfStep)] += boolIndex(wentOn)
}

func (t *pieceTally) addFinding(f pieceFinding) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.found = append(t.found, f)
}

// report prints the counts.
func (t *pieceTally) report(s *soak) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s.logf("streams checked by pieces: %d of %d complete", t.whole, t.asked)
	for named, by := range []string{"without their name", "by name"} {
		for out, where := range []string{"in step", "out of step"} {
			s.logf("streams taken up %s at routers %s: %d of %d tries went on", by, where, t.goneOn[named][out], t.takenUp[named][out])
		}
	}
	counts := make(map[pieceProblem]int)
	for _, f := range t.found {
		if f.problem == endTooEarly && s.order.runs.isOutOfBounds(f.attempt) {
			s.logf("not judged, as the end of an endpoint was not simulated in time: %s", f.text)
			continue
		}
		counts[f.problem]++
		s.reportViolation("%s", f.text)
	}
	for problem, n := range counts {
		s.logf("%d streams: %s", n, problem)
	}
}

// connSet holds the open connections of callers, so that they can be reset.
type connSet struct {
	mu    sync.Mutex
	conns map[*net.TCPConn]struct{}
}

// dial opens a connection of the set.
func (c *connSet) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	tcp := conn.(*net.TCPConn)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns[tcp] = struct{}{}
	return callerConn{tcp, c}, nil
}

// reset resets all connections.
func (c *connSet) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.conns {
		_ = conn.SetLinger(0)
		_ = conn.Close()
	}
	clear(c.conns)
}

// callerConn leaves its set when it is closed.
type callerConn struct {
	*net.TCPConn
	set *connSet
}

// Close implements net.Conn.
func (c callerConn) Close() error {
	c.set.mu.Lock()
	delete(c.set.conns, c.TCPConn)
	c.set.mu.Unlock()
	return c.TCPConn.Close()
}

// pieceCaller requests streams, checks each piece, and takes up those that break off. Its first
// tries use open connections until their router is gone.
type pieceCaller struct {
	load   *load
	rng    *rand.Rand
	n      int
	client *http.Client
	router *router // of its open connections; nil if there is none
}

// newPieceClient returns a client whose connections are reset with those of the other callers.
func (l *load) newPieceClient(keepAlive bool) *http.Client {
	return &http.Client{Transport: l.soak.inspector.Transport(&http.Transport{
		DisableCompression: true, IdleConnTimeout: time.Minute, DisableKeepAlives: !keepAlive, DialContext: l.soak.order.conns.dial,
	})}
}

func (c *pieceCaller) run() {
	c.client = c.load.newPieceClient(true)
	for n := 0; c.load.ctx.Err() == nil; n++ {
		c.stream(n)
		time.Sleep(randomBelow(c.rng, callerPause))
	}
}

// pieceStream is a stream that a caller has asked for.
type pieceStream struct {
	path  string // the prefix of its route
	key   string
	named bool   // taken up by name
	first string // the attempt that brought the first piece
	check *pieceCheck
	tries []string // what became of each
}

func (p *pieceStream) target() string   { return p.path + p.key }
func (p *pieceStream) repeatable() bool { return p.path == piecesPath }

// newStream chooses the stream with which the caller goes on.
func (c *pieceCaller) newStream(n int) *pieceStream {
	p := &pieceStream{path: piecesPath, key: fmt.Sprintf("c%d-%d", c.n, n), named: c.rng.IntN(2) == 0}
	if c.rng.IntN(3) == 0 {
		p.path = oncePath
	}
	if c.rng.IntN(5) == 0 {
		p.key = fmt.Sprint("popular", c.rng.IntN(popularStreams))
	}
	p.check = newPieceCheck(p.target(), p.repeatable())
	return p
}

// stream asks for one stream until it is complete or tries run out.
func (c *pieceCaller) stream(n int) {
	p := c.newStream(n)
	for try := range pieceTries {
		again := c.try(p, try == 0)
		if !again || p.check.complete() || c.load.ctx.Err() != nil {
			break
		}
		if c.rng.IntN(2) == 0 {
			time.Sleep(randomBelow(c.rng, 400*time.Millisecond))
		}
	}
	c.load.soak.order.tally.addStream(p.check.complete())
}

// chooseRouter returns the router of the next try, and the client with which it is made.
func (c *pieceCaller) chooseRouter(first bool) (*router, *http.Client) {
	ready := *c.load.ready.Load()
	if first {
		if c.router == nil {
			c.router = ready[c.rng.IntN(len(ready))]
		}
		return c.router, c.client
	}
	if out := c.load.soak.routersOutOfStep(); len(out) > 0 && c.rng.IntN(2) == 0 {
		return out[c.rng.IntN(len(out))], c.load.newPieceClient(false)
	}
	return ready[c.rng.IntN(len(ready))], c.load.newPieceClient(false)
}

// try asks for a stream or its rest once. It reports whether its caller may ask again.
func (c *pieceCaller) try(p *pieceStream, first bool) bool {
	r, client := c.chooseRouter(first)
	id := fmt.Sprintf("p%d", c.load.lastID.Add(1))
	had, after := p.check.got, p.check.lastID()
	outOfStep := c.load.soak.isOutOfStep(r)
	status, body, err := c.request(client, r, p, id, after)
	if err != nil && first {
		c.router = nil
	}
	c.load.record(outcome{id: id, path: p.path, repeated: p.target(), status: status})
	problem, shown := pieceProblem(""), ""
	if status == http.StatusOK {
		problem, shown = p.check.addResponse(body, err == nil)
	}
	p.tries = append(p.tries, fmt.Sprintf("%s at router %d (out of step: %v) after %q: status %d, pieces %d to %d, %v", id, r.n, outOfStep, after, status, had+1, p.check.got, err))
	if after != "" {
		c.load.soak.order.tally.addTakeUp(p.named, outOfStep, p.check.got > had)
	}
	if p.first == "" && p.check.got > 0 {
		p.first = id
	}
	if problem != "" {
		at := time.Since(c.load.soak.started).Seconds()
		text := fmt.Sprintf("at %.3f s stream %s: %s: %q; %s", at, p.target(), problem, shown, strings.Join(p.tries, "; "))
		c.load.soak.order.tally.addFinding(pieceFinding{problem, id, text})
		return false
	}
	return p.repeatable() || slices.Contains(promises, status)
}

// request sends one request and returns the status and what was received of the body. The
// error is nil if the response ended in order.
func (c *pieceCaller) request(client *http.Client, r *router, p *pieceStream, id, after string) (status int, body string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), callerDeadline+time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.callerAddress+p.target(), strings.NewReader(requestBody))
	if err != nil {
		return 0, "", err
	}
	req.GetBody = nil // prevents the client from resending the request by itself
	req.Host = "soak.example"
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(callerDeadline.Milliseconds(), 10))
	req.Header.Set("Authorization", "Bearer "+steadyKey)
	req.Header.Set("X-Token-Usage", "100,10")
	req.Header.Set("X-Prefix-Hash", "aa:50,"+p.key+":40,"+p.key+"x:10")
	if after != "" {
		req.Header.Set("Last-Event-Id", after)
		if p.named {
			req.Header.Set("Resumes", p.first)
		}
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	c.load.checkHead(id, steadyKey, resp)
	body, err = readUntilSilent(resp.Body, cancel)
	return resp.StatusCode, body, err
}

// readUntilSilent reads a body until it ends or nothing arrives for abandonAfter.
func readUntilSilent(r io.Reader, abandon func()) (string, error) {
	t := time.AfterFunc(abandonAfter, abandon)
	defer t.Stop()
	var b strings.Builder
	buf := make([]byte, 16<<10)
	for {
		n, err := r.Read(buf)
		t.Reset(abandonAfter)
		b.Write(buf[:n])
		switch {
		case errors.Is(err, io.EOF):
			return b.String(), nil
		case err != nil:
			return b.String(), err
		}
	}
}
