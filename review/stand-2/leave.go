package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	unsafeWork   = 400 * time.Millisecond
	pieces       = 20
	pieceGap     = 100 * time.Millisecond
	leaveUnsafe  = 150 * time.Millisecond // half the objective of 300 ms
	leaveStream  = 1200 * time.Millisecond
	leaveEach    = 4 // one request in so many is left
	leaveClients = 8
	leaveRounds  = 6
)

// serveLeave answers as a sound replica: it drops a request when its channel closes.
func serveLeave(w http.ResponseWriter, r *http.Request, _ int) {
	if !strings.HasPrefix(r.URL.Path, "/lohu930/") {
		select {
		case <-time.After(unsafeWork):
			_, _ = io.WriteString(w, "affirmed "+r.Header.Get("X-Attempt-Id")+"\n")
		case <-r.Context().Done():
		}
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for i := range pieces {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i+1, i+1); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		select {
		case <-time.After(pieceGap):
		case <-r.Context().Done():
			return
		}
	}
}

// playLeave has clients leave before their deadline, as give_up does. A client that leaves
// closes its side of the channel, so that nothing in flight is reset, and reads until the node
// closes the other.
func playLeave(t *trial) error {
	for _, r := range t.all {
		r.serve = serveLeave
	}
	t.writeState(state(7, firstKey))
	if err := t.startRouters(); err != nil {
		return err
	}
	var wg sync.WaitGroup
	for c := range leaveClients {
		wg.Go(func() {
			for n := range leaveRounds {
				t.oneLeave(c, n)
			}
		})
	}
	wg.Wait()
	return nil
}

func (t *trial) oneLeave(client, n int) {
	router := t.fleet.routers[client%len(t.fleet.routers)]
	stream := (client+n)%2 == 0
	leaves := t.trouble && (client*leaveRounds+n)%leaveEach == 0
	attempt := fmt.Sprintf("c%d-%d", client, n)
	path, deadline, after := "/puxa403/2f", 4000, leaveUnsafe
	if stream {
		path, deadline, after = "/lohu930/2f", 12000, leaveStream
	}
	conn, err := net.DialTimeout("tcp", router.frontend, time.Second)
	if err != nil {
		t.note("%s: no channel: %v", attempt, err)
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(time.Duration(deadline) * time.Millisecond))
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\nContent-Length: 4\r\n\r\nbody", path, host, attempt, deadline, firstKey)
	t.note("%s: sent to %s, POST %s", attempt, router.name, path)
	if leaves {
		time.AfterFunc(after, func() {
			t.note("%s: the client leaves: it closes its side of the channel", attempt)
			_ = conn.(*net.TCPConn).CloseWrite()
		})
	}
	var got bytes.Buffer
	resp, err := http.ReadResponse(bufio.NewReader(io.TeeReader(conn, &got)), nil)
	if err != nil {
		t.note("%s: the channel ends without an answer: %v", attempt, err)
		if !leaves {
			t.fail("%s has no answer", attempt)
		}
		return
	}
	body, err := io.ReadAll(resp.Body)
	signature := resp.Header.Get("X-Server-Signature")
	_, _, runs := t.runsOf(attempt)
	t.note("%s: status %d, signature %q, %d bytes of body, error %v; runs at replicas: %d", attempt, resp.StatusCode, signature, len(body), err, runs)
	last := fmt.Sprintf("data: piece %d\n", pieces)
	switch {
	case resp.StatusCode >= 300 || err != nil: // a failure, or an answer that does not look complete
		if !leaves {
			t.fail("%s is not served: status %d, error %v", attempt, resp.StatusCode, err)
		}
	case signature == "":
		t.fail("%s gets a complete success that no replica gave: %q", attempt, got.String())
	case stream && !bytes.Contains(body, []byte(last)):
		t.fail("%s gets a stream that ends as complete after %d of %d pieces", attempt, bytes.Count(body, []byte("data:")), pieces)
	}
}
