package daemon_test

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// BenchmarkFleet measures the cost of a router in a fleet of a given size:
// control bytes and messages, platform calls, processor time and memory, each
// per router. All routers and the stand-ins run in one process. The fleet is
// idle or serves a number of requests per second for each router. The slopes
// over size and load are the source of docs/CAPACITY.md.
//
//	go test -run xxx -bench Fleet -benchtime 1x ./daemon
func BenchmarkFleet(b *testing.B) {
	for _, size := range []int{7, 15, 30, 60} {
		for _, rate := range []int{0, 2, 5} {
			b.Run(fmt.Sprintf("routers=%d/rate=%d", size, rate), func(b *testing.B) {
				for b.Loop() {
					benchFleet(b, size, rate)
				}
			})
		}
	}
}

const (
	benchSettle = 5 * time.Second
	benchWindow = 10 * time.Second
)

// benchEngines returns the number of engines for a fleet, in the ratio of the
// target size: 890 engines for 330 routers.
func benchEngines(routers int) int { return routers * 890 / 330 }

func benchFleet(b *testing.B, size, rate int) {
	w := startTestCluster(&testCluster{t: b, refresh: time.Second, logs: &logs{}}, size, benchEngines(size))
	time.Sleep(benchSettle)
	ctx, cancel := context.WithCancel(b.Context())
	var wg sync.WaitGroup
	for n := range size {
		l := loadGenerator{cluster: w, router: n, rate: rate}
		wg.Go(func() { l.run(ctx) })
	}
	before, calls, used := w.counters(), w.platform.Calls(), processTime()
	time.Sleep(benchWindow)
	after, callsAfter, usedAfter := w.counters(), w.platform.Calls(), processTime()
	cancel()
	wg.Wait()
	perRouter := func(total float64) float64 { return total / benchWindow.Seconds() / float64(size) }
	b.ReportMetric(perRouter(after.bytes-before.bytes), "sent-B/s")
	b.ReportMetric(perRouter(after.messages-before.messages), "sent-msg/s")
	b.ReportMetric(perRouter(after.admission-before.admission), "admission-B/s")
	b.ReportMetric(perRouter(after.gossip-before.gossip), "gossip-B/s")
	b.ReportMetric(perRouter(float64(callsAfter.Reads()-calls.Reads())), "reads/s")
	b.ReportMetric(perRouter(float64(callsAfter.Writes()-calls.Writes())), "writes/s")
	b.ReportMetric(100*perRouter((usedAfter-used).Seconds()), "%core")
	b.ReportMetric(float64(memory())/float64(size)/(1<<20), "MiB")
	b.ReportMetric(0, "ns/op")
}

// loadGenerator sends requests with short answers to a router at a constant
// rate.
type loadGenerator struct {
	cluster *testCluster
	router  int
	rate    int
}

func (l loadGenerator) run(ctx context.Context) {
	if l.rate == 0 {
		return
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	t := time.NewTicker(time.Second / time.Duration(l.rate))
	defer t.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		q := loadRequest{loadGenerator: l, n: n}
		wg.Go(q.run)
	}
}

// loadRequest is one request of a loadGenerator.
type loadRequest struct {
	loadGenerator
	n int
}

func (q loadRequest) run() {
	q.cluster.chat(context.Background(), q.router, fmt.Sprintf("chat %d of router %d", q.n, q.router))
}

// counters holds sums over all routers.
type counters struct {
	bytes     float64
	messages  float64
	admission float64 // bytes of placement messages
	gossip    float64 // bytes of membership and rumors
}

func (w *testCluster) counters() counters {
	var c counters
	for _, r := range w.routers {
		res, err := http.Get("http://" + r.OperatorsAddress() + "/metrics")
		if err != nil {
			w.t.Fatal(err)
		}
		lines := bufio.NewScanner(res.Body)
		for lines.Scan() {
			c.add(lines.Text())
		}
		res.Body.Close()
	}
	return c
}

// add adds one metrics line about sent messages. Rumors are skipped because
// they are already counted as gossip.
func (c *counters) add(line string) {
	if !strings.Contains(line, `direction="sent"`) || strings.Contains(line, `type="rumor"`) {
		return
	}
	n, err := strconv.ParseFloat(line[strings.LastIndexByte(line, ' ')+1:], 64)
	if err != nil {
		return
	}
	if strings.HasPrefix(line, "wisteria_peer_messages_total") {
		c.messages += n
		return
	}
	c.bytes += n
	switch {
	case strings.Contains(line, `topic="place-`):
		c.admission += n
	case strings.Contains(line, `type="gossip"`):
		c.gossip += n
	}
}

// processTime returns the processor time used by the process.
func processTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// memory returns the size of the live heap and the stacks in bytes.
func memory() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
