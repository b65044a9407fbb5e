package replica

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/standin/hub"
)

// Guards against a stand-in that lets no request wait for a slot.
func TestRequestsWaitForASlot(t *testing.T) {
	const slots = 4
	r, stop, err := Start(hub.New(), Options{ID: "d0", Service: "desk", Slots: slots, Pause: 200 * time.Millisecond})
	assert.NilError(t, err)
	defer stop()
	statuses := make(chan int, 2*slots)
	for range cap(statuses) {
		go asker{"http://" + r.Address(), "5000", statuses}.run()
	}
	got := make(map[int]int)
	for range cap(statuses) {
		got[<-statuses]++
	}
	assert.DeepEqual(t, got, map[int]int{http.StatusOK: slots + slots/2, http.StatusServiceUnavailable: slots - slots/2})
	assert.Equal(t, r.load(), 0)
	assert.Equal(t, len(r.Arrivals()), slots+slots/2)
}

// Guards against a stand-in that runs requests whose time is up.
func TestRequestThatWaitsTooLongIsNotRun(t *testing.T) {
	r, stop, err := Start(hub.New(), Options{ID: "d0", Service: "desk", Slots: 2, Pause: 500 * time.Millisecond})
	assert.NilError(t, err)
	defer stop()
	statuses := make(chan int, 3)
	for range 2 {
		go asker{"http://" + r.Address(), "5000", statuses}.run()
	}
	time.Sleep(100 * time.Millisecond) // they run
	asker{"http://" + r.Address(), "100", statuses}.run()
	assert.Equal(t, <-statuses, http.StatusServiceUnavailable)
	assert.Equal(t, <-statuses, http.StatusOK)
	assert.Equal(t, <-statuses, http.StatusOK)
	assert.Equal(t, len(r.Arrivals()), 2)
}

// asker sends one request.
type asker struct {
	url, limit string
	statuses   chan<- int
}

func (a asker) run() {
	req, err := http.NewRequest(http.MethodPost, a.url, nil)
	if err != nil {
		panic(err)
	}
	req.Header.Set("X-Deadline-Ms", a.limit)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		a.statuses <- 0
		return
	}
	_ = resp.Body.Close()
	a.statuses <- resp.StatusCode
}
