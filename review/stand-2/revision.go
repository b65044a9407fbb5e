package main

import (
	"fmt"
	"time"
)

const secondKey = "anfqasnmgkcuyj8pjbvk"

// playRevision takes a key away while the store's counter passes 2^40. The replicas write as
// always meanwhile.
func playRevision(t *trial) error {
	t.writeState(state(7, firstKey, secondKey))
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for {
			for _, r := range t.all {
				t.store.put("servers/"+r.id, r.entry("ready"))
			}
			select {
			case <-stop:
				return
			case <-time.After(1200 * time.Millisecond):
			}
		}
	}()
	if err := t.startRouters(); err != nil {
		return err
	}
	if err := t.askWith("a", secondKey, nil); err != nil {
		return err
	}
	for t.store.last() <= 1<<40 {
		time.Sleep(100 * time.Millisecond)
	}
	t.note("the store is at revision %d", t.store.last())
	time.Sleep(time.Second)
	if t.trouble {
		t.writeState(state(12, firstKey))
	}
	time.Sleep(10 * time.Second) // configApplyMs + outerMs are 7 s
	if err := t.askWith("b", firstKey, nil); err != nil {
		return err
	}
	return t.askWith("c", secondKey, func(attempt string, status int) {
		if t.trouble && status != 401 {
			t.fail("%s: a request with a key that was taken away 10 s ago gets %d", attempt, status)
		}
	})
}

// askWith sends one request through each router. Without judge, each has to be served.
func (t *trial) askWith(round, key string, judge func(attempt string, status int)) error {
	for _, r := range t.fleet.routers {
		ch, err := open(r.frontend)
		if err != nil {
			return err
		}
		attempt := round + "-" + r.name
		a := ch.send("GET", host, "/cufi504/fi50/2f", map[string]string{"X-Attempt-Id": attempt, "Authorization": "Bearer " + key}, nil, 4*time.Second)
		ch.close()
		at, _, n := t.runsOf(attempt)
		where := ""
		if at != nil {
			where = at.id
		}
		t.note("%s: status %d, error %v; ran %d times, at %q", attempt, a.status, a.err, n, where)
		switch {
		case judge != nil:
			judge(attempt, a.status)
		case a.status != 200:
			return fmt.Errorf("%s: %w", attempt, errAnswer)
		}
	}
	return nil
}

// last returns the revision of the latest change.
func (s *store) last() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}
