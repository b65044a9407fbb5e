package origin

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/placement"
)

// TopicView is the topic of questions about the versions of a pool.
const TopicView = "origin-view"

// View is what a router knows of the versions of a pool's software.
type View struct {
	// Single reports that all endpoints of the pool have, and had for as long as a stream
	// may last, one version, which is Version.
	Single  bool                         `cbor:"1,keyasint,omitempty"`
	Version coordination.SoftwareVersion `cbor:"2,keyasint,omitempty"`
	// Confirmed reports that the router has compared the view with the store since it was
	// asked.
	Confirmed bool `cbor:"3,keyasint,omitempty"`
}

// viewQuestion is the payload of TopicView, and a View its reply.
type viewQuestion struct {
	Pool coordination.Pool `cbor:"1,keyasint"`
}

// WitnessConfig configures a Witness.
type WitnessConfig struct {
	Self      coordination.Instance
	Transport Transport
	// Recent returns the routers that may have begun streams that last, including those
	// that this one does not reach any more.
	Recent func() []placement.Router
	// Confirm brings what View returns up to date with the store as it is at the call, or
	// later, and reports whether it could.
	Confirm func(ctx context.Context) bool
	View    func(pool coordination.Pool) View
	// Recently reports whether the store has confirmed what View returns, to any router, within
	// the time that a stream may last.
	Recently func() bool
	// Alone reports that there are no other routers.
	Alone bool
}

// Witness finds out whether a pool has one version of its software. What a router knows of
// that itself is not enough: it may be cut off, or may have stood still, while endpoints of
// another version joined and began streams.
type Witness struct {
	cfg WitnessConfig

	mu       sync.Mutex
	failed   chan struct{} // closed when a question has had no certain result
	failedAt time.Time     // when the latest one had none
}

// NewWitness returns a Witness.
func NewWitness(cfg WitnessConfig) *Witness { return &Witness{cfg: cfg, failed: make(chan struct{})} }

const (
	// viewTimeout bounds a question about the versions of a pool, which other routers answer
	// once they have read the store.
	viewTimeout = 700 * time.Millisecond
	// lookTimeout bounds how long a router compares its view with the store, alone or for
	// another one, which takes it for silent after viewTimeout.
	lookTimeout = 400 * time.Millisecond
	// viewDelay is how long the store may take to reply before other routers are asked.
	viewDelay = 100 * time.Millisecond
	// viewPause is how long after a question without a certain result others have none, either.
	viewPause = 400 * time.Millisecond
)

// Testimony tells how a Witness came to a result.
type Testimony struct {
	View
	Asked  int // other routers that were asked
	Silent int // routers among them that did not reply
}

// Ask returns what is certain of a pool's versions. It is Single only if that is confirmed by
// the store, here or at another router, or if no router that may know otherwise reaches the
// store or is silent.
func (w *Witness) Ask(ctx context.Context, pool coordination.Pool) Testimony {
	v := w.cfg.View(pool)
	failed, ok := w.begin()
	if !v.Single || !ok {
		return Testimony{}
	}
	ctx, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	a := &ask{witness: w, pool: pool, view: v, own: make(chan View, 1)}
	go a.run(ctx)
	t, known := a.result(ctx, failed)
	if !known {
		w.fail()
	}
	return t
}

// begin returns a channel that is closed when another question has had no certain result. It
// returns false if that was the case a moment ago.
func (w *Witness) begin() (failed <-chan struct{}, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.failed, time.Since(w.failedAt) >= viewPause
}

// fail ends the questions that are under way, which would have no certain result, either.
func (w *Witness) fail() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failedAt = time.Now()
	close(w.failed)
	w.failed = make(chan struct{})
}

// ask is one question of this router.
type ask struct {
	witness *Witness
	pool    coordination.Pool
	view    View      // what the router knew before
	own     chan View // buffered; gets what it knows when it has read the store
	replies chan *View
	asked   int // other routers
}

// run finds out what this router knows.
func (a *ask) run(ctx context.Context) { a.own <- a.witness.look(ctx, a.pool) }

// askOthers asks other routers, unless that was done.
func (a *ask) askOthers(ctx context.Context) {
	if a.replies != nil {
		return
	}
	cfg := a.witness.cfg
	others := firstOthers(order(coordination.Attempt(a.pool), cfg.Recent()), cfg.Self, askedCount)
	a.asked, a.replies = len(others), make(chan *View, len(others))
	for _, r := range others {
		go viewInquiry{transport: cfg.Transport, to: r.ID, question: viewQuestion{a.pool}, replies: a.replies}.run(ctx)
	}
}

// result waits for this router's own view and, if the store does not confirm it soon, for those
// of others. It returns false if neither the store nor all others can be reached.
func (a *ask) result(ctx context.Context, failed <-chan struct{}) (t Testimony, known bool) {
	delay := time.NewTimer(viewDelay)
	defer delay.Stop()
	replied, looked, recent := 0, false, false
	for !looked || replied < a.asked {
		t.Asked = a.asked
		select {
		case own := <-a.own:
			looked, recent = true, own.Single
			if own.Confirmed {
				t.View = own
				return t, true
			}
			if now := a.witness.cfg.View(a.pool); !now.Single || now.Version != a.view.Version {
				return t, true
			}
			a.askOthers(ctx)
		case <-delay.C:
			a.askOthers(ctx)
		case v := <-a.replies:
			replied++
			switch {
			case v == nil:
				t.Silent++
			case !v.Single || v.Version != a.view.Version:
				return t, true
			case v.Confirmed:
				t.View = *v
				return t, true
			}
		case <-failed:
			return t, true // as known already
		case <-ctx.Done():
			t.Silent = a.asked - replied + t.Silent
			return t, false
		}
	}
	t.Asked = a.asked
	if !recent || t.Silent > 0 || a.asked == 0 && !a.witness.cfg.Alone {
		return t, false
	}
	t.View = a.view
	return t, true
}

// look returns what this router knows, compared with the store if that can be reached.
func (w *Witness) look(ctx context.Context, pool coordination.Pool) View {
	if v := w.cfg.View(pool); !v.Single {
		return v
	}
	ctx, cancel := context.WithTimeout(ctx, lookTimeout)
	defer cancel()
	confirmed := w.cfg.Confirm(ctx)
	v := w.cfg.View(pool)
	v.Single = v.Single && (confirmed || w.cfg.Recently())
	v.Confirmed = confirmed
	return v
}

// HandleView answers a question of another router on [TopicView]. The error is
// [ErrMalformed] if it cannot be decoded.
func (w *Witness) HandleView(ctx context.Context, payload []byte) ([]byte, error) {
	var q viewQuestion
	if err := cbor.Unmarshal(payload, &q); err != nil {
		return nil, ErrMalformed.Wrap(err, "question about versions")
	}
	return encode(w.look(ctx, q.Pool)), nil
}

// viewInquiry asks one router about the versions of a pool.
type viewInquiry struct {
	transport Transport
	to        coordination.Instance
	question  viewQuestion
	replies   chan<- *View // buffered; gets nil if there is no reply
}

func (q viewInquiry) run(ctx context.Context) {
	var v View
	b, err := q.transport.Call(ctx, q.to, TopicView, encode(q.question))
	if err != nil || cbor.Unmarshal(b, &v) != nil {
		q.replies <- nil
		return
	}
	q.replies <- &v
}
