package soak

import (
	"math/rand/v2"
	"net/http"
	"time"

	"wisteriaspool/standin/replica"
)

const (
	// failureTime is how long a service fails nearly all requests. All routers are killed
	// killsWhileFailing times in it, so that a fleet which retries more after each start
	// exceeds its budget.
	failureTime       = 8 * time.Second
	killsWhileFailing = 3
	// failurePause is the time between two such failures.
	failurePause = 3 * time.Second
)

// failServices makes all endpoints of the service "desk" fail requests again and again, and
// kills all routers meanwhile.
func (s *soak) failServices(end time.Time) {
	for time.Now().Before(end) {
		s.logf("service desk fails for %v, and all routers are killed %d times", failureTime, killsWhileFailing)
		s.recordFaultSpan(failureTime)
		until := time.Now().Add(failureTime)
		for n := range killsWhileFailing {
			s.failEndpoints("desk", until.Add(-time.Duration(killsWhileFailing-n)*failureTime/(killsWhileFailing+1)))
			s.killRouters(rand.New(rand.NewPCG(s.opts.Seed, 1<<35)), len(s.routers))
		}
		s.failEndpoints("desk", until)
		for _, e := range s.upEndpoints([]string{"desk"}) {
			e.SetFaults(replica.Faults{})
		}
		time.Sleep(failurePause)
	}
}

// failEndpoints makes all endpoints of a service fail, also those that start meanwhile.
func (s *soak) failEndpoints(service string, until time.Time) {
	for time.Now().Before(until) {
		for _, e := range s.upEndpoints([]string{service}) {
			e.SetFaults(replica.Faults{Status: http.StatusInternalServerError})
		}
		time.Sleep(entryExpiry / 10)
	}
}
