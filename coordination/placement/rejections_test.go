package placement

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// rejectingEndpoint simulates an endpoint that takes fewer requests than it announces.
type rejectingEndpoint struct {
	owner    *Owner
	room     int // requests that it takes at a time
	running  int
	work     time.Duration
	delay    time.Duration // until the owner knows of a rejection or an end
	events   map[time.Duration][]func(now time.Time)
	rejected []time.Duration
	served   int
}

func (e *rejectingEndpoint) at(d time.Duration, fn func(now time.Time)) {
	e.events[d] = append(e.events[d], fn)
}

// play sends a request each interval, and returns the most rejections within a second.
func (e *rejectingEndpoint) play(start time.Time, d, interval time.Duration) int {
	e.events = make(map[time.Duration][]func(time.Time))
	for at := time.Duration(0); at < d; at += time.Millisecond {
		now := start.Add(at)
		for _, fn := range e.events[at] {
			fn(now)
		}
		delete(e.events, at)
		if at%interval == 0 {
			e.send(now, at, Sequence(at/interval+1))
		}
	}
	most := 0
	for i, from := range e.rejected {
		n := 0
		for _, at := range e.rejected[i:] {
			if at-from < time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// send asks the owner for a grant and plays the request if it is given.
func (e *rejectingEndpoint) send(now time.Time, at time.Duration, seq Sequence) {
	if admit(e.owner, now, seq, "e0").Decision != Granted {
		return
	}
	release := Release{Endpoint: "e0", Sequence: seq, Rejected: e.running >= e.room}
	ends := at + e.delay
	if release.Rejected {
		e.rejected = append(e.rejected, at)
	} else {
		e.running++
		e.at(at+e.work, func(time.Time) { e.running--; e.served++ })
		ends += e.work
	}
	e.at(ends, func(now time.Time) {
		e.owner.release(now, ReleaseBatch{Entry: testEntry, Releases: []Release{release}})
	})
}

// Guards against an endpoint that crashes because its owner lets it reject more requests
// within a second than it tolerates.
func TestRejectionsStayWithinLimit(t *testing.T) {
	for _, limit := range []int{1, 5, 50} {
		for _, delay := range []time.Duration{5 * time.Millisecond, 50 * time.Millisecond, 190 * time.Millisecond} {
			for _, room := range []int{0, 3, 20} {
				name := fmt.Sprintf("limit %d, delay %v, room %d", limit, delay, room)
				es := testEndpoints(1)
				es[0].Capacity = 64
				o, now := newTestOwner(t, es, Config{Bound: 4, Slack: 64})
				unlimited := &rejectingEndpoint{owner: o, room: room, work: 60 * time.Millisecond, delay: delay}
				before := unlimited.play(now, 3*time.Second, 2*time.Millisecond)
				assert.Assert(t, before > limit, "%s: %d rejected without a limit", name, before)

				o, now = newTestOwner(t, es, Config{Bound: 4, Slack: 64})
				o.LimitRejections(testPool, limit, now.Add(time.Hour))
				e := &rejectingEndpoint{owner: o, room: room, work: 60 * time.Millisecond, delay: delay}
				most := e.play(now, 6*time.Second, 2*time.Millisecond)
				assert.Assert(t, most <= limit, "%s: %d rejected within a second", name, most)
				assert.Assert(t, e.served > 0 || room == 0, "%s: nothing served", name)
			}
		}
	}
}

// Guards against a limit that outlives the time in which endpoints ask for it.
func TestRejectionLimitEnds(t *testing.T) {
	es := testEndpoints(1)
	es[0].Capacity = 64
	o, now := newTestOwner(t, es, Config{Bound: 4, Slack: 64})
	o.LimitRejections(testPool, 1, now.Add(time.Second))
	assert.Equal(t, admit(o, now, 1, "e0").Decision, Granted)
	assert.Equal(t, admit(o, now, 2, "e0").Code, Full)
	assert.Equal(t, admit(o, now.Add(time.Second), 3, "e0").Decision, Granted)
	assert.Assert(t, !o.rejectionsLimited(now.Add(time.Second), testPool))
}

// Guards against rejections that an owner is not told of.
func TestRejectionsAreSent(t *testing.T) {
	rs := []Release{{Endpoint: "e0", Sequence: 1}, {Endpoint: "e0", Sequence: 2, Rejected: true}}
	b, err := DecodeReleaseBatch(ReleaseBatch{Releases: rs}.Encode())
	assert.NilError(t, err)
	assert.DeepEqual(t, b.Releases, rs)
	m, err := DecodeAdmitRequest(AdmitRequest{Releases: rs}.Encode())
	assert.NilError(t, err)
	assert.DeepEqual(t, m.Releases, rs)
	b, err = DecodeReleaseBatch(encode(ReleaseBatch{Releases: rs, Rejected: []int{-1, 7}}))
	assert.NilError(t, err)
	assert.Assert(t, !b.Releases[0].Rejected && !b.Releases[1].Rejected)
}
