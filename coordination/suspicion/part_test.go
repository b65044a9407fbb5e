package suspicion

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/placement"
	"wisteriaspool/coordination/synctest"
)

const (
	// contactTime is how long after the fifth crash routers may still send requests with
	// a crashing part, and lateRuns is how many they may send after it.
	contactTime = 3 * time.Second
	lateRuns    = 3

	partRestart  = 2 * time.Second
	firstEvent   = 100 * time.Millisecond // from the start of a run
	partAttempts = 2
)

func TestPartOf(t *testing.T) {
	assert.Equal(t, PartOf("5c1e07a2"), Fingerprint(0x5c1e07a2))
	assert.Equal(t, PartOf("0"), Fingerprint(0))
	assert.Assert(t, PartOf("not-hexadecimal") != PartOf("another"))
}

// partSim simulates routers, a pool of endpoints, and requests with prompts.
type partSim struct {
	lost    float64 // share of messages between routers that are lost
	members []placement.Router

	mu        sync.Mutex
	rng       *rand.Rand
	routers   map[coordination.Instance]*partRouter
	endpoints []*partEndpoint
	runs      map[Fingerprint][]time.Time // starts of requests with crashing parts
	crashes   map[Fingerprint][]time.Time
	refused   int // sound requests that were refused for a part
	failed    int // other sound requests that did not complete
	served    int
	wg        sync.WaitGroup
}

// partEndpoint is one endpoint of a partSim.
type partEndpoint struct {
	id          coordination.Endpoint
	incarnation coordination.Incarnation
	up          bool
	died        chan struct{}
}

// partRouter is one router of a partSim.
type partRouter struct {
	sim   *partSim
	id    coordination.Instance
	guard *Guard
}

func newPartSim(seed uint64, routers, endpoints int, lost float64) *partSim {
	s := &partSim{
		lost: lost, rng: rand.New(rand.NewPCG(seed, 7)),
		routers: make(map[coordination.Instance]*partRouter),
		runs:    make(map[Fingerprint][]time.Time), crashes: make(map[Fingerprint][]time.Time),
	}
	for n := range endpoints {
		s.endpoints = append(s.endpoints, &partEndpoint{id: coordination.Endpoint(fmt.Sprint("e", n)), incarnation: 1, up: true, died: make(chan struct{})})
	}
	for n := range routers {
		s.members = append(s.members, placement.Router{ID: coordination.Instance(fmt.Sprint("r", n)), Incarnation: 1})
	}
	for _, m := range s.members {
		s.startRouter(m.ID)
	}
	return s
}

// startRouter starts a router, or replaces it by one that knows nothing yet and asks
// another one.
func (s *partSim) startRouter(id coordination.Instance) {
	r := &partRouter{sim: s, id: id}
	r.guard = NewGuard(id, 1, NewGate(NewTable(Config{Parts: true})), r, r)
	r.guard.locator.Store(locatorBox{placement.NewRouters(s.members, 0)})
	s.mu.Lock()
	_, known := s.routers[id]
	s.routers[id] = r
	s.mu.Unlock()
	if known {
		for _, m := range s.members {
			if m.ID != id {
				_, _, _ = r.guard.Pull(context.Background(), m.ID)
			}
		}
	}
}

func (s *partSim) router(id coordination.Instance) *partRouter {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.routers[id]
}

// chance reports true with probability p.
func (s *partSim) chance(p float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Float64() < p
}

func (s *partSim) intN(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.IntN(n)
}

// Call implements Transport.
func (r *partRouter) Call(ctx context.Context, to coordination.Instance, topic string, payload []byte) ([]byte, error) {
	time.Sleep(time.Duration(1+r.sim.intN(9)) * time.Millisecond)
	if r.sim.chance(r.sim.lost) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if topic == TopicPartRecords {
		return r.sim.router(to).guard.HandleRecords(payload)
	}
	return r.sim.router(to).guard.HandleGate(ctx, payload)
}

// Spread implements Spreader, with a delay of up to 400 ms for each router.
func (r *partRouter) Spread(_ string, payload []byte) {
	for _, m := range r.sim.members {
		if r.sim.chance(r.sim.lost) {
			continue
		}
		delay := time.Duration(r.sim.intN(400)) * time.Millisecond
		time.AfterFunc(delay, func() { _, _ = r.sim.router(m.ID).guard.HandleRecord(context.Background(), payload) })
	}
}

// compare makes each router ask another one for the records that it missed, as routers do
// all the time.
func (s *partSim) compare(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(time.Second)
		for n, m := range s.members {
			_, _, _ = s.router(m.ID).guard.Pull(ctx, s.members[(n+1+s.intN(len(s.members)-1))%len(s.members)].ID)
		}
	}
}

// place returns an endpoint that is up, other than avoid, and its lifetime, or nil.
func (s *partSim) place(avoid *partEndpoint) (*partEndpoint, EndpointLifetime, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range s.rng.Perm(len(s.endpoints)) {
		if e := s.endpoints[n]; e.up && e != avoid {
			return e, EndpointLifetime{Endpoint: e.id, Incarnation: e.incarnation}, e.died
		}
	}
	return nil, EndpointLifetime{}, nil
}

// end ends an endpoint, which is back after partRestart, and reports whether it was up.
func (s *partSim) end(e *partEndpoint, died chan struct{}) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !e.up || died != nil && e.died != died {
		return false
	}
	e.up = false
	close(e.died)
	time.AfterFunc(partRestart, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		e.up, e.died, e.incarnation = true, make(chan struct{}), e.incarnation+1
	})
	return true
}

// send sends a request through a router; crashing is the part that ends endpoints, zero for
// none.
func (s *partSim) send(id coordination.Instance, length time.Duration, crashing Fingerprint, parts ...Fingerprint) {
	s.wg.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
		defer cancel()
		served, refused := s.router(id).serve(ctx, length, crashing, parts)
		if crashing != 0 {
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		switch {
		case served:
			s.served++
		case refused:
			s.refused++
		default:
			s.failed++
		}
	})
}

// serve passes a request through the router in the same steps as the daemon.
func (r *partRouter) serve(ctx context.Context, length time.Duration, crashing Fingerprint, parts []Fingerprint) (served, refused bool) {
	t, refusal, _ := r.guard.BeginPrompt(ctx, parts, simPool)
	if t == nil {
		return false, refusal.Poison
	}
	var avoid *partEndpoint
	for range partAttempts {
		e, life, died := r.sim.place(avoid)
		if _, _, convicted := t.Convicted(); convicted || e == nil {
			break
		}
		complete, answering := r.run(ctx, t, e, died, length, crashing)
		if complete {
			t.Finished(context.Background())
			return true, false
		}
		avoid = e
		if !answering {
			if refusal, _, ok := t.RecordCrash(ctx, Loss{Pool: simPool, Endpoint: life.Endpoint, Incarnation: life.Incarnation}); !ok {
				t.Abandoned(context.Background())
				return false, refusal.Poison
			}
		}
		if refusal, _, ok := t.Enter(ctx); !ok {
			t.Abandoned(context.Background())
			return false, refusal.Poison
		}
	}
	t.Abandoned(context.Background())
	return false, false
}

// run runs a request at an endpoint, and reports whether it completed, and whether the
// endpoint had written for a second.
func (r *partRouter) run(ctx context.Context, t *TrackedPrompt, e *partEndpoint, died chan struct{}, length time.Duration, crashing Fingerprint) (complete, answering bool) {
	s := r.sim
	if crashing != 0 {
		s.mu.Lock()
		s.runs[crashing] = append(s.runs[crashing], time.Now())
		s.mu.Unlock()
		time.AfterFunc(firstEvent, func() {
			if s.end(e, died) {
				s.mu.Lock()
				defer s.mu.Unlock()
				s.crashes[crashing] = append(s.crashes[crashing], time.Now())
			}
		})
		length = time.Minute
	}
	begun := time.After(firstEvent + time.Second)
	whole := time.After(firstEvent + length)
	for {
		select {
		case <-died:
			time.Sleep(20 * time.Millisecond)
			return false, answering
		case <-begun:
			answering = true
			t.Answering()
		case <-whole:
			return true, answering
		case <-ctx.Done():
			return false, answering
		}
	}
}

// check checks how many requests with a crashing part ran late.
func (s *partSim) check(t *testing.T, seed uint64, crashing Fingerprint, maxCrashes int) {
	crashes := s.crashes[crashing]
	assert.Assert(t, len(crashes) > 0)
	ended := crashes[min(4, len(crashes)-1)]
	late := 0
	for _, at := range s.runs[crashing] {
		if at.After(ended.Add(contactTime)) {
			late++
		}
	}
	assert.Check(t, late <= lateRuns, "seed %d: %d requests with the part ran later than %v after the fifth crash", seed, late, contactTime)
	assert.Check(t, len(crashes) <= maxCrashes, "seed %d: %d endpoints crashed", seed, len(crashes))
}

const (
	commonPart   = Fingerprint(0xaa) // of all prompts
	crashingPart = Fingerprint(0x5c1e)
	otherPart    = Fingerprint(0x77ab)
)

// partScenario is a way in which requests with crashing parts come.
type partScenario struct {
	name       string
	crashing   []Fingerprint
	routers    int
	lost       float64
	interval   time.Duration // between requests with each crashing part
	sound      time.Duration // between sound requests
	restart    time.Duration // between starts of routers that know nothing yet, zero for never
	maxCrashes int           // of each part
}

var partScenarios = []partScenario{
	{name: "one-part", crashing: []Fingerprint{crashingPart}, routers: 7, interval: 150 * time.Millisecond, sound: 40 * time.Millisecond, maxCrashes: 12},
	{name: "seldom", crashing: []Fingerprint{crashingPart}, routers: 7, interval: 1500 * time.Millisecond, sound: 40 * time.Millisecond, maxCrashes: 8},
	{name: "two-parts", crashing: []Fingerprint{crashingPart, otherPart}, routers: 7, interval: 300 * time.Millisecond, sound: 40 * time.Millisecond, maxCrashes: 12},
	{name: "many-routers", crashing: []Fingerprint{crashingPart}, routers: 61, interval: 100 * time.Millisecond, sound: 20 * time.Millisecond, maxCrashes: 12},
	{name: "lost-messages", crashing: []Fingerprint{crashingPart}, routers: 7, lost: 0.2, interval: 150 * time.Millisecond, sound: 40 * time.Millisecond, maxCrashes: 20},
	{name: "routers-start", crashing: []Fingerprint{crashingPart}, routers: 7, interval: 150 * time.Millisecond, sound: 40 * time.Millisecond, restart: 700 * time.Millisecond, maxCrashes: 16},
	{name: "few-sound-ones", crashing: []Fingerprint{crashingPart}, routers: 7, interval: 150 * time.Millisecond, sound: 700 * time.Millisecond, maxCrashes: 12},
	{name: "no-sound-ones", crashing: []Fingerprint{crashingPart}, routers: 3, interval: 300 * time.Millisecond, maxCrashes: 12},
}

// play plays 20 s of a scenario and returns the simulation.
func (c partScenario) play(t *testing.T, seed uint64) (s *partSim) {
	synctest.Test(t, func(t *testing.T) {
		s = newPartSim(seed, c.routers, 12, c.lost)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var wg sync.WaitGroup
		wg.Go(func() { s.compare(ctx) })
		every := func(pause time.Duration, fn func(n int)) {
			for n := 0; pause > 0 && ctx.Err() == nil; n++ {
				fn(n)
				time.Sleep(pause)
			}
		}
		anyRouter := func() coordination.Instance { return s.members[s.intN(len(s.members))].ID }
		wg.Go(func() {
			every(c.sound, func(n int) {
				s.send(anyRouter(), time.Duration(100+s.intN(3000))*time.Millisecond, 0, commonPart, Fingerprint(0x1000+n/4))
			})
		})
		time.Sleep(2 * time.Second)
		for _, part := range c.crashing {
			wg.Go(func() {
				every(c.interval, func(n int) {
					s.send(anyRouter(), 0, part, commonPart, part, Fingerprint(0x9000+n))
				})
			})
		}
		wg.Go(func() {
			every(c.restart, func(n int) { s.startRouter(s.members[n%len(s.members)].ID) })
		})
		time.Sleep(20 * time.Second)
		cancel()
		wg.Wait()
		s.wg.Wait()
		time.Sleep(time.Minute)
	})
	return s
}

// Guards against requests that have only a part of their prompts in common and crash one
// endpoint after the other.
func TestCrashingPartIsRefused(t *testing.T) {
	for _, c := range partScenarios {
		t.Run(c.name, func(t *testing.T) {
			for seed := range partSeeds(t) {
				s := c.play(t, seed)
				for _, part := range c.crashing {
					s.check(t, seed, part, c.maxCrashes)
				}
				t.Logf("seed %d: %d crashes, sound ones %d served, %d refused, %d failed", seed, len(s.crashes[c.crashing[0]]), s.served, s.refused, s.failed)
				assert.Check(t, s.refused*50 <= s.served, "seed %d: %d sound requests refused, %d served", seed, s.refused, s.served)
			}
		})
	}
}

// Guards against a verdict on parts whose requests merely ran on endpoints that ended for
// another reason.
func TestInnocentPartsAreServedWhileEndpointsEnd(t *testing.T) {
	for _, c := range []struct {
		name  string
		ends  int           // endpoints that end at a time
		pause time.Duration // between two times
		times int
		fresh bool // all prompts are new as the first ones end
	}{
		{"one-at-a-time", 1, 700 * time.Millisecond, 12, false},
		{"two-at-a-time", 2, 700 * time.Millisecond, 12, false},
		{"four-at-a-time", 4, 700 * time.Millisecond, 12, false},
		{"half-three-times", 6, 700 * time.Millisecond, 3, true},
		{"half-at-once", 6, 0, 1, true},
		{"all-at-once", 12, 0, 1, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range partSeeds(t) {
				synctest.Test(t, func(t *testing.T) {
					s := newPartSim(seed, 7, 12, 0)
					if !c.fresh {
						s.sendSound(2*time.Second, 0)
					}
					go func() {
						for range c.times {
							time.Sleep(c.pause)
							for n := range c.ends {
								s.end(s.endpoints[n], nil)
							}
						}
					}()
					s.sendSound(10*time.Second, 0x100)
					s.wg.Wait()
					t.Logf("seed %d: %d served, %d refused, %d failed", seed, s.served, s.refused, s.failed)
					assert.Check(t, s.refused == 0, "seed %d: %d of %d innocent requests are refused", seed, s.refused, s.served+s.refused+s.failed)
					time.Sleep(time.Minute)
				})
			}
		})
	}
}

// sendSound sends 25 requests a second with prompts that share a first part, and a second
// one by fours, for d.
func (s *partSim) sendSound(d time.Duration, first Fingerprint) {
	for n := range int(d / (40 * time.Millisecond)) {
		id := s.members[s.intN(len(s.members))].ID
		s.send(id, time.Duration(100+s.intN(3000))*time.Millisecond, 0, first+1, first+2+Fingerprint(n/4))
		time.Sleep(40 * time.Millisecond)
	}
}

// partSeeds returns how many seeds are played; WISTERIA_PLAYS multiplies it.
func partSeeds(t *testing.T) uint64 {
	plays, err := strconv.ParseUint(cmp.Or(os.Getenv("WISTERIA_PLAYS"), "1"), 10, 32)
	assert.NilError(t, err)
	return 6 * plays
}
