package caller_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
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

// plainEngine streams answers of a fixed text, so that a benchmark measures
// the path and not the model. The "created" field of a chunk is the time at
// which it was sent, in Unix nanoseconds.
type plainEngine struct {
	tokens int           // number of tokens in an answer
	pace   time.Duration // time between tokens; zero for no limit
	hold   chan struct{} // if set, answers continue until it is closed
}

func (e plainEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("X-Attempt-Id")
	f := http.NewResponseController(w)
	w.Header().Set("Content-Type", "text/event-stream")
	n := 0
	for e.waitNext(n) {
		n++
		fmt.Fprintf(w, "id: %s.%d\ndata: {\"id\":\"c\",\"object\":\"chat.completion.chunk\",\"created\":%d,\"model\":\"m\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"word \"},\"finish_reason\":null}]}\n\n", id, n, time.Now().UnixNano())
		_ = f.Flush()
	}
	fmt.Fprintf(w, "id: %s.%d\ndata: {\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n", id, n)
}

// waitNext waits until the token after the first n is due. It reports whether
// there is one.
func (e plainEngine) waitNext(n int) bool {
	if n == 0 {
		return true
	}
	var due <-chan time.Time
	if e.pace > 0 {
		due = time.After(e.pace)
	}
	switch {
	case e.hold != nil:
		select {
		case <-e.hold:
			return false
		case <-due:
			return true
		}
	case due != nil:
		<-due
	}
	return n < e.tokens
}

// patientTeam is oneTeam with a long stall timeout, so that an idle stream is
// not treated as lost.
type patientTeam struct{ oneTeam }

func (t patientTeam) PlanChat(team coordination.Team, a coordination.Account, m coordination.Model, p coordination.Priority) (caller.Plan, *outcome.Refusal) {
	plan, refusal := t.oneTeam.PlanChat(team, a, m, p)
	plan.StallTimeout = time.Hour
	plan.MaxTokens = 1 << 20
	return plan, refusal
}

// fixedPlacer places all attempts at one address.
type fixedPlacer string

func (p fixedPlacer) Place(context.Context, caller.PlacementRequest) (caller.Placement, *outcome.Refusal) {
	return caller.Placement{Endpoint: "e1", Address: string(p), Release: func() {}}, nil
}

func (p fixedPlacer) Adopt(coordination.Endpoint) (caller.Placement, bool) {
	return caller.Placement{}, false
}

func (p fixedPlacer) Dead(coordination.Endpoint, coordination.Incarnation) {}

func (p fixedPlacer) Leaving(coordination.Endpoint, coordination.Incarnation) {}

func (p fixedPlacer) Pause(coordination.Endpoint, coordination.Incarnation, time.Duration) {}

// route is a path to an engine.
type route struct {
	name    string
	address string
}

// newRoutes returns the routes to an engine: direct and through a router.
func newRoutes(tb testing.TB, e plainEngine) []route {
	backend := httptest.NewServer(e)
	tb.Cleanup(backend.Close)
	direct := strings.TrimPrefix(backend.URL, "http://")
	client, closeClient := engine.NewClient(engine.Options{})
	tb.Cleanup(closeClient)
	s := &caller.Server{
		Planner: patientTeam{}, Placer: fixedPlacer(direct), Engines: client, Suspects: noSuspects{},
		Retries: unlimitedRetries{}, Actions: noActions{},
		Limits:  caller.Limits{MaxBodyBytes: 1 << 20, WriteTimeout: time.Minute, CancelTimeout: time.Second},
		Metrics: caller.NewMetrics(prometheus.NewRegistry()),
	}
	mux := http.NewServeMux()
	s.Register(humago.New(mux, huma.DefaultConfig("bench", "0")))
	front := httptest.NewServer(mux)
	tb.Cleanup(front.Close)
	return []route{{"direct", direct}, {"routed", strings.TrimPrefix(front.URL, "http://")}}
}

const benchBody = `{"model":"m","stream":true,"messages":[{"role":"user","content":"a quote for 300 copies"}]}`

// benchClient reuses connections, so that a benchmark does not measure
// dialing.
var benchClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2000}}

// open requests one answer.
func (w route) open() (io.ReadCloser, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+w.address+"/v1/chat/completions", strings.NewReader(benchBody))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Team", "demo")
	req.Header.Set("X-Client-Account", "label")
	req.Header.Set("X-Attempt-Id", "direct")
	res, err := benchClient.Do(req)
	if err != nil {
		return nil, err
	}
	if res.StatusCode != http.StatusOK {
		res.Body.Close()
		return nil, errors.New(res.Status)
	}
	return res.Body, nil
}

// BenchmarkPath compares the route through a router with the direct one in the
// same run. All sides share the process, so that the difference is the cost of
// the router. Answers of one token show the cost of a request, those of 300
// tokens that of a token.
func BenchmarkPath(b *testing.B) {
	for _, tokens := range []int{1, 300} {
		for _, w := range newRoutes(b, plainEngine{tokens: tokens}) {
			b.Run(fmt.Sprintf("tokens=%d/%s", tokens, w.name), func(b *testing.B) {
				b.ReportAllocs()
				before := processorTime()
				for b.Loop() {
					body, err := w.open()
					if err != nil {
						b.Fatal(err)
					}
					_, _ = io.Copy(io.Discard, body)
					body.Close()
				}
				b.ReportMetric(float64((processorTime()-before).Microseconds())/float64(b.N), "cpu-us/op")
			})
		}
	}
}

// streamReader reads one stream of a benchmark.
type streamReader struct {
	tb      testing.TB
	route   route
	started *sync.WaitGroup
	first   time.Duration   // time from the request to the first token
	lags    []time.Duration // time from the engine to the caller, of each token
}

func (r *streamReader) run() {
	start := time.Now()
	body, err := r.route.open()
	if err != nil {
		r.tb.Error(err)
		r.started.Done()
		return
	}
	defer body.Close()
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		_, rest, ok := strings.Cut(lines.Text(), `"created":`)
		if !ok {
			continue
		}
		text, _, _ := strings.Cut(rest, ",")
		sent, _ := strconv.ParseInt(text, 10, 64)
		r.lags = append(r.lags, time.Since(time.Unix(0, sent)))
		if len(r.lags) == 1 {
			r.first = time.Since(start)
			r.started.Done()
		}
	}
}

// streamReaders are concurrent streams.
type streamReaders struct {
	all     []*streamReader
	started sync.WaitGroup // done when all streams have their first token
	ended   sync.WaitGroup
}

func newStreamReaders(tb testing.TB, w route, n int) *streamReaders {
	rs := &streamReaders{}
	rs.started.Add(n)
	for range n {
		r := &streamReader{tb: tb, route: w, started: &rs.started}
		rs.all = append(rs.all, r)
		rs.ended.Go(r.run)
	}
	return rs
}

// quantile returns the given quantile of all, in microseconds.
func quantile(all []time.Duration, share float64) float64 {
	slices.Sort(all)
	return float64(all[int(share*float64(len(all)-1))].Nanoseconds()) / 1e3
}

// BenchmarkPaced runs 200 streams at 40 tokens/s each: 8,000 tokens/s, the
// share of one of 330 routers at the target load. It reports the delay from
// engine to caller, and the CPU time of all sides for each token.
func BenchmarkPaced(b *testing.B) {
	const streams, tokens = 200, 80
	for _, w := range newRoutes(b, plainEngine{tokens: tokens, pace: 25 * time.Millisecond}) {
		b.Run(w.name, func(b *testing.B) {
			var first, behind []time.Duration
			before := processorTime()
			for b.Loop() {
				rs := newStreamReaders(b, w, streams)
				rs.ended.Wait()
				for _, r := range rs.all {
					first = append(first, r.first)
					behind = append(behind, r.lags...)
				}
			}
			used := processorTime() - before
			b.ReportMetric(float64(used.Microseconds())/float64(len(behind)), "cpu-us/token")
			b.ReportMetric(quantile(first, 0.5), "p50-us-first")
			b.ReportMetric(quantile(behind, 0.5), "p50-us-behind")
			b.ReportMetric(quantile(behind, 0.99), "p99-us-behind")
		})
	}
}

// BenchmarkOpenStreams reports the memory of an open stream: that of the
// engine and the caller alone, and with a router between them. Idle streams
// have received one token; active ones receive 40 tokens/s. It must be run
// with -benchtime=1x, because streams stay open until both routes have been
// measured.
func BenchmarkOpenStreams(b *testing.B) {
	const open = 1000
	for _, kind := range []struct {
		name string
		pace time.Duration
	}{{name: "idle"}, {name: "active", pace: 25 * time.Millisecond}} {
		hold := make(chan struct{})
		var opened []*streamReaders
		for _, w := range newRoutes(b, plainEngine{hold: hold, pace: kind.pace}) {
			b.Run(kind.name+"/"+w.name, func(b *testing.B) {
				for b.Loop() {
					before := memory()
					rs := newStreamReaders(b, w, open)
					opened = append(opened, rs)
					rs.started.Wait()
					time.Sleep(time.Second)
					b.ReportMetric(float64(memory()-before)/open/1024, "KiB/stream")
				}
			})
		}
		close(hold)
		for _, rs := range opened {
			rs.ended.Wait()
		}
	}
}

// memory returns the size of the live heap and of stacks in use, in bytes.
func memory() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// processorTime returns the CPU time of the process, user and system.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
