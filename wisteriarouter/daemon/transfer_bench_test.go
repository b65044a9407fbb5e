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
	benchPool     = 12
	benchLink     = 1.25e9           // bytes a second of an engine's link
	benchEvery    = 20 * time.Second // one engine leaves and another joins
	benchLeaves   = 4
	benchRate     = 48 // requests a second
	benchPrompt   = 1200
	benchTurn     = 20 // words of each later message
	benchAnswer   = 32
	benchPerChats = 50 // chats for each engine
	benchBlocks   = 8192
	benchStep     = 50 * time.Millisecond // for about 8 requests at each engine
)

// leaveSetup is one run of BenchmarkPlannedLeave.
type leaveSetup struct {
	off      bool
	kv       int // bytes for each token
	budget   float64
	stay     time.Duration // least time from the announcement to the end
	always   bool          // also where computing beats moving
	perChats int
	loss     float64       // of cache events
	delay    time.Duration // of cache events
}

// BenchmarkPlannedLeave measures what moving chats is worth when one engine in
// twelve leaves as planned every 20 s and another joins: the decisions
// themselves before stand-in engines, in the paused clock, seeded. "First" are
// the first returns of chats whose engine has left.
//
//	go test -run xxx -bench PlannedLeave -benchtime 1x ./daemon
func BenchmarkPlannedLeave(b *testing.B) {
	base := leaveSetup{kv: 128 << 10, budget: benchLink, stay: 10 * time.Second, perChats: benchPerChats}
	with := func(change func(*leaveSetup)) leaveSetup {
		s := base
		change(&s)
		return s
	}
	type named struct {
		name  string
		setup leaveSetup
	}
	runs := []named{
		{"off", with(func(s *leaveSetup) { s.off = true })},
		{"on", base},
		{"stay=1s", with(func(s *leaveSetup) { s.stay = time.Second })},
		{"stay=3s", with(func(s *leaveSetup) { s.stay = 3 * time.Second })},
		{"events-late", with(func(s *leaveSetup) { s.delay, s.loss = 2*time.Second, 0.2 })},
		{"crowded/off", with(func(s *leaveSetup) { s.off, s.perChats = true, 3*benchPerChats })},
		{"crowded/on", with(func(s *leaveSetup) { s.perChats = 3 * benchPerChats })},
	}
	for _, kib := range []int{64, 128, 256, 512, 1024} {
		runs = append(runs, named{fmt.Sprintf("kv=%dKiB/always", kib), with(func(s *leaveSetup) { s.kv, s.always = kib<<10, true })})
	}
	for _, kib := range []int{8, 16, 64, 128} {
		runs = append(runs, named{fmt.Sprintf("budget=125MB/kv=%dKiB/always", kib), with(func(s *leaveSetup) { s.kv, s.budget, s.always = kib<<10, 125e6, true })})
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

// run plays the setup in the paused clock, which needs a test of its own.
func (s leaveSetup) run() *leaveRun {
	var m *leaveRun
	play := testing.InternalTest{Name: "paused", F: func(t *testing.T) {
		m = &leaveRun{leaveSetup: s} // the flag count repeats tests, too
		synctest.Test(t, m.play)
	}}
	match := func(string, string) (bool, error) { return true, nil }
	if !testing.RunTests(match, []testing.InternalTest{play}) {
		panic("the run has failed")
	}
	return m
}

// leaveRun is one run with what it measures.
type leaveRun struct {
	leaveSetup
	rng *rand.Rand

	mu           sync.Mutex
	left         map[coordination.Endpoint]bool
	busy         map[*talker]bool
	all, first   measured
	refused      int
	failed       int
	moved, bytes float64
	arrivals     int // at engines that were leaving
}

// measured sums up what requests got.
type measured struct {
	prompt, cached int
	warm           int
	tokens         []time.Duration // until the first one
}

func (m *measured) add(h heard) {
	m.prompt += int(h.usage.Prompt)
	m.cached += int(h.usage.Cached)
	if h.usage.Cached > 0 {
		m.warm++
	}
	m.tokens = append(m.tokens, h.first)
}

func (m *measured) reuse() float64 { return float64(m.cached) / float64(max(m.prompt, 1)) }

func (m *measured) quantile(q float64) float64 {
	slices.Sort(m.tokens)
	if len(m.tokens) == 0 {
		return 0
	}
	return float64(m.tokens[min(int(q*float64(len(m.tokens))), len(m.tokens)-1)].Microseconds()) / 1000
}

func (m *leaveRun) report(b *testing.B) {
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(m.first.reuse(), "first-reuse")
	b.ReportMetric(m.all.reuse(), "reuse")
	b.ReportMetric(m.first.quantile(0.5), "first-ms-p50")
	b.ReportMetric(m.first.quantile(0.95), "first-ms-p95")
	b.ReportMetric(m.all.quantile(0.5), "ms-p50")
	b.ReportMetric(m.all.quantile(0.95), "ms-p95")
	b.ReportMetric(float64(len(m.first.tokens)), "first-returns")
	b.ReportMetric(float64(m.first.warm), "first-warm")
	b.ReportMetric(m.moved/benchLeaves, "moved/leave")
	b.ReportMetric(m.bytes/benchLeaves/1e6, "MB/leave")
	b.ReportMetric(float64(m.refused+m.failed), "not-answered")
	b.ReportMetric(float64(m.arrivals), "arrivals-leaving")
}

// play is the run itself.
func (m *leaveRun) play(t *testing.T) {
	m.rng = rand.New(rand.NewPCG(1, 7))
	m.left = make(map[coordination.Endpoint]bool)
	m.busy = make(map[*talker]bool)
	w := newEvacuationWorld(t, standin.Options{
		Step: benchStep, CacheBlocks: benchBlocks, KVBytesPerToken: m.kv, LinkBytesPerSec: benchLink,
		EventLoss: m.loss, EventDelay: m.delay,
	}, nil)
	defer w.close()
	for range benchPool {
		w.join()
	}
	if !m.off {
		cfg := transfer.Config{Bandwidth: m.budget, BytesPerToken: m.kv}
		if m.always {
			cfg.PrefillPerToken = time.Hour
		}
		w.transfer(cfg, sizedEngines{Client: w.client, kv: m.kv})
	}
	chats := lo.Times(benchPool*m.perChats, newTalker)
	var asking sync.WaitGroup
	start := time.Now()
	end := start.Add((benchLeaves + 2) * benchEvery)
	leaves := 0
	for time.Now().Before(end) {
		time.Sleep(time.Duration(m.rng.ExpFloat64() * float64(time.Second) / benchRate))
		if leaves < benchLeaves && time.Since(start) > time.Duration(leaves+1)*benchEvery {
			leaves++
			m.leave(w, coordination.Endpoint(fmt.Sprintf("e%d", leaves)))
		}
		c := m.pick(chats)
		if c == nil {
			continue
		}
		q := returning{run: m, world: w, chat: c, counts: leaves > 0}
		asking.Go(q.ask)
	}
	asking.Wait()
	time.Sleep(m.stay + 5*time.Second)
	m.moved = float64(w.result(transfer.Moved))
	m.bytes = w.bytes()
	for id := range m.left {
		m.arrivals += w.engines[id].Stats().ArrivalsLeaving
	}
}

func (m *leaveRun) leave(w *evacuationWorld, id coordination.Endpoint) {
	m.mu.Lock()
	m.left[id] = true
	m.mu.Unlock()
	w.join()
	w.leave(id, m.stay)
}

// pick returns a chat that is not being answered.
func (m *leaveRun) pick(chats []*talker) *talker {
	c := chats[m.rng.IntN(len(chats))]
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.busy[c] {
		return nil
	}
	m.busy[c] = true
	return c
}

// returning is one request of a chat.
type returning struct {
	run    *leaveRun
	world  *evacuationWorld
	chat   *talker
	counts bool
}

func (q returning) ask() {
	from := q.chat.at
	words := benchTurn
	if len(q.chat.messages) == 0 {
		words = benchPrompt
	}
	h, err := q.world.say(q.chat, words, benchAnswer)
	for tries := 0; err != nil && tries < 3 && !errors.Is(err, errRefused); tries++ {
		q.chat.messages = q.chat.messages[:len(q.chat.messages)-1]
		h, err = q.world.say(q.chat, words, benchAnswer)
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
	if m.left[from] {
		m.first.add(h)
	}
}

// sizedEngines shows exports with the size that the stand-in takes the time of
// rather than the few bytes that it sends.
type sizedEngines struct {
	*engine.Client
	kv int
}

// standinBlock is what the stand-in sends for a block of 16 tokens.
const (
	standinBlock      = 8 + 1024
	standinBlockWords = 16
)

func (s sizedEngines) Export(ctx context.Context, address string, chat coordination.Chat) (engine.KV, error) {
	kv, err := s.Client.Export(ctx, address, chat)
	if err != nil {
		return kv, err
	}
	defer kv.Body.Close()
	data, err := io.ReadAll(kv.Body)
	if err != nil {
		return engine.KV{}, err
	}
	size := int64(len(data)/standinBlock) * standinBlockWords * int64(s.kv)
	return engine.KV{Body: io.NopCloser(bytes.NewReader(data)), Size: size}, nil
}

func (s sizedEngines) Import(ctx context.Context, address string, kv engine.KV) (int64, error) {
	size := kv.Size
	kv.Size = -1
	_, err := s.Client.Import(ctx, address, kv)
	return size, err
}
