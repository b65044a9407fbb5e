package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// keyPassedOn removes a route whose requests carry a key, while a public route with a
// shorter prefix stays.
func keyPassedOn(f *fleet) (bool, error) {
	const key = "n2ctnfzs989anu6wsjnb"
	for n := 1; n <= 3; n++ {
		if _, err := f.startServer(n, "swap-ledger", 6, 60*time.Millisecond); err != nil {
			return false, err
		}
	}
	for n := 4; n <= 6; n++ {
		if _, err := f.startServer(n, "swap-pages", 6, 20*time.Millisecond); err != nil {
			return false, err
		}
	}
	public := map[string]any{
		"name": "r-pages", "hostname": host, "prefix": "/swaps/", "type": "safe", "timeoutMs": 4000, "ttftTargetMs": 300,
		"priority": 2, "backend": "swap-pages", "attempts": 2, "public": true, "sticky": false, "resumable": false,
	}
	keyed := map[string]any{
		"name": "r-lookup", "hostname": host, "prefix": "/swaps/desk/", "type": "safe", "timeoutMs": 4000, "ttftTargetMs": 300,
		"priority": 2, "backend": "swap-ledger", "attempts": 2, "public": false, "sticky": false, "resumable": false,
	}
	state := func(routes ...any) map[string]any {
		return map[string]any{
			"routes":   routes,
			"backends": []any{pool("swap-ledger", false), pool("swap-pages", false)},
			"tenants":  []any{map[string]any{"name": "hule930", "apiKeys": []any{key}, "priority": 1}},
		}
	}
	f.put(state(public, keyed))
	if err := f.startRouters(); err != nil {
		return false, err
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	var answers []answer
	end := time.Now().Add(8 * time.Second)
	for n := range 6 {
		wg.Go(func() {
			for time.Now().Before(end) {
				c, err := f.routers[n%3].open()
				if err != nil {
					return
				}
				a := c.do(request{id: newID(), method: http.MethodGet, path: fmt.Sprintf("/swaps/desk/%d", n), key: key, deadline: 4 * time.Second})
				c.close()
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	time.Sleep(3 * time.Second)
	if f.trouble {
		f.put(state(public))
	}
	wg.Wait()
	passedOn := 0
	for _, a := range answers {
		for _, r := range f.runsOf(a.id) {
			if r.authorization == "" && r.tenant == "hule930" {
				continue
			}
			if passedOn++; passedOn <= 5 {
				f.note("UNASKED: %s ran at %s with Authorization %q and X-Tenant %q", a.id, r.server, r.authorization, r.tenant)
			}
		}
	}
	f.note("%d requests, %d runs to which the key was passed on", len(answers), passedOn)
	return passedOn > 0, nil
}
