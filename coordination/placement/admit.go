package placement

import (
	"context"
	"time"
)

// queueCheckInterval is how often a waiting request checks whether the mean has
// risen or the endpoint has stalled. The end of a request processes the queue directly.
const queueCheckInterval = 25 * time.Millisecond

// Admit decides a request for a grant. It returns at once unless the request
// has to wait in the queue of its endpoint; then it blocks until the request is
// granted, sent on to its next candidate, or certain not to start in time. If ctx
// ends first, the request is removed and the reply is Refused with Cancelled.
func (o *Owner) Admit(ctx context.Context, req AdmitRequest) AdmitReply {
	r, w := o.submit(time.Now(), req)
	if w != nil {
		r = o.await(ctx, w)
	}
	o.decisions.add(r)
	return r
}

// await blocks until a queued request has a reply.
func (o *Owner) await(ctx context.Context, w *waiter) AdmitReply {
	t := time.NewTicker(queueCheckInterval)
	defer t.Stop()
	var holdEnd <-chan time.Time
	if !w.req.Final {
		holdEnd = time.After(time.Until(w.holdUntil))
	}
	for {
		select {
		case r := <-w.done:
			return r
		case <-t.C:
			o.processQueueIfDue(time.Now(), w)
		case <-holdEnd:
			o.processQueue(time.Now(), w)
		case <-ctx.Done():
			o.end(time.Now(), w.id, Release{Endpoint: w.req.Endpoint})
			return AdmitReply{Decision: Refused, Code: Cancelled}
		}
	}
}

// processQueueIfDue dispatches and prunes the queue that w waits in, unless that
// was done for another request there within the last half queueCheckInterval.
func (o *Owner) processQueueIfDue(now time.Time, w *waiter) {
	s := o.shard(w.req.Endpoint)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.loads[w.req.Endpoint]
	if l != nil && now.Sub(l.lastDispatch) >= queueCheckInterval/2 {
		l.dispatch(now, o.cfg.Load())
	}
}

// processQueue dispatches and prunes the queue that w waits in.
func (o *Owner) processQueue(now time.Time, w *waiter) {
	s := o.shard(w.req.Endpoint)
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.loads[w.req.Endpoint]; l != nil {
		l.dispatch(now, o.cfg.Load())
	}
}

// submit decides a request, or queues it and returns its waiter.
func (o *Owner) submit(now time.Time, req AdmitRequest) (AdmitReply, *waiter) {
	o.entryAlive(now, req.Entry)
	for _, r := range req.Releases {
		o.recordEvidence(now, r.notice(), req.Entry)
		o.end(now, GrantID{Entry: req.Entry, Sequence: r.Sequence}, r)
	}
	zone := o.zoneOf(req.Entry)
	s := o.shard(req.Endpoint)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.loads[req.Endpoint]
	if l == nil {
		return o.notOwnerReply(now, req), nil
	}
	if wait, avoid := l.mustAvoid(now, &req, zone); avoid {
		return AdmitReply{Decision: Next, Code: Outlier, RetryAfter: millis(wait)}, nil
	}
	return l.submit(now, req, o.cfg.Load())
}

// notOwnerReply returns the reply for an endpoint that this router does not own. One that
// it does not know may be new, or listed again after its removal, and is reported as lost
// only for Config.LostTTL after that.
func (o *Owner) notOwnerReply(now time.Time, req AdmitRequest) AdmitReply {
	v := o.view.Load()
	d := v.set.Find(req.Endpoint)
	if d != nil {
		return AdmitReply{Decision: Next, Code: NotOwner, Owner: v.routers.Owner(d.ID, d.Zone)}
	}
	if r, ok := v.removed[req.Endpoint]; ok && req.Incarnation <= r.incarnation && now.Sub(r.at) < o.cfg.Load().LostTTL {
		return AdmitReply{Decision: Next, Code: EndpointLost}
	}
	return AdmitReply{Decision: Next, Code: NotOwner}
}

// submit decides a request for this endpoint, or queues it and returns its waiter.
// A repeated request is Granted if its grant is held, and Refused with Cancelled if
// it has been released.
func (l *endpointLoad) submit(now time.Time, req AdmitRequest, cfg *Config) (AdmitReply, *waiter) {
	id := GrantID{Entry: req.Entry, Sequence: req.Sequence}
	if _, ok := l.grants[id]; ok {
		return AdmitReply{Decision: Granted}, nil
	}
	if _, ok := l.released[id]; ok {
		return AdmitReply{Decision: Refused, Code: Cancelled}, nil
	}
	if code := l.checkAvailable(now, req, cfg); code != None {
		return AdmitReply{Decision: Next, Code: code}, nil
	}
	l.dispatch(now, cfg)
	code := l.checkCapacity(now, &req, cfg)
	if code == None {
		r, ok := l.grant(now, id, &req, cfg)
		if ok {
			return r, nil
		}
		code = l.boundCode(now, &req, cfg)
	}
	if !req.Final && (req.Wait == 0 || code == Slow) {
		return l.nextReply(now, code, &req, cfg), nil
	}
	return l.enqueue(now, id, req, cfg)
}

// checkAvailable returns why the endpoint can take no new requests at all, or None.
func (l *endpointLoad) checkAvailable(now time.Time, req AdmitRequest, cfg *Config) Code {
	switch {
	case req.Incarnation > l.desc.Incarnation:
		return NotOwner // this router has not learned of the restart yet
	case req.Incarnation != 0 && req.Incarnation != l.desc.Incarnation:
		return EndpointLost
	case l.leaving:
		return EndpointLeaving
	case l.desc.State == Evacuated:
		return EndpointEvacuated
	case l.isLost(now, cfg):
		return EndpointLost
	default:
		return None
	}
}

// checkCapacity returns why the endpoint cannot take one more request now, or
// None. It does not check the bound, which grant checks and counts in one step.
func (l *endpointLoad) checkCapacity(now time.Time, req *AdmitRequest, cfg *Config) Code {
	switch {
	case l.settling(now, cfg):
		return Settling
	case req.Isolated && l.isolated > 0:
		return Full
	case l.count(now, cfg) >= l.sendLimit(now, cfg):
		return Full
	case !l.coldPermits(now, cfg):
		return Cold
	case !l.rejectionsPermit(now):
		return Full
	default:
		return None
	}
}

// grant counts the request unless the endpoint would exceed its bound. It returns
// the reply to the request and whether it is granted.
func (l *endpointLoad) grant(now time.Time, id GrantID, req *AdmitRequest, cfg *Config) (AdmitReply, bool) {
	l.refresh(now, cfg)
	limit, ok := l.pool.admit(now, l.count(now, cfg), l.weightFor(now, req, cfg), cfg)
	if !ok {
		return AdmitReply{}, false
	}
	l.countedInPool++
	l.addGrant(now, id, activeGrant{start: now, isolated: req.Isolated, running: l.count(now, cfg) + 1})
	r := AdmitReply{Decision: Granted, Limit: limit, Cold: l.recordColdGrant(now, cfg)}
	l.tellCapacity(now, &r, cfg)
	return r, true
}

// nextReply returns the reply that sends a request on to its next candidate. Its
// RetryAfter is the expected wait here, given the share of the client account.
func (l *endpointLoad) nextReply(now time.Time, code Code, req *AdmitRequest, cfg *Config) AdmitReply {
	wait := l.extraTime(now, cfg)
	if code != Slow {
		wait += time.Duration(l.queue.aheadOf(now, req)+1) * l.startInterval(now, len(l.grants), cfg)
	}
	r := AdmitReply{Decision: Next, Code: code, RetryAfter: millis(wait)}
	l.tellCapacity(now, &r, cfg)
	return r
}

// drainTime returns the expected time until the present queue has been served.
func (l *endpointLoad) drainTime(now time.Time, cfg *Config) time.Duration {
	return time.Duration(l.queue.size+1) * l.startInterval(now, len(l.grants), cfg)
}

// startInterval returns the expected time between two starts of waiting requests
// at the endpoint while it runs n.
func (l *endpointLoad) startInterval(now time.Time, n int, cfg *Config) time.Duration {
	return max(l.service.completionInterval(now, n), l.coldInterval(now, cfg))
}

// startDivisor divides the time to a request's objective: the request has to start
// within that part to meet it, since the endpoint needs the rest.
const startDivisor = 2

// enqueue queues a request, unless it cannot start in time.
func (l *endpointLoad) enqueue(now time.Time, id GrantID, req AdmitRequest, cfg *Config) (AdmitReply, *waiter) {
	w := &waiter{req: req, id: id, arrived: now, done: make(chan AdmitReply, 1)}
	l.arrived++
	w.order = l.arrived
	w.deadline = now.Add(cfg.MaxWait)
	if d := req.Deadline.Duration(); d > 0 && d < cfg.MaxWait {
		w.deadline = now.Add(d)
	}
	if t := req.Target.Duration(); t > 0 {
		w.startBy = now.Add(t / startDivisor)
	}
	if !req.Final {
		w.holdUntil = now.Add(min(req.Wait.Duration(), cfg.MaxWait))
	}
	if l.queue.len(req.Account) >= cfg.AccountQueueLimit {
		return l.queueFullReply(now, w, cfg), nil
	}
	l.queue.push(w, cfg.weightOf(req.Account))
	if l.queue.size > cfg.QueueLimit {
		last := l.queue.longest()
		l.queue.remove(last)
		last.reply(l.queueFullReply(now, last, cfg))
	}
	l.prune(now, cfg)
	select {
	case r := <-w.done:
		return r, nil
	default:
		return AdmitReply{}, w
	}
}

// queueFullReply returns the reply to a request that finds the queue full. Only a
// final request is refused: others still have candidates left.
func (l *endpointLoad) queueFullReply(now time.Time, w *waiter, cfg *Config) AdmitReply {
	if w.req.Final {
		return l.refusalReply(now, Overloaded, cfg)
	}
	return l.nextReply(now, Full, &w.req, cfg)
}

// dispatch grants waiting requests while the endpoint has room. If it has room but
// is over its bound, other endpoints of the pool carry less, so the waiting
// requests are sent on to them.
func (l *endpointLoad) dispatch(now time.Time, cfg *Config) {
	l.lastDispatch = now
	for l.queue.size > 0 {
		w := l.queue.next(now, func(w *waiter) bool {
			return l.checkCapacity(now, &w.req, cfg) == None
		})
		if w == nil {
			break
		}
		r, ok := l.grant(now, w.id, &w.req, cfg)
		if !ok && l.boundCode(now, &w.req, cfg) == Slow {
			// Requests without another candidate may still be granted here.
			l.queue.remove(w)
			w.reply(l.nextReply(now, Slow, &w.req, cfg))
			continue
		}
		if !ok {
			l.replyNextToAll(OverBound)
			break
		}
		l.queue.serve(w)
		w.reply(r)
	}
	l.prune(now, cfg)
}

// prune replies to the waiting requests whose time is up, and to those that can no
// longer start in time: a caller that is told early can still go elsewhere.
func (l *endpointLoad) prune(now time.Time, cfg *Config) {
	if l.queue.size == 0 {
		return
	}
	gap := l.startInterval(now, l.count(now, cfg), cfg)
	for _, w := range l.queue.waiters() {
		if !w.req.Final {
			l.pruneNonFinal(now, w, cfg)
			continue
		}
		start := now.Add(time.Duration(l.queue.ahead(now, w)+1) * gap)
		if !start.Before(w.deadline) {
			l.queue.remove(w)
			w.reply(l.refusalReply(now, Deadline, cfg))
		}
	}
}

// pruneNonFinal sends a request that is not final on once its time is up.
func (l *endpointLoad) pruneNonFinal(now time.Time, w *waiter, cfg *Config) {
	if !now.Before(w.holdUntil) || !now.Before(w.deadline) {
		l.queue.remove(w)
		w.reply(l.nextReply(now, Full, &w.req, cfg))
	}
}

// Limits of the RetryAfter of a refusal.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// refusalReply returns a refusal whose RetryAfter is the expected time until the
// present queue has drained.
func (l *endpointLoad) refusalReply(now time.Time, code Code, cfg *Config) AdmitReply {
	wait := min(max(l.drainTime(now, cfg), minRetryAfter), maxRetryAfter)
	return AdmitReply{Decision: Refused, Code: code, RetryAfter: millis(wait)}
}

// replyNextToAll removes all waiting requests and replies Next to them.
func (l *endpointLoad) replyNextToAll(code Code) {
	for _, w := range l.queue.waiters() {
		l.queue.remove(w)
		w.reply(AdmitReply{Decision: Next, Code: code})
	}
}

// retire removes the endpoint from its pool's sum and empties its queue, before
// the owner deletes it.
func (l *endpointLoad) retire(code Code) {
	l.markLeaving()
	l.replyNextToAll(code)
}
