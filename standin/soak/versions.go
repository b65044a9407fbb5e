package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"

	"wisteriaspool/standin/replica"
)

const (
	// releaseService is the service whose endpoints have several versions of their
	// software, and which only serves streams.
	releaseService = "release"
	releasePath    = "/release/"
	// endpointsPerVersion is the number of endpoints of each version.
	endpointsPerVersion = 2
	// releaseEvents is the number of events of a stream, which takes 1.2 s.
	releaseEvents = 80
	// releaseTries is how often a caller takes up a stream.
	releaseTries = 4
	// releaseCallers is the number of callers of the service.
	releaseCallers = 12
	// minTakenUp is the number of streams from which on the share of those that go on
	// counts.
	minTakenUp = 12
)

// startVersions adds the first endpoints of the service.
func (s *soak) startVersions() error {
	for v := range 3 {
		if err := s.addVersion(v); err != nil {
			return err
		}
	}
	return nil
}

// addVersion adds endpoints of a version.
func (s *soak) addVersion(v int) error {
	for range endpointsPerVersion {
		if _, err := s.addEndpointWith(releaseService, func(o *replica.Options) {
			o.Version, o.Events, o.Slots = fmt.Sprint("v", v), releaseEvents, 32
		}); err != nil {
			return err
		}
	}
	return nil
}

// rollVersions releases versions of the service one after the other, also the ones before
// again, beside crashes and restarts of endpoints, routers that are killed, stopped and
// started, and replies of the store's watches that are lost. It has its own random number
// generator, so that the other faults of a seed are the same without it.
func (s *soak) rollVersions(end time.Time) {
	rng := rand.New(rand.NewPCG(s.opts.Seed, 1<<36))
	for next := 3; time.Now().Before(end); {
		switch rng.IntN(6) {
		case 0:
			s.logf("version %d is released", next%4)
			if err := s.addVersion(next % 4); err != nil {
				s.reportViolation("no new endpoint: %v", err)
			}
			next++
			s.drainOldest(releaseService, endpointsPerVersion)
		case 1:
			s.restartAtVersion(s.chooseEndpoint(rng, releaseService), fmt.Sprint("v", rng.IntN(4)))
		case 2:
			s.crashVersioned(s.chooseEndpoint(rng, releaseService))
		case 3:
			s.logf("three replies to watches are lost")
			s.markStoreFault()
			s.store.LoseWatchReplies(3)
		case 4:
			s.killRouters(rng, 1)
		case 5:
			e := s.chooseEndpoint(rng, releaseService)
			e.SetFaults(replica.Faults{CutAfter: 1 + rng.IntN(40), Times: 1})
		}
		time.Sleep(time.Duration(200+rng.IntN(900)) * time.Millisecond)
	}
}

// drainOldest drains the oldest endpoints of a service.
func (s *soak) drainOldest(service string, n int) {
	up := s.upEndpoints([]string{service})
	for _, e := range up[:max(min(n, len(up)-2*endpointsPerVersion), 0)] {
		s.mu.Lock()
		e.drained = time.Now()
		s.mu.Unlock()
		e.Drain()
		s.after(drainTime, func() { s.store.Delete(e.Key()) })
		s.after(2*drainTime, e.kill)
	}
}

// restartAtVersion replaces an endpoint by a new process of the same id at another version
// of its software.
func (s *soak) restartAtVersion(e *endpoint, version string) {
	s.logf("endpoint %s starts again at version %s", e.id, version)
	s.endVersioned(e)
	_, err := s.addEndpointWith(releaseService, func(o *replica.Options) {
		o.ID, o.Version, o.Events, o.Slots = e.id, version, releaseEvents, 32
	})
	if err != nil {
		s.reportViolation("no new endpoint: %v", err)
	}
}

// crashVersioned kills an endpoint, and starts another one of its version.
func (s *soak) crashVersioned(e *endpoint) {
	s.logf("endpoint %s crashes", e.id)
	s.endVersioned(e)
	s.after(entryExpiry, func() { s.store.Delete(e.Key()) })
	version := e.Version()
	s.after(entryExpiry, func() {
		if _, err := s.addEndpointWith(releaseService, func(o *replica.Options) {
			o.Version, o.Events, o.Slots = version, releaseEvents, 32
		}); err != nil {
			s.reportViolation("no new endpoint: %v", err)
		}
	})
}

func (s *soak) endVersioned(e *endpoint) {
	s.mu.Lock()
	e.crashed = time.Now()
	s.mu.Unlock()
	e.kill()
	e.stopProxy()
}

// resumingCaller requests streams, and takes up those that break off at other routers.
type resumingCaller struct {
	load  *load
	rng   *rand.Rand
	tally *releaseTally
	named bool // it names the attempt that began a stream, which the platform's pages do not ask for
}

func (c *resumingCaller) freshID() string { return fmt.Sprintf("s%d", c.load.lastID.Add(1)) }

// releaseTally counts streams of the service whose endpoints have several versions.
type releaseTally struct {
	mu           sync.Mutex
	asked, begun int
	// takenUp counts the streams that were taken up at a router in touch while enough
	// endpoints of their version served, goOn those of them that brought an event then.
	takenUp, goOn int
	// outlasting counts the streams that should go on after all routers were killed,
	// outlasted those that did.
	outlasting, outlasted int
	joined, broken        []string
}

// versionMark matches the version that wrote an event.
var versionMark = regexp.MustCompile(`data: token (\d+) of (\w+)`)

func (c *resumingCaller) run() {
	for c.load.ctx.Err() == nil {
		c.stream()
		time.Sleep(time.Duration(c.rng.Int64N(int64(2 * callerPause))))
	}
}

// versionOf returns the version that wrote the first event of a stream.
func versionOf(body string) string {
	m := versionMark.FindStringSubmatch(body)
	if m == nil {
		return ""
	}
	return m[2]
}

// countVersion returns how many endpoints of a version serve outside of evacuated zones.
func (s *soak) countVersion(version string) (n int) {
	for _, e := range s.upEndpoints([]string{releaseService}) {
		if e.Version() == version && !s.isEvacuated(e.zone) {
			n++
		}
	}
	return n
}

func (s *soak) isEvacuated(zone string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.evacuated[zone]
}

// streamProgress is what the caller of a stream has got over its tries.
type streamProgress struct {
	id      string // of the stream, which its path and its prompt name
	first   string // the attempt that brought the first event
	body    string // complete events
	takenUp bool   // it was taken up while it should go on
	goesOn  bool   // one such try brought an event
}

// complete reports whether the caller has all events, so that no more can come.
func (p *streamProgress) complete() bool { return strings.Count(p.body, "\n\n") >= releaseEvents }

// stream requests one stream and takes it up until it is complete or tries run out.
func (c *resumingCaller) stream() {
	p := streamProgress{id: c.freshID()}
	for range releaseTries {
		c.try(&p)
		c.check(p.first, p.body)
		if !p.complete() {
			c.outlast(&p)
		}
		if p.complete() || c.load.ctx.Err() != nil {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	c.tally.add(p)
}

// try requests a stream or its rest once, at any router that is ready.
func (c *resumingCaller) try(p *streamProgress) {
	ready := *c.load.ready.Load()
	r := ready[c.rng.IntN(len(ready))]
	id := c.freshID()
	counts := p.first != "" && r.healthySince(time.Now().Add(-contactTime)) &&
		c.load.soak.countVersion(versionOf(p.body)) >= endpointsPerVersion
	got, status := c.request(r, id, p)
	c.load.record(outcome{id: id, path: releasePath, repeated: releasePath + p.id, status: status})
	p.takenUp = p.takenUp || counts
	p.goesOn = p.goesOn || counts && got != ""
	if p.first == "" && got != "" {
		p.first = id
	}
	p.body += got
}

// request asks a router for a stream, or for its rest, and returns its complete events.
func (c *resumingCaller) request(r *router, id string, p *streamProgress) (events string, status int) {
	after := strings.Count(p.body, "\n\n")
	ctx, cancel := context.WithTimeout(context.Background(), callerDeadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.callerAddress+releasePath+p.id, strings.NewReader(requestBody))
	if err != nil {
		return "", 0
	}
	req.Host = "soak.example"
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(callerDeadline.Milliseconds(), 10))
	req.Header.Set("Authorization", "Bearer "+steadyKey)
	req.Header.Set("X-Token-Usage", "100,10")
	req.Header.Set("X-Prefix-Hash", "aa:50,"+p.id+":40,"+p.id+"x:10")
	if p.first != "" {
		req.Header.Set("Last-Event-Id", strconv.Itoa(after))
	}
	if p.first != "" && c.named {
		req.Header.Set("Resumes", p.first)
	}
	client := c.load.newClient()
	defer client.CloseIdleConnections()
	resp, err := client.Do(req)
	if err != nil {
		return "", 0
	}
	defer func() { _ = resp.Body.Close() }()
	c.load.checkHead(id, steadyKey, resp)
	if resp.StatusCode != http.StatusOK {
		return "", resp.StatusCode
	}
	events = readEvents(resp.Body)
	if problem := eventProblem(events, after); problem != "" {
		c.load.soak.reportViolation("stream %s, which goes on with %q: %s", id, p.first, problem)
	}
	return events, resp.StatusCode
}

// readEvents reads the complete events of a stream, until it ends or breaks off.
func readEvents(r io.Reader) string {
	b, _ := io.ReadAll(r) // what arrived before an error counts
	end := strings.LastIndex(string(b), "\n\n")
	if end < 0 {
		return ""
	}
	return string(b[:end+2])
}

// add counts a stream.
func (t *releaseTally) add(p streamProgress) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.asked++
	if p.first != "" {
		t.begun++
	}
	if p.takenUp {
		t.takenUp++
	}
	if p.goesOn {
		t.goOn++
	}
}

// check looks at all events of a stream that a caller has, over its tries.
func (c *resumingCaller) check(id, body string) {
	t := c.tally
	t.mu.Lock()
	defer t.mu.Unlock()
	version := ""
	for n, m := range versionMark.FindAllStringSubmatch(body, -1) {
		if m[1] != strconv.Itoa(n+1) {
			t.broken = append(t.broken, id)
			return
		}
		if version != "" && m[2] != version {
			t.joined = append(t.joined, id)
			return
		}
		version = m[2]
	}
}

// report reports the streams that violate a guarantee.
func (t *releaseTally) report(s *soak) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s.logf("streams of several versions: %d of %d began, %d of %d that were taken up at routers in touch went on", t.begun, t.asked, t.goOn, t.takenUp)
	t.reportOutlasting(s)
	for _, id := range t.joined {
		s.reportViolation("stream %s holds events of two versions", id)
	}
	for _, id := range t.broken {
		s.reportViolation("stream %s lacks an event or has one twice", id)
	}
	if t.takenUp >= minTakenUp && 2*t.goOn*t.asked < t.begun*t.takenUp {
		s.reportViolation("%d of %d streams went on that were taken up at routers in touch, and %d of %d began", t.goOn, t.takenUp, t.begun, t.asked)
	}
}

// reportKind reports if no stream of one kind of callers went on.
func (t *releaseTally) reportKind(s *soak, kind string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s.logf("%s streams: %d of %d taken up went on, %d of %d after all routers were killed", kind, t.goOn, t.takenUp, t.outlasted, t.outlasting)
	if t.takenUp >= minTakenUp && t.goOn == 0 {
		s.reportViolation("none of %d %s streams went on that were taken up at routers in touch", t.takenUp, kind)
	}
}

// merge adds what another tally has counted.
func (t *releaseTally) merge(other *releaseTally) {
	t.mu.Lock()
	defer t.mu.Unlock()
	other.mu.Lock()
	defer other.mu.Unlock()
	t.asked, t.begun = t.asked+other.asked, t.begun+other.begun
	t.takenUp, t.goOn = t.takenUp+other.takenUp, t.goOn+other.goOn
	t.outlasting, t.outlasted = t.outlasting+other.outlasting, t.outlasted+other.outlasted
	t.joined, t.broken = append(t.joined, other.joined...), append(t.broken, other.broken...)
}
