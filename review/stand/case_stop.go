package main

import (
	"net/http"
	"sync"
	"time"
)

// lostAtStop stops one router as planned while clients keep their channels to it. The
// answers of a route are short for a while, and longer ones follow.
func lostAtStop(f *fleet) (bool, error) {
	const key = "n2ctnfzs989anu6wsjnb"
	for n := 1; n <= 3; n++ {
		if _, err := f.startServer(n, "confirm-llm", 128, 0); err != nil {
			return false, err
		}
	}
	f.put(map[string]any{
		"routes": []any{
			map[string]any{
				"name": "full-confirm-draft", "hostname": host, "prefix": "/draft/", "type": "stream", "timeoutMs": 15000, "ttftTargetMs": 800,
				"priority": 0, "backend": "confirm-llm", "attempts": 2, "public": false, "sticky": true, "resumable": false, "itlTargetMs": 300,
			},
			map[string]any{
				"name": "term-summary", "hostname": host, "prefix": "/summary/", "type": "stream", "timeoutMs": 12000, "ttftTargetMs": 800,
				"priority": 1, "backend": "confirm-llm", "attempts": 1, "public": false, "sticky": true, "resumable": false, "itlTargetMs": 300,
			},
		},
		"backends": []any{pool("confirm-llm", true)},
		"tenants":  []any{map[string]any{"name": "hule930", "apiKeys": []any{key}, "priority": 1}},
	})
	if err := f.startRouters(); err != nil {
		return false, err
	}
	draft := func() request {
		return request{id: newID(), method: http.MethodPost, path: "/draft/2f", key: key, usage: "11812,450", deadline: 15 * time.Second, body: make([]byte, 12000)}
	}
	summary := func(tokens string) request {
		return request{id: newID(), method: http.MethodPost, path: "/summary/2f", key: key, usage: "829," + tokens, deadline: 12 * time.Second, body: make([]byte, 830)}
	}

	var wg sync.WaitGroup
	stopAt := time.Now().Add(6 * time.Second)
	end := stopAt.Add(12 * time.Second)
	for range 4 {
		wg.Go(func() { keepAsking(f, func() request { return summary("40") }, end) })
	}
	time.Sleep(time.Until(stopAt.Add(-500 * time.Millisecond)))
	var mu sync.Mutex
	var answers []answer
	for range 4 {
		wg.Go(func() {
			c, err := f.routers[0].open()
			if err != nil {
				return
			}
			defer c.close()
			if a := c.do(draft()); a.closing {
				return
			}
			a := c.do(summary("500"))
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, a)
		})
	}
	time.Sleep(time.Until(stopAt))
	stopped := time.Now()
	if f.trouble {
		f.routers[0].terminate()
	}
	wg.Wait()
	return judgeStop(f, answers, stopped), nil
}

// keepAsking sends one request after the other over a kept channel to the first router,
// and to another one when that closes its channels.
func keepAsking(f *fleet, next func() request, end time.Time) {
	for n := 0; time.Now().Before(end); n++ {
		c, err := f.routers[min(n, 1)].open()
		if err != nil {
			continue
		}
		for time.Now().Before(end) {
			if a := c.do(next()); a.closing {
				break
			}
		}
		c.close()
	}
}

// judgeStop applies LOST around planned work: a request that was passed on to a replica
// ends without a complete answer. Not counted are requests that were sent up to 3 s after
// the SIGTERM, those whose replica has broken off, and those whose deadline has passed.
func judgeStop(f *fleet, answers []answer, stopped time.Time) (broken bool) {
	for _, a := range answers {
		runs := f.runsOf(a.id)
		if a.whole || len(runs) == 0 || a.ended.Sub(a.sent) >= 11500*time.Millisecond {
			continue
		}
		if after := a.sent.Sub(stopped); f.trouble && (after <= 3*time.Second || a.ended.Sub(stopped) > grace+time.Second) {
			continue
		}
		f.note("LOST: %s, sent %d ms after the stop, was passed on to %s, and its channel ended %d ms after the stop without a complete answer",
			a.id, a.sent.Sub(stopped).Milliseconds(), runs[0].server, a.ended.Sub(stopped).Milliseconds())
		broken = true
	}
	f.note("%d requests followed on kept channels", len(answers))
	return broken
}
