package soak

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"wisteriaspool/standin/replica"
)

// framing is how a response is delimited.
type framing int

const (
	chunked framing = iota
	withLength
	undelimited
)

// pieceShape is the form of the stream of a path: every endpoint sends the same events, marked
// with its version and with the run that wrote them.
type pieceShape struct {
	path     string
	ids      []int // of the events
	pads     []int // bytes added to each
	comments []int // where each has a comment: 0 nowhere, 1 before it as an event of its own, 2 as its first line, 3 after its id
	pauses   []time.Duration
	halved   bool // events are sent in two parts
	framing  framing
}

// The longest pause of a stream, and the longest time for which an endpoint is silent, are below
// and above the time after which callers abandon it.
const (
	longestPause = 1500 * time.Millisecond
	abandonAfter = 2400 * time.Millisecond
)

// shapeOf returns the shape of the stream of a path.
func shapeOf(path string) pieceShape {
	h := fnv.New64()
	_, _ = h.Write([]byte(path)) // a hash returns no error
	rng := rand.New(rand.NewPCG(h.Sum64(), 0))
	sh := pieceShape{path: path, halved: rng.IntN(2) == 0, framing: framing(rng.IntN(3))}
	count := 2 + rng.IntN(6)
	if rng.IntN(2) == 0 {
		count = 20 + rng.IntN(60)
	}
	id, step := 0, 1
	if rng.IntN(2) == 0 {
		id, step = 1<<53+rng.IntN(1<<53), 5000
	}
	commented, long := rng.IntN(2) == 0, rng.IntN(2) == 0
	pause := time.Duration(1+rng.IntN(25)) * time.Millisecond
	for range count {
		id += 1 + rng.IntN(step)
		sh.ids = append(sh.ids, id)
		comment, pad := 0, rng.IntN(40)
		if commented {
			comment = rng.IntN(4)
		}
		if long {
			pad = 300 + rng.IntN(600)
		}
		sh.comments = append(sh.comments, comment)
		sh.pads = append(sh.pads, pad)
		sh.pauses = append(sh.pauses, pause)
	}
	if rng.IntN(4) == 0 {
		sh.pauses[rng.IntN(count)] = randomBelow(rng, longestPause)
	}
	return sh
}

// after returns the index of the first event whose id is above a given one.
func (sh pieceShape) after(id int) int {
	n := 0
	for n < len(sh.ids) && sh.ids[n] <= id {
		n++
	}
	return n
}

// event returns event n, which is followed by no other at the end of its text.
func (sh pieceShape) event(n int, version, run string) string {
	var b strings.Builder
	if sh.comments[n] == 1 {
		b.WriteString(": between\n\n")
	}
	if sh.comments[n] == 2 {
		b.WriteString(": first line\n")
	}
	fmt.Fprintf(&b, "id: %d\n", sh.ids[n])
	if sh.comments[n] == 3 {
		b.WriteString(": behind the id\n")
	}
	fmt.Fprintf(&b, "data: piece %d of %d of %s at %s in %s %s\n\n", n+1, len(sh.ids), sh.path, version, run, strings.Repeat("x", sh.pads[n]))
	return b.String()
}

// pieceRuns numbers the runs of requests for streams.
type pieceRuns struct {
	mu       sync.Mutex
	last     int
	attempts map[string][]string // endpoints that ran each attempt of a caller
	// outOfBounds holds the endpoints whose listeners were closed later than a kernel does.
	outOfBounds map[string]bool
}

func newPieceRuns() *pieceRuns {
	return &pieceRuns{attempts: make(map[string][]string), outOfBounds: make(map[string]bool)}
}

// begin returns a name for a run, and whether its caller's attempt has run before.
func (p *pieceRuns) begin(attempt, endpoint string) (run string, again bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.last++
	again = len(p.attempts[attempt]) > 0
	p.attempts[attempt] = append(p.attempts[attempt], endpoint)
	return fmt.Sprint("run", p.last), again
}

// setOutOfBounds records that the end of an endpoint's process was not simulated in time.
func (p *pieceRuns) setOutOfBounds(endpoint string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outOfBounds[endpoint] = true
}

// isOutOfBounds reports whether that is true of an endpoint that ran an attempt.
func (p *pieceRuns) isOutOfBounds(attempt string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.attempts[attempt], func(endpoint string) bool { return p.outOfBounds[endpoint] })
}

// pieceServer writes the streams of one endpoint.
type pieceServer struct {
	runs      *pieceRuns
	inspector *replica.Inspector
	endpoint  string
	version   string
	// early makes a run that goes on within one response repeat the last event behind a
	// comment.
	early bool

	mu          sync.Mutex
	silentUntil time.Time
}

// silence makes the endpoint write nothing for d.
func (p *pieceServer) silence(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silentUntil = time.Now().Add(d)
}

// wait waits for d and until the endpoint is not silent. It reports whether the caller may
// still be connected.
func (p *pieceServer) wait(req *http.Request, d time.Duration) bool {
	for {
		select {
		case <-time.After(d):
		case <-req.Context().Done():
			return false
		}
		p.mu.Lock()
		d = time.Until(p.silentUntil)
		p.mu.Unlock()
		if d <= 0 {
			return true
		}
	}
}

// serve writes the stream of a request, or its rest.
func (p *pieceServer) serve(w http.ResponseWriter, req *http.Request) {
	attempt := req.Header.Get("X-Attempt-Id")
	last, _ := strconv.Atoi(req.Header.Get("Last-Event-Id")) // a missing id means zero
	sh := shapeOf(req.URL.Path)
	run, again := p.runs.begin(attempt, p.endpoint)
	first := sh.after(last)
	lead := ""
	if p.early && again && first > 0 {
		lead = ": goes on\n\n" + sh.event(first-1, p.version, run)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	switch sh.framing {
	case withLength:
		length := len(lead)
		for n := first; n < len(sh.ids); n++ {
			length += len(sh.event(n, p.version, run))
		}
		w.Header().Set("Content-Length", strconv.Itoa(length))
	case undelimited:
		var end func()
		w, end = replica.Undelimited(w)
		defer end()
	}
	if !p.write(w, req, lead) {
		return
	}
	for n := first; n < len(sh.ids); n++ {
		if !p.wait(req, sh.pauses[n]) || !p.writeEvent(w, req, sh, n, run) {
			return
		}
	}
}

// writeEvent writes event n, at once or in two parts.
func (p *pieceServer) writeEvent(w http.ResponseWriter, req *http.Request, sh pieceShape, n int, run string) bool {
	text := sh.event(n, p.version, run)
	p.inspector.RecordEvent(req.Header.Get("X-Attempt-Id"), sh.ids[n])
	if !sh.halved {
		return p.write(w, req, text)
	}
	half := 1 + (n*37)%(len(text)-1)
	return p.write(w, req, text[:half]) && p.wait(req, time.Duration(n%5)*time.Millisecond) && p.write(w, req, text[half:])
}

// write writes text and reports whether the caller may still be connected.
func (p *pieceServer) write(w http.ResponseWriter, req *http.Request, text string) bool {
	if text == "" {
		return true
	}
	_, err := w.Write([]byte(text))
	return err == nil && http.NewResponseController(w).Flush() == nil && req.Context().Err() == nil
}
