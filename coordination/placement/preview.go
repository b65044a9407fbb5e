package placement

import (
	"context"
	"errors"
	"maps"
	"math"
	"slices"
	"time"

	"wisteriaspool/coordination"
)

// TopicPreview is the topic of a [PreviewRequest] to the owner of an endpoint.
const TopicPreview = "place-preview"

// PreviewRequest asks the owner of an endpoint how it would decide a request for a grant
// now. Nothing changes at the owner.
type PreviewRequest struct {
	// Admit is the request for a grant. It has no sequence number and no releases.
	Admit AdmitRequest `cbor:"1,keyasint"`
}

// PreviewReply answers a PreviewRequest.
type PreviewReply struct {
	// Reply is the decision. If Queued is set there is none yet: the request would wait
	// at the endpoint.
	Reply  AdmitReply `cbor:"1,keyasint"`
	Queued bool       `cbor:"2,keyasint,omitempty"`

	Load     int    `cbor:"3,keyasint,omitempty"` // requests at the endpoint
	Bound    int    `cbor:"4,keyasint,omitempty"` // largest load that the pool's bound allows
	Capacity int    `cbor:"5,keyasint,omitempty"` // requests that may be sent there; zero for any number
	Queue    int    `cbor:"6,keyasint,omitempty"` // requests that wait
	Wait     Millis `cbor:"7,keyasint,omitempty"` // expected time until the request would start
	Cold     bool   `cbor:"8,keyasint,omitempty"`

	// SumsAge is the time since the pool's root last answered, and zero if SumsUnknown.
	SumsAge     Millis `cbor:"9,keyasint,omitempty"`
	SumsUnknown bool   `cbor:"10,keyasint,omitempty"`

	// Pace is the pace of the endpoint in percent, Measured the number of concurrent
	// requests that it was measured to handle well, and EstimateAge the age of both.
	// They are zero if nothing was measured.
	Pace        Percent `cbor:"11,keyasint,omitempty"`
	Measured    int     `cbor:"12,keyasint,omitempty"`
	EstimateAge Millis  `cbor:"13,keyasint,omitempty"`
}

// Encode returns m as CBOR.
func (m PreviewRequest) Encode() []byte { return encode(m) }

// Encode returns m as CBOR.
func (m PreviewReply) Encode() []byte { return encode(m) }

// DecodePreviewRequest returns the request in b. The error is of type [ErrMalformed].
func DecodePreviewRequest(b []byte) (m PreviewRequest, err error) {
	err = decode(b, &m)
	return m, err
}

// DecodePreviewReply returns the reply in b. The error is of type [ErrMalformed].
func DecodePreviewReply(b []byte) (m PreviewReply, err error) {
	err = decode(b, &m)
	return m, err
}

// HandlePreview handles a message on [TopicPreview]. It returns an encoded
// [PreviewReply], or an error of type [ErrMalformed].
func (o *Owner) HandlePreview(_ context.Context, payload []byte) ([]byte, error) {
	m, err := DecodePreviewRequest(payload)
	if err != nil {
		return nil, err
	}
	return o.Preview(m).Encode(), nil
}

// Preview returns how [Owner.Admit] would decide a request now. It changes nothing.
func (o *Owner) Preview(req PreviewRequest) PreviewReply { return o.preview(time.Now(), req.Admit) }

// preview decides with the functions of submit, on a copy of the endpoint's state.
func (o *Owner) preview(now time.Time, req AdmitRequest) PreviewReply {
	cfg, zone := o.cfg.Load(), o.zoneOf(req.Entry)
	req.Sequence, req.Releases = 0, nil
	l := o.copyLoad(req.Endpoint)
	if l == nil {
		return PreviewReply{Reply: o.notOwnerReply(now, req)}
	}
	p := l.describe(now, &req, cfg)
	if wait, avoid := l.mustAvoid(now, &req, zone); avoid {
		p.Reply = AdmitReply{Decision: Next, Code: Outlier, RetryAfter: millis(wait)}
		return p
	}
	var w *waiter
	p.Reply, w = l.submit(now, req, cfg)
	if w != nil {
		p.Queued = true
		p.Wait = millis(time.Duration(l.queue.ahead(now, w)+1) * l.startInterval(now, len(l.grants), cfg))
	}
	return p
}

// copyLoad returns a copy of the state of an endpoint, or nil if it is not owned.
func (o *Owner) copyLoad(id coordination.Endpoint) *endpointLoad {
	s := o.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.loads[id]
	if l == nil {
		return nil
	}
	return l.clone()
}

// describe returns the state of the endpoint as a preview shows it.
func (l *endpointLoad) describe(now time.Time, req *AdmitRequest, cfg *Config) PreviewReply {
	p := PreviewReply{
		Load:  l.count(now, cfg),
		Bound: l.pool.boundFor(now, l.weightFor(now, req, cfg), cfg),
		Queue: l.queue.size,
		Wait:  l.nextReply(now, None, req, cfg).RetryAfter,
		Cold:  l.coldInterval(now, cfg) > 0,
	}
	if st, ok := l.capacityStatus(now, cfg); ok {
		p.Pace = percentOf(float64(st.Pace))
		if st.Limit > 0 && st.Limit != st.Slots {
			p.Measured = st.Limit
		}
		p.EstimateAge = millis(l.estimate.Snapshot(now).Age)
	}
	if l.capacity() != math.MaxInt {
		p.Capacity = l.sendLimit(now, cfg)
	}
	if p.SumsUnknown = l.pool.lastReply.IsZero(); !p.SumsUnknown {
		p.SumsAge = millis(now.Sub(l.pool.lastReply))
	}
	return p
}

// clone returns a copy of l that shares nothing which submit changes. Waiting requests
// of the copy have channels of their own, so that none of them gets a reply.
func (l *endpointLoad) clone() *endpointLoad {
	c := *l
	c.pool = l.pool.clone()
	c.grants = maps.Clone(l.grants)
	c.queue = l.queue.clone()
	c.rejections = slices.Clone(l.rejections)
	c.ended = slices.Clone(l.ended)
	c.released = nil // preview requests have no sequence number
	c.detector = l.detector.Clone()
	return &c
}

func (p *poolLoad) clone() *poolLoad {
	p.mu.Lock()
	defer p.mu.Unlock()
	return &poolLoad{poolState: p.poolState}
}

func (q *fairQueue) clone() fairQueue {
	c := *q
	c.flows = make(map[coordination.Account]*flow, len(q.flows))
	for account, f := range q.flows {
		own := *f
		own.items = make([]*waiter, len(f.items))
		for i, w := range f.items {
			each := *w
			each.done = make(chan AdmitReply, 1)
			own.items[i] = &each
		}
		c.flows[account] = &own
	}
	return c
}

// Skip is why a router does not ask the owner of a candidate.
type Skip string

// The reasons to skip a candidate.
const (
	Asked          Skip = ""
	SkippedOutlier Skip = "outlier"            // avoided for its failures
	SkippedRegion  Skip = "region-not-allowed" // the request may not run there
	SkippedAvoid   Skip = "avoided"            // listed in Request.Avoid
	NotReached     Skip = "not-reached"        // the request would be decided before; its owner is asked all the same
)

// Answer is how an owner replied to a preview.
type Answer string

// The answers of owners.
const (
	Answered   Answer = "answered"
	NoAnswer   Answer = "no-answer"   // the router decides without the owner
	NotAsked   Answer = "not-asked"   // the owner has lately not answered, or there is none
	NotHandled Answer = "not-handled" // an older version, which decides requests but no previews
)

// CandidatePreview is one candidate of a request, in the order of its walk.
type CandidatePreview struct {
	Endpoint Descriptor
	Rank     int
	Warm     bool // the hint names it
	Owner    coordination.Instance
	Skip     Skip
	Answer   Answer // empty for a candidate whose owner was not asked
	Final    bool   // the reply is to a request that has no other candidate left
	Reply    PreviewReply
}

// Preview is what would become of a request now.
type Preview struct {
	Candidates []CandidatePreview

	// Chosen is the endpoint that would run the request, or where it would wait if
	// Waits. It is nil if the request would be refused or if the outcome is Unknown.
	Chosen  *Descriptor
	Waits   bool
	Unknown bool // an owner of an older version decides
	Refusal Refusal
}

// previewTimeout is how long an owner has for its reply to a preview.
const previewTimeout = admitTimeout

// unhandled is implemented by errors of calls that the other router has no handler for.
type unhandled interface{ Unhandled() bool }

// Preview returns what [Entry.Acquire] would do with a request now. It takes no grant and
// changes nothing, neither here nor at owners. It does not wait: if the request would, the
// preview ends there.
func (e *Entry) Preview(ctx context.Context, req Request) Preview {
	cfg, v := e.cfg.Load(), e.view.Load()
	w := newWalk(time.Now(), req, cfg, v.set, v.routers)
	w.avoided = &e.avoided
	p := &previewWalk{entry: e, walk: w, req: req, cfg: cfg, asked: make(map[coordination.Endpoint]CandidatePreview)}
	out := p.run(ctx)
	out.Candidates = p.candidates(ctx)
	return out
}

// previewWalk is a walk whose queries are previews.
type previewWalk struct {
	entry *Entry
	walk  *walk
	req   Request
	cfg   *Config
	asked map[coordination.Endpoint]CandidatePreview
}

// run walks until the request would be granted, refused or made to wait.
func (p *previewWalk) run(ctx context.Context) Preview {
	for {
		q, refusal, ok := p.walk.nextQuery(time.Now())
		if !ok {
			return Preview{Refusal: refusal}
		}
		c := p.ask(ctx, q)
		r := c.Reply.Reply
		switch {
		case c.Answer == NotHandled:
			return Preview{Unknown: true}
		case c.Reply.Queued:
			return Preview{Chosen: q.endpoint, Waits: true}
		case p.walk.stage != asking && r.Decision == Next:
			// The request would pause and begin again.
			return Preview{Chosen: q.endpoint, Waits: true}
		case !p.walk.handleReply(q, r):
			continue
		case r.Decision == Granted:
			return Preview{Chosen: q.endpoint}
		default:
			return Preview{Refusal: Refusal{Code: r.Code, RetryAfter: r.RetryAfter.Duration()}}
		}
	}
}

// ask previews one query.
func (p *previewWalk) ask(ctx context.Context, q ownerQuery) CandidatePreview {
	c := CandidatePreview{Owner: q.owner, Final: q.final}
	c.Answer, c.Reply = p.entry.previewQuery(ctx, p.req, q, p.cfg)
	p.asked[q.endpoint.ID] = c
	return c
}

// candidates lists the candidates. Owners of those that the walk has not reached are asked
// too, so that operators see where else the request could run.
func (p *previewWalk) candidates(ctx context.Context) []CandidatePreview {
	now, w := time.Now(), p.walk
	var all []CandidatePreview
	for rank, d := range w.list {
		c, ok := p.asked[d.ID]
		switch {
		case ok:
		case !w.req.allows(d.Zone):
			c.Skip = SkippedRegion
		case slices.Contains(p.req.Avoid, d.ID):
			c.Skip = SkippedAvoid
		case !w.allowOutliers && w.avoided.contains(now, avoidKey{pool: p.req.Pool, endpoint: d.ID, nonRetryable: p.req.NonRetryable}):
			c.Skip = SkippedOutlier
		default:
			c = p.ask(ctx, w.newQuery(now, d, millis(p.cfg.MaxWait)))
			c.Skip = NotReached
		}
		c.Endpoint, c.Rank, c.Warm = *d, rank, d == w.warm
		if c.Owner == "" {
			c.Owner = w.routers.Owner(d.ID, d.Zone)
		}
		all = append(all, c)
	}
	return all
}

// previewQuery asks one owner, or decides as sendQuery does without it.
func (e *Entry) previewQuery(ctx context.Context, req Request, q ownerQuery, cfg *Config) (Answer, PreviewReply) {
	m := PreviewRequest{Admit: newAdmitRequest(e.id, 0, req, q)}
	if q.owner == e.id.Instance {
		return Answered, e.local.Preview(m)
	}
	if q.owner == "" || e.fallback.previewBackoff(time.Now(), q.owner) {
		return NotAsked, e.previewWithoutOwner(ctx, req, q, cfg)
	}
	calling, cancel := context.WithTimeout(ctx, previewTimeout)
	defer cancel()
	b, err := e.transport.Call(calling, q.owner, TopicPreview, m.Encode())
	if u := unhandled(nil); errors.As(err, &u) && u.Unhandled() {
		return NotHandled, PreviewReply{}
	}
	if err == nil {
		var r PreviewReply
		if r, err = DecodePreviewReply(b); err == nil {
			return Answered, r
		}
	}
	return NoAnswer, e.previewWithoutOwner(ctx, req, q, cfg)
}

// previewWithoutOwner returns what the entry would decide without the owner. The grant
// that it decides for is not in the table of grants. If the decision depends on a report
// that would have to be requested from the endpoint, it is shown as declined.
func (e *Entry) previewWithoutOwner(ctx context.Context, req Request, q ownerQuery, cfg *Config) PreviewReply {
	if e.loads != nil {
		return PreviewReply{Reply: AdmitReply{Decision: Next, Code: Unreachable}}
	}
	g := &Grant{entry: e, Endpoint: *q.endpoint, isolated: req.Isolated}
	return PreviewReply{Reply: e.decideWithoutOwner(ctx, g, q, cfg)}
}

// newAdmitRequest returns the message for a query to an owner.
func newAdmitRequest(id EntryID, n Sequence, req Request, q ownerQuery) AdmitRequest {
	return AdmitRequest{
		Entry:        id,
		Sequence:     n,
		Endpoint:     q.endpoint.ID,
		Incarnation:  q.endpoint.Incarnation,
		Account:      req.Account,
		Priority:     req.Priority,
		Deadline:     q.deadline,
		Wait:         q.wait,
		Final:        q.final,
		Isolated:     req.Isolated,
		NonRetryable: req.NonRetryable,
		AllowOutlier: q.allowOutliers,
		Target:       q.target,
	}
}
