package mirror

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/kv"
	"wisteriaspool/coordination/placement"
)

// TopicHint is the topic of hints.
const TopicHint = "mirror-hint"

// Hint tells another router, without an answer, how far the sender's copy goes,
// and whether the sender reaches the store.
type Hint struct {
	Prefix string      `cbor:"1,keyasint"`
	AsOf   kv.Revision `cbor:"2,keyasint"`
	Lost   bool        `cbor:"3,keyasint,omitempty"`
}

// A router that waits at another one hears only what that one hears. If the
// store has fallen silent to both, neither knows it before its own watch runs
// out, and the one router that has the change is asked by nobody: the wait is
// in vain, the next one may be too, and nothing bounds their sum. So a router
// that has a change from the store tells all others, which fetch it if they
// still lack it. The longest way to any router that answers is then
//
//	hintSpread + hintGrace + two trips between routers + one fetch,
//
// 0.2 s as a rule, and 0.4 s more if a packet is lost on the way.
const (
	// hintSpread is within which time a router tells. Several have the change
	// from the store at the same moment; those who tell later hear the first.
	hintSpread = 50 * time.Millisecond
	// enoughHints is how many others have told by when a router need not: one,
	// and another in case that one is cut off from a part of the fleet.
	enoughHints = 2
	// hintGrace is for how long a change may still come from where this router
	// waits, before it is fetched from the one that has told.
	hintGrace = 100 * time.Millisecond
	// hintTimeout bounds the sending of one hint, for which a connection may
	// have to be made.
	hintTimeout = time.Second
)

// teller tells the other routers how far this one's copy goes.
type teller struct {
	feed *Feed
	due  chan struct{} // holds one if there is something to tell
	turn chan struct{} // holds one if the store has been lost or is back

	toldLost bool // is known to the others; only run uses it

	mu    sync.Mutex
	asOf  kv.Revision                           // to be told
	heard map[coordination.Instance]kv.Revision // what others have told
	has   map[coordination.Instance]kv.Revision // what others have been answered by this router
}

func newTeller(f *Feed) *teller {
	return &teller{
		feed:  f,
		due:   make(chan struct{}, 1),
		turn:  make(chan struct{}, 1),
		heard: make(map[coordination.Instance]kv.Revision),
		has:   make(map[coordination.Instance]kv.Revision),
	}
}

// tell has the others told of a revision that came from the store.
func (t *teller) tell(asOf kv.Revision) {
	t.mu.Lock()
	t.asOf = max(t.asOf, asOf)
	t.mu.Unlock()
	signal(t.due)
}

// hear notes that another router has told of a revision.
func (t *teller) hear(from coordination.Instance, asOf kv.Revision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.heard[from] = max(t.heard[from], asOf)
}

// answered notes that another router has been sent what is known up to a
// revision.
func (t *teller) answered(to coordination.Instance, asOf kv.Revision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.has[to] = max(t.has[to], asOf)
}

// tellState has the others told that the store has been lost or is back.
func (t *teller) tellState() { signal(t.turn) }

func (t *teller) run(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	again := time.NewTicker(lostAgain)
	defer again.Stop()
	for ctx.Err() == nil {
		select {
		case <-t.due:
			coordination.Sleep(ctx, rand.N(hintSpread))
			t.sendNews(ctx)
		case <-t.turn:
			t.sendState(ctx)
		case <-again.C:
			t.sendState(ctx)
			t.forget()
			t.feed.forget()
		case <-ctx.Done():
		}
	}
}

// sendNews tells those who may lack what this router has from the store.
func (t *teller) sendNews(ctx context.Context) {
	asOf, needed := t.take()
	if !needed {
		return
	}
	t.feed.prove(t.feed.cfg.Self)
	for _, r := range t.feed.cfg.Routers() {
		if !t.knows(r.ID, asOf) {
			t.send(ctx, r.ID, Hint{AsOf: asOf})
		}
	}
}

// sendState tells all others that this router has lost the store or is back, if
// they go by it: it is one of those that watch, or the others still count it
// among the lost.
func (t *teller) sendState(ctx context.Context) {
	lost := t.feed.store.Lost()
	if !lost && !t.toldLost || lost && !t.feed.counts() {
		return
	}
	t.toldLost = lost
	for _, r := range t.feed.cfg.Routers() {
		t.send(ctx, r.ID, Hint{AsOf: t.feed.cfg.Mirror.AsOf(), Lost: lost})
	}
}

func (t *teller) send(ctx context.Context, to coordination.Instance, h Hint) {
	if to == t.feed.cfg.Self {
		return
	}
	h.Prefix = t.feed.cfg.Prefix
	go notice{feed: t.feed, to: to, hint: h}.run(ctx)
}

// take returns what is to be told, and whether it is still needed.
func (t *teller) take() (asOf kv.Revision, needed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	told := 0
	for _, n := range t.heard {
		if n >= t.asOf {
			told++
		}
	}
	return t.asOf, told < enoughHints
}

// knows reports whether another router is known to have a revision.
func (t *teller) knows(id coordination.Instance, asOf kv.Revision) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.heard[id] >= asOf || t.has[id] >= asOf
}

// forget forgets what is known of routers that no longer answer.
func (t *teller) forget() {
	routers := t.feed.cfg.Routers()
	gone := func(id coordination.Instance, _ kv.Revision) bool {
		return !slices.ContainsFunc(routers, func(r placement.Router) bool { return r.ID == id })
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.heard, gone)
	maps.DeleteFunc(t.has, gone)
}

// notice is one hint on its way. Each has a goroutine, so that a router to which
// no connection can be made holds up no other.
type notice struct {
	feed *Feed
	to   coordination.Instance
	hint Hint
}

func (n notice) run(ctx context.Context) {
	cfg := n.feed.cfg
	within, cancel := context.WithTimeout(ctx, hintTimeout)
	defer cancel()
	err := cfg.Transport.Notify(within, n.to, TopicHint, encode(n.hint))
	if err != nil && ctx.Err() == nil {
		n.feed.untold(n.to, err)
	}
}

// HandleHint takes in a hint of another router.
func (f *Feed) HandleHint(from coordination.Instance, payload []byte) error {
	var h Hint
	if err := cbor.Unmarshal(payload, &h); err != nil {
		return ErrMalformed.Wrap(err, "hint")
	}
	if h.Prefix != f.cfg.Prefix {
		return ErrMalformed.New("no mirror of %q", h.Prefix)
	}
	f.note(from, !h.Lost)
	if !h.Lost {
		f.prove(from)
	}
	f.teller.hear(from, h.AsOf)
	f.fetcher.want(from, h.AsOf)
	return nil
}

func (f *Feed) untold(id coordination.Instance, err error) {
	if f.cfg.OnUntold != nil {
		f.cfg.OnUntold(id, err)
	}
}

// signal fills a channel that holds one.
func signal(due chan<- struct{}) {
	select {
	case due <- struct{}{}:
	default:
	}
}
