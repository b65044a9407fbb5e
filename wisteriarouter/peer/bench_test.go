package peer

import (
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// BenchmarkFleet runs nodes in one process over loopback and reports per node, over
// ten seconds: bytes sent including WebSocket framing, messages sent, CPU use as a
// share of one core, and heap and stack memory. All nodes together broadcast the
// given number of rumors of 40 bytes per second.
func BenchmarkFleet(b *testing.B) {
	for _, nodes := range []int{7, 15, 30, 60} {
		for _, rate := range []int{0, 20} {
			b.Run(fmt.Sprintf("nodes=%d/rumors=%d", nodes, rate), func(b *testing.B) {
				for range b.N {
					benchFleet(b, nodes, rate)
				}
			})
		}
	}
}

func benchFleet(b *testing.B, nodes, rate int) {
	before := memory()
	began := time.Now()
	routers := fleet(b, nodes, nil)
	eventually(b, "full membership", joined(routers))
	start := time.Since(began)
	time.Sleep(5 * time.Second)

	const seconds = 10
	bytes, messages := sent(routers)
	cpu := processorTime(b)
	payload := make([]byte, 40)
	t := time.NewTicker(100 * time.Millisecond)
	defer t.Stop()
	for i := range seconds * 10 {
		<-t.C
		for j := range rate / 10 {
			k := i*rate/10 + j
			routers[k%nodes].Broadcast("load", fmt.Sprint("pool-", k%100), uint64(k+1), payload)
		}
	}
	cpu = processorTime(b) - cpu
	bytesAfter, messagesAfter := sent(routers)
	perSecond := float64(nodes * seconds)
	b.ReportMetric(float64(bytesAfter-bytes)/perSecond, "B/s")
	b.ReportMetric(float64(messagesAfter-messages)/perSecond, "msgs/s")
	b.ReportMetric(cpu.Seconds()/perSecond*100, "cpu-%")
	b.ReportMetric(float64(memory()-before)/float64(nodes)/1024, "KiB/node")
	b.ReportMetric(start.Seconds(), "start-s")
	b.ReportMetric(0, "ns/op")
	for _, r := range routers {
		r.stop()
	}
}

// sent returns the totals sent by the routers. Rumors are skipped, as they are
// included in gossip.
func sent(routers []*router) (bytes, messages uint64) {
	for _, r := range routers {
		for _, c := range r.Stats().Traffic {
			if c.Sent && c.Type != "rumor" {
				bytes += c.Bytes
				messages += c.Messages
			}
		}
	}
	return bytes, messages
}

func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var u syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// memory returns the number of bytes in use by heap objects and stacks.
func memory() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// BenchmarkCall measures a call with a payload of 100 bytes and an answer of the
// same size.
func BenchmarkCall(b *testing.B) {
	routers := fleet(b, 2, nil)
	eventually(b, "full membership", joined(routers))
	routers[1].Handle("echo", echo)
	payload := make([]byte, 100)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		if _, err := routers[0].Call(b.Context(), "r01", "echo", payload); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkConnections measures the memory per connection, with both ends in this
// process, when one node holds many.
func BenchmarkConnections(b *testing.B) {
	const conns = 150
	for range b.N {
		r := start(b, listen(b), "r000", nil, nil)
		before := memory()
		for i := range conns {
			dialRaw(b, r, helloOf(fmt.Sprintf("x%03d", i)))
		}
		eventually(b, "all connections", func() bool { return r.Stats().Conns == conns })
		b.ReportMetric(float64(memory()-before)/conns/1024, "KiB/conn")
		b.ReportMetric(0, "ns/op")
		r.stop()
	}
}
