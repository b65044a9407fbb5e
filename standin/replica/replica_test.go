package replica

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/standin/hub"
)

// Guards against a replica that refuses requests that could wait for a slot.
func TestRequestsWaitForSlot(t *testing.T) {
	const slots = 4
	r, stop, err := Start(hub.New(), Options{ID: "d0", Service: "desk", Slots: slots, Delay: time.Second})
	assert.NilError(t, err)
	defer stop()
	statuses := make(chan int, 2*slots)
	for range cap(statuses) {
		go testRequest{"http://" + r.Address(), "5000", statuses}.run()
	}
	got := make(map[int]int)
	for range cap(statuses) {
		got[<-statuses]++
	}
	assert.DeepEqual(t, got, map[int]int{http.StatusOK: slots + slots/2, http.StatusServiceUnavailable: slots - slots/2})
	assert.Equal(t, r.runningCount(), 0)
	assert.Equal(t, len(r.Arrivals()), slots+slots/2)
}

// Guards against a replica that runs requests whose timeout expired while they
// waited.
func TestRequestTimesOutWaitingForSlot(t *testing.T) {
	r, stop, err := Start(hub.New(), Options{ID: "d0", Service: "desk", Slots: 2, Delay: 500 * time.Millisecond})
	assert.NilError(t, err)
	defer stop()
	statuses := make(chan int, 3)
	for range 2 {
		go testRequest{"http://" + r.Address(), "5000", statuses}.run()
	}
	time.Sleep(100 * time.Millisecond) // until both hold a slot
	testRequest{"http://" + r.Address(), "100", statuses}.run()
	assert.Equal(t, <-statuses, http.StatusServiceUnavailable)
	assert.Equal(t, <-statuses, http.StatusOK)
	assert.Equal(t, <-statuses, http.StatusOK)
	assert.Equal(t, len(r.Arrivals()), 2)
}

// testRequest is one request that reports its status, or zero if it failed.
type testRequest struct {
	url, timeoutMillis string
	statuses           chan<- int
}

func (a testRequest) run() {
	req, err := http.NewRequest(http.MethodPost, a.url, nil)
	if err != nil {
		panic(err)
	}
	req.Header.Set("X-Attempt-Id", "a1")
	req.Header.Set("X-Deadline-Ms", a.timeoutMillis)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		a.statuses <- 0
		return
	}
	_ = resp.Body.Close()
	a.statuses <- resp.StatusCode
}

// Guards against a simulated end of a process that differs from the kernel's: connections are
// closed in order, and the listener accepts others for a while, which get no response.
func TestEndProcessClosesConnectionsBeforeListener(t *testing.T) {
	began := make(chan struct{})
	r, stop, err := Start(hub.New(), Options{ID: "a", Service: "s", Serve: func(w http.ResponseWriter, _ *http.Request) {
		w, end := Undelimited(w)
		defer end()
		_, _ = w.Write([]byte("id: 1\n\n"))
		_ = http.NewResponseController(w).Flush()
		close(began)
		time.Sleep(time.Second)
	}})
	assert.NilError(t, err)
	defer stop()
	c, err := net.Dial("tcp", r.Address())
	assert.NilError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\nX-Attempt-Id: a1\r\nX-Deadline-Ms: 1000\r\n\r\n")
	assert.NilError(t, err)
	<-began
	ended := make(chan struct{})
	time.AfterFunc(0, func() {
		defer close(ended)
		r.EndProcess(200 * time.Millisecond)
	})
	b, err := io.ReadAll(c)
	assert.NilError(t, err) // in order
	assert.Assert(t, strings.HasSuffix(string(b), "id: 1\n\n"), string(b))
	late, err := net.Dial("tcp", r.Address())
	assert.NilError(t, err)
	defer late.Close()
	<-ended
	_, err = io.ReadAll(late)
	assert.Assert(t, err != nil)
	_, err = net.Dial("tcp", r.Address())
	assert.Assert(t, err != nil)
}
