package placement

import (
	"slices"
	"time"

	"wisteriaspool/coordination"
)

// Request is what an entry wants placed.
type Request struct {
	Pool       coordination.Pool
	Key        Key  // of the chat, or of the content of a request without one
	Hint       Hint // where the chat is warm
	SubsetKey  Key  // of the router, as in [Set.Near]
	SubsetSize int  // as in [Set.Near]; zero if the endpoint should be that of Key
	Account    coordination.Account
	Priority   coordination.Priority

	// Deadline is the time left in which the request must start; zero for
	// none of its own.
	Deadline time.Duration

	// Target is the time from the request's arrival within which its answer has
	// to begin to be on time; zero for no objective. Waited is how much of it has
	// passed.
	Target, Waited time.Duration

	// Alone says that the request is suspected of crashing endpoints.
	Alone bool

	// Once says that a failure of the request could not be mended by another
	// attempt, so that it keeps away from endpoints in doubt.
	Once bool

	// NoWait says that the request is not to wait in a queue.
	NoWait bool

	// Avoid lists endpoints that have failed this request already.
	Avoid []coordination.Endpoint
}

// Refusal tells why a request got no grant, and when to come back.
type Refusal struct {
	Code       Code
	RetryAfter time.Duration
}

// ownerQuery is one question to one owner.
type ownerQuery struct {
	endpoint *Descriptor
	owner    coordination.Instance
	deadline Millis
	target   Millis
	wait     Millis
	final    bool
	insist   bool
}

const (
	// maxFullReplies is how many full endpoints a request meets before it queues:
	// in a surge all are full, and asking more of them only adds traffic.
	maxFullReplies = 3

	// warmBias is the wait that a request accepts at its first candidate,
	// where its chat may be warm, over that at another.
	warmBias = 50 * time.Millisecond

	noCandidateRetry = 500 * time.Millisecond
)

// walk leads one request through its candidates. It makes no calls: next gives
// the question to ask, and take receives the answer.
type walk struct {
	req     Request
	cfg     *Config
	set     *Set
	routers *Routers
	latest  func() *view // nil if the lists do not change
	doubts  *doubtTable  // nil if nothing is known of outliers
	started time.Time

	list []*Descriptor
	buf  [inlineCandidates]*Descriptor
	at   int         // of the candidate that is asked
	warm *Descriptor // the endpoint that the hint names, or nil

	redirect     coordination.Instance
	redirectedAt int // position of the candidate that was last redirected
	rounds       int
	resumeAt     time.Time // when a pause ends
	handover     handover
	stage        stage
	fullReplies  int
	otherReplies bool // some answer was not that the endpoint is full
	unowned      bool // some endpoint's owner disclaimed it
	outliers     int  // endpoints that were kept off for their failures
	insist       bool // there are too many outliers to keep off them
	overBound    bool // some endpoint was over its bound, or its owner settling
	bestQueue    *Descriptor
	bestWait     Millis // expected in that queue
	last         Code
	lost         []LostEndpoint // whose owners know of their death
}

// stage is how far a walk has come.
type stage int

const (
	asking   stage = iota // each candidate once
	pausing               // held back until the owner has heard of a new mean
	queueing              // in the queue of a full endpoint
)

func newWalk(now time.Time, req Request, cfg *Config, set *Set, routers *Routers) *walk {
	w := &walk{req: req, cfg: cfg, set: set, routers: routers, started: now, at: -1, redirectedAt: -1}
	w.warm = set.Warm(req.Pool, req.Hint)
	w.list = w.candidates(w.buf[:0], cfg.Candidates)
	return w
}

// candidates appends to dst the first endpoints that the request should try.
func (w *walk) candidates(dst []*Descriptor, limit int) []*Descriptor {
	if w.req.SubsetSize > 0 {
		return w.set.Subset(dst, w.req.Pool, w.req.SubsetKey, w.req.Key, w.req.SubsetSize, limit)
	}
	return w.set.Candidates(dst, w.req.Pool, w.req.Key, w.req.Hint, limit)
}

// nextQuery returns the nextQuery question, or false and why there is none.
func (w *walk) nextQuery(now time.Time) (ownerQuery, Refusal, bool) {
	deadline, late := w.remaining(now)
	if late || w.rounds > maxRounds {
		return ownerQuery{}, Refusal{Code: Deadline, RetryAfter: minRetryAfter}, false
	}
	if w.redirect != "" {
		a := w.newQuery(now, w.list[w.at], deadline)
		a.owner, w.redirect = w.redirect, ""
		return a, Refusal{}, true
	}
	if d := w.advance(now); d != nil {
		return w.newQuery(now, d, deadline), Refusal{}, true
	}
	if w.retryWithOutliers() {
		return w.nextQuery(now)
	}
	if w.bestQueue != nil && !w.req.NoWait {
		return w.queueQuery(now, w.bestQueue, deadline), Refusal{}, true
	}
	return ownerQuery{}, w.exhausted(), false
}

// remaining returns the time left in which the request must start.
func (w *walk) remaining(now time.Time) (left Millis, late bool) {
	limit := w.cfg.MaxWait
	if d := w.req.Deadline; d > 0 && d < limit {
		limit = d
	}
	if t := w.req.Target; t > 0 {
		// An attempt that follows a failed one has some time, too, and the endpoint
		// needs some of what the caller has left.
		limit = min(limit, max(maxTargetMultiple*t-w.req.Waited, t))
		if w.req.Deadline > 0 {
			limit = min(limit, w.req.Deadline/startDivisor)
		}
	}
	d := limit - now.Sub(w.started)
	return millis(d), d <= 0
}

// target returns the time left until the answer has to begin, of which there is
// always some if there is an objective.
func (w *walk) target(now time.Time) Millis {
	if w.req.Target <= 0 {
		return 0
	}
	return max(millis(w.req.Target-w.req.Waited-now.Sub(w.started)), 1)
}

// maxTargetMultiple is how many times its target a request waits for its start at most. Its
// caller, who waits for the first byte, would soon be gone.
const maxTargetMultiple = 2

// queueQuery returns the question that lets the request wait at an endpoint.
// With a bound above 1 some endpoint of the pool is under it, so if none was,
// the owners' mean lags behind a rising load: the request waits for the next
// exchange of sums and then asks all over again. To queue at an endpoint over
// its bound would keep it waiting there while others idle.
func (w *walk) queueQuery(now time.Time, d *Descriptor, deadline Millis) ownerQuery {
	w.bestQueue = nil
	a := w.newQuery(now, d, deadline)
	if w.overBound {
		w.stage = pausing
		pause := w.meanPause()
		w.resumeAt = now.Add(pause)
		a.wait = millis(pause)
		return a
	}
	w.stage = queueing
	a.final = true
	return a
}

// maxMeanPause bounds the time for which a request waits for a new mean.
const maxMeanPause = 800 * time.Millisecond

// meanPause returns for how long a request waits for a new mean: for an exchange of
// sums, and twice as long in each round after. Under a load that lasts, hundreds of
// requests wait, and would put to their candidates, after each exchange, more
// questions than owners answer in time.
func (w *walk) meanPause() time.Duration {
	d := (&view{set: w.set, routers: w.routers}).sumInterval(w.req.Pool)
	for range w.rounds {
		if 2*d > maxMeanPause {
			break
		}
		d *= 2
	}
	return d
}

// maxRounds ends a walk that goes round without waiting, which would spin.
const maxRounds = 200

// pause returns how long the entry has to wait before the next question: an
// owner whose queue has no room does not hold the request back itself, and
// without a pause it would be asked again at once.
func (w *walk) pause(now time.Time) time.Duration {
	if w.stage != asking || w.at >= 0 {
		return 0
	}
	return max(w.resumeAt.Sub(now), 0)
}

// nextRound begins the walk anew after a pause for a new mean.
func (w *walk) nextRound() {
	w.rounds++
	w.reset()
}

// reset begins the walk anew, by the lists as they are now.
func (w *walk) reset() {
	if w.latest != nil {
		v := w.latest()
		w.set, w.routers = v.set, v.routers
		w.warm = w.set.Warm(w.req.Pool, w.req.Hint)
		w.list = w.candidates(w.list[:0], w.cfg.Candidates)
	}
	w.redirectedAt = -1
	w.stage, w.at, w.fullReplies = asking, -1, 0
	w.otherReplies, w.unowned, w.overBound, w.bestQueue = false, false, false, nil
	w.outliers, w.insist = 0, false
}

// retryWithOutliers begins the walk anew, without regard to outliers, if there are more
// than a pool may do without, if the others are over their bound for it, or if no
// other endpoint is left even to wait for.
func (w *walk) retryWithOutliers() bool {
	if w.insist || w.outliers == 0 {
		return false
	}
	if !w.tooManyOutliers() && !w.overBound && w.bestQueue != nil {
		return false
	}
	w.insist = true
	w.at, w.fullReplies, w.bestQueue = -1, 0, nil
	w.overBound = false
	return true
}

// advance moves on to the next candidate that is worth a question.
func (w *walk) advance(now time.Time) *Descriptor {
	if w.fullReplies >= maxFullReplies && w.bestQueue != nil || w.tooManyOutliers() {
		return nil
	}
	if w.at < 0 && w.doubts.outliers(now, w.req.Pool) > outliersOf(w.set.Len(w.req.Pool)) {
		w.insist = true
	}
	for {
		w.at++
		if w.at >= len(w.list) && !w.extend() {
			return nil
		}
		d := w.list[w.at]
		if slices.Contains(w.req.Avoid, d.ID) {
			continue
		}
		if w.insist || !w.doubts.holds(now, doubt{pool: w.req.Pool, endpoint: d.ID, once: w.req.Once}) {
			return d
		}
		w.skipOutlier()
		if w.tooManyOutliers() {
			return nil
		}
	}
}

// tooManyOutliers reports whether more endpoints fail than the pool may do without.
func (w *walk) tooManyOutliers() bool {
	return !w.insist && w.outliers > outliersOf(w.set.Len(w.req.Pool))
}

// skipOutlier notes that the present candidate is kept off for its failures.
func (w *walk) skipOutlier() {
	w.outliers++
	w.otherReplies = true
}

// extendFactor is how many times its usual candidates a request asks in the
// first round, and more in each round after.
const extendFactor = 2

// extend makes the list of candidates longer. With a bound above 1 some
// endpoint is always under it, so a request goes on, but not through the whole
// pool at once: if a dozen endpoints are over the bound, then the mean lags
// behind a rising load, and the others are over it as well.
func (w *walk) extend() bool {
	n := w.set.Len(w.req.Pool)
	if w.overBound {
		n = min(n, w.cfg.Candidates*extendFactor*(w.rounds+1))
	}
	if len(w.list) >= n || len(w.list) > 0 && !w.otherReplies && w.fullReplies > 0 {
		return false
	}
	w.list = w.candidates(w.list[:0], min(2*len(w.list), n))
	return true
}

func (w *walk) newQuery(now time.Time, d *Descriptor, deadline Millis) ownerQuery {
	a := ownerQuery{
		endpoint: d,
		owner:    w.routers.Owner(d.ID, d.Zone),
		deadline: deadline,
		target:   w.target(now),
		insist:   w.insist,
	}
	if w.at == 0 && d == w.warm {
		a.wait = millis(w.cfg.WarmWait)
	}
	return a
}

// handleReply receives the answer to the last question and reports whether it ends
// the walk.
func (w *walk) handleReply(a ownerQuery, r AdmitReply) bool {
	if r.Decision != Next {
		return true
	}
	w.last = r.Code
	if r.Code == Gone || r.Code == Lost {
		w.req.Avoid = append(slices.Clip(w.req.Avoid), a.endpoint.ID)
	}
	if r.Code == Lost {
		w.lost = append(w.lost, lostOf(a.endpoint))
	}
	if w.stage != asking {
		// It was held back there and is not any more; others may have room by now.
		w.nextRound()
		return false
	}
	switch r.Code {
	case Full:
		w.fullReplies++
		w.considerQueue(a, r.RetryAfter)
	case OverBound, Settling:
		w.otherReplies, w.overBound = true, true
		w.considerQueue(a, r.RetryAfter)
	case NotOwner:
		w.otherReplies, w.unowned = true, true
		w.followRedirect(a, r.Owner)
	case Outlier:
		w.skipOutlier()
	default:
		w.otherReplies = true
	}
	return false
}

// followRedirect goes on to the router that the asked one takes for the owner, once for
// each candidate: while lists differ, two routers may name each other.
func (w *walk) followRedirect(a ownerQuery, owner coordination.Instance) {
	if owner != "" && owner != a.owner && w.redirectedAt != w.at {
		w.redirect, w.redirectedAt = owner, w.at
	}
}

// considerQueue notes an endpoint in whose queue the request could wait.
func (w *walk) considerQueue(a ownerQuery, wait Millis) {
	if w.at > 0 {
		wait += millis(warmBias)
	}
	if w.bestQueue == nil || wait < w.bestWait {
		w.bestQueue, w.bestWait = a.endpoint, wait
	}
}

// exhausted returns the refusal of a request that no endpoint takes. A pool
// without endpoints, and one whose owners are changing, are told from one that is
// full: who looks for the cause goes to the list of endpoints or of routers, not
// to the load.
func (w *walk) exhausted() Refusal {
	code := w.last
	switch {
	case w.set.Len(w.req.Pool) == 0:
		code = Unlisted
	case w.unowned:
		code = NotOwner
	case code != Unreachable && code != Gone && code != Lost:
		code = Overloaded
	}
	return Refusal{Code: code, RetryAfter: noCandidateRetry}
}
