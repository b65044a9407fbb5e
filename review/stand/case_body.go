package main

import (
	"net/http"
	"sync"
	"time"
)

const (
	usualClients = 4   // of each tenant at each router
	hotFactor    = 7.5 // how many times its usual the hot tenant sends
	hotTime      = 6500 * time.Millisecond
)

// largeBodies has the clients of three tenants send requests with bodies as long as the
// desired state allows. One tenant then sends many times its usual.
func largeBodies(f *fleet) (bool, error) {
	keys := []string{"n2ctnfzs989anu6wsjnb", "anfqasnmgkcuyj8pjbvk", "m0xq72hd1ozlw4cs8rty"}
	for n := 1; n <= 6; n++ {
		if _, err := f.startServer(n, "confirm-llm", 128, 0); err != nil {
			return false, err
		}
	}
	f.put(map[string]any{
		"routes": []any{map[string]any{
			"name": "full-confirm-draft", "hostname": host, "prefix": "/draft/", "type": "stream", "timeoutMs": 15000, "ttftTargetMs": 800,
			"priority": 0, "backend": "confirm-llm", "attempts": 2, "public": false, "sticky": true, "resumable": false, "itlTargetMs": 300,
		}},
		"backends": []any{pool("confirm-llm", true)},
		"tenants": []any{
			map[string]any{"name": "hule930", "apiKeys": []any{keys[0]}, "priority": 1},
			map[string]any{"name": "bivo118", "apiKeys": []any{keys[1]}, "priority": 1},
			map[string]any{"name": "tase402", "apiKeys": []any{keys[2]}, "priority": 1},
		},
	})
	if err := f.startRouters(); err != nil {
		return false, err
	}
	for _, r := range f.routers {
		go r.limitMemory()
	}
	var wg sync.WaitGroup
	s := &bodySenders{fleet: f, end: time.Now().Add(20 * time.Second), body: make([]byte, maxBody)}
	for _, r := range f.routers {
		for _, key := range keys {
			for range usualClients {
				wg.Go(func() { s.run(r, key, s.end) })
				time.Sleep(40 * time.Millisecond)
			}
		}
	}
	time.Sleep(6 * time.Second)
	if f.trouble {
		f.note("clients: one tenant sends %v times its usual for %v", hotFactor, hotTime)
		more := int((hotFactor - 1) * usualClients)
		hotEnd := time.Now().Add(hotTime)
		for range more {
			for _, r := range f.routers {
				wg.Go(func() { s.run(r, keys[0], hotEnd) })
			}
			time.Sleep(80 * time.Millisecond)
		}
	}
	wg.Wait()
	return s.judge(), nil
}

// bodySenders are clients that send large bodies over kept channels.
type bodySenders struct {
	fleet *fleet
	end   time.Time
	body  []byte

	mu   sync.Mutex
	lost []answer // ended without an answer, on kept channels
	sent int
}

// run is one client: it sends one request after the other, until end.
func (s *bodySenders) run(r *router, key string, end time.Time) {
	small := request{method: http.MethodPost, path: "/draft/2f", key: key, usage: "829,10", deadline: 15 * time.Second, body: s.body[:800]}
	large := request{method: http.MethodPost, path: "/draft/2f", key: key, usage: "11812,400", deadline: 15 * time.Second, body: s.body}
	for time.Now().Before(end) {
		c, err := r.open()
		if err != nil {
			time.Sleep(500 * time.Millisecond)
			continue
		}
		for n := 0; time.Now().Before(end); n++ {
			q := large
			if n == 0 {
				q = small
			}
			q.id = newID()
			a := c.do(q)
			s.add(a, n > 0)
			if a.closing {
				break
			}
			time.Sleep(300 * time.Millisecond)
		}
		c.close()
	}
}

func (s *bodySenders) add(a answer, kept bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent++
	if kept && !a.whole {
		s.lost = append(s.lost, a)
	}
}

// mayLose is how many requests LOST leaves out: "more than three times".
const mayLose = 3

// judge applies LOST: a machine in touch passes a request from a kept channel on to a
// sound replica and closes that channel without an answer. A process that is over its
// memory counts as running.
func (s *bodySenders) judge() bool {
	f := s.fleet
	lost := 0
	for _, a := range s.lost {
		if runs := f.runsOf(a.id); len(runs) > 0 && a.ended.Sub(a.sent) < 14*time.Second {
			lost++
			f.note("LOST: %s was passed on to %s, and its channel to router %d ended without a complete answer", a.id, runs[0].server, a.router)
		}
	}
	for _, r := range f.routers {
		f.note("%s: %d MB of memory at most, limit %d, killed for it: %v", r.name(), r.peak.Load()>>20, memoryMb, r.killed.Load())
	}
	f.note("%d requests, %d lost on kept channels", s.sent, lost)
	return lost > mayLose
}
