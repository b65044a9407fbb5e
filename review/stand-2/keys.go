package main

import (
	"fmt"
	"strings"
	"time"
)

const grace = 8 * time.Second

// playKeys takes the tenants and their keys out of the desired state, and then has all
// routers stopped and started in turn. Clients that were connected go on sending their key.
func playKeys(t *trial) error {
	t.writeState(state(7, firstKey))
	if err := t.startRouters(); err != nil {
		return err
	}
	if err := t.askAll("a", tenant); err != nil {
		return err
	}
	t.writeState(state(12)) // no tenants: requests need no key
	time.Sleep(4 * time.Second)
	if err := t.askAll("b", ""); err != nil {
		return err
	}
	if t.trouble {
		for _, r := range t.fleet.routers {
			t.note("%s gets SIGTERM", r.name)
			r.stop(grace)
			if err := t.fleet.start(r); err != nil {
				return err
			}
			if err := t.fleet.awaitReady(10 * time.Second); err != nil {
				return err
			}
			t.note("%s is started again and ready", r.name)
			time.Sleep(time.Second)
		}
	}
	time.Sleep(4 * time.Second)
	return t.askAll("c", "")
}

// askAll sends one request through each router and checks what the replica gets.
func (t *trial) askAll(round, wantTenant string) error {
	for _, r := range t.fleet.routers {
		ch, err := open(r.frontend)
		if err != nil {
			return err
		}
		attempt := round + "-" + r.name
		a := ch.send("GET", host, "/cufi504/fi50/2f", map[string]string{"X-Attempt-Id": attempt, "Authorization": "Bearer " + firstKey}, nil, 4*time.Second)
		ch.close()
		_, run, n := t.runsOf(attempt)
		if run == nil || a.status != 200 {
			t.note("%s: status %d, error %v, runs %d", attempt, a.status, a.err, n)
			return errAnswer
		}
		t.note("%s: status %d; the replica got X-Tenant %q, Authorization %q", attempt, a.status, run.header.Get("X-Tenant"), run.header.Get("Authorization"))
		if got := run.header.Get("X-Tenant"); got != wantTenant {
			return fmt.Errorf("%s: tenant %q, want %q", attempt, got, wantTenant)
		}
		if strings.Contains(run.header.Get("Authorization"), firstKey) {
			t.fail("%s: the client's key was passed on to a replica, which ran the request", attempt)
		}
	}
	return nil
}
