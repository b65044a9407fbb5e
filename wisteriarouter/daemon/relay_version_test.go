package daemon_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"wisteriaspool/standin/replica"
)

// versionedCluster is a relayCluster whose model pool has endpoints of several versions
// of their software.
type versionedCluster struct {
	*relayCluster
	perVersion int
}

// versionedEventDelay is the time between two events of the stand-in endpoints.
const versionedEventDelay = 20 * time.Millisecond

func newVersionedCluster(t *testing.T, routers, perVersion int, versions ...string) *versionedCluster {
	s := &versionedCluster{newRelayCluster(t, routers, 0, 0), perVersion}
	for _, v := range versions {
		for n := range perVersion {
			s.addVersion(v, n)
		}
	}
	for n := range routers {
		s.awaitEndpoints(n, len(versions)*perVersion)
	}
	return s
}

func (s *versionedCluster) addVersion(version string, n int) *replica.Replica {
	return s.addReplica(replica.Options{
		ID: fmt.Sprintf("m-%s-%d", version, n), Service: "model", Zone: "a", Version: version, Delay: versionedEventDelay, Events: 12, Slots: 32,
	})
}

// awaitEndpoints waits until a router knows at least n endpoints.
func (s *relayCluster) awaitEndpoints(router, n int) {
	s.awaitMetric(router, fmt.Sprintf("wisteria_endpoints{pool=\"model\",state=\"live\"} %d", n), 5*time.Second)
}

// versionsIn returns the versions that the events of a stream name, in order of their
// first event.
func versionsIn(body string) []string {
	var found []string
	for _, v := range strings.Split(body, " of ")[1:] {
		v, _, _ = strings.Cut(v, "\n")
		if len(found) == 0 || found[len(found)-1] != v {
			found = append(found, v)
		}
	}
	return found
}

// openStream is a stream of which a caller has read some events.
type openStream struct {
	attempt string
	body    string // complete events
	cancel  context.CancelFunc
}

// begin starts a stream and reads its first events. The stream goes on until cancel is
// called.
func (s *versionedCluster) begin(router, read int, header ...string) openStream {
	ctx, cancel := context.WithCancel(s.t.Context())
	header = append([]string{"X-Prefix-Hash", freshID() + ":50,cc:10"}, header...)
	req := s.request(ctx, router, "/resumable/1", header...)
	resp, err := s.client.Do(req)
	assert.NilError(s.t, err)
	if resp.StatusCode != 200 {
		why, _ := io.ReadAll(resp.Body)
		s.t.Fatalf("a stream was answered %d: %s", resp.StatusCode, why)
	}
	st := openStream{attempt: req.Header.Get("X-Attempt-Id"), cancel: cancel}
	r := bufio.NewReader(resp.Body)
	for strings.Count(st.body, "\n\n") < read {
		line, err := r.ReadString('\n')
		assert.NilError(s.t, err)
		st.body += line
	}
	return st
}

// beginAt starts a stream at a version, as begin does.
func (s *versionedCluster) beginAt(version string, router, read int, header ...string) openStream {
	for {
		st := s.begin(router, read, header...)
		if versionsIn(st.body)[0] == version {
			return st
		}
		st.cancel()
	}
}

// resume asks a router for the rest of a stream.
func (s *versionedCluster) resume(router int, st openStream) relayResponse {
	return s.send(router, "/resumable/1",
		"X-Prefix-Hash", freshID()+":50,cc:10", "Resumes", st.attempt, "Last-Event-Id", fmt.Sprint(strings.Count(st.body, "\n\n")))
}

// tally counts how streams ended.
type tally struct {
	mu                     sync.Mutex
	whole, refused, joined int
	other                  []string
}

func (c *tally) add(st openStream, r relayResponse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := st.body
	if r.status == 200 {
		all += r.body
	}
	switch {
	case len(versionsIn(all)) > 1:
		c.joined++
	case r.err == nil && r.status == 200 && strings.Count(all, "\n\n") == 12:
		c.whole++
	case r.status == 503 && r.header.Get("Retry-After") != "":
		c.refused++
	default:
		c.other = append(c.other, fmt.Sprint(r.status, " ", r.err))
	}
}

func (c *tally) check(t *testing.T, leastWhole int) {
	t.Helper()
	t.Logf("%d whole, %d refused, %d joined, others: %v", c.whole, c.refused, c.joined, c.other)
	assert.Check(t, c.joined == 0, "%d streams hold events of two versions", c.joined)
	assert.Check(t, c.whole >= leastWhole, "%d of the streams went on, where %d should", c.whole, leastWhole)
	assert.Check(t, len(c.other) == 0)
}

// Guards against a router that goes on with a stream at another version within one response.
func TestRelayGoesOnAtVersionThatBeganStream(t *testing.T) {
	t.Parallel()
	s := newVersionedCluster(t, 2, 2, "v1", "v1.1", "v1.2")
	for _, r := range s.replicas {
		r.SetFaults(replica.Faults{CutAfter: 3, Every: 2})
	}
	var c tally
	for n := range 40 {
		c.add(openStream{}, s.send(n%2, "/resumable/1", "X-Prefix-Hash", freshID()+":50,cc:10"))
	}
	c.other = nil // both endpoints of a version may cut the stream
	c.check(t, 20)
}

// Guards against a stream that its caller takes up at another router and that goes on at
// another version, while endpoints of all versions leave.
func TestRelayTakesUpStreamAtVersionThatBeganIt(t *testing.T) {
	t.Parallel()
	s := newVersionedCluster(t, 3, 2, "v1", "v1.1", "v1.2")
	var streams []openStream
	for n := range 24 {
		streams = append(streams, s.begin(0, 1+n%6, "X-Deadline-Ms", "20000"))
	}
	time.Sleep(100 * time.Millisecond)
	for n := 0; n < len(s.replicas); n += 2 {
		s.replicas[n].Drain()
	}
	time.Sleep(100 * time.Millisecond)
	var c tally
	for n, st := range streams {
		st.cancel()
		c.add(st, s.resume(1+n%2, st))
	}
	c.check(t, len(streams))
}

// Guards against the loss of what is known of streams with the router that began them.
func TestRelayTakesUpStreamOfRouterThatWasStopped(t *testing.T) {
	s := newVersionedCluster(t, 3, 2, "v1", "v1.1", "v1.2")
	var streams []openStream
	for n := range 24 {
		// The stop takes longer than the usual deadline.
		streams = append(streams, s.begin(0, 1+n%6, "X-Deadline-Ms", "20000"))
	}
	time.Sleep(100 * time.Millisecond)
	for _, st := range streams {
		st.cancel()
	}
	s.stops[0]()
	var c tally
	for n, st := range streams {
		c.add(st, s.resume(1+n%2, st))
	}
	c.check(t, len(streams))
}

// Guards against a router that has just started and guesses at which version a stream began.
func TestRelayNewRouterTakesUpStreamAtVersionThatBeganIt(t *testing.T) {
	s := newVersionedCluster(t, 2, 2, "v1", "v1.1", "v1.2")
	var streams []openStream
	for n := range 24 {
		streams = append(streams, s.begin(0, 1+n%6, "X-Deadline-Ms", "20000"))
	}
	s.addRouter()
	s.awaitReady(2)
	var c tally
	for _, st := range streams {
		st.cancel()
		c.add(st, s.resume(2, st))
	}
	c.check(t, len(streams))
}

// Guards against a guess at the version of a stream of which no router knows.
func TestRelayRefusesToTakeUpUnknownStream(t *testing.T) {
	t.Parallel()
	s := newVersionedCluster(t, 2, 2, "v1", "v1.1")
	for n := range 4 {
		start := time.Now()
		got := s.resume(n%2, openStream{attempt: freshID(), body: "id: 1\ndata: token 1 of v1\n\n"})
		assert.Equal(t, got.status, 503)
		assert.Assert(t, got.header.Get("Retry-After") != "")
		assert.Assert(t, time.Since(start) < time.Second)
	}
	assert.Equal(t, s.runs("/resumable/1"), 0)
}

// Guards against refusing streams of which no router knows where all endpoints are and
// were of one version.
func TestRelayTakesUpUnknownStreamOfSingleVersion(t *testing.T) {
	t.Parallel()
	s := newVersionedCluster(t, 2, 2, "v1")
	got := s.resume(1, openStream{attempt: freshID(), body: "id: 1\ndata: token 1 of v1\n\n"})
	assert.Equal(t, got.status, 200)
	assert.Equal(t, strings.Count(got.body, "\n\n"), 11)
}

// Guards against a stream that waits, or goes on elsewhere, though no endpoint of its
// version is left.
func TestRelayRefusesStreamWhoseVersionHasGone(t *testing.T) {
	t.Parallel()
	s := newVersionedCluster(t, 2, 1, "v1", "v1.1")
	old := s.beginAt("v1", 0, 2)
	s.store.Delete(s.replicas[0].Key())
	s.kill[0]()
	s.awaitEndpoints(1, 1)
	old.cancel()
	start := time.Now()
	got := s.resume(1, old)
	assert.Equal(t, got.status, 503)
	assert.Assert(t, got.header.Get("Retry-After") != "")
	assert.Assert(t, time.Since(start) < 500*time.Millisecond, "%v", time.Since(start))
}

// Guards against a stream that waits as a suspect though no endpoint of its version is left.
func TestRelayRefusesSuspectStreamWhoseVersionHasGone(t *testing.T) {
	t.Parallel()
	s := newVersionedCluster(t, 2, 1, "v1", "v1.1")
	old := s.beginAt("v1", 0, 2)
	s.store.Delete(s.replicas[0].Key())
	s.kill[0]()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, x := range s.suspects(1) {
			if x.Kind == "request" {
				return poll.Success()
			}
		}
		return poll.Continue("router 1 knows no suspect")
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(5*time.Millisecond))
	s.awaitEndpoints(1, 1)
	old.cancel()
	start := time.Now()
	got := s.resume(1, old)
	assert.Equal(t, got.status, 503)
	assert.Assert(t, got.header.Get("Retry-After") != "")
	assert.Assert(t, time.Since(start) < 500*time.Millisecond, "%v", time.Since(start))
}

// Guards against an endpoint that has started again under its id at another version and
// is taken for the one that began the stream.
func TestRelayDoesNotTakeRestartedEndpointForItsOldVersion(t *testing.T) {
	s := newVersionedCluster(t, 2, 1, "v1", "v1.1")
	old := s.beginAt("v1", 0, 2)
	s.kill[0]()
	time.Sleep(5 * time.Millisecond) // the start times of both lifetimes must differ
	s.addReplica(replica.Options{ID: "m-v1-0", Service: "model", Zone: "a", Version: "v2", Delay: versionedEventDelay, Events: 12, Slots: 32})
	time.Sleep(100 * time.Millisecond)
	old.cancel()
	got := s.resume(1, old)
	assert.Equal(t, got.status, 503, got.body)
}

// Guards against refusing the streams of callers that send the id of the last event, and
// nothing that names the stream, and against taking them up at another version.
func TestRelayTakesUpStreamThatItsCallerDoesNotName(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name   string
		joined bool // the second version joins after the streams have begun
	}{{"mixed before", false}, {"mixed meanwhile", true}} {
		t.Run(tc.name, func(t *testing.T) {
			versions := []string{"v1", "v1.1"}
			if tc.joined {
				versions = versions[:1]
			}
			s := newVersionedCluster(t, 3, 2, versions...)
			var c tally
			var streams []openStream
			var prompts []string
			for n := range 16 {
				prompts = append(prompts, freshID()+":50,cc:10")
				streams = append(streams, s.begin(n%3, 1+n%6, "X-Deadline-Ms", "20000", "X-Prefix-Hash", prompts[n]))
			}
			if tc.joined {
				for n := range 2 {
					s.addVersion("v1.1", n)
				}
				for n := range s.routers {
					s.awaitEndpoints(n, 4)
				}
			}
			time.Sleep(200 * time.Millisecond)
			for n, st := range streams {
				st.cancel()
				after := fmt.Sprint(strings.Count(st.body, "\n\n"))
				c.add(st, s.send((n+1)%3, "/resumable/1", "X-Prefix-Hash", prompts[n], "Last-Event-Id", after))
			}
			c.check(t, len(streams))
			other := s.send(0, "/resumable/1", "X-Prefix-Hash", freshID()+":50,cc:10", "Last-Event-Id", "1")
			assert.Equal(t, other.status, 503)
		})
	}
}

// Guards against a stream taken up by its content at the version of another stream of the same
// content.
func TestRelayRefusesUnnamedStreamOfContentAtSeveralVersions(t *testing.T) {
	t.Parallel()
	s := newVersionedCluster(t, 3, 1, "v1", "v1.1")
	prompt := freshID() + ":50,cc:10"
	first := s.begin(0, 2, "X-Deadline-Ms", "20000", "X-Prefix-Hash", prompt)
	first.cancel()
	for _, r := range s.replicas {
		if r.Version() == versionsIn(first.body)[0] {
			r.SetFaults(replica.Faults{FullEvery: 1})
		}
	}
	second := s.begin(1, 2, "X-Deadline-Ms", "20000", "X-Prefix-Hash", prompt)
	second.cancel()
	assert.Assert(t, versionsIn(second.body)[0] != versionsIn(first.body)[0])
	for _, r := range s.replicas {
		r.SetFaults(replica.Faults{})
	}
	time.Sleep(200 * time.Millisecond)
	for n := range 3 {
		got := s.send(n, "/resumable/1", "X-Prefix-Hash", prompt, "Last-Event-Id", "2")
		assert.Equal(t, got.status, 503, got.body)
	}
}
