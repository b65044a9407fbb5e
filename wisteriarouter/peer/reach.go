package peer

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/kv"
	"wisteriaspool/coordination/membership"
)

// topicProbe is the topic of probes, which any running router answers.
const topicProbe = "probe"

const (
	// unresponsiveAfter is how long a router has to fail all probes before it is
	// considered unresponsive.
	unresponsiveAfter = 500 * time.Millisecond

	// probeTimeout is the timeout of one probe, probeInterval the pause between
	// probes.
	probeTimeout  = 250 * time.Millisecond
	probeInterval = 100 * time.Millisecond

	// recoveryProbes is the number of consecutive probes that an unresponsive
	// router has to answer to be considered responsive again.
	recoveryProbes = 3
)

// Transport is the part of a [Node] that a FailureDetector needs.
type Transport interface {
	Call(ctx context.Context, to coordination.Instance, topic string, payload []byte) ([]byte, error)
	Notify(ctx context.Context, to coordination.Instance, topic string, payload []byte) error
	// Redial replaces the connection to a router on which a reply is due.
	Redial(to coordination.Instance)
	Members() []membership.Member
	Handle(topic string, fn Handler)
}

// FailureDetector makes calls to other routers and tracks which of them do not
// respond.
//
// The fleet takes about ten seconds to declare a member dead, so that a short pause
// is not taken for a failure everywhere. In that time the endpoints of a dead owner
// would get almost no work, and requests would wait for the few others, which
// delays their first token by seconds. Each router therefore detects unresponsive
// routers by itself and stops using them. If only the link between two routers is
// broken, the owner that is asked instead declines, and the result is no worse than
// without the detection.
type FailureDetector struct {
	transport Transport
	onChange  func(id coordination.Instance, unresponsive bool)
	ctx       context.Context // cancelled when the router stops
	outcomes  outcomes

	mu          sync.Mutex
	outages     map[coordination.Instance]*outage
	watchers    []func()
	lastMembers []membership.Member // the members from which responsive was computed
	responsive  []membership.Member // nil if it must be recomputed
}

// outage tracks a router that failed to respond.
type outage struct {
	since        time.Time
	unresponsive bool
	incarnation  coordination.Incarnation // of the router when it began
	unanswered   map[string]kv.Status     // the last call on each topic that the router did not answer
}

// NewFailureDetector returns a FailureDetector that answers the probes of other
// routers, and a function that stops its own probes. It calls onChange when a
// router becomes unresponsive or recovers.
func NewFailureDetector(transport Transport, onChange func(id coordination.Instance, unresponsive bool)) (*FailureDetector, func()) {
	transport.Handle(topicProbe, func(context.Context, coordination.Instance, []byte) ([]byte, error) { return nil, nil })
	ctx, cancel := context.WithCancel(context.Background())
	return &FailureDetector{transport: transport, onChange: onChange, ctx: ctx, outages: make(map[coordination.Instance]*outage)}, cancel
}

// Watch registers fn, which is called when a router becomes unresponsive or
// recovers.
func (d *FailureDetector) Watch(fn func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.watchers = append(d.watchers, fn)
}

// Unresponsive reports whether a router is known not to respond.
func (d *FailureDetector) Unresponsive(id coordination.Instance) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.outages[id]
	return s != nil && s.unresponsive
}

// Responsive returns the members that are neither leaving nor unresponsive, sorted
// by instance. The same slice is returned until there is a change; callers must not
// modify it.
func (d *FailureDetector) Responsive() []membership.Member {
	members := d.transport.Members()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.responsive == nil || !membership.SameList(members, d.lastMembers) {
		d.lastMembers = members
		d.responsive = lo.Filter(members, func(m membership.Member, _ int) bool {
			s := d.outages[m.Instance]
			return m.State != membership.Leaving && (s == nil || !s.unresponsive)
		})
	}
	return d.responsive
}

// Call implements placement.Transport and suspicion.Transport.
func (d *FailureDetector) Call(ctx context.Context, to coordination.Instance, topic string, payload []byte) ([]byte, error) {
	answer, err := d.transport.Call(ctx, to, topic, payload)
	d.recordCall(ctx, to, topic, err)
	return answer, err
}

// Notify implements mirror.Transport. A nil error does not mean that the message
// was delivered.
func (d *FailureDetector) Notify(ctx context.Context, to coordination.Instance, topic string, payload []byte) error {
	err := d.transport.Notify(ctx, to, topic, payload)
	d.recordCall(ctx, to, topic, err)
	return err
}

// recordCall records the outcome of a call or notice, unless its sender has given up.
func (d *FailureDetector) recordCall(ctx context.Context, to coordination.Instance, topic string, err error) {
	switch {
	case errors.Is(err, errTooLarge):
		d.recordAnswered(to, topic, err)
	case mayBeDown(err):
		if !errors.Is(ctx.Err(), context.Canceled) {
			d.suspect(to, topic, unanswered(err))
		}
	default:
		d.recordAnswered(to, topic, err)
	}
}

// mayBeDown reports whether the error of a call may mean that the router is down.
func mayBeDown(err error) bool {
	var failure *CallError
	return errors.As(err, &failure) && (failure.Failure == NotConnected || failure.Failure == Lost)
}

// suspect starts to probe a router that has not answered a call on a topic, unless it is
// being probed already.
func (d *FailureDetector) suspect(id coordination.Instance, topic string, s kv.Status) {
	m, _ := d.member(id)
	d.mu.Lock()
	defer d.mu.Unlock()
	if o := d.outages[id]; o != nil {
		o.unanswered[topic] = s
		return
	}
	d.outages[id] = &outage{since: time.Now(), incarnation: m.Incarnation, unanswered: map[string]kv.Status{topic: s}}
	go probe{FailureDetector: d, id: id}.run(d.ctx)
}

// probe repeatedly probes one router that failed to respond.
type probe struct {
	*FailureDetector
	id coordination.Instance
}

// run probes until the router has recovered or is no longer a member.
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
			p.finish(true)
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(probeInterval):
		}
	}
	p.finish(false)
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

// recordMiss records a failed probe. A router that does not respond may do so on a new
// connection.
func (p probe) recordMiss(now time.Time) {
	defer p.redial(now)
	p.mu.Lock()
	s := p.outages[p.id]
	nowUnresponsive := !s.unresponsive && now.Sub(s.since) >= unresponsiveAfter
	if nowUnresponsive {
		s.unresponsive = true
		p.responsive = nil
	}
	p.mu.Unlock()
	if nowUnresponsive {
		p.notifyWatchers(true)
	}
}

func (p probe) redial(now time.Time) {
	p.mu.Lock()
	since := p.outages[p.id].since
	p.mu.Unlock()
	if now.Sub(since) >= unresponsiveAfter {
		p.transport.Redial(p.id)
	}
}

// finish ends the tracking of the router, which has answered or is no longer a member.
func (p probe) finish(answered bool) {
	p.mu.Lock()
	o := p.outages[p.id]
	delete(p.outages, p.id)
	if o.unresponsive {
		p.responsive = nil
	}
	p.mu.Unlock()
	switch {
	case o.unresponsive:
		p.notifyWatchers(false)
	case answered:
		p.recordUnanswered(o)
	}
}

func (p probe) notifyWatchers(unresponsive bool) {
	p.onChange(p.id, unresponsive)
	p.mu.Lock()
	watchers := slices.Clone(p.watchers)
	p.mu.Unlock()
	for _, fn := range watchers {
		fn()
	}
}
