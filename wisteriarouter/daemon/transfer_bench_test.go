package daemon

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/samber/lo"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/synctest"
	"wisteriaspool/coordination/transfer"
	standin "wisteriaspool/standin/engine"
	"wisteriaspool/wisteriarouter/engine"
)

const (
	benchEngines        = 12
	benchLink           = 1.25e9           // bandwidth of an engine's link, in bytes per second
	benchLeaveInterval  = 20 * time.Second // one engine leaves and another joins
	benchLeaves         = 4
	benchRate           = 48 // requests per second
	benchPrompt         = 1200
	benchTurn           = 20 // words of each message after the first
	benchAnswer         = 32
	benchChatsPerEngine = 50 // chats per engine
	benchBlocks         = 8192
	benchStep           = 50 * time.Millisecond // gives about 8 running requests per engine
)

// leaveScenario holds the parameters of one run of BenchmarkPlannedLeave.
type leaveScenario struct {
	disabled       bool
	bytesPerToken  int // size of the KV cache
	budget         float64
	stay           time.Duration // least time from the announcement to the engine's end
	always         bool          // move even where recomputing is cheaper
	chatsPerEngine int
	eventLoss      float64       // fraction of cache events lost
	eventDelay     time.Duration // of cache events
}

// BenchmarkPlannedLeave measures the benefit of moving chats when one engine in
// twelve leaves as planned every 20 s and another joins. It runs the real transfer
// decisions against stand-in engines, seeded and under a fake clock. Metrics named
// "first" cover the first returns of chats whose engine has left.
//
//	go test -run xxx -bench PlannedLeave -benchtime 1x ./daemon
func BenchmarkPlannedLeave(b *testing.B) {
	base := leaveScenario{bytesPerToken: 128 << 10, budget: benchLink, stay: 10 * time.Second, chatsPerEngine: benchChatsPerEngine}
	with := func(change func(*leaveScenario)) leaveScenario {
		s := base
		change(&s)
		return s
	}
	type named struct {
		name  string
		setup leaveScenario
	}
	runs := []named{
		{"off", with(func(s *leaveScenario) { s.disabled = true })},
		{"on", base},
		{"stay=1s", with(func(s *leaveScenario) { s.stay = time.Second })},
		{"stay=3s", with(func(s *leaveScenario) { s.stay = 3 * time.Second })},
		{"events-late", with(func(s *leaveScenario) { s.eventDelay, s.eventLoss = 2*time.Second, 0.2 })},
		{"crowded/off", with(func(s *leaveScenario) { s.disabled, s.chatsPerEngine = true, 3*benchChatsPerEngine })},
		{"crowded/on", with(func(s *leaveScenario) { s.chatsPerEngine = 3 * benchChatsPerEngine })},
	}
	for _, kib := range []int{64, 128, 256, 512, 1024} {
		runs = append(runs, named{fmt.Sprintf("kv=%dKiB/always", kib), with(func(s *leaveScenario) { s.bytesPerToken, s.always = kib<<10, true })})
	}
	for _, kib := range []int{8, 16, 64, 128} {
		runs = append(runs, named{fmt.Sprintf("budget=125MB/kv=%dKiB/always", kib), with(func(s *leaveScenario) { s.bytesPerToken, s.budget, s.always = kib<<10, 125e6, true })})
	}
	for _, r := range runs {
		b.Run(r.name, func(b *testing.B) {
			var m *leaveRun
			for range b.N {
				m = r.setup.run()
			}
			m.report(b)
		})
	}
}

// run simulates the scenario under the fake clock of synctest, which needs a
// *testing.T.
func (s leaveScenario) run() *leaveRun {
	var m *leaveRun
	play := testing.InternalTest{Name: "paused", F: func(t *testing.T) {
		m = &leaveRun{leaveScenario: s} // reset, because the flag -count repeats this test too
		synctest.Test(t, m.play)
	}}
	match := func(string, string) (bool, error) { return true, nil }
	if !testing.RunTests(match, []testing.InternalTest{play}) {
		panic("the simulation failed")
	}
	return m
}

// leaveRun is the state and the measurements of one run.
type leaveRun struct {
	leaveScenario
	rng *rand.Rand

	mu           sync.Mutex
	departed     map[coordination.Endpoint]bool
	busy         map[*chatSession]bool
	all, first   responseStats
	refused      int
	failed       int
	moved, bytes float64
	arrivals     int // requests that arrived at leaving engines
}

// responseStats sums up the token usage and latency of responses.
type responseStats struct {
	prompt, cached int
	warm           int
	firstTokens    []time.Duration // latency of each first token
}

func (m *responseStats) add(h turnResult) {
	m.prompt += int(h.usage.Prompt)
	m.cached += int(h.usage.Cached)
	if h.usage.Cached > 0 {
		m.warm++
	}
	m.firstTokens = append(m.firstTokens, h.firstToken)
}

func (m *responseStats) reuse() float64 { return float64(m.cached) / float64(max(m.prompt, 1)) }

func (m *responseStats) quantile(q float64) float64 {
	slices.Sort(m.firstTokens)
	if len(m.firstTokens) == 0 {
		return 0
	}
	return float64(m.firstTokens[min(int(q*float64(len(m.firstTokens))), len(m.firstTokens)-1)].Microseconds()) / 1000
}

func (m *leaveRun) report(b *testing.B) {
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(m.first.reuse(), "first-reuse")
	b.ReportMetric(m.all.reuse(), "reuse")
	b.ReportMetric(m.first.quantile(0.5), "first-ms-p50")
	b.ReportMetric(m.first.quantile(0.95), "first-ms-p95")
	b.ReportMetric(m.all.quantile(0.5), "ms-p50")
	b.ReportMetric(m.all.quantile(0.95), "ms-p95")
	b.ReportMetric(float64(len(m.first.firstTokens)), "first-returns")
	b.ReportMetric(float64(m.first.warm), "first-warm")
	b.ReportMetric(m.moved/benchLeaves, "moved/leave")
	b.ReportMetric(m.bytes/benchLeaves/1e6, "MB/leave")
	b.ReportMetric(float64(m.refused+m.failed), "not-answered")
	b.ReportMetric(float64(m.arrivals), "arrivals-leaving")
}

// play runs the simulation.
func (m *leaveRun) play(t *testing.T) {
	m.rng = rand.New(rand.NewPCG(1, 7))
	m.departed = make(map[coordination.Endpoint]bool)
	m.busy = make(map[*chatSession]bool)
	w := newEvacuationEnv(t, standin.Options{
		Step: benchStep, CacheBlocks: benchBlocks, KVBytesPerToken: m.bytesPerToken, LinkBytesPerSec: benchLink,
		EventLoss: m.eventLoss, EventDelay: m.eventDelay,
	}, nil)
	defer w.close()
	for range benchEngines {
		w.join()
	}
	if !m.disabled {
		cfg := transfer.Config{Bandwidth: m.budget, BytesPerToken: m.bytesPerToken}
		if m.always {
			cfg.PrefillPerToken = time.Hour
		}
		w.transfer(cfg, sizedClient{Client: w.client, bytesPerToken: m.bytesPerToken})
	}
	chats := lo.Times(benchEngines*m.chatsPerEngine, newChatSession)
	var asking sync.WaitGroup
	start := time.Now()
	end := start.Add((benchLeaves + 2) * benchLeaveInterval)
	leaves := 0
	for time.Now().Before(end) {
		time.Sleep(time.Duration(m.rng.ExpFloat64() * float64(time.Second) / benchRate))
		if leaves < benchLeaves && time.Since(start) > time.Duration(leaves+1)*benchLeaveInterval {
			leaves++
			m.leave(w, coordination.Endpoint(fmt.Sprintf("e%d", leaves)))
		}
		c := m.pick(chats)
		if c == nil {
			continue
		}
		q := benchRequest{run: m, env: w, chat: c, counts: leaves > 0}
		asking.Go(q.send)
	}
	asking.Wait()
	time.Sleep(m.stay + 5*time.Second)
	m.moved = float64(w.result(transfer.Moved))
	m.bytes = w.bytes()
	for id := range m.departed {
		m.arrivals += w.engines[id].Stats().ArrivalsLeaving
	}
}

func (m *leaveRun) leave(w *evacuationEnv, id coordination.Endpoint) {
	m.mu.Lock()
	m.departed[id] = true
	m.mu.Unlock()
	w.join()
	w.leave(id, m.stay)
}

// pick returns a random chat, or nil if that chat has a request in progress.
func (m *leaveRun) pick(chats []*chatSession) *chatSession {
	c := chats[m.rng.IntN(len(chats))]
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.busy[c] {
		return nil
	}
	m.busy[c] = true
	return c
}

// benchRequest is one request of a chat; counts includes it in the overall figures.
type benchRequest struct {
	run    *leaveRun
	env    *evacuationEnv
	chat   *chatSession
	counts bool
}

func (q benchRequest) send() {
	from := q.chat.lastEndpoint
	words := benchTurn
	if len(q.chat.messages) == 0 {
		words = benchPrompt
	}
	h, err := q.env.send(q.chat, words, benchAnswer)
	for tries := 0; err != nil && tries < 3 && !errors.Is(err, errRefused); tries++ {
		q.chat.messages = q.chat.messages[:len(q.chat.messages)-1]
		h, err = q.env.send(q.chat, words, benchAnswer)
	}
	m := q.run
	m.mu.Lock()
	defer m.mu.Unlock()
	m.busy[q.chat] = false
	switch {
	case errors.Is(err, errRefused):
		m.refused++
		return
	case err != nil:
		m.failed++
		return
	}
	if q.counts {
		m.all.add(h)
	}
	if m.departed[from] {
		m.first.add(h)
	}
}

// sizedClient reports exports with the size whose transfer time the stand-in
// simulates, instead of the few bytes that it sends.
type sizedClient struct {
	*engine.Client
	bytesPerToken int
}

// standinBlock is the number of bytes that the stand-in sends for a block of
// standinBlockWords tokens.
const (
	standinBlock      = 8 + 1024
	standinBlockWords = 16
)

func (s sizedClient) Export(ctx context.Context, address string, chat coordination.Chat) (engine.KV, error) {
	kv, err := s.Client.Export(ctx, address, chat)
	if err != nil {
		return kv, err
	}
	defer kv.Body.Close()
	data, err := io.ReadAll(kv.Body)
	if err != nil {
		return engine.KV{}, err
	}
	size := int64(len(data)/standinBlock) * standinBlockWords * int64(s.bytesPerToken)
	return engine.KV{Body: io.NopCloser(bytes.NewReader(data)), Size: size}, nil
}

func (s sizedClient) Import(ctx context.Context, address string, kv engine.KV) (int64, error) {
	size := kv.Size
	kv.Size = -1
	_, err := s.Client.Import(ctx, address, kv)
	return size, err
}
