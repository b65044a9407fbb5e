package suspicion

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/samber/lo"
	"gotest.tools/v3/assert"

	"wisteriaspool/coordination/placement"
	"wisteriaspool/coordination/synctest"
)

// outcome is the result of one seeded simulation.
type outcome struct {
	crashes          map[Fingerprint]int // crashed endpoints by request
	falseConvictions int                 // harmless requests refused as poison
	served           int                 // harmless requests that ran to completion
	sent             int                 // harmless requests sent
	runs             []runRecord
}

// scenario is a seeded simulation: harmless requests arrive all the time, and
// crashing requests are sent through one router first and then repeatedly
// through all.
type scenario struct {
	seed     uint64
	crashing int
	spacing  time.Duration // time between two crashing requests
	fault    injectedFault
	cfg      Config
	rekeyed  bool // each copy of a crashing request has another placement key
}

// run simulates the scenario in a synctest bubble.
func (s scenario) run(t *testing.T) (o outcome) {
	synctest.Test(t, func(t *testing.T) {
		sim := newFleetSim(s.seed, 7, 12, s.fault, s.cfg)
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		for i, m := range sim.members {
			wg.Go(func() { sim.routers[m.ID].loop(ctx, time.Duration(200+250*i)*time.Millisecond) })
		}
		time.Sleep(3 * time.Second)
		length := time.Duration(s.crashing)*s.spacing + 20*time.Second
		var jobs sync.WaitGroup
		jobs.Go(func() { s.sendHarmless(ctx, sim, length, &o) })
		for i := range s.crashing {
			jobs.Go(func() {
				time.Sleep(time.Duration(i) * s.spacing)
				s.sendCrashing(ctx, sim, i, length)
			})
		}
		jobs.Wait()
		cancel()
		wg.Wait()
		sim.stop()
		o.crashes, o.runs = sim.crashCounts(), sim.runs
		o.falseConvictions = lo.CountBy(sim.convicted, func(f Fingerprint) bool { return !isCrashing(f, s.crashing) })
		time.Sleep(time.Minute)
	})
	return o
}

func crashingFingerprint(i int) Fingerprint { return FingerprintOf("poison", fmt.Sprint(i)) }

func isCrashing(f Fingerprint, n int) bool {
	return lo.Contains(lo.Times(n, crashingFingerprint), f)
}

// sendHarmless sends 15 requests a second, one in twenty with the same common
// prompt.
func (s scenario) sendHarmless(ctx context.Context, sim *fleetSim, length time.Duration, o *outcome) {
	rng := rand.New(rand.NewPCG(s.seed, 2))
	var wg sync.WaitGroup
	var mu sync.Mutex
	for i := range int(length.Seconds() * 15) {
		time.Sleep(time.Second / 15)
		j := job{
			fingerprint: FingerprintOf("innocent", fmt.Sprint(i)),
			key:         placement.Key(i),
			length:      time.Duration(500+rng.IntN(6000)) * time.Millisecond,
			retries:     3,
		}
		if rng.IntN(20) == 0 {
			j.fingerprint = FingerprintOf("hello")
		}
		r := sim.routers[sim.members[rng.IntN(len(sim.members))].ID]
		o.sent++
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, 30*time.Second)
			defer cancel()
			if r.serve(ctx, j) {
				mu.Lock()
				defer mu.Unlock()
				o.served++
			}
		})
	}
	wg.Wait()
}

// sendCrashing sends a crashing request, and resends it through every router at
// once when its first run has ended, and every 3 s after that.
func (s scenario) sendCrashing(ctx context.Context, sim *fleetSim, i int, length time.Duration) {
	rng := rand.New(rand.NewPCG(s.seed, uint64(i+3)))
	j := job{
		fingerprint: crashingFingerprint(i),
		key:         placement.Key(1_000_000 + i),
		length:      time.Duration(50+rng.IntN(2000)) * time.Millisecond,
		crashes:     true,
		retries:     3,
	}
	until := time.Now().Add(length)
	first := sim.routers[sim.members[rng.IntN(len(sim.members))].ID]
	var wg sync.WaitGroup
	original := j
	wg.Go(func() { first.serve(ctx, original) })
	for sim.crashCounts()[j.fingerprint] == 0 && time.Now().Before(until) {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(time.Duration(10+rng.IntN(300)) * time.Millisecond)
	for time.Now().Before(until) {
		for _, r := range sim.routers {
			if s.rekeyed {
				j.key++
			}
			again := j
			wg.Go(func() {
				ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
				defer cancel()
				r.serve(ctx, again)
			})
		}
		time.Sleep(3 * time.Second)
	}
	wg.Wait()
}

// A request crashes each endpoint that runs it. Its caller retries through
// every router at once, before the routers have exchanged records. Without
// coordination the pool would lose one endpoint after another; with premature
// convictions, requests that merely ran on the same endpoints would be refused.
func TestCrashingRequestTakesAtMostTwoEndpoints(t *testing.T) {
	tests := []struct {
		name string
		scenario
		seeds uint64
	}{
		{"one", scenario{crashing: 1, spacing: 10 * time.Second}, 5},
		{"several apart", scenario{crashing: 3, spacing: 10 * time.Second}, 1},
		{"as other chats, always asking", scenario{
			crashing: 1, spacing: 10 * time.Second, rekeyed: true, cfg: Config{Always: true},
		}, 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for seed := range test.seeds {
				s := test.scenario
				s.seed = seed
				o := s.run(t)
				for i := range s.crashing {
					n := o.crashes[crashingFingerprint(i)]
					assert.Assert(t, n >= 1 && n <= 2, "seed %d: request %d crashed %d endpoints", seed, i, n)
				}
				assert.Equal(t, o.falseConvictions, 0, "seed %d", seed)
				assert.Assert(t, o.served >= o.sent*99/100, "seed %d: %d of %d harmless requests served", seed, o.served, o.sent)
			}
		})
	}
}

// Checks that the limit of two endpoints is exceeded by routers that retry
// without asking the gate, or that each ask only their own.
func TestCrashLimitCheckDetectsInjectedFaults(t *testing.T) {
	for _, fault := range []injectedFault{noGate, ownGateOnly} {
		found := false
		for seed := range uint64(2) {
			o := scenario{seed: seed, crashing: 1, spacing: 10 * time.Second, fault: fault}.run(t)
			found = found || o.crashes[crashingFingerprint(0)] > 2
		}
		assert.Assert(t, found, "fault %d is not detected", fault)
	}
}
