package origin

import (
	"context"
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
}

// NewWitness returns a Witness.
func NewWitness(cfg WitnessConfig) *Witness { return &Witness{cfg} }

const (
	// viewTimeout bounds a question about the versions of a pool.
	viewTimeout = 500 * time.Millisecond
	// lookTimeout bounds how long a router compares its view with the store, alone or for
	// another one, which takes it for silent after viewTimeout.
	lookTimeout = 400 * time.Millisecond
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
	own := w.look(ctx, pool)
	if !own.Single || own.Confirmed {
		return Testimony{View: own}
	}
	ctx, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	asked := firstOthers(order(coordination.Attempt(pool), w.cfg.Recent()), w.cfg.Self, askedCount)
	replies := make(chan *View, len(asked))
	for _, r := range asked {
		go viewInquiry{transport: w.cfg.Transport, to: r.ID, question: viewQuestion{pool}, replies: replies}.run(ctx)
	}
	result := Testimony{View: own, Asked: len(asked)}
	for range asked {
		v := <-replies
		switch {
		case v == nil:
			result.Silent++
		case !v.Single || v.Version != own.Version:
			result.Single = false
			return result
		case v.Confirmed:
			result.Confirmed = true
			return result
		}
	}
	result.Single = result.Silent == 0 && (len(asked) > 0 || w.cfg.Alone)
	return result
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
