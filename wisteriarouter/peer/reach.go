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
	// unresponsiveAfter is how long a router has to have left all calls without an
	// answer until this one does without it.
	unresponsiveAfter = 500 * time.Millisecond

	// probeTimeout is how long a probe waits, and probePause the time between
	// two of them.
	probeTimeout  = 250 * time.Millisecond
	probeInterval = 100 * time.Millisecond

	// recoveryProbes is how many probes in a row a router has to answer to be
	// taken back.
	recoveryProbes = 3
)

// Transport is the part of a [Node] that a Reach needs.
type Transport interface {
	Call(ctx context.Context, to coordination.Instance, topic string, payload []byte) ([]byte, error)
	Notify(ctx context.Context, to coordination.Instance, topic string, payload []byte) error
	Members() []membership.Member
	Handle(topic string, fn Handler)
}

// FailureDetector makes calls to other routers and remembers which of them do not answer.
//
// The members of the fleet are slow to be declared dead, so that a short pause
// does not look like a death everywhere. For those ten seconds the endpoints of
// a dead owner would take almost no work, and requests would wait for the few
// others: their first tokens come seconds late. So this router by itself does
// without a router that is away; each of the others soon finds out, too. If
// only the way between two is broken, the owner that is asked instead declines,
// and nothing is worse than before.
type FailureDetector struct {
	transport Transport
	onChange  func(id coordination.Instance, away bool)
	ctx       context.Context // ends with the router

	mu          sync.Mutex
	outages     map[coordination.Instance]*outage
	watchers    []func()
	lastMembers []membership.Member // the members of which answering is a part
	responsive  []membership.Member // nil if it has to be made again
}

// outage is the time for which a router has not answered.
type outage struct {
	since        time.Time
	unresponsive bool
}

// NewFailureDetector returns a Reach that answers the probes of others, and a function
// that ends its own. It calls onTurn when a router has gone away or is back.
func NewFailureDetector(f Transport, onTurn func(id coordination.Instance, away bool)) (*FailureDetector, func()) {
	f.Handle(topicProbe, func(context.Context, coordination.Instance, []byte) ([]byte, error) { return nil, nil })
	ctx, cancel := context.WithCancel(context.Background())
	return &FailureDetector{transport: f, onChange: onTurn, ctx: ctx, outages: make(map[coordination.Instance]*outage)}, cancel
}

// Watch has fn called when a router has gone away or is back.
func (r *FailureDetector) Watch(fn func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.watchers = append(r.watchers, fn)
}

// Unresponsive reports whether a router is known not to answer.
func (r *FailureDetector) Unresponsive(id coordination.Instance) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.outages[id]
	return s != nil && s.unresponsive
}

// Responsive returns the members that are not leaving and are not known to be
// away, in order of their instances. The slice is the same until there is a
// change, and must not be written to.
func (r *FailureDetector) Responsive() []membership.Member {
	members := r.transport.Members()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.responsive == nil || !membership.SameList(members, r.lastMembers) {
		r.lastMembers = members
		r.responsive = lo.Filter(members, func(m membership.Member, _ int) bool {
			s := r.outages[m.Instance]
			return m.State != membership.Leaving && (s == nil || !s.unresponsive)
		})
	}
	return r.responsive
}

// Call implements placement.Transport and suspicion.Transport.
func (r *FailureDetector) Call(ctx context.Context, to coordination.Instance, topic string, payload []byte) ([]byte, error) {
	answer, err := r.transport.Call(ctx, to, topic, payload)
	if mayBeDown(err) && !errors.Is(ctx.Err(), context.Canceled) {
		r.suspect(to)
	}
	return answer, err
}

// Notify implements mirror.Transport. No error does not mean that the router
// has been reached.
func (r *FailureDetector) Notify(ctx context.Context, to coordination.Instance, topic string, payload []byte) error {
	err := r.transport.Notify(ctx, to, topic, payload)
	if mayBeDown(err) && !errors.Is(ctx.Err(), context.Canceled) {
		r.suspect(to)
	}
	return err
}

// mayBeDown reports whether a call's error may mean that its router is dead.
func mayBeDown(err error) bool {
	var failure *CallError
	return errors.As(err, &failure) && (failure.Failure == NotConnected || failure.Failure == Lost)
}

// suspect begins to probe a router.
func (r *FailureDetector) suspect(id coordination.Instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.outages[id] != nil {
		return
	}
	r.outages[id] = &outage{since: time.Now()}
	go probe{FailureDetector: r, id: id}.run(r.ctx)
}

// probe watches one router that has not answered.
type probe struct {
	*FailureDetector
	id coordination.Instance
}

// run probes until the router is back, or is no member any more.
func (p probe) run(ctx context.Context) {
	answers := 0
	for p.isMember() {
		if p.answers(ctx) {
			answers++
		} else {
			answers = 0
			p.recordMiss(time.Now())
		}
		if answers >= recoveryProbes || answers > 0 && !p.Unresponsive(p.id) {
			break
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(probeInterval):
		}
	}
	p.finish()
}

func (p probe) isMember() bool {
	return lo.SomeBy(p.transport.Members(), func(m membership.Member) bool { return m.Instance == p.id })
}

func (p probe) answers(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, err := p.transport.Call(ctx, p.id, topicProbe, nil)
	return !mayBeDown(err)
}

// recordMiss notes that a probe was not answered.
func (p probe) recordMiss(now time.Time) {
	p.mu.Lock()
	s := p.outages[p.id]
	turned := !s.unresponsive && now.Sub(s.since) >= unresponsiveAfter
	if turned {
		s.unresponsive = true
		p.responsive = nil
	}
	p.mu.Unlock()
	if turned {
		p.notifyWatchers(true)
	}
}

// finish ends the watch.
func (p probe) finish() {
	p.mu.Lock()
	was := p.outages[p.id].unresponsive
	delete(p.outages, p.id)
	if was {
		p.responsive = nil
	}
	p.mu.Unlock()
	if was {
		p.notifyWatchers(false)
	}
}

func (p probe) notifyWatchers(away bool) {
	p.onChange(p.id, away)
	p.mu.Lock()
	watchers := slices.Clone(p.watchers)
	p.mu.Unlock()
	for _, fn := range watchers {
		fn()
	}
}
