package membership

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var testTopics = map[string]Topic{
	"settings": {Persistent: true},
	"load":     {TTL: 20 * time.Second},
}

// allHave returns a function that reports whether all running nodes have exactly
// this version.
func (sim *simNetwork) allHave(topic, key string, version uint64) func() bool {
	return func() bool {
		for _, n := range sim.nodes {
			if !n.running {
				continue
			}
			r := n.machine.rumors[rumorKey{topic, key}]
			if r == nil || r.Version != version {
				return false
			}
		}
		return true
	}
}

// Links drop one message in five while settings and loads are gossiped. A router
// that missed a settings revision would keep using an old one indefinitely.
func TestRumorsUnderLoss(t *testing.T) {
	eachSeed(t, func(t *testing.T, sim *simNetwork) {
		sim.addNodes(60, 2, 3, Config{Topics: testTopics})
		sim.startAll(t)
		sim.loss = 0.2
		for version := range uint64(20) {
			for key := range 5 {
				n := sim.nodes[sim.rand.IntN(60)]
				n.machine.Broadcast(sim.now, "settings", fmt.Sprint("team-", key), version+1, []byte("revision"))
				n.machine.Broadcast(sim.now, "load", fmt.Sprint("pool-", key), version+1, []byte("12"))
			}
			sim.run(500 * time.Millisecond)
		}
		for key := range 5 {
			took := sim.runUntil(t, 20*time.Second, "persistent rumor at all members", sim.allHave("settings", fmt.Sprint("team-", key), 20))
			t.Logf("persistent rumor at all members %v after the last broadcasts", took)
			sim.runUntil(t, 15*time.Second, "ephemeral rumor at all members", sim.allHave("load", fmt.Sprint("pool-", key), 20))
		}
	})
}

// Without faults a rumor must reach all members within a second or two: a crash
// suspicion that arrives late costs an engine.
func TestRumorLatency(t *testing.T) {
	for _, n := range []int{7, 100} {
		t.Run(fmt.Sprint(n, " members"), func(t *testing.T) {
			t.Parallel()
			sim := newSimNetwork(uint64(n))
			sim.addNodes(n, 2, 3, Config{Topics: testTopics})
			sim.startAll(t)
			for i := range uint64(10) {
				sim.nodes[i%7].machine.Broadcast(sim.now, "settings", "team", i+1, []byte("revision"))
				took := sim.runUntil(t, 5*time.Second, "persistent rumor at all members", sim.allHave("settings", "team", i+1))
				t.Logf("at all members after %v", took)
			}
		})
	}
}

// A router starts, or a partition ends, after settings were gossiped. Rumors from
// the meantime must reach it although nobody broadcasts them again.
func TestRumorsCatchUp(t *testing.T) {
	eachSeed(t, func(t *testing.T, sim *simNetwork) {
		sim.addNodes(30, 2, 2, Config{Topics: testTopics})
		sim.startAll(t)
		far := func(n *node) bool { return n.self.Region == "region-1" }
		sim.partition(far)
		sim.run(time.Minute)
		for i := range 100 {
			sim.nodes[0].machine.Broadcast(sim.now, "settings", fmt.Sprint("team-", i), 3, []byte("near"))
			sim.nodes[1].machine.Broadcast(sim.now, "settings", fmt.Sprint("team-", i), 2, []byte("far"))
		}
		sim.run(5 * time.Second)
		sim.heal()
		sim.runUntil(t, 40*time.Second, "agreement", sim.agreed)
		sim.runUntil(t, 20*time.Second, "persistent rumors in both regions", func() bool {
			for i := range 100 {
				if !sim.allHave("settings", fmt.Sprint("team-", i), 3)() {
					return false
				}
			}
			return true
		})
		joiner := sim.add("router-new", "region-0", "zone-0", sim.nodes[0].cfg)
		joiner.start()
		took := sim.runUntil(t, 10*time.Second, "persistent rumors at the new member", func() bool {
			return len(joiner.machine.Rumors("settings")) == 100
		})
		t.Logf("new member has all rumors after %v", took)
	})
}

// One router broadcasts far more than the byte budget. Ephemeral rumors may be
// dropped then, but settings and membership must get through; otherwise a busy topic
// would make a router miss a settings revision.
func TestSheddingKeepsSettings(t *testing.T) {
	eachSeed(t, func(t *testing.T, sim *simNetwork) {
		sim.checker.mayLose = isStopped
		sim.addNodes(20, 1, 2, Config{Topics: testTopics})
		sim.startAll(t)
		payload := make([]byte, MaxPayload)
		for _, n := range sim.nodes {
			n.bytes = 0
		}
		for round := range uint64(60) {
			for key := range 60 {
				sim.nodes[0].machine.Broadcast(sim.now, "load", fmt.Sprint("noise-", key), round+1, payload)
			}
			sim.nodes[1].machine.Broadcast(sim.now, "settings", "team", round+1, []byte("revision"))
			sim.run(time.Second)
		}
		sim.runUntil(t, 5*time.Second, "persistent rumor at all members", sim.allHave("settings", "team", 60))
		var shed uint64
		for _, n := range sim.nodes {
			shed += n.machine.Stats().RumorsShed
			rate := n.bytes / 60
			// One message may exceed the budget before the next rumor is dropped.
			assert.Assert(t, rate < 12000+4000, "%s sent %d bytes/s", n.self.Instance, rate)
		}
		assert.Assert(t, shed > 0)
		assert.Equal(t, sim.deaths(), uint64(0))
	})
}

func TestRumorRules(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	m := New(Config{Topics: testTopics}, Member{Instance: "a", Address: "a"}, now)
	m.Receive(now, "b", Message{Rumors: []Rumor{{Topic: "load", Key: "k", Version: 5, Origin: "b", Payload: []byte("five"), TTLMillis: 10000}}})
	tests := []struct {
		name  string
		rumor Rumor
		want  string
	}{
		{"older version", Rumor{Topic: "load", Key: "k", Version: 4, Origin: "c", Payload: []byte("four"), TTLMillis: 10000}, "five"},
		{"equal version of lower origin", Rumor{Topic: "load", Key: "k", Version: 5, Origin: "a", Payload: []byte("low"), TTLMillis: 10000}, "five"},
		{"equal version of higher origin", Rumor{Topic: "load", Key: "k", Version: 5, Origin: "c", Payload: []byte("high"), TTLMillis: 10000}, "high"},
		{"no life left", Rumor{Topic: "load", Key: "k", Version: 6, Origin: "b", Payload: []byte("late")}, "high"},
		{"too large", Rumor{Topic: "load", Key: "k", Version: 6, Origin: "b", Payload: make([]byte, MaxPayload+1), TTLMillis: 10000}, "high"},
		{"newer version", Rumor{Topic: "load", Key: "k", Version: 6, Origin: "b", Payload: []byte("six"), TTLMillis: 10000}, "six"},
	}
	for _, test := range tests {
		m.Receive(now, "b", Message{Rumors: []Rumor{test.rumor}})
		rumors := m.Rumors("load")
		assert.Equal(t, len(rumors), 1, test.name)
		assert.Equal(t, string(rumors[0].Payload), test.want, test.name)
	}
	fresh := m.DrainNewRumors()
	assert.Equal(t, string(fresh[len(fresh)-1].Payload), "six")

	// An expired rumor is not returned, and an older version does not replace it.
	later := now.Add(11 * time.Second)
	m.Tick(later)
	assert.Equal(t, len(m.Rumors("load")), 0)
	m.Receive(later, "b", Message{Rumors: []Rumor{{Topic: "load", Key: "k", Version: 5, Origin: "c", TTLMillis: 10000}}})
	assert.Equal(t, len(m.Rumors("load")), 0)
}

// A router joins a fleet with many settings. If each neighbor sent all of them, and
// the new router forwarded them in turn, a rolling update would spend the byte budget
// of the whole fleet on known rumors.
func TestCatchUpIsPaced(t *testing.T) {
	eachSeed(t, func(t *testing.T, sim *simNetwork) {
		sim.addNodes(20, 1, 2, Config{Topics: testTopics})
		sim.startAll(t)
		const count, size = 300, 500
		for i := range count {
			sim.nodes[i%20].machine.Broadcast(sim.now, "settings", fmt.Sprint("team-", i), 1, make([]byte, size))
			sim.run(50 * time.Millisecond)
		}
		sim.run(10 * time.Second)
		sim.bytes = 0
		sim.run(10 * time.Second)
		steady := float64(sim.bytes) / 10
		sim.bytes = 0
		joiner := sim.add("router-new", "region-0", "zone-0", sim.nodes[0].cfg)
		joiner.start()
		took := sim.runUntil(t, time.Minute, "persistent rumors at the new member", func() bool {
			return len(joiner.machine.Rumors("settings")) == count
		})
		sim.run(5 * time.Second)
		content := 0
		for _, r := range joiner.machine.Rumors("settings") {
			content += r.Size()
		}
		added := sim.bytes - int(steady*(took+5*time.Second).Seconds())
		t.Logf("caught up after %v, with %d bytes of additional gossip for %d bytes of rumors", took, added, content)
		assert.Assert(t, added < 3*content/2)
	})
}
