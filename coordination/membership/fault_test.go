package membership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination"
)

// These tests inject faults into the protocol and verify that the checks of the
// other tests detect them.

// A router that does not receive records about itself cannot refute a suspicion.
func TestCheckerFindsIgnoredRefutation(t *testing.T) {
	sim := newSimNetwork(1)
	sim.checker = newChecker()
	sim.checker.mayLose = isStopped
	sim.addNodes(30, 1, 3, Config{})
	sim.startAll(t)
	sim.tamper = func(n *node, _ coordination.Instance, msg *Message) {
		kept := msg.Members[:0:0]
		for _, r := range msg.Members {
			if r.Instance != n.self.Instance {
				kept = append(kept, r)
			}
		}
		msg.Members = kept
	}
	for i := range 5 {
		n := sim.nodes[(7*i+3)%30]
		n.pause()
		sim.run(8 * time.Second)
		n.resume()
		sim.run(5 * time.Second)
	}
	assert.Assert(t, len(sim.checker.violations) > 0)
	assert.Assert(t, sim.deaths() > 0)
}

// A router that accepts an old record as a new one revives an incarnation that has
// ended.
func TestCheckerFindsResurrection(t *testing.T) {
	sim := newSimNetwork(1)
	sim.checker = newChecker()
	sim.addNodes(10, 1, 2, Config{})
	sim.startAll(t)
	stale := sim.nodes[4].machine.Self()
	sim.nodes[4].kill()
	sim.runUntil(t, 20*time.Second, "agreement after the kill", sim.agreed)
	sim.tamper = func(n *node, _ coordination.Instance, msg *Message) {
		if e := n.machine.table[stale.Instance]; e != nil && e.State == Dead {
			e.Incarnation = 0
			msg.Members = append(msg.Members, stale)
		}
	}
	sim.run(2 * time.Second)
	assert.Assert(t, len(sim.checker.violations) > 0)
}

// A router that accepts every received rumor as the newest one reverts to an older
// version.
func TestCheckerFindsOlderVersion(t *testing.T) {
	sim := newSimNetwork(1)
	sim.checker = newChecker()
	sim.addNodes(10, 1, 2, Config{Topics: testTopics})
	sim.startAll(t)
	sim.delay = func(_, _ *node) time.Duration { return time.Duration(sim.rand.Int64N(int64(2 * time.Second))) }
	sim.tamper = func(n *node, _ coordination.Instance, msg *Message) {
		for _, r := range msg.Rumors {
			delete(n.machine.rumors, rumorKey{r.Topic, r.Key})
		}
	}
	for version := range uint64(20) {
		sim.nodes[0].machine.Broadcast(sim.now, "settings", "team", version+1, nil)
		sim.run(200 * time.Millisecond)
	}
	assert.Assert(t, len(sim.checker.violations) > 0)
}

// A router that accepts every report of a death loses its own side's members when a
// partition ends, because the other side considers all of them dead.
func TestCheckerFindsUnverifiedDeaths(t *testing.T) {
	sim := newSimNetwork(1)
	sim.checker = newChecker()
	sim.addNodes(20, 2, 2, Config{})
	near := func(n *node) bool { return n.self.Region == "region-0" }
	sim.checker.mayLose = func(observer, member *node) bool { return near(observer) != near(member) }
	sim.startAll(t)
	sim.partition(near)
	sim.run(time.Minute)
	assert.Equal(t, len(sim.checker.violations), 0)
	sim.heal()
	sim.tamper = func(n *node, _ coordination.Instance, msg *Message) {
		for _, r := range msg.Members {
			e := n.machine.table[r.Instance]
			if e != nil && r.State == Dead && r.Incarnation == e.Incarnation {
				e.State = Dead
				n.machine.markChanged()
			}
		}
	}
	sim.run(time.Minute)
	assert.Assert(t, len(sim.checker.violations) > 0)
}
