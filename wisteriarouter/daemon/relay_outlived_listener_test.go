package daemon_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"wisteriaspool/standin/replica"
)

// departure is how an endpoint leaves.
type departure struct {
	name  string
	leave func(*relayCluster, *replica.Replica)
}

// outlivingForm is a route whose responses go on for some time.
type outlivingForm struct {
	service, path string
	pace          float64 // how long a response takes, or the time between events, in units of 10 ms
}

// Guards against complete undelimited responses that are cut since their endpoint, which leaves as planned, has closed its listener before.
func TestRelayForwardsUndelimitedResponsesThatOutliveListener(t *testing.T) {
	const drain = 500 * time.Millisecond
	for _, way := range []departure{
		{"reports draining", func(_ *relayCluster, r *replica.Replica) { r.Drain() }},
		{"removes its entry", func(s *relayCluster, r *replica.Replica) { s.store.Delete(r.Key()) }},
	} {
		for _, form := range []outlivingForm{
			{"model", "/resumable/1", 60},
			{"model", "/stream/1", 60},
			{"desk", "/safe/1", 300},
			{"desk", "/unsafe/1", 300},
		} {
			for _, cut := range []cutKind{noCut, silentCut} {
				t.Run(fmt.Sprintf("%s, %s, cut %d", form.path[1:], way.name, cut), func(t *testing.T) {
					t.Parallel()
					l := newLinks(t)
					s := newLinkedRelayCluster(t, l, 2, 0, 0)
					s.putSingleAttempts()
					for n := range 2 {
						s.addReplica(replica.Options{ID: fmt.Sprintf("bare%d", n), Service: form.service, Zone: "a", Undelimited: true, Slots: 16, Delay: 10 * time.Millisecond})
					}
					s.awaitUsed(form.path)
					l.set(0, cut)
					for range 6 {
						s.send(0, form.path, "X-Prefix-Hash", freshID()+":50,cc:10") // finds the ways
					}
					form.checkOutliving(s, way, drain)
				})
			}
		}
	}
}

// putSingleAttempts lets responses take long, and requests run at one endpoint only: they stay
// where they are when they are overdue, and a response that is cut is seen.
func (s *relayCluster) putSingleAttempts() {
	d := plainState()
	for _, r := range d.routes {
		r["timeoutMs"], r["attempts"] = 9000, 1
	}
	s.put(d)
}

// checkOutliving sends requests to all endpoints, has one of them leave meanwhile, and checks that all are answered
// as a whole.
func (f outlivingForm) checkOutliving(s *relayCluster, way departure, drain time.Duration) {
	s.t.Helper()
	const requests = 12
	leaver := s.replicas[0]
	for _, r := range s.replicas {
		r.SetPace(f.pace)
	}
	answers := make(chan relayResponse, requests)
	for n := range requests {
		go func() {
			answers <- s.send(n%2, f.path, "X-Prefix-Hash", freshID()+":50,"+freshID()+":10", "X-Deadline-Ms", "9000")
		}()
	}
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		if leaver.Running() > 0 {
			return poll.Success()
		}
		return poll.Continue("no request runs at the endpoint that leaves")
	}, poll.WithDelay(10*time.Millisecond))
	way.leave(s, leaver)
	time.Sleep(drain)
	assert.Assert(s.t, leaver.Running() > 0)
	leaver.StopListening()
	for range requests {
		got := <-answers
		want := events(1, 5)
		if f.service == "desk" {
			want = "done " + got.header.Get("X-Attempt-Id")
		}
		assert.Check(s.t, got.err)
		assert.Check(s.t, got.body == want, "%d %q", got.status, got.body)
	}
}
