package daemon_test

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/standin/replica"
)

// slowBody is a body that takes time to be sent.
type slowBody struct {
	left  int // parts
	pause time.Duration
	part  []byte
}

// Read implements io.Reader.
func (b *slowBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	b.left--
	time.Sleep(b.pause)
	return copy(p, b.part), nil
}

// slowUpload is a request whose body takes 0.6 s.
type slowUpload struct {
	cluster  *relayCluster
	path     string
	deadline time.Duration

	got  relayResponse
	took time.Duration
}

func (u *slowUpload) run() {
	start := time.Now()
	r := u.cluster.request(u.cluster.t.Context(), 0, u.path, "X-Deadline-Ms", fmt.Sprint(u.deadline.Milliseconds()))
	r.Body, r.ContentLength, r.GetBody = io.NopCloser(&slowBody{left: 30, pause: 20 * time.Millisecond, part: make([]byte, 16<<10)}), -1, nil
	u.got = u.cluster.do(r)
	u.took = time.Since(start)
}

// lost describes a request that has run, or may have, and got no answer before its deadline.
func (u *slowUpload) lost() string {
	ran := u.cluster.runs(u.path)
	switch {
	case u.got.err == nil && u.got.status == http.StatusOK:
		return ""
	case ran == 0 && (u.got.err != nil || u.got.status == http.StatusServiceUnavailable):
		return "" // refused, or its connection was closed before the request was read
	case u.got.err == nil && u.got.status == http.StatusGatewayTimeout && u.took >= u.deadline:
		return ""
	default:
		return fmt.Sprintf("%s: status %d, %v, after %v of %v, ran %d times", u.path, u.got.status, u.got.err, u.took, u.deadline, ran)
	}
}

// Guards against requests with long uploads that come while a router stops, and that are passed
// on and cut at its end.
func TestRelayCutsNoUploadsAtEndOfStop(t *testing.T) {
	s := newRelayCluster(t, 1, 4, 0)
	d := plainState()
	for _, r := range d.routes {
		r["timeoutMs"] = 15000
	}
	s.put(d)
	s.awaitState(0)
	for _, r := range s.replicas {
		r.SetFaults(replica.Faults{Slow: 300 * time.Millisecond})
	}
	left := make(chan int, 1)
	var uploads []*slowUpload
	var wg sync.WaitGroup
	for n := range 26 {
		for _, deadline := range []time.Duration{1200 * time.Millisecond, 2500 * time.Millisecond, 6 * time.Second} {
			u := &slowUpload{cluster: s, path: fmt.Sprintf("/unsafe/%d-%d", n, deadline.Milliseconds()), deadline: deadline}
			uploads = append(uploads, u)
			wg.Go(u.run)
		}
		if n == 2 {
			go stopper{s.stops[0], left}.run()
		}
		time.Sleep(200 * time.Millisecond)
	}
	wg.Wait()
	served := 0
	for _, u := range uploads {
		assert.Check(t, u.lost() == "", u.lost())
		if u.got.status == http.StatusOK {
			served++
		}
	}
	assert.Assert(t, served > 0)
	assert.Equal(t, <-left, 0)
}
