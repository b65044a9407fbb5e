package caller_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"
	"github.com/prometheus/client_golang/prometheus"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/outcome"
	"wisteriaspool/wisteriarouter/caller"
	"wisteriaspool/wisteriarouter/engine"
)

// benchTokens is the length of an answer in the benchmarks.
const benchTokens = 300

// plainEngine streams answers as fast as they are read, so that a benchmark
// measures the way and not the model.
type plainEngine struct {
	hold chan struct{} // if set, streams wait for it behind their first token
}

func (e plainEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("X-Attempt-Id")
	f := http.NewResponseController(w)
	w.Header().Set("Content-Type", "text/event-stream")
	for n := 1; n <= benchTokens; n++ {
		fmt.Fprintf(w, "id: %s.%d\ndata: {\"id\":\"c\",\"object\":\"chat.completion.chunk\",\"created\":1,\"model\":\"m\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"word \"},\"finish_reason\":null}]}\n\n", id, n)
		_ = f.Flush()
		if e.hold != nil && n == 1 {
			<-e.hold
		}
	}
	fmt.Fprintf(w, "id: %s.%d\ndata: {\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n", id, benchTokens)
}

// onePlace places everything at one address.
type onePlace string

func (p onePlace) Place(context.Context, caller.Want) (caller.Place, *outcome.Refusal) {
	return caller.Place{Endpoint: "e1", Address: string(p), Release: func() {}}, nil
}

func (p onePlace) Adopt(coordination.Endpoint) (caller.Place, bool) { return caller.Place{}, false }

func (p onePlace) Dead(coordination.Endpoint, coordination.Incarnation) {}

func (p onePlace) Leaving(coordination.Endpoint, coordination.Incarnation) {}

// newPath returns the addresses of an engine and of a router before it.
func newPath(tb testing.TB, e plainEngine) (direct, routed string) {
	backend := httptest.NewServer(e)
	tb.Cleanup(backend.Close)
	direct = strings.TrimPrefix(backend.URL, "http://")
	client, closeClient := engine.NewClient(engine.Options{})
	tb.Cleanup(closeClient)
	s := &caller.Server{
		Teams: oneTeam{}, Placer: onePlace(direct), Engines: client, Suspects: noSuspects{},
		Retries: endlessRetries{}, Actions: noActions{},
		Limits:  caller.Limits{BodyBytes: 1 << 20, WriteTimeout: time.Minute, CancelFor: time.Second},
		Metrics: caller.NewMetrics(prometheus.NewRegistry()),
	}
	mux := http.NewServeMux()
	s.Register(humago.New(mux, huma.DefaultConfig("bench", "0")))
	front := httptest.NewServer(mux)
	tb.Cleanup(front.Close)
	return direct, strings.TrimPrefix(front.URL, "http://")
}

const benchBody = `{"model":"m","stream":true,"messages":[{"role":"user","content":"a quote for 300 copies"}]}`

// stream reads one answer and returns when its first token came.
func stream(tb testing.TB, address string) (first time.Duration) {
	start := time.Now()
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(benchBody))
	if err != nil {
		tb.Error(err)
		return 0
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Team", "demo")
	req.Header.Set("X-Client-Account", "label")
	req.Header.Set("X-Attempt-Id", "direct")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		tb.Error(err)
		return 0
	}
	defer res.Body.Close()
	r := bufio.NewReader(res.Body)
	if _, err := r.ReadString('\n'); err != nil {
		tb.Error(err)
	}
	first = time.Since(start)
	_, _ = io.Copy(io.Discard, r)
	return first
}

// BenchmarkPath compares the way through a router with the engine alone, in
// one run. It reports the processor time of all sides, which share the
// process, so that the difference is the router's.
func BenchmarkPath(b *testing.B) {
	direct, routed := newPath(b, plainEngine{})
	for _, way := range []struct{ name, address string }{{"direct", direct}, {"routed", routed}} {
		b.Run(way.name, func(b *testing.B) {
			b.ReportAllocs()
			var first time.Duration
			for b.Loop() {
				first += stream(b, way.address)
			}
			n := float64(b.N)
			b.ReportMetric(float64(first.Microseconds())/n, "us-to-first-token")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/n/benchTokens, "ns/token")
		})
	}
}

// reading is one open stream of a benchmark.
type reading struct {
	tb      testing.TB
	address string
}

func (r reading) run() { stream(r.tb, r.address) }

// BenchmarkOpenStreams reports the memory that an open stream costs in a router
// with the engine's and the caller's side beside it, and the engine's and the
// caller's sides alone.
func BenchmarkOpenStreams(b *testing.B) {
	const open = 1000
	for _, way := range []string{"direct", "routed"} {
		b.Run(way, func(b *testing.B) {
			for b.Loop() {
				hold := make(chan struct{})
				direct, routed := newPath(b, plainEngine{hold: hold})
				address := map[string]string{"direct": direct, "routed": routed}[way]
				before := memory()
				var wg sync.WaitGroup
				for range open {
					wg.Go(reading{tb: b, address: address}.run)
				}
				time.Sleep(time.Second)
				used := memory() - before
				close(hold)
				wg.Wait()
				b.ReportMetric(float64(used)/open/1024, "KiB/stream")
			}
		})
	}
}

// memory returns the bytes of live heap and of stacks.
func memory() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}
