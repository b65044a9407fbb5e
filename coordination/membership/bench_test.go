package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// envelopeBytes is the overhead that package peer and WebSocket add per message.
const envelopeBytes = 10

func encodedSize(m *Message) int {
	b, err := cbor.Marshal(m)
	if err != nil {
		panic(err)
	}
	return envelopeBytes + len(b)
}

// BenchmarkControl measures the traffic and CPU time per member of a fleet without
// membership changes, with six zones in two regions. It runs without rumors and
// with 20 rumors per second in the whole fleet (40 bytes each, over 100 keys).
func BenchmarkControl(b *testing.B) {
	for _, members := range []int{7, 30, 100, 330} {
		for _, rate := range []int{0, 20} {
			b.Run(fmt.Sprintf("members=%d/rumors=%d", members, rate), func(b *testing.B) {
				for range b.N {
					benchControl(b, members, rate)
				}
			})
		}
	}
}

func benchControl(b *testing.B, members, rate int) {
	sim := newSimNetwork(1)
	sim.addNodes(members, 2, 3, Config{Topics: testTopics})
	start := sim.startAll(b)
	sim.run(20 * time.Second)
	sim.size = encodedSize
	sim.cpu = 0
	for _, n := range sim.nodes {
		n.bytes, n.sent = 0, 0
	}
	const seconds = 30
	payload := make([]byte, 40)
	for i := range seconds * 10 {
		for j := range rate / 10 {
			k := i*rate/10 + j
			sim.nodes[k%members].machine.Broadcast(sim.now, "load", fmt.Sprint("pool-", k%100), uint64(k+1), payload)
		}
		sim.run(100 * time.Millisecond)
	}
	bytes, sent, most := 0, 0, 0
	for _, n := range sim.nodes {
		bytes += n.bytes
		sent += n.sent
		most = max(most, n.bytes)
	}
	perSecond := float64(members * seconds)
	b.ReportMetric(float64(bytes)/perSecond, "B/s")
	b.ReportMetric(float64(most)/seconds, "most-B/s")
	b.ReportMetric(float64(sent)/perSecond, "msgs/s")
	b.ReportMetric(sim.cpu.Seconds()/perSecond*100, "cpu-%")
	b.ReportMetric(start.Seconds(), "start-s")
	b.ReportMetric(worstSpread(b, sim).Seconds(), "spread-s")
	b.ReportMetric(0, "ns/op")
}

// worstSpread returns the longest time that any of ten rumors takes to reach all
// members.
func worstSpread(b *testing.B, sim *simNetwork) time.Duration {
	var worst time.Duration
	for i := range 10 {
		sim.nodes[i%len(sim.nodes)].machine.Broadcast(sim.now, "load", "spread", uint64(i+1), nil)
		worst = max(worst, sim.runUntil(b, time.Minute, "rumor at all members", sim.allHave("load", "spread", uint64(i+1))))
	}
	return worst
}

// BenchmarkHeal measures the end of a two-minute partition between two regions: the
// time until all member lists agree, and the traffic per member until then.
func BenchmarkHeal(b *testing.B) {
	for _, members := range []int{30, 330} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			for range b.N {
				sim := newSimNetwork(1)
				sim.addNodes(members, 2, 3, Config{Topics: testTopics})
				sim.startAll(b)
				sim.partition(func(n *node) bool { return n.self.Region == "region-0" })
				sim.run(2 * time.Minute)
				sim.heal()
				sim.size = encodedSize
				sim.bytes = 0
				took := sim.runUntil(b, time.Minute, "agreement after the partition", sim.agreed)
				b.ReportMetric(took.Seconds(), "agree-s")
				b.ReportMetric(float64(sim.bytes)/float64(members), "B/member")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}
