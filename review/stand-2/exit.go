package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	replicaDrain  = 2 * time.Second        // drainMs
	aLittleLonger = 300 * time.Millisecond // after which a leaving replica takes no new channels
	releaseGap    = 1500 * time.Millisecond
	releases      = 30
	exitPieces    = 40
	exitPieceGap  = 100 * time.Millisecond
	exitClients   = 24
)

// playExit replaces replicas one after the other, as in a release: the new one starts first, the
// old one drains. Their answers have no length and end with their channel.
func playExit(t *trial) error {
	for _, r := range t.all {
		r.serve = r.serveUndelimited
	}
	s := state(7, firstKey)
	t.writeState(s)
	if err := t.startRouters(); err != nil {
		return err
	}
	lost := make([]atomic.Int64, len(t.fleet.routers))
	var all, kept atomic.Int64
	stop := time.Now().Add(3*time.Second + releases*releaseGap + 4*time.Second)
	var wg sync.WaitGroup
	for c := range exitClients {
		wg.Go(func() { t.keepAsking(c, stop, lost, &all, &kept) })
	}
	time.Sleep(3 * time.Second)
	old := append([]*replica(nil), t.all...)
	for n := range releases {
		if t.trouble {
			next, err := newReplica("127.77.0.2", fmt.Sprintf("n-%d", n+1), service, old[0].zone)
			if err != nil {
				return err
			}
			next.serve = next.serveUndelimited
			t.mu.Lock()
			t.all = append(t.all, next)
			t.mu.Unlock()
			t.store.put("servers/"+next.id, next.entry("ready"))
			old = append(old, next)
			wg.Add(1)
			go func(r *replica) {
				defer wg.Done()
				t.leave(r)
			}(old[0])
			old = old[1:]
		}
		time.Sleep(releaseGap)
	}
	wg.Wait()
	t.note("%d requests, %d of them on kept channels", all.Load(), kept.Load())
	for i := range lost {
		n := lost[i].Load()
		t.note("%s: %d requests from kept channels were passed on to sound replicas and have no complete answer", t.fleet.routers[i].name, n)
		if n > lostLimit {
			t.fail("%s closed a kept channel without a complete answer %d times", t.fleet.routers[i].name, n)
		}
	}
	return nil
}

// leave lets a replica leave as planned: it reports that it drains, serves on for drainMs and a
// little longer, takes no new channels then, and exits when the last request is answered.
func (t *trial) leave(r *replica) {
	t.store.put("servers/"+r.id, r.entry("draining"))
	t.note("%s reports draining", r.id)
	time.Sleep(replicaDrain + aLittleLonger)
	_ = r.listener.Close()
	t.note("%s takes no new channels; %d requests run there", r.id, r.running.Load())
	for r.running.Load() > 0 {
		time.Sleep(5 * time.Millisecond)
	}
	t.store.remove("servers/" + r.id)
	t.note("%s has answered all and exits", r.id)
}

// serveUndelimited answers with a stream without a length, whose end is the end of the channel.
func (r *replica) serveUndelimited(w http.ResponseWriter, q *http.Request, _ int) {
	r.running.Add(1)
	defer r.running.Add(-1)
	header := w.Header().Clone()
	conn, buf, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	fmt.Fprintf(buf, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n")
	_ = header.Write(buf)
	fmt.Fprintf(buf, "\r\n")
	for i := range exitPieces {
		if _, err := fmt.Fprintf(buf, "id: %d\ndata: piece %d\n\n", i+1, i+1); err != nil {
			return
		}
		if err := buf.Flush(); err != nil {
			r.mu.Lock()
			r.brokenOff = append(r.brokenOff, q.Header.Get("X-Attempt-Id"))
			r.mu.Unlock()
			return
		}
		time.Sleep(exitPieceGap)
	}
}

// remove deletes a key.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deleteLocked(key)
}
