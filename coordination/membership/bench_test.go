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
	f := newSimNetwork(1)
	f.addNodes(members, 2, 3, Config{Topics: testTopics})
	start := f.startAll(b)
	f.run(20 * time.Second)
	f.size = encodedSize
	f.cpu = 0
	for _, n := range f.nodes {
		n.bytes, n.sent = 0, 0
	}
	const seconds = 30
	payload := make([]byte, 40)
	for i := range seconds * 10 {
		for j := range rate / 10 {
			k := i*rate/10 + j
			f.nodes[k%members].machine.Broadcast(f.now, "load", fmt.Sprint("pool-", k%100), uint64(k+1), payload)
		}
		f.run(100 * time.Millisecond)
	}
	bytes, sent, most := 0, 0, 0
	for _, n := range f.nodes {
		bytes += n.bytes
		sent += n.sent
		most = max(most, n.bytes)
	}
	perSecond := float64(members * seconds)
	b.ReportMetric(float64(bytes)/perSecond, "B/s")
	b.ReportMetric(float64(most)/seconds, "most-B/s")
	b.ReportMetric(float64(sent)/perSecond, "msgs/s")
	b.ReportMetric(f.cpu.Seconds()/perSecond*100, "cpu-%")
	b.ReportMetric(start.Seconds(), "start-s")
	b.ReportMetric(worstSpread(b, f).Seconds(), "spread-s")
	b.ReportMetric(0, "ns/op")
}

// worstSpread returns the longest time that any of ten rumors takes to reach all
// members.
func worstSpread(b *testing.B, f *simNetwork) time.Duration {
	var worst time.Duration
	for i := range 10 {
		f.nodes[i%len(f.nodes)].machine.Broadcast(f.now, "load", "spread", uint64(i+1), nil)
		worst = max(worst, f.runUntil(b, time.Minute, "rumor at all members", f.allHave("load", "spread", uint64(i+1))))
	}
	return worst
}

// BenchmarkHeal measures the end of a two-minute partition between two regions: the
// time until all member lists agree, and the traffic per member until then.
func BenchmarkHeal(b *testing.B) {
	for _, members := range []int{30, 330} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			for range b.N {
				f := newSimNetwork(1)
				f.addNodes(members, 2, 3, Config{Topics: testTopics})
				f.startAll(b)
				f.partition(func(n *node) bool { return n.self.Region == "region-0" })
				f.run(2 * time.Minute)
				f.heal()
				f.size = encodedSize
				f.bytes = 0
				took := f.runUntil(b, time.Minute, "agreement after the partition", f.agreed)
				b.ReportMetric(took.Seconds(), "agree-s")
				b.ReportMetric(float64(f.bytes)/float64(members), "B/member")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}
