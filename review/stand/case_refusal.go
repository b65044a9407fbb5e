package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// strayRefusal lets one replica of a plain service send additional bytes after some of its
// complete answers, late. They have the form of a refusal that names no request.
func strayRefusal(f *fleet) (bool, error) {
	const key = "n2ctnfzs989anu6wsjnb"
	var faulty *rawServer
	for n := 1; n <= 3; n++ {
		s := f.newServer(n, "swap-ledger", 6, 60*time.Millisecond)
		raw := &rawServer{server: s}
		if n == 1 {
			faulty = raw
		}
		if err := raw.listen(); err != nil {
			return false, err
		}
		s.register()
	}
	f.put(map[string]any{
		"routes": []any{map[string]any{
			"name": "affirm-trade", "hostname": host, "prefix": "/affirm/", "type": "unsafe", "timeoutMs": 4000, "ttftTargetMs": 300,
			"priority": 2, "backend": "swap-ledger", "attempts": 2, "public": false, "sticky": false, "resumable": false,
		}},
		"backends": []any{pool("swap-ledger", false)},
		"tenants":  []any{map[string]any{"name": "hule930", "apiKeys": []any{key}, "priority": 1}},
	})
	if err := f.startRouters(); err != nil {
		return false, err
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	var answers []answer
	end := time.Now().Add(12 * time.Second)
	for n := range 12 {
		wg.Go(func() {
			c, err := f.routers[n%3].open()
			if err != nil {
				return
			}
			defer func() { c.close() }()
			for time.Now().Before(end) {
				a := c.do(request{id: newID(), method: http.MethodPost, path: "/affirm/2f", key: key, deadline: 4 * time.Second, body: make([]byte, 600)})
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
				if a.closing {
					c.close()
					if c, err = f.routers[n%3].open(); err != nil {
						return
					}
				}
				if a.status != http.StatusOK {
					time.Sleep(100 * time.Millisecond)
				}
			}
		})
	}
	time.Sleep(3 * time.Second)
	if f.trouble {
		f.note("%s: begins to send additional bytes after complete answers", faulty.id)
		faulty.spoiling.Store(true)
		time.AfterFunc(spoilTime, func() { faulty.spoiling.Store(false) })
	}
	wg.Wait()
	return judgeRefusals(f, answers), nil
}

// judgeRefusals applies TWICE and REFUSED to requests that aren't idempotent.
func judgeRefusals(f *fleet, answers []answer) bool {
	twice, refused := 0, 0
	for _, a := range answers {
		times := 0
		where := ""
		for _, r := range f.runsOf(a.id) {
			times += r.times
			where += " " + r.server
		}
		if times > 1 {
			twice++
			f.note("TWICE: %s ran %d times, at%s", a.id, times, where)
		}
		if times > 0 && (a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests) {
			refused++
			f.note("REFUSED: %s was answered with %d and has run at%s", a.id, a.status, where)
		}
	}
	f.note("%d requests, %d ran twice, %d were refused and have run", len(answers), twice, refused)
	return twice+refused > 0
}

// rawServer speaks for a replica on its sockets, so that it can send additional bytes.
type rawServer struct {
	*server
	spoiling atomic.Bool
	answers  atomic.Int64
}

func (s *rawServer) listen() error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.fleet.closers = append(s.fleet.closers, func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return nil
}

// The largest dose for garbled answers that arrive late: 0.6 of the replicas, 0.03 of their
// answers, for 5 s.
const (
	spoilEvery = 34
	spoilTime  = 5 * time.Second
)

// additional are bytes after a complete answer. Unlike a replica's own refusals, they carry
// no X-Attempt-Id.
const additional = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"

// serve serves one channel.
func (s *rawServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	late := ""
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get("X-Attempt-Id")
		if late != "" {
			s.fleet.note("%s: additional bytes after an earlier answer arrive where that to %s is expected", s.id, id)
			_, _ = io.WriteString(c, late)
			late = ""
		}
		if expected := r.Header.Get("X-Expect-Instance"); expected != s.id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, s.id)
			continue
		}
		a := s.begin(id, r)
		if a == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: "+id+"\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		time.Sleep(s.work)
		body := strings.Repeat("x", 800)
		_, err = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: "+id+"\r\nX-Server-Signature: sig."+id+"\r\nX-Instance-Load: "+s.load()+
			"\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
		s.end(a, err == nil)
		if s.spoiling.Load() && s.answers.Add(1)%spoilEvery == 0 {
			late = additional
		}
	}
}
