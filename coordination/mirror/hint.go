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
	// hintJitter is within which time a router tells. Several have the change
	// from the store at the same moment; those who tell later hear the first.
	hintJitter = 50 * time.Millisecond
	// enoughHints is how many others have told by when a router need not: one,
	// and another in case that one is cut off from a part of the fleet.
	enoughHints = 2
	// hintFetchDelay is for how long a change may still come from where this router
	// waits, before it is fetched from the one that has told.
	hintFetchDelay = 100 * time.Millisecond
	// hintTimeout bounds the sending of one hint, for which a connection may
	// have to be made.
	hintTimeout = time.Second
)

// hintSender tells the other routers how far this one's copy goes.
type hintSender struct {
	feed            *Feed
	revisionPending chan struct{} // holds one if there is something to tell
	statePending    chan struct{} // holds one if the store has been lost or is back

	announcedLoss bool // is known to the others; only run uses it

	mu       sync.Mutex
	asOf     kv.Revision                           // to be told
	received map[coordination.Instance]kv.Revision // what others have told
	replied  map[coordination.Instance]kv.Revision // what others have been answered by this router
}

func newHintSender(f *Feed) *hintSender {
	return &hintSender{
		feed:            f,
		revisionPending: make(chan struct{}, 1),
		statePending:    make(chan struct{}, 1),
		received:        make(map[coordination.Instance]kv.Revision),
		replied:         make(map[coordination.Instance]kv.Revision),
	}
}

// announce has the others told of a revision that came from the store.
func (s *hintSender) announce(asOf kv.Revision) {
	s.mu.Lock()
	s.asOf = max(s.asOf, asOf)
	s.mu.Unlock()
	signal(s.revisionPending)
}

// recordHint notes that another router has told of a revision.
func (s *hintSender) recordHint(from coordination.Instance, asOf kv.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.received[from] = max(s.received[from], asOf)
}

// recordReply notes that another router has been sent what is known up to a
// revision.
func (s *hintSender) recordReply(to coordination.Instance, asOf kv.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replied[to] = max(s.replied[to], asOf)
}

// announceState has the others told that the store has been lost or is back.
func (s *hintSender) announceState() { signal(s.statePending) }

func (s *hintSender) run(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	repeat := time.NewTicker(lossRepeatInterval)
	defer repeat.Stop()
	for ctx.Err() == nil {
		select {
		case <-s.revisionPending:
			coordination.Sleep(ctx, rand.N(hintJitter))
			s.sendRevision(ctx)
		case <-s.statePending:
			s.sendState(ctx)
		case <-repeat.C:
			s.sendState(ctx)
			s.dropAbsent()
			s.feed.expireRecords()
		case <-ctx.Done():
		}
	}
}

// sendRevision tells those who may lack what this router has from the store.
func (s *hintSender) sendRevision(ctx context.Context) {
	asOf, needed := s.nextRevision()
	if !needed {
		return
	}
	s.feed.recordConfirmation(s.feed.cfg.Self)
	for _, r := range s.feed.cfg.Routers() {
		if !s.hasRevision(r.ID, asOf) {
			s.send(ctx, r.ID, Hint{AsOf: asOf})
		}
	}
}

// sendState tells all others that this router has lost the store or is back, if
// they go by it: it is one of those that watch, or the others still count it
// among the lost.
func (s *hintSender) sendState(ctx context.Context) {
	lost := s.feed.store.Lost()
	if !lost && !s.announcedLoss || lost && !s.feed.wouldWatch() {
		return
	}
	s.announcedLoss = lost
	for _, r := range s.feed.cfg.Routers() {
		s.send(ctx, r.ID, Hint{AsOf: s.feed.cfg.Mirror.AsOf(), Lost: lost})
	}
}

func (s *hintSender) send(ctx context.Context, to coordination.Instance, h Hint) {
	if to == s.feed.cfg.Self {
		return
	}
	h.Prefix = s.feed.cfg.Prefix
	go hintDelivery{feed: s.feed, to: to, hint: h}.run(ctx)
}

// nextRevision returns what is to be told, and whether it is still needed.
func (s *hintSender) nextRevision() (asOf kv.Revision, needed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	informed := 0
	for _, n := range s.received {
		if n >= s.asOf {
			informed++
		}
	}
	return s.asOf, informed < enoughHints
}

// hasRevision reports whether another router is known to have a revision.
func (s *hintSender) hasRevision(id coordination.Instance, asOf kv.Revision) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.received[id] >= asOf || s.replied[id] >= asOf
}

// dropAbsent forgets what is known of routers that no longer answer.
func (s *hintSender) dropAbsent() {
	routers := s.feed.cfg.Routers()
	absent := func(id coordination.Instance, _ kv.Revision) bool {
		return !slices.ContainsFunc(routers, func(r placement.Router) bool { return r.ID == id })
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.received, absent)
	maps.DeleteFunc(s.replied, absent)
}

// hintDelivery is one hint on its way. Each has a goroutine, so that a router to which
// no connection can be made holds up no other.
type hintDelivery struct {
	feed *Feed
	to   coordination.Instance
	hint Hint
}

func (n hintDelivery) run(ctx context.Context) {
	cfg := n.feed.cfg
	sendCtx, cancel := context.WithTimeout(ctx, hintTimeout)
	defer cancel()
	err := cfg.Transport.Notify(sendCtx, n.to, TopicHint, encode(n.hint))
	if err != nil && ctx.Err() == nil {
		n.feed.reportHintFailure(n.to, err)
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
	f.recordReachability(from, !h.Lost)
	if !h.Lost {
		f.recordConfirmation(from)
	}
	f.hints.recordHint(from, h.AsOf)
	f.fetcher.add(from, h.AsOf)
	return nil
}

func (f *Feed) reportHintFailure(id coordination.Instance, err error) {
	if f.cfg.OnHintFailure != nil {
		f.cfg.OnHintFailure(id, err)
	}
}

// signal fills a channel that holds one.
func signal(due chan<- struct{}) {
	select {
	case due <- struct{}{}:
	default:
	}
}
