package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	slowFactor   = 5.0                    // of srv_slow
	fullEach     = 700 * time.Millisecond // each replica is full once in that time
	fullFor      = 100 * time.Millisecond
	faultTime    = 6 * time.Second
	faultPause   = time.Second
	faultRounds  = 8
	firstPiece   = 200 * time.Millisecond // after the replica has taken the request
	slowPieces   = 12
	slowPieceGap = 25 * time.Millisecond
	slowClients  = 90
	warmUp       = 8 * time.Second
	// lostLimit is how many such requests the rule lets pass.
	lostLimit = 3
)

// playSlow makes one of the replicas work five times as long. All replicas are full for a
// seventh of the time, one after the other, and reject what comes then as not run.
func playSlow(t *trial) error {
	var slow atomic.Int64 // the number of the replica; 0 for none
	for i, r := range t.all {
		n := int64(i + 1)
		offset := time.Duration(i) * fullEach / time.Duration(len(t.all))
		r.sheds = func() bool { return (time.Since(t.began)+offset)%fullEach < fullFor }
		r.serve = func(w http.ResponseWriter, q *http.Request, _ int) {
			factor := 1.0
			if slow.Load() == n {
				factor = slowFactor
			}
			servePieces(w, q, factor)
		}
	}
	t.writeState(resumableState())
	if err := t.startRouters(); err != nil {
		return err
	}
	lost := make([]atomic.Int64, len(t.fleet.routers))
	var all, kept atomic.Int64
	stop := time.Now().Add(warmUp + faultRounds*(faultTime+faultPause))
	var wg sync.WaitGroup
	for c := range slowClients {
		wg.Go(func() { t.keepAsking(c, stop, lost, &all, &kept) })
	}
	time.Sleep(warmUp)
	for round := range int64(faultRounds) {
		if t.trouble {
			slow.Store(round%int64(len(t.all)) + 1)
			t.note("replica i-%d works %v times as long for %v", slow.Load(), slowFactor, faultTime)
		}
		time.Sleep(faultTime)
		slow.Store(0)
		time.Sleep(faultPause)
	}
	wg.Wait()
	t.note("%d requests, %d of them on kept channels", all.Load(), kept.Load())
	for i := range lost {
		n := lost[i].Load()
		t.note("%s: %d requests from kept channels were passed on to sound replicas and have no answer", t.fleet.routers[i].name, n)
		if n > lostLimit {
			t.fail("%s closed a kept channel without an answer %d times", t.fleet.routers[i].name, n)
		}
	}
	return nil
}

// servePieces answers with a stream: its head when the replica takes the request, the first
// piece when the prompt is read.
func servePieces(w http.ResponseWriter, q *http.Request, factor float64) {
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w).Flush
	_ = flush()
	wait := func(d time.Duration) bool {
		select {
		case <-time.After(time.Duration(factor * float64(d))):
			return true
		case <-q.Context().Done():
			return false
		}
	}
	if !wait(firstPiece) {
		return
	}
	for i := range slowPieces {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i+1, i+1); err != nil {
			return
		}
		_ = flush()
		if !wait(slowPieceGap) {
			return
		}
	}
}

// keepAsking sends one request after the other on a channel that it keeps.
func (t *trial) keepAsking(client int, stop time.Time, lost []atomic.Int64, all, kept *atomic.Int64) {
	at := client % len(t.fleet.routers)
	var ch *channel
	sent := 0 // on the channel
	for n := 0; time.Now().Before(stop); n++ {
		if ch == nil {
			var err error
			if ch, err = open(t.fleet.routers[at].frontend); err != nil {
				t.note("client %d: no channel: %v", client, err)
				time.Sleep(time.Second)
				continue
			}
			sent = 0
		}
		attempt := fmt.Sprintf("c%d-%d", client, n)
		began := time.Now()
		a := ch.send("POST", host, "/lohu930/2f", map[string]string{"X-Attempt-Id": attempt, "Authorization": "Bearer " + firstKey}, []byte("prompt"), 12*time.Second)
		all.Add(1)
		if sent > 0 {
			kept.Add(1)
		}
		if sent > 0 && a.err != nil {
			t.judgeLost(at, attempt, time.Since(began), a, lost)
		}
		sent++
		if a.err != nil || a.closes {
			ch.close()
			ch = nil
		}
		if a.status != http.StatusOK {
			time.Sleep(200 * time.Millisecond)
		}
	}
	if ch != nil {
		ch.close()
	}
}

// judgeLost counts a request that has no complete answer if a replica ran it and no replica
// broke off.
func (t *trial) judgeLost(router int, attempt string, took time.Duration, a answer, lost []atomic.Int64) {
	at, _, runs := t.runsOf(attempt)
	if at == nil || time.Since(t.began) < took {
		return
	}
	t.note("%s: %s closes the channel after %d ms, status %d, %d bytes of body, %v; ran at %s (%d runs)", attempt, t.fleet.routers[router].name, took.Milliseconds(), a.status, len(a.body), a.err, at.id, runs)
	lost[router].Add(1)
}

// resumableState returns a desired state whose streams may be resumed.
func resumableState() map[string]any {
	s := state(7, firstKey)
	s["routes"] = []any{map[string]any{
		"name": "r-t", "hostname": host, "prefix": "/lohu930/", "type": "stream", "timeoutMs": 12000, "ttftTargetMs": 800,
		"priority": 0, "backend": service, "attempts": 2, "public": false, "sticky": false, "resumable": true, "itlTargetMs": 300,
	}}
	return s
}
