package soak

import (
	"math/rand/v2"
	"time"

	"wisteriaspool/standin/replica"
)

// faultResponses makes endpoints break their responses off and end them as complete
// ones, beside the other faults. It has its own random number generator, so that the
// other faults of a seed are the same without it.
func (s *soak) faultResponses(end time.Time) {
	rng := rand.New(rand.NewPCG(s.opts.Seed, 1<<33))
	for time.Now().Before(end) {
		s.breakResponses(s.chooseEndpoint(rng, "model"), rng)
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
