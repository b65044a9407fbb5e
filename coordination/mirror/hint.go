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

// TopicHint is the topic of hints between routers.
const TopicHint = "mirror-hint"

// Hint tells another router up to which revision the sender's mirror is
// complete, and whether the sender reaches the store. It has no reply.
type Hint struct {
	Prefix string      `cbor:"1,keyasint"`
	AsOf   kv.Revision `cbor:"2,keyasint"` // its number
	Lost   bool        `cbor:"3,keyasint,omitempty"`
	Era    messageEra  `cbor:"4,keyasint,omitempty"` // of AsOf
}

// A router that waits for changes at another one learns only what that one
// learns. If the store does not reply to either of them, neither notices before
// its own watch times out, and no router asks the one that has the change. Any
// number of such waits can follow one another. Therefore a router that gets a
// change from the store sends a hint to all others, and these fetch the change
// if they still lack it. The longest time until a change reaches any router
// that is alive is
//
//	hintJitter + hintFetchDelay + two trips between routers + one fetch,
//
// which is usually 0.2 s, and 0.4 s longer if a packet is lost on the way.
const (
	// hintJitter is the maximum random delay before a router sends hints.
	// Several routers get a change from the store at the same moment; those
	// that would send later receive the hints of the first.
	hintJitter = 50 * time.Millisecond
	// enoughHints is the number of other routers whose hints make those of this
	// router unnecessary: one, and a second in case the first is cut off from a
	// part of the fleet.
	enoughHints = 2
	// hintFetchDelay is how long a change may still arrive through a fetch that
	// is waiting, before it is fetched from the router that sent the hint.
	hintFetchDelay = 100 * time.Millisecond
	// hintTimeout bounds the sending of one hint, including the time to
	// connect.
	hintTimeout = time.Second
)

// hintSender sends hints to the other routers.
type hintSender struct {
	feed            *Feed
	revisionPending chan struct{} // buffered; holds a value if a revision has to be announced
	statePending    chan struct{} // buffered; holds a value if the store was lost or has recovered

	announcedLoss bool // whether the last announced state was a loss; used only by run

	mu       sync.Mutex
	asOf     kv.Revision                           // the latest revision to announce
	received map[coordination.Instance]kv.Revision // the latest revision in the hints of each router
	replied  map[coordination.Instance]kv.Revision // the latest revision in the replies to each router
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

// announce schedules hints on a revision that came from the store.
func (s *hintSender) announce(asOf kv.Revision) {
	s.mu.Lock()
	s.asOf = max(s.asOf, asOf)
	s.mu.Unlock()
	signal(s.revisionPending)
}

// recordHint records the revision in a hint of another router.
func (s *hintSender) recordHint(from coordination.Instance, asOf kv.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.received[from] = max(s.received[from], asOf)
}

// recordReply records that another router has been sent all changes up to a
// revision.
func (s *hintSender) recordReply(to coordination.Instance, asOf kv.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replied[to] = max(s.replied[to], asOf)
}

// announceState schedules hints on the loss or the recovery of the store.
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

// sendRevision sends hints to the routers that may lack the latest revision
// from the store.
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

// sendState sends hints to all other routers that this one has lost or regained
// the store. A loss is announced only if the other routers depend on this one
// as a watcher, and a recovery only if they still count this one as lost.
func (s *hintSender) sendState(ctx context.Context) {
	lost := s.feed.store.Lost()
	if !lost && !s.announcedLoss || lost && !s.feed.wouldWatch() {
		return
	}
	s.announcedLoss = lost
	if !lost {
		// The others count this router as confirmed and may rely on it to watch.
		s.feed.recordConfirmation(s.feed.cfg.Self)
	}
	for _, r := range s.feed.cfg.Routers() {
		s.send(ctx, r.ID, Hint{AsOf: s.feed.cfg.Mirror.AsOf(), Lost: lost})
	}
}

func (s *hintSender) send(ctx context.Context, to coordination.Instance, h Hint) {
	if to == s.feed.cfg.Self {
		return
	}
	h.Prefix = s.feed.cfg.Prefix
	h.Era, h.AsOf = newMessageEra(h.AsOf.Era()), numberOnly(h.AsOf)
	go hintDelivery{feed: s.feed, to: to, hint: h}.run(ctx)
}

// nextRevision returns the revision to announce and whether hints on it are
// still needed.
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

// dropAbsent deletes the records on routers that are no longer alive.
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

// hintDelivery sends one hint. Each runs in its own goroutine, so that a router
// that cannot be connected to does not delay the hints to others.
type hintDelivery struct {
	feed *Feed
	to   coordination.Instance
	hint Hint
}

func (d hintDelivery) run(ctx context.Context) {
	cfg := d.feed.cfg
	sendCtx, cancel := context.WithTimeout(ctx, hintTimeout)
	defer cancel()
	err := cfg.Transport.Notify(sendCtx, d.to, TopicHint, encode(d.hint))
	if err != nil && ctx.Err() == nil {
		d.feed.reportHintFailure(d.to, err)
	}
}

// HandleHint handles a message of another router on [TopicHint]. The error is
// [ErrMalformed] if the message cannot be decoded or is about another prefix.
func (f *Feed) HandleHint(from coordination.Instance, payload []byte) error {
	var h Hint
	if err := cbor.Unmarshal(payload, &h); err != nil {
		return ErrMalformed.Wrap(err, "hint")
	}
	if h.Prefix != f.cfg.Prefix {
		return ErrMalformed.New("no mirror of prefix %q", h.Prefix)
	}
	if err := h.Era.check(h.AsOf); err != nil {
		return err
	}
	f.recordReachability(from, !h.Lost)
	if !h.Lost {
		f.recordConfirmation(from)
	}
	asOf := kv.NewRevision(h.Era.era(f.cfg.Mirror.AsOf().Era()), h.AsOf.Number())
	f.hints.recordHint(from, asOf)
	f.fetcher.add(from, asOf)
	return nil
}

func (f *Feed) reportHintFailure(id coordination.Instance, err error) {
	if f.cfg.OnHintFailure != nil {
		f.cfg.OnHintFailure(id, err)
	}
}

// signal puts a value into a channel with a buffer of one unless it already
// holds one.
func signal(pending chan<- struct{}) {
	select {
	case pending <- struct{}{}:
	default:
	}
}
