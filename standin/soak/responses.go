package soak

import (
	"math/rand/v2"
	"strconv"
	"time"

	"wisteriaspool/standin/replica"
)

// faultResponses makes endpoints break responses off and end them as complete ones, leave
// without a change of their entry, and ask for pauses, beside the other faults. It has its
// own random number generator, so that the other faults of a seed are the same without it.
func (s *soak) faultResponses(end time.Time) {
	rng := rand.New(rand.NewPCG(s.opts.Seed, 1<<33))
	for time.Now().Before(end) {
		switch rng.IntN(3) {
		case 0:
			s.breakResponses(s.chooseEndpoint(rng, "model"), rng)
		case 1:
			s.leaveUnheard(s.chooseEndpoint(rng, "desk", "model"))
		case 2:
			s.shed(s.chooseEndpoint(rng, "desk", "model"), rng)
		}
		time.Sleep(time.Duration(300+rng.IntN(1500)) * time.Millisecond)
	}
}

// eventBytes is the size of an event of a stream.
const eventBytes = len("id: 1\ndata: token 1\n\n")

// breakResponses makes an endpoint end its streams inside an event for a while.
func (s *soak) breakResponses(e *endpoint, rng *rand.Rand) {
	f := replica.Faults{CutAfter: 1 + rng.IntN(fewEvents-1), CutBytes: 1 + rng.IntN(eventBytes-1), CutInOrder: true}
	d := time.Duration(500+rng.IntN(1500)) * time.Millisecond
	s.logf("endpoint %s ends its streams after %d events and %d bytes for %v", e.id, f.CutAfter, f.CutBytes, d)
	s.recordFaultSpan(d)
	e.SetFaults(f)
	s.after(d, func() { e.SetFaults(replica.Faults{}) })
}

// leaveUnheard stops an endpoint whose responses alone say so. Its entry stays as it is.
func (s *soak) leaveUnheard(e *endpoint) {
	s.logf("endpoint %s leaves, and only its responses say so", e.id)
	s.mu.Lock()
	e.drained = time.Now()
	s.mu.Unlock()
	s.recordFaultSpan(2 * drainTime)
	s.replaceEndpoint(e.service)
	e.SayLeaving()
	s.after(2*drainTime, func() { s.store.Delete(e.Key()) })
}

// shed makes an endpoint turn some requests away and ask for a pause.
func (s *soak) shed(e *endpoint, rng *rand.Rand) {
	f := replica.Faults{FullEvery: 1 + rng.IntN(4), RetryAfter: strconv.Itoa(1 + rng.IntN(3))}
	d := time.Duration(1000+rng.IntN(3000)) * time.Millisecond
	s.logf("endpoint %s turns one of %d requests away for %v and asks for %s s", e.id, f.FullEvery, d, f.RetryAfter)
	s.recordFaultSpan(d)
	e.SetFaults(f)
	s.after(d, func() { e.SetFaults(replica.Faults{}) })
}
