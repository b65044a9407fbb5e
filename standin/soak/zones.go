package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// zones are the availability zones of the endpoints.
var zones = []string{"z0", "z1", "z2"}

const (
	// evacuationTimeout is the time within which routers without faults must stop
	// sending requests to an evacuated zone.
	evacuationTimeout = 2 * time.Second

	// coldTime is how long an endpoint stays cold, and coldRate how many requests a
	// second it tolerates meanwhile.
	coldTime = 3 * time.Second
	coldRate = 4.0

	// coldService is the service whose cold endpoints have a rate.
	coldService = "model"

	// coldOverrun and coldSlack bound the requests to a cold endpoint in a second:
	// coldOverrun times coldRate, and coldSlack.
	coldOverrun = 1.5
	coldSlack   = 5

	// coldNotice is the time within which routers must learn that an endpoint is
	// cold that reports it.
	coldNotice = time.Second
)

// faultZones evacuates and restores availability zones and makes endpoints cold,
// beside the other faults. It has its own random number generator, so that the other
// faults of a seed are the same without it.
func (s *soak) faultZones(end time.Time) {
	rng := rand.New(rand.NewPCG(s.opts.Seed, 1<<32))
	for time.Now().Before(end) {
		if rng.IntN(3) == 0 {
			s.coolEndpoint(rng)
		} else {
			s.evacuateZone(zones[rng.IntN(len(zones))], time.Duration(2000+rng.IntN(3000))*time.Millisecond)
		}
		time.Sleep(time.Duration(300+rng.IntN(1500)) * time.Millisecond)
	}
}

// evacuateZone evacuates a zone for d. Its endpoints are cold when it returns.
func (s *soak) evacuateZone(zone string, d time.Duration) {
	s.logf("zone %s is evacuated for %v", zone, d)
	from := time.Now()
	s.setEvacuated(zone, true)
	s.store.Put("op/evacuate/"+zone, []byte("{}"))
	time.Sleep(d)
	until := time.Now()
	s.checkEvacuated(zone, from, until)
	s.store.Delete("op/evacuate/" + zone)
	s.setEvacuated(zone, false)
	for _, e := range s.endpointsOf(zone) {
		s.setCold(e)
	}
}

// endpointsOf returns the endpoints of a zone that are up.
func (s *soak) endpointsOf(zone string) []*endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []*endpoint
	for _, e := range s.endpoints {
		if e.zone == zone && e.until().IsZero() {
			found = append(found, e)
		}
	}
	return found
}

func (s *soak) setEvacuated(zone string, evacuated bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.evacuated == nil {
		s.evacuated = make(map[string]bool)
	}
	s.evacuated[zone] = evacuated
}

// checkEvacuated reports requests that reached a zone while it was evacuated. Routers
// and the store may not have had a fault shortly before or meanwhile.
func (s *soak) checkEvacuated(zone string, from, until time.Time) {
	s.mu.Lock()
	healthy := s.lastStoreFault.Before(from.Add(-evacuationTimeout))
	s.mu.Unlock()
	for _, r := range s.routers {
		healthy = healthy && r.healthySince(from.Add(-evacuationTimeout))
	}
	if !healthy {
		return
	}
	for _, e := range s.endpointsOf(zone) {
		for _, a := range e.Arrivals() {
			if a.StartedAt.After(from.Add(evacuationTimeout)) && a.StartedAt.Before(until) {
				s.reportViolation("endpoint %s got request %s %v after its zone was evacuated", e.id, a.ID, a.StartedAt.Sub(from).Round(time.Millisecond))
				return
			}
		}
	}
}

// coolEndpoint makes an endpoint cold again while it serves.
func (s *soak) coolEndpoint(rng *rand.Rand) {
	up := s.endpointsOf(zones[rng.IntN(len(zones))])
	if len(up) == 0 {
		return
	}
	e := up[rng.IntN(len(up))]
	s.logf("endpoint %s is cold", e.id)
	s.setCold(e)
}

// setCold makes an endpoint cold, which it reports in its entry. Unless the store has
// a fault, routers know it after coldNotice and keep to the rate of its pool.
func (s *soak) setCold(e *endpoint) {
	e.SetCold(coldTime)
	if e.service != coldService {
		return
	}
	now := time.Now()
	s.after(coldNotice, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.lastStoreFault.Before(now.Add(-evacuationTimeout)) {
			s.coldSpans = append(s.coldSpans, coldSpan{endpoint: e.id, timeSpan: timeSpan{now.Add(coldNotice), now.Add(coldTime)}})
		}
	})
}

// coldSpan is a time in which an endpoint was cold.
type coldSpan struct {
	timeSpan
	endpoint string
}

// checkCold finds cold endpoints that got more requests within a second than they
// tolerate.
func (h *history) checkCold() (violations []string) {
	for _, c := range h.coldSpans {
		var starts []time.Time
		for _, a := range h.arrivals {
			if a.endpoint == c.endpoint && a.StartedAt.After(c.from) && a.StartedAt.Before(c.until) {
				starts = append(starts, a.StartedAt)
			}
		}
		slices.SortFunc(starts, time.Time.Compare)
		for _, at := range starts {
			if n := countWithin(starts, at, time.Second); float64(n) > coldOverrun*coldRate+coldSlack {
				violations = append(violations, fmt.Sprintf("cold endpoint %s got %d requests within a second", c.endpoint, n))
				break
			}
		}
	}
	return violations
}
