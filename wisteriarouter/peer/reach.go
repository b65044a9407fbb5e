package peer

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/membership"
)

// topicProbe asks a router for a sign of life.
const topicProbe = "probe"

const (
	// awayAfter is how long a router has to have left all calls without an
	// answer until this one does without it.
	awayAfter = 500 * time.Millisecond

	// probeTimeout is how long a probe waits, and probePause the time between
	// two of them.
	probeTimeout = 250 * time.Millisecond
	probePause   = 100 * time.Millisecond

	// backAfter is how many probes in a row a router has to answer to be
	// taken back.
	backAfter = 3
)

// Fleet is the part of a [Node] that a Reach needs.
type Fleet interface {
	Call(ctx context.Context, to coordination.Instance, topic string, payload []byte) ([]byte, error)
	Notify(ctx context.Context, to coordination.Instance, topic string, payload []byte) error
	Members() []membership.Member
	Handle(topic string, fn Handler)
}

// Reach makes calls to other routers and remembers which of them do not answer.
//
// The members of the fleet are slow to be declared dead, so that a short pause
// does not look like a death everywhere. For those ten seconds the endpoints of
// a dead owner would take almost no work, and requests would wait for the few
// others: their first tokens come seconds late. So this router by itself does
// without a router that is away; each of the others soon finds out, too. If
// only the way between two is broken, the owner that is asked instead declines,
// and nothing is worse than before.
type Reach struct {
	fleet  Fleet
	onTurn func(id coordination.Instance, away bool)
	ctx    context.Context // ends with the router

	mu        sync.Mutex
	silent    map[coordination.Instance]*silence
	watchers  []func()
	of        []membership.Member // the members of which answering is a part
	answering []membership.Member // nil if it has to be made again
}

// silence is the time for which a router has not answered.
type silence struct {
	since time.Time
	away  bool
}

// NewReach returns a Reach that answers the probes of others, and a function
// that ends its own. It calls onTurn when a router has gone away or is back.
func NewReach(f Fleet, onTurn func(id coordination.Instance, away bool)) (*Reach, func()) {
	f.Handle(topicProbe, func(context.Context, coordination.Instance, []byte) ([]byte, error) { return nil, nil })
	ctx, cancel := context.WithCancel(context.Background())
	return &Reach{fleet: f, onTurn: onTurn, ctx: ctx, silent: make(map[coordination.Instance]*silence)}, cancel
}

// Watch has fn called when a router has gone away or is back.
func (r *Reach) Watch(fn func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.watchers = append(r.watchers, fn)
}

// Away reports whether a router is known not to answer.
func (r *Reach) Away(id coordination.Instance) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.silent[id]
	return s != nil && s.away
}

// Answering returns the members that are not leaving and are not known to be
// away, in order of their instances. The slice is the same until there is a
// change, and must not be written to.
func (r *Reach) Answering() []membership.Member {
	members := r.fleet.Members()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.answering == nil || !membership.SameList(members, r.of) {
		r.of = members
		r.answering = lo.Filter(members, func(m membership.Member, _ int) bool {
			s := r.silent[m.Instance]
			return m.State != membership.Leaving && (s == nil || !s.away)
		})
	}
	return r.answering
}

// Call implements placement.Transport and suspicion.Transport.
func (r *Reach) Call(ctx context.Context, to coordination.Instance, topic string, payload []byte) ([]byte, error) {
	answer, err := r.fleet.Call(ctx, to, topic, payload)
	if unanswered(err) && !errors.Is(ctx.Err(), context.Canceled) {
		r.suspect(to)
	}
	return answer, err
}

// Notify implements mirror.Transport. No error does not mean that the router
// has been reached.
func (r *Reach) Notify(ctx context.Context, to coordination.Instance, topic string, payload []byte) error {
	err := r.fleet.Notify(ctx, to, topic, payload)
	if unanswered(err) && !errors.Is(ctx.Err(), context.Canceled) {
		r.suspect(to)
	}
	return err
}

// unanswered reports whether a call's error may mean that its router is dead.
func unanswered(err error) bool {
	var failure *CallError
	return errors.As(err, &failure) && (failure.Failure == NotConnected || failure.Failure == Lost)
}

// suspect begins to probe a router.
func (r *Reach) suspect(id coordination.Instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.silent[id] != nil {
		return
	}
	r.silent[id] = &silence{since: time.Now()}
	go probe{Reach: r, id: id}.run(r.ctx)
}

// probe watches one router that has not answered.
type probe struct {
	*Reach
	id coordination.Instance
}

// run probes until the router is back, or is no member any more.
func (p probe) run(ctx context.Context) {
	answers := 0
	for p.member() {
		if p.answers(ctx) {
			answers++
		} else {
			answers = 0
			p.missed(time.Now())
		}
		if answers >= backAfter || answers > 0 && !p.Away(p.id) {
			break
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(probePause):
		}
	}
	p.over()
}

func (p probe) member() bool {
	return lo.SomeBy(p.fleet.Members(), func(m membership.Member) bool { return m.Instance == p.id })
}

func (p probe) answers(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, err := p.fleet.Call(ctx, p.id, topicProbe, nil)
	return !unanswered(err)
}

// missed notes that a probe was not answered.
func (p probe) missed(now time.Time) {
	p.mu.Lock()
	s := p.silent[p.id]
	turned := !s.away && now.Sub(s.since) >= awayAfter
	if turned {
		s.away = true
		p.answering = nil
	}
	p.mu.Unlock()
	if turned {
		p.changed(true)
	}
}

// over ends the watch.
func (p probe) over() {
	p.mu.Lock()
	was := p.silent[p.id].away
	delete(p.silent, p.id)
	if was {
		p.answering = nil
	}
	p.mu.Unlock()
	if was {
		p.changed(false)
	}
}

func (p probe) changed(away bool) {
	p.onTurn(p.id, away)
	p.mu.Lock()
	watchers := slices.Clone(p.watchers)
	p.mu.Unlock()
	for _, fn := range watchers {
		fn()
	}
}
