package peer

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/samber/lo"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/kv"
	"wisteriaspool/coordination/membership"
)

// failuresInRow is how many calls on a topic have to fail, without one that succeeds
// between, until that is reported. A call may fail by chance, and on some topics minutes
// pass between two calls.
const failuresInRow = 3

// failureSpan is the time from a failure that counts to the next one that does. All calls
// that are out while this router is suspended, or a link to several routers is lost, fail
// at once.
const failureSpan = time.Second

// outcomes reports how calls to other routers end, by topic. Only what is wrong with the
// topic counts, and nothing that is due to a router which is down, cut off, starting or
// stopping.
type outcomes struct {
	mu       sync.Mutex
	report   func(topic string, s kv.Status) // nil if nobody wants to know
	failures map[string]failureRow           // by topic
}

// failureRow is a row of failures without a success between.
type failureRow struct {
	length int
	last   time.Time // the last one that counted
}

// WatchCalls registers fn, which is called with the outcomes of calls and notices: Applied
// for one that succeeded, Rejected if the router that was called found it wrong, Throttled
// if routers are too busy, and Unavailable or Unknown if others did not answer although
// they answer other calls. It must be called before the first call.
func (d *FailureDetector) WatchCalls(fn func(topic string, s kv.Status)) {
	d.outcomes.mu.Lock()
	defer d.outcomes.mu.Unlock()
	d.outcomes.report = fn
}

// record reports a call. Failures are reported from the third in a row on.
func (o *outcomes) record(topic string, s kv.Status) {
	o.mu.Lock()
	report := o.report
	switch s {
	case kv.Applied:
		delete(o.failures, topic)
	case kv.Rejected:
	default:
		if !o.countFailure(time.Now(), topic) {
			report = nil
		}
	}
	o.mu.Unlock()
	if report != nil {
		report(topic, s)
	}
}

// countFailure counts a failure and reports whether it is to be reported. The caller holds
// o.mu.
func (o *outcomes) countFailure(now time.Time, topic string) bool {
	row := o.failures[topic]
	if row.length > 0 && now.Sub(row.last) < failureSpan {
		return false
	}
	if o.failures == nil {
		o.failures = make(map[string]failureRow)
	}
	row.length++
	row.last = now
	o.failures[topic] = row
	return row.length >= failuresInRow
}

// recordAnswered reports a call that a router has answered, or that it could never have
// read. Handlers return errors for requests that are wrong only. A router that starts has
// no handlers yet, and one that stops has none left.
func (d *FailureDetector) recordAnswered(to coordination.Instance, topic string, err error) {
	var failure *CallError
	switch {
	case err == nil:
		d.outcomes.record(topic, kv.Applied)
	case !errors.As(err, &failure):
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		d.outcomes.record(topic, kv.Unknown) // its handler had no time left
	case failure.Failure == Failed, errors.Is(err, errTooLarge):
		d.outcomes.record(topic, kv.Rejected)
	case errors.Is(err, errTooManyCalls):
		d.outcomes.record(topic, kv.Throttled)
	case failure.Failure == Rejected:
		if m, ok := d.member(to); ok && m.State == membership.Alive && m.Ready {
			d.outcomes.record(topic, kv.Rejected)
		}
	}
}

// unanswered returns the status of a call that was not answered.
func unanswered(err error) kv.Status {
	var failure *CallError
	if errors.As(err, &failure) && failure.Failure == NotConnected {
		return kv.Unavailable
	}
	return kv.Unknown
}

// recordUnanswered reports the calls that a router did not answer before it answered a
// probe, unless it has restarted since or is stopping.
func (p probe) recordUnanswered(o *outage) {
	m, ok := p.member(p.id)
	if !ok || m.State != membership.Alive || m.Incarnation != o.incarnation {
		return
	}
	for topic, s := range o.unanswered {
		p.outcomes.record(topic, s)
	}
}

func (d *FailureDetector) member(id coordination.Instance) (membership.Member, bool) {
	return lo.Find(d.transport.Members(), func(m membership.Member) bool { return m.Instance == id })
}
