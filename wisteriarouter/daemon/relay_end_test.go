package daemon_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"wisteriaspool/standin/replica"
)

// brokenOff describes how an endpoint breaks a stream off in the middle of an event
// and ends the response, or its connection, as after a complete one.
type brokenOff struct {
	name        string
	undelimited bool
	cutBytes    int // of the event
}

func brokenOffCases() []brokenOff {
	return []brokenOff{
		{"undelimited, inside a line", true, len("id: 3\ndata")},
		{"undelimited, after a line", true, len("id: 3\n")},
		{"undelimited, before the empty line", true, len("id: 3\ndata: token 3\n")},
		{"chunked, inside a line", false, len("id: 3\ndata")},
		{"chunked, before the empty line", false, len("id: 3\ndata: token 3\n")},
	}
}

func (b brokenOff) start(s *relayCluster) {
	for n := range 2 {
		r := s.addReplica(replica.Options{ID: fmt.Sprintf("bare%d", n), Service: "model", Zone: "a", Undelimited: b.undelimited})
		if n == 0 {
			r.SetFaults(replica.Faults{CutAfter: 2, CutBytes: b.cutBytes, CutInOrder: true})
		}
	}
	s.awaitServed("/resumable/first")
}

// Guards against a stream that ends inside an event and reaches its caller as complete.
func TestRelayShowsStreamThatEndsInsideEvent(t *testing.T) {
	for _, b := range brokenOffCases() {
		t.Run(b.name, func(t *testing.T) {
			s := newRelayCluster(t, 1, 0, 0)
			b.start(s)
			for n := range 8 {
				got := s.send(0, fmt.Sprintf("/stream/%d", n), "X-Prefix-Hash", freshID()+":50,cc:10")
				if got.err == nil {
					assert.Equal(t, got.body, events(1, 5))
					continue
				}
				assert.Equal(t, got.body, events(1, 2))
				assert.Equal(t, s.runs(fmt.Sprintf("/stream/%d", n)), 1)
			}
		})
	}
}

// Guards against a resumable stream that ends inside an event and is not resumed.
func TestRelayResumesStreamThatEndsInsideEvent(t *testing.T) {
	for _, b := range brokenOffCases() {
		t.Run(b.name, func(t *testing.T) {
			s := newRelayCluster(t, 1, 0, 0)
			b.start(s)
			for range 8 {
				got := s.send(0, "/resumable/2", "X-Prefix-Hash", freshID()+":50,cc:10")
				assert.NilError(t, got.err)
				assert.Equal(t, got.body, events(1, 5))
			}
		})
	}
}

// Guards against the same through another router.
func TestRelayResumesDetouredStreamThatEndsInsideEvent(t *testing.T) {
	l := newLinks(t)
	s := newLinkedRelayCluster(t, l, 2, 0, 0)
	brokenOffCases()[0].start(s)
	l.set(0, resetCut)
	for range 8 {
		got := s.send(0, "/resumable/2", "X-Prefix-Hash", freshID()+":50,cc:10")
		assert.NilError(t, got.err)
		assert.Equal(t, got.body, events(1, 5))
	}
}
