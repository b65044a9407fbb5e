package placement

import (
	"slices"
	"time"

	"wisteriaspool/coordination"
)

// Request describes a request to place.
type Request struct {
	Pool       coordination.Pool
	Key        Key  // of the chat, or of the content if there is no chat
	Hint       Hint // endpoint where the chat's context is cached
	SubsetKey  Key  // this router's key for [Set.Subset]
	SubsetSize int  // subset size for [Set.Subset]; zero to choose the endpoint by Key
	Account    coordination.Account
	Priority   coordination.Priority

	// Deadline is the time left in which the request must start; zero if it has
	// none of its own.
	Deadline time.Duration

	// Target is the time from the request's arrival within which its response has
	// to begin to meet the objective; zero for no objective. Waited is how much of
	// it has passed.
	Target, Waited time.Duration

	// Isolated marks a request that is suspected of crashing endpoints.
	Isolated bool

	// NonRetryable marks a request that cannot be retried after a failure, so that
	// it avoids endpoints suspected of failing.
	NonRetryable bool

	// NoWait makes Acquire refuse the request rather than wait in a queue.
	NoWait bool

	// Avoid lists endpoints that have already failed this request.
	Avoid []coordination.Endpoint

	// Continues marks a request that goes on with a stream. Only endpoints whose
	// software has Version may run it.
	Continues bool
	Version   coordination.SoftwareVersion

	// Allowed reports whether the request may run in an availability zone. Nil
	// allows all zones.
	Allowed func(coordination.Zone) bool
}

// allows reports whether the request may run in an availability zone.
func (r *Request) allows(zone coordination.Zone) bool { return r.Allowed == nil || r.Allowed(zone) }

// Refusal tells why a request got no grant, and when to retry.
type Refusal struct {
	Code       Code
	RetryAfter time.Duration
}

// ownerQuery is one query to one owner.
type ownerQuery struct {
	endpoint      *Descriptor
	owner         coordination.Instance
	deadline      Millis
	target        Millis
	wait          Millis
	final         bool
	allowOutliers bool
}

const (
	// maxFullReplies is how many full endpoints a request asks before it queues. In
	// a surge all are full, and asking more of them only adds traffic.
	maxFullReplies = 3

	// warmBias is how much longer a request waits at its first candidate, where its
	// chat may be cached, than at another.
	warmBias = 50 * time.Millisecond

	// noCandidateRetry is the RetryAfter of a request that no endpoint takes.
	noCandidateRetry = 500 * time.Millisecond
)

// walk iterates over the candidates of one request. It makes no calls: nextQuery
// returns the query to send, and handleReply takes the reply.
type walk struct {
	req     Request
	cfg     *Config
	set     *Set
	routers *Routers
	latest  func() *view // returns the current lists; nil if they do not change
	avoided *avoidTable  // endpoints known to reject requests as outliers; nil for none
	started time.Time

	list []*Descriptor
	buf  [inlineCandidates]*Descriptor
	at   int         // index of the current candidate; -1 before the first
	warm *Descriptor // endpoint that the hint names, or nil

	redirect      coordination.Instance
	redirectedAt  int // index of the candidate that was last redirected; -1 for none
	rounds        int
	resumeAt      time.Time // when a pause ends
	handover      handover
	stage         stage
	fullReplies   int
	otherReplies  bool // some reply had a reason other than Full
	unowned       bool // the owner of some endpoint disclaimed it
	asked         bool // some candidate was asked
	disallowed    bool // some candidate is in a zone where the request may not run
	outliers      int  // endpoints skipped for their failures
	allowOutliers bool // ask outliers too, since too many are known to skip them
	overBound     bool // some endpoint was over its bound, or its owner settling
	bestQueue     *Descriptor
	bestWait      Millis      // expected wait in that queue
	leastSlow     *Descriptor // replied Slow; has room within its bound
	leastExtra    Millis      // additional time that a request takes there
	lastCode      Code
	lost          []LostEndpoint // found dead, according to their owners
}

// stage is the progress of a walk.
type stage int

const (
	asking   stage = iota // asks each candidate once
	pausing               // held back until the owner has a new mean
	queueing              // in the queue of a full endpoint
)

// newWalk returns a walk for req that starts at now.
func newWalk(now time.Time, req Request, cfg *Config, set *Set, routers *Routers) *walk {
	w := &walk{req: req, cfg: cfg, set: set, routers: routers, started: now, at: -1, redirectedAt: -1}
	w.warm = w.warmEndpoint()
	w.list = w.candidates(w.buf[:0], cfg.Candidates)
	return w
}

// warmEndpoint returns the endpoint that the hint names, or nil if the request may
// not run there.
func (w *walk) warmEndpoint() *Descriptor {
	d := w.set.Warm(w.req.Pool, w.req.Hint)
	if d == nil || w.req.Continues && d.Version != w.req.Version {
		return nil
	}
	return d
}

// size returns the number of endpoints that may take the request.
func (w *walk) size() int {
	if w.req.Continues {
		return w.set.LenOfVersion(w.req.Pool, w.req.Version)
	}
	return w.set.Len(w.req.Pool)
}

// candidates appends to dst up to limit endpoints in the order to try them.
func (w *walk) candidates(dst []*Descriptor, limit int) []*Descriptor {
	if w.req.Continues {
		return w.set.CandidatesOfVersion(dst, w.req.Pool, w.req.Version, w.req.Key, w.req.Hint, limit)
	}
	if w.req.SubsetSize > 0 {
		return w.set.Subset(dst, w.req.Pool, w.req.SubsetKey, w.req.Key, w.req.SubsetSize, limit)
	}
	return w.set.Candidates(dst, w.req.Pool, w.req.Key, w.req.Hint, limit)
}

// nextQuery returns the next query, or false and the refusal if there is none.
func (w *walk) nextQuery(now time.Time) (ownerQuery, Refusal, bool) {
	deadline, late := w.remaining(now)
	switch {
	case late:
		return ownerQuery{}, Refusal{Code: Deadline, RetryAfter: minRetryAfter}, false
	case w.rounds > maxRounds:
		return ownerQuery{}, Refusal{Code: TooManyRounds, RetryAfter: minRetryAfter}, false
	}
	if w.redirect != "" {
		q := w.newQuery(now, w.list[w.at], deadline)
		q.owner, w.redirect = w.redirect, ""
		return q, Refusal{}, true
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
	if w.leastSlow != nil && w.rounds == 0 {
		return w.slowQuery(now), Refusal{}, true
	}
	return ownerQuery{}, w.exhaustedRefusal(), false
}

// remaining returns the time left in which the request must start. It reports late
// if there is none.
func (w *walk) remaining(now time.Time) (left Millis, late bool) {
	limit := w.cfg.MaxWait
	if d := w.req.Deadline; d > 0 && d < limit {
		limit = d
	}
	if t := w.req.Target; t > 0 {
		// A retry after a failed attempt gets at least t. The endpoint itself needs
		// part of the caller's deadline.
		limit = min(limit, max(maxTargetMultiple*t-w.req.Waited, t))
		if w.req.Deadline > 0 {
			limit = min(limit, w.req.Deadline/startDivisor)
		}
	}
	d := limit - now.Sub(w.started)
	return millis(d), d <= 0
}

// target returns the time left until the response has to begin, or zero if there is
// no objective. With an objective it is at least 1 ms.
func (w *walk) target(now time.Time) Millis {
	if w.req.Target <= 0 {
		return 0
	}
	return max(millis(w.req.Target-w.req.Waited-now.Sub(w.started)), 1)
}

// maxTargetMultiple is the maximum time that a request waits for its start, as a
// multiple of its target. Beyond that, its caller would soon give up waiting for the
// first byte.
const maxTargetMultiple = 2

// queueQuery returns the query that makes the request wait at an endpoint. With a
// bound above 1 some endpoint of the pool is under it, so if none that was asked is,
// the owners' mean lags behind a rising load: the request waits for the next exchange
// of sums and then asks all candidates again. In the queue of an endpoint over its
// bound it would wait while other endpoints are idle. A slow endpoint that has its share
// has room within the bound, where the request runs at once.
func (w *walk) queueQuery(now time.Time, d *Descriptor, deadline Millis) ownerQuery {
	w.bestQueue = nil
	overBound := w.overBound && w.leastSlow == nil
	if w.overBound && w.leastSlow != nil {
		d = w.leastSlow
	}
	if d == w.leastSlow {
		w.leastSlow = nil // asked for the last time
	}
	q := w.newQuery(now, d, deadline)
	if overBound {
		w.stage = pausing
		pause := w.meanPause()
		w.resumeAt = now.Add(pause)
		q.wait = millis(pause)
		return q
	}
	w.stage = queueing
	q.final = true
	return q
}

// slowQuery returns the query of a request that must not wait to a slow endpoint that has
// its share. It has room within the bound; if that is used up meanwhile, the deadline keeps
// the request from waiting there.
func (w *walk) slowQuery(now time.Time) ownerQuery {
	q := w.newQuery(now, w.leastSlow, 1)
	w.stage = queueing
	q.wait, q.final = 0, true
	return q
}

// maxMeanPause bounds the time for which a request waits for a new mean.
const maxMeanPause = 800 * time.Millisecond

// meanPause returns for how long a request waits for a new mean: one exchange of
// sums, doubled in each further round up to maxMeanPause. Under sustained load
// hundreds of requests wait and, if all asked after each exchange, would send their
// candidates more queries than owners can answer in time.
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

// maxRounds ends a walk that restarts without waiting and would otherwise loop forever.
const maxRounds = 200

// pause returns how long the entry has to wait before the next query. An owner whose
// queue is full does not hold the request back, and without a pause it would be asked
// again at once.
func (w *walk) pause(now time.Time) time.Duration {
	if w.stage != asking || w.at >= 0 {
		return 0
	}
	return max(w.resumeAt.Sub(now), 0)
}

// nextRound restarts the walk after a pause for a new mean.
func (w *walk) nextRound() {
	w.rounds++
	w.reset()
}

// reset restarts the walk with the current lists.
func (w *walk) reset() {
	if w.latest != nil {
		v := w.latest()
		w.set, w.routers = v.set, v.routers
		w.warm = w.warmEndpoint()
		w.list = w.candidates(w.list[:0], w.cfg.Candidates)
	}
	w.redirectedAt = -1
	w.stage, w.at, w.fullReplies = asking, -1, 0
	w.otherReplies, w.unowned, w.overBound, w.bestQueue, w.leastSlow = false, false, false, nil, nil
	w.outliers, w.allowOutliers = 0, false
}

// retryWithOutliers restarts the walk with outliers included if there are more of
// them than the pool can spare, if skipping them puts the others over their bound, or
// if there is no other endpoint to wait for. It reports whether it did.
func (w *walk) retryWithOutliers() bool {
	if w.allowOutliers || w.outliers == 0 {
		return false
	}
	if !w.tooManyOutliers() && !w.overBound && w.bestQueue != nil {
		return false
	}
	w.allowOutliers = true
	w.at, w.fullReplies, w.bestQueue, w.leastSlow = -1, 0, nil, nil
	w.overBound = false
	return true
}

// advance returns the next candidate to ask, or nil.
func (w *walk) advance(now time.Time) *Descriptor {
	if w.fullReplies >= maxFullReplies && w.bestQueue != nil || w.tooManyOutliers() {
		return nil
	}
	if w.at < 0 && w.avoided.outliers(now, w.req.Pool) > maxOutliers(w.set.Len(w.req.Pool)) {
		w.allowOutliers = true
	}
	for {
		w.at++
		if w.at >= len(w.list) && !w.extend() {
			return nil
		}
		d := w.list[w.at]
		if !w.req.allows(d.Zone) {
			w.disallowed, w.otherReplies = true, true
			continue
		}
		if slices.Contains(w.req.Avoid, d.ID) {
			continue
		}
		if w.allowOutliers || !w.avoided.contains(now, avoidKey{pool: w.req.Pool, endpoint: d.ID, nonRetryable: w.req.NonRetryable}) {
			return d
		}
		w.skipOutlier()
		if w.tooManyOutliers() {
			return nil
		}
	}
}

// tooManyOutliers reports whether more outliers were skipped than the pool can spare.
func (w *walk) tooManyOutliers() bool {
	return !w.allowOutliers && w.outliers > maxOutliers(w.size())
}

// skipOutlier counts the current candidate as skipped for its failures.
func (w *walk) skipOutlier() {
	w.outliers++
	w.otherReplies = true
}

// extendFactor limits the candidates asked in the first round if some are over their
// bound, as a multiple of the configured number. The limit grows with each round.
const extendFactor = 2

// extend makes the list of candidates longer. With a bound above 1 some endpoint is
// always under it, so the request goes on, but not through the whole pool at once:
// if a dozen endpoints are over the bound, then the mean lags behind a rising load,
// and the others are over it too.
func (w *walk) extend() bool {
	n := w.size()
	if w.overBound {
		n = min(n, w.cfg.Candidates*extendFactor*(w.rounds+1))
	}
	if len(w.list) >= n || len(w.list) > 0 && !w.otherReplies && w.fullReplies > 0 {
		return false
	}
	w.list = w.candidates(w.list[:0], min(2*len(w.list), n))
	return true
}

// newQuery returns the query to the owner of d.
func (w *walk) newQuery(now time.Time, d *Descriptor, deadline Millis) ownerQuery {
	q := ownerQuery{
		endpoint:      d,
		owner:         w.routers.Owner(d.ID, d.Zone),
		deadline:      deadline,
		target:        w.target(now),
		allowOutliers: w.allowOutliers,
	}
	if w.at == 0 && d == w.warm {
		q.wait = millis(w.cfg.WarmWait)
	}
	return q
}

// handleReply records the reply to the last query and reports whether it ends the
// walk.
func (w *walk) handleReply(q ownerQuery, r AdmitReply) bool {
	if w.fillsSlow(r) {
		return false
	}
	if r.Decision != Next {
		return true
	}
	w.lastCode, w.asked = r.Code, true
	if r.Code == EndpointLeaving || r.Code == EndpointLost || r.Code == EndpointEvacuated {
		w.req.Avoid = append(slices.Clip(w.req.Avoid), q.endpoint.ID)
	}
	if r.Code == EndpointLost {
		w.lost = append(w.lost, lostOf(q.endpoint))
	}
	if w.stage != asking {
		// The owner no longer holds the request back; other endpoints may have room now.
		w.nextRound()
		return false
	}
	switch r.Code {
	case Full:
		w.fullReplies++
		w.considerQueue(q, r.RetryAfter)
	case OverBound, Settling:
		w.otherReplies, w.overBound = true, true
		w.considerQueue(q, r.RetryAfter)
	case NotOwner:
		w.otherReplies, w.unowned = true, true
		w.followRedirect(q, r.Owner)
	case Outlier:
		w.skipOutlier()
	case Cold:
		w.otherReplies = true
		w.considerQueue(q, r.RetryAfter)
	case Slow:
		w.otherReplies = true
		w.considerQueue(q, r.RetryAfter)
		w.considerSlow(q, r.RetryAfter)
	default:
		w.otherReplies = true
	}
	return false
}

// followRedirect asks the router that the replying one names as the owner, once for
// each candidate: while router lists differ, two routers may name each other.
func (w *walk) followRedirect(q ownerQuery, owner coordination.Instance) {
	if owner != "" && owner != q.owner && w.redirectedAt != w.at {
		w.redirect, w.redirectedAt = owner, w.at
	}
}

// considerQueue keeps the endpoint with the shortest expected wait to queue at.
func (w *walk) considerQueue(q ownerQuery, wait Millis) {
	if w.at > 0 {
		wait += millis(warmBias)
	}
	if w.bestQueue == nil || wait < w.bestWait {
		w.bestQueue, w.bestWait = q.endpoint, wait
	}
}

// considerSlow keeps the least slow of the endpoints that have their share of the load.
func (w *walk) considerSlow(q ownerQuery, extra Millis) {
	if w.leastSlow == nil || extra < w.leastExtra {
		w.leastSlow, w.leastExtra = q.endpoint, extra
	}
}

// fillsSlow reports whether a request that is refused in the queue of an endpoint goes to
// a slow one instead, which has places that would stay empty. In a pool with too little
// room a request that is late is better than one that is refused.
func (w *walk) fillsSlow(r AdmitReply) bool {
	if r.Decision != Refused || w.stage != queueing || w.leastSlow == nil || w.req.NoWait || r.Code != Deadline && r.Code != Overloaded {
		return false
	}
	w.bestQueue, w.leastSlow = w.leastSlow, nil
	return true
}

// exhaustedRefusal returns the refusal of a request that no endpoint takes. It distinguishes
// an empty pool and changing owners from a full pool, so that operators look at the
// list of endpoints or of routers and not at the load.
func (w *walk) exhaustedRefusal() Refusal {
	code := w.lastCode
	switch {
	case w.set.Len(w.req.Pool) == 0 && w.set.evacuated[w.req.Pool] > 0:
		code = EndpointEvacuated
	case w.set.Len(w.req.Pool) == 0:
		code = NoKnownEndpoint
	case w.size() == 0:
		code = VersionGone
	case w.disallowed && !w.asked:
		code = ZoneNotAllowed
	case w.unowned:
		code = NotOwner
	case code != Unreachable && code != EndpointLeaving && code != EndpointLost && code != EndpointEvacuated:
		code = Overloaded
	}
	return Refusal{Code: code, RetryAfter: noCandidateRetry}
}
