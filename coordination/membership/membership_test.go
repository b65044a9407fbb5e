package membership

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination"
)

// seeds are the seeds of all randomized tests.
var seeds = []uint64{1, 2, 3}

func eachSeed(t *testing.T, run func(t *testing.T, sim *simNetwork)) {
	t.Helper()
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			sim := newSimNetwork(seed)
			sim.checker = newChecker()
			run(t, sim)
			sim.checker.check(t)
		})
	}
}

// isStopped is a checker.mayLose that allows only stopped members to be lost.
func isStopped(_, member *node) bool {
	return !member.running
}

// A router starts, or its process is killed. Until the other routers notice, a new
// router gets no work, and callers wait for a dead one.
func TestJoinAndKill(t *testing.T) {
	for _, n := range []int{7, 30, 100} {
		t.Run(fmt.Sprint(n, " members"), func(t *testing.T) {
			t.Parallel()
			sim := newSimNetwork(uint64(n))
			sim.checker = newChecker()
			sim.checker.mayLose = isStopped
			sim.addNodes(n, 1+n/50, 3, Config{})
			start := sim.startAll(t)
			last := sim.add("router-new", "region-0", "zone-0", sim.nodes[0].cfg)
			last.cfg.Seeds = sim.nodes[0].cfg.Seeds
			last.start()
			join := sim.runUntil(t, 10*time.Second, "agreement after a join", sim.agreed)
			sim.nodes[1].kill()
			kill := sim.runUntil(t, 16*time.Second, "agreement after a kill", sim.agreed)
			sim.checker.check(t)
			t.Logf("start %v, join %v, kill %v", start, join, kill)
		})
	}
}

// A process is paused for a few seconds, by the hypervisor or a debugger. Declaring
// it dead would move its grants and callers unnecessarily.
func TestShortPause(t *testing.T) {
	eachSeed(t, func(t *testing.T, sim *simNetwork) {
		sim.checker.mayLose = isStopped
		sim.addNodes(30, 1, 3, Config{})
		sim.startAll(t)
		for i := range 5 {
			n := sim.nodes[(7*i+3)%30]
			n.pause()
			sim.run(8 * time.Second)
			n.resume()
			sim.run(5 * time.Second)
		}
		assert.Equal(t, sim.deaths(), uint64(0))
		assert.Assert(t, sim.agreed())
	})
}

// Links drop one message in five, or their delay varies by more than a second.
// Members that flapped for that reason would keep moving placements.
func TestPoorLinks(t *testing.T) {
	poor := map[string]func(*simNetwork){
		"loss": func(sim *simNetwork) { sim.loss = 0.2 },
		"delay": func(sim *simNetwork) {
			sim.delay = func(_, _ *node) time.Duration { return time.Duration(sim.rand.Int64N(int64(1500 * time.Millisecond))) }
		},
	}
	for name, spoil := range poor {
		t.Run(name, func(t *testing.T) {
			eachSeed(t, func(t *testing.T, sim *simNetwork) {
				sim.checker.mayLose = isStopped
				sim.addNodes(30, 1, 3, Config{})
				sim.startAll(t)
				spoil(sim)
				sim.run(3 * time.Minute)
				assert.Equal(t, sim.deaths(), uint64(0))
				var suspicions uint64
				for _, n := range sim.nodes {
					suspicions += n.machine.Stats().Suspicions
				}
				t.Logf("%d suspicions in 3 min", suspicions)
			})
		})
	}
}

// Two routers cannot reach each other, in one or both directions, while all others
// reach both. A single bad path must not get either declared dead.
func TestOneCutPath(t *testing.T) {
	cuts := map[string]func(a, b, from, to *node) bool{
		"both ways": func(a, b, from, to *node) bool { return from == a && to == b || from == b && to == a },
		"one way":   func(a, b, from, to *node) bool { return from == a && to == b },
	}
	for name, cut := range cuts {
		t.Run(name, func(t *testing.T) {
			eachSeed(t, func(t *testing.T, sim *simNetwork) {
				sim.checker.mayLose = isStopped
				sim.addNodes(30, 1, 3, Config{})
				sim.startAll(t)
				a := sim.nodes[4]
				b := sim.byID[slices.Sorted(maps.Keys(a.machine.meshNeighbors))[0]]
				sim.cut = func(from, to *node) bool { return cut(a, b, from, to) }
				sim.after(10*time.Second, func() { sim.unlink(a, b) })
				sim.run(2 * time.Minute)
				assert.Equal(t, sim.deaths(), uint64(0))
			})
		})
	}
}

// A router restarts on a machine whose clock was set back, with an incarnation
// lower than the one its peers know. If they ignored it, it would get no work until
// the clock has caught up.
func TestClockSetBack(t *testing.T) {
	eachSeed(t, func(t *testing.T, sim *simNetwork) {
		sim.addNodes(10, 1, 2, Config{})
		sim.startAll(t)
		n := sim.nodes[6]
		old := n.self.Incarnation
		n.kill()
		sim.run(time.Duration(sim.rand.Int64N(int64(20 * time.Second))))
		sim.checker.forgetObserver(n)
		n.startAs(old - 1_000_000)
		sim.runUntil(t, 20*time.Second, "agreement after the restart", sim.agreed)
		assert.Assert(t, n.machine.Self().Incarnation > old)
	})
}

// Two groups of routers start with different seeds, so that each lists only its own
// members. Until a router contacts both groups, they place work without regard to
// each other.
func TestSplitListsHeal(t *testing.T) {
	eachSeed(t, func(t *testing.T, sim *simNetwork) {
		sim.checker.mayLose = isStopped
		sim.addNodes(30, 1, 3, Config{})
		for i, n := range sim.nodes {
			n.cfg.Seeds = []string{sim.nodes[i%2].self.Address}
		}
		for _, n := range sim.nodes {
			n.start()
		}
		sim.run(20 * time.Second)
		assert.Assert(t, !sim.agreed())
		bridge := sim.add("router-bridge", "region-0", "zone-0", Config{})
		bridge.cfg.Seeds = []string{sim.nodes[0].self.Address, sim.nodes[1].self.Address}
		bridge.start()
		took := sim.runUntil(t, 10*time.Second, "agreement after the bridge started", sim.agreed)
		t.Logf("agreed after %v", took)
	})
}

// Two regions are partitioned for five minutes. Each must keep working with its own
// routers. When the partition ends, the lists must merge without any router losing
// a member of its own region.
func TestRegionPartition(t *testing.T) {
	eachSeed(t, func(t *testing.T, sim *simNetwork) {
		sim.addNodes(60, 2, 3, Config{})
		near := func(n *node) bool { return n.self.Region == "region-0" }
		sim.checker.mayLose = func(observer, member *node) bool { return near(observer) != near(member) }
		sim.startAll(t)
		sim.partition(near)
		sim.run(5 * time.Minute)
		assert.Assert(t, sim.agreedAmong(near))
		assert.Assert(t, sim.agreedAmong(func(n *node) bool { return !near(n) }))
		sim.heal()
		sim.bytes = 0
		took := sim.runUntil(t, time.Minute, "agreement after the partition", sim.agreed)
		t.Logf("agreed after %v, %d bytes/s per member", took, int(float64(sim.bytes)/took.Seconds()/60))
	})
}

// A process is paused for minutes without noticing it. The other routers have
// declared it dead and must accept it again in a new incarnation. It must not
// declare them dead because it heard nothing from them.
func TestLongPause(t *testing.T) {
	eachSeed(t, func(t *testing.T, sim *simNetwork) {
		sim.addNodes(30, 1, 3, Config{})
		sim.startAll(t)
		frozen := sim.nodes[11]
		sim.checker.mayLose = func(_, member *node) bool { return member == frozen }
		before := frozen.machine.Self().Incarnation
		frozen.pause()
		sim.runUntil(t, 20*time.Second, "death", func() bool {
			m, _ := sim.nodes[0].machine.Lookup(frozen.self.Instance)
			return m.State == Dead
		})
		sim.run(2 * time.Minute)
		frozen.resume()
		took := sim.runUntil(t, 30*time.Second, "agreement after the pause", sim.agreed)
		assert.Assert(t, frozen.machine.Self().Incarnation > before)
		t.Logf("back after %v", took)
	})
}

// Routers are killed and restarted while links lose messages, so that old and new
// records of a router arrive out of order. An old record must never revive an
// incarnation that has ended.
func TestChurnWithLoss(t *testing.T) {
	eachSeed(t, func(t *testing.T, sim *simNetwork) {
		sim.addNodes(40, 2, 2, Config{})
		sim.startAll(t)
		sim.loss = 0.1
		for range 30 {
			n := sim.nodes[3+sim.rand.IntN(37)]
			if n.running {
				n.kill()
			} else {
				sim.checker.forgetObserver(n)
				n.start()
			}
			sim.run(time.Duration(sim.rand.Int64N(int64(8 * time.Second))))
		}
		sim.loss = 0
		sim.runUntil(t, time.Minute, "agreement after the churn", sim.agreed)
	})
}

// A router announces that it is shutting down, and later that it has shut down. The
// others must learn of it at once, and must consider it neither dead nor alive
// again.
func TestLeave(t *testing.T) {
	eachSeed(t, func(t *testing.T, sim *simNetwork) {
		sim.addNodes(30, 1, 3, Config{})
		sim.startAll(t)
		leaver := sim.nodes[5]
		state := func(want State) func() bool {
			return func() bool {
				for _, n := range sim.nodes {
					m, _ := n.machine.Lookup(leaver.self.Instance)
					if m.State != want || m.Ready {
						return false
					}
				}
				return true
			}
		}
		leaver.machine.SetReady(sim.now, true)
		sim.run(3 * time.Second)
		leaver.machine.Leave(sim.now)
		sim.runUntil(t, 2*time.Second, "leaving state at all members", state(Leaving))
		sim.run(30 * time.Second)
		assert.Assert(t, state(Leaving)())
		leaver.machine.CompleteLeave(sim.now)
		sim.runUntil(t, 2*time.Second, "left state at all members", state(Left))
		leaver.kill()
		sim.run(30 * time.Second)
		assert.Assert(t, state(Left)())
		assert.Equal(t, sim.deaths(), uint64(0))
	})
}

// The number of links per router must not grow with the fleet, and the mesh must be
// connected for any distribution of the routers over zones.
func TestMesh(t *testing.T) {
	shapes := map[string]func(i int) (Region, coordination.Zone){
		"one zone": func(int) (Region, coordination.Zone) { return "x", "a" },
		"five zones": func(i int) (Region, coordination.Zone) {
			return Region(fmt.Sprint(i % 2)), coordination.Zone(fmt.Sprint(i % 5))
		},
		"one alone": func(i int) (Region, coordination.Zone) {
			if i == 0 {
				return "far", "b"
			}
			return "x", "a"
		},
	}
	for name, shape := range shapes {
		for _, n := range []int{2, 7, 330} {
			t.Run(fmt.Sprint(name, " ", n), func(t *testing.T) {
				degrees := largestDegree(n, shape)
				assert.Assert(t, degrees <= 2*len(rings))
			})
		}
	}
}

// largestDegree returns the largest degree in the mesh of n members, or 1<<20 if the
// mesh is not connected.
func largestDegree(n int, shape func(int) (Region, coordination.Zone)) int {
	var members []Member
	for i := range n {
		region, zone := shape(i)
		members = append(members, Member{Instance: coordination.Instance(name(i)), Address: name(i), Region: region, Zone: zone})
	}
	now := time.Unix(1_800_000_000, 0)
	links := make(map[coordination.Instance][]coordination.Instance)
	most := 0
	for _, self := range members {
		m := New(Config{}, self, now)
		for _, other := range members {
			m.apply("", other)
		}
		m.updateMesh()
		links[self.Instance] = slices.Sorted(maps.Keys(m.meshNeighbors))
		most = max(most, len(m.meshNeighbors))
	}
	reached := map[coordination.Instance]bool{members[0].Instance: true}
	for todo := []coordination.Instance{members[0].Instance}; len(todo) > 0; todo = todo[1:] {
		for _, id := range links[todo[0]] {
			if !reached[id] {
				reached[id] = true
				todo = append(todo, id)
			}
		}
	}
	if len(reached) < n {
		return 1 << 20
	}
	return most
}

// A faulty router sends records that no member can have. If they were accepted, they
// would exhaust memory, or could never be superseded.
func TestImpossibleRecords(t *testing.T) {
	long := string(make([]byte, maxName+1))
	good := Member{Instance: "b", Address: "b", Incarnation: 1}
	tests := map[string]func(r *Member){
		"no name":              func(r *Member) { r.Instance = "" },
		"long name":            func(r *Member) { r.Instance = coordination.Instance(long) },
		"long address":         func(r *Member) { r.Address = long },
		"unknown state":        func(r *Member) { r.State = Dead + 1 },
		"last incarnation":     func(r *Member) { r.Incarnation = 1<<64 - 1 },
		"last version":         func(r *Member) { r.Version = 1<<64 - 1 },
		"end of an unknown":    func(r *Member) { r.State = Dead },
		"suspect, no address":  func(r *Member) { r.State, r.Address = Suspect, "" },
		"last of this one too": func(r *Member) { r.Instance, r.Incarnation = "a", 1<<64-1 },
	}
	now := time.Unix(1_800_000_000, 0)
	for name, spoil := range tests {
		m := New(Config{}, Member{Instance: "a", Address: "a", Incarnation: 1}, now)
		r := good
		spoil(&r)
		m.Receive(now, "c", Message{Members: []Member{r}})
		assert.Equal(t, len(m.Members()), 1, name)
		assert.Equal(t, m.Self().Incarnation, coordination.Incarnation(1), name)
	}
}

// All machines of a large fleet restart together after a power failure. Routers that
// know only part of the fleet ask the wrong ones which of them may run a request, and
// callers wait.
func TestLargeFleetConvergesQuickly(t *testing.T) {
	const aim = 3 * time.Second
	sim := newSimNetwork(1)
	sim.addNodes(295, 1, 5, Config{Topics: testTopics})
	took := sim.startAll(t)
	t.Logf("agreed %v after the last start", took)
	assert.Assert(t, took <= aim, "%v", took)
}

// The traffic of an idle router must not grow with the fleet, or a fleet of hundreds
// would spend its machines on gossip.
func TestIdleTrafficIndependentOfFleetSize(t *testing.T) {
	const (
		seconds      = 5
		mostMessages = 10  // per second, for the member that sends the most
		mostBytes    = 256 // the same
	)
	for _, members := range []int{7, 64, 330, 1000} {
		t.Run(fmt.Sprint(members), func(t *testing.T) {
			t.Parallel()
			sim := newSimNetwork(1)
			sim.addNodes(members, 1, 5, Config{Topics: testTopics})
			sim.startWithFullTables()
			sim.run(10 * time.Second)
			sim.size = encodedSize
			for _, n := range sim.nodes {
				n.bytes, n.sent = 0, 0
			}
			sim.run(seconds * time.Second)
			for _, n := range sim.nodes {
				assert.Check(t, n.sent <= mostMessages*seconds, "%s sends %d messages in %d s", n.self.Instance, n.sent, seconds)
				assert.Check(t, n.bytes <= mostBytes*seconds, "%s sends %d bytes in %d s", n.self.Instance, n.bytes, seconds)
			}
		})
	}
}
