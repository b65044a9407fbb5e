package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/samber/lo"
	"gotest.tools/v3/assert"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/placement"
	"wisteriaspool/coordination/transfer"
	standin "wisteriaspool/standin/engine"
	"wisteriaspool/standin/pipe"
	"wisteriaspool/wisteriarouter/endpoint"
	"wisteriaspool/wisteriarouter/engine"
	"wisteriaspool/wisteriarouter/platform"
)

const (
	transferPool    = coordination.Pool("m@1")
	transferAccount = coordination.Account("label")
)

// evacuationWorld is one router's placement and transfers before engines on a
// network of pipes, in the paused clock.
type evacuationWorld struct {
	t         testing.TB
	network   pipe.Network
	options   standin.Options
	wrap      func(http.Handler) http.Handler // of each engine
	engines   map[coordination.Endpoint]*standin.Engine
	mu        sync.Mutex // guards closes and listed
	closes    map[coordination.Endpoint]func()
	listed    []platform.Entry
	directory *endpoint.Directory
	owner     *placement.Owner
	entry     *placement.Entry
	client    *engine.Client
	metrics   *transferMetrics
	next      int
	stops     []func()
}

func newEvacuationWorld(t testing.TB, options standin.Options, wrap func(http.Handler) http.Handler) *evacuationWorld {
	w := &evacuationWorld{
		t: t, options: options, wrap: wrap,
		engines:   make(map[coordination.Endpoint]*standin.Engine),
		closes:    make(map[coordination.Endpoint]func()),
		directory: &endpoint.Directory{},
		owner:     placement.NewOwner("r1", placement.Config{}),
		metrics:   newTransferMetrics(),
	}
	var closeClient func()
	w.client, closeClient = engine.NewClient(engine.Options{DialContext: w.network.DialContext})
	w.entry = placement.NewEntry(placement.EntryID{Instance: "r1", Incarnation: 1}, w.owner, nil, nil, placement.Config{})
	w.directory.Watch(w.update)
	w.stops = append(w.stops, closeClient, placement.Start(w.owner, w.entry))
	return w
}

func (w *evacuationWorld) close() {
	for i := len(w.stops) - 1; i >= 0; i-- {
		w.stops[i]()
	}
	for _, each := range w.closes {
		each()
	}
}

func (w *evacuationWorld) update() {
	set := placement.NewSet(lo.Map(w.directory.All(), func(k endpoint.Info, _ int) placement.Descriptor { return k.Descriptor }))
	routers := placement.NewRouters([]placement.Router{{ID: "r1", Incarnation: 1}}, 0)
	w.owner.Update(set, routers)
	w.entry.Update(set, routers)
}

// transfer starts moving chats.
func (w *evacuationWorld) transfer(cfg transfer.Config, engines kvEngines) {
	_, stop := startTransfers(cfg, w.directory, ownsAll{}, engines, w.metrics)
	w.stops = append(w.stops, stop)
}

// ownsAll is the only router.
type ownsAll struct{}

func (ownsAll) owns(endpoint.Info) bool { return true }
func (ownsAll) bound() float64          { return 0 }

func (w *evacuationWorld) join() {
	w.next++
	id := coordination.Endpoint(fmt.Sprintf("e%d", w.next))
	options := w.options
	options.ID = string(id)
	options.Seed = uint64(w.next)
	e, stop := standin.New(options)
	var h http.Handler = e
	if w.wrap != nil {
		h = w.wrap(e)
	}
	address := string(id) + ":80"
	unserve := w.network.Serve(address, h)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.engines[id] = e
	w.closes[id] = func() {
		unserve()
		stop()
	}
	w.listed = append(w.listed, platform.Entry{
		ID: id, Address: address, Kind: platform.Engine, Pool: transferPool, State: platform.Live,
		Incarnation: coordination.Incarnation(e.Incarnation()), Capacity: 16,
	})
	w.directory.Update(w.listed)
}

// leave has an engine announce its stop. It ends once it is idle, at stay at
// the earliest.
func (w *evacuationWorld) leave(id coordination.Endpoint, stay time.Duration) {
	e := w.engines[id]
	e.Leave()
	w.directory.RecordLeaving(id, coordination.Incarnation(e.Incarnation()))
	l := leaver{world: w, id: id, stay: stay}
	go l.run()
}

// leaver ends an engine's process.
type leaver struct {
	world *evacuationWorld
	id    coordination.Endpoint
	stay  time.Duration
}

func (l leaver) run() {
	time.Sleep(l.stay)
	_ = l.world.engines[l.id].Drain(context.Background())
	l.world.gone(l.id)
}

// gone ends an engine at once.
func (w *evacuationWorld) gone(id coordination.Endpoint) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closes[id]()
	w.closes[id] = func() {}
	w.listed = lo.Reject(w.listed, func(l platform.Entry, _ int) bool { return l.ID == id })
	for range 2 { // the directory waits for a second list
		w.directory.Update(w.listed)
	}
}

// talker is one chat that returns, with all that was said.
type talker struct {
	chat     coordination.Chat
	hint     placement.Hint
	at       coordination.Endpoint
	messages []standin.Message
	turns    int
}

func newTalker(n int) *talker {
	return &talker{chat: coordination.Chat(fmt.Sprintf("chat-%d", n))}
}

// heard is what one turn of a chat got.
type heard struct {
	usage engine.Usage
	first time.Duration // until the first token
}

var errRefused = errors.New("refused")

// say has the chat ask once more, with so many new words.
func (w *evacuationWorld) say(c *talker, words, limit int) (heard, error) {
	start := time.Now()
	g, refusal := w.entry.Acquire(context.Background(), placement.Request{
		Pool: transferPool, Key: placement.KeyOf(engine.ScopedChat(transferAccount, c.chat)), Hint: c.hint, Account: transferAccount,
	})
	if g == nil {
		return heard{}, fmt.Errorf("%w: %s", errRefused, refusal.Code)
	}
	defer g.Release()
	c.turns++
	c.messages = append(c.messages, standin.Message{Role: "user", Content: c.words(words)})
	body, err := json.Marshal(standin.Request{Model: "m", Messages: c.messages, Stream: true, MaxTokens: limit})
	if err != nil {
		return heard{}, err
	}
	s, err := w.client.Start(engine.WithAccount(context.Background(), transferAccount), string(g.Endpoint.ID)+":80", engine.Request{
		Attempt: engine.NewAttempt(g.Endpoint.ID, "f0"), Chat: c.chat, Body: body,
	})
	if err != nil {
		return heard{}, err
	}
	defer s.Close()
	c.at, c.hint = g.Endpoint.ID, g.Hint()
	return c.listen(s, start)
}

func (c *talker) words(n int) standin.Content {
	var text strings.Builder
	for i := range n {
		fmt.Fprintf(&text, "%s-%d-%d ", c.chat, c.turns, i)
	}
	return standin.Content(text.String())
}

// listen reads an answer to its end and checks that it is the right one.
func (c *talker) listen(s *engine.Stream, start time.Time) (heard, error) {
	var h heard
	var text strings.Builder
	for {
		chunk, err := s.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return h, err
		}
		if h.first == 0 {
			h.first = time.Since(start)
		}
		text.WriteString(chunk.Text)
		if chunk.Usage != nil {
			h.usage = *chunk.Usage
		}
	}
	if want := standin.Answer(c.messages, int(h.usage.Completion)); text.String() != want {
		return h, fmt.Errorf("the answer is %q instead of %q", text.String(), want)
	}
	c.messages = append(c.messages, standin.Message{Role: "assistant", Content: standin.Content(text.String())})
	return h, nil
}

// result returns how many moves have had a result.
func (w *evacuationWorld) result(r transfer.Result) int {
	return int(testutil.ToFloat64(w.metrics.results.WithLabelValues(r.String())))
}

// bytes returns how many bytes have been taken from leaving engines.
func (w *evacuationWorld) bytes() float64 { return testutil.ToFloat64(w.metrics.bytes) }

func (w *evacuationWorld) mustSay(c *talker, words, limit int) heard {
	w.t.Helper()
	h, err := w.say(c, words, limit)
	assert.NilError(w.t, err)
	return h
}
