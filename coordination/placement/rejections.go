package placement

import (
	"slices"
	"time"

	"wisteriaspool/coordination"
)

// Endpoints of a pool may crash if they reject more than a number of requests within a
// second, and say so ([Owner.LimitRejections]). Their owners then keep
//
//	rejected within rejectionWindow + unsettled <= rejectionShare * limit
//
// as they grant a request, where the unsettled grants are those that are younger than
// settleTime and held: a rejection that is on its way belongs to one of these. So an
// endpoint whose rejections are known within settleTime rejects at most the limit within
// a second, however many it rejects, and one at most where the share is less than one.
// Owners that may not be the only ones use a part of it, as for cold endpoints. Entries
// that cannot reach the owner place nothing there.
const (
	// rejectionWindow is a second and the time by which rejections are known late.
	rejectionWindow = 1250 * time.Millisecond

	// settleTime is how long it takes until an owner knows that an endpoint has
	// rejected a request: the way of the grant, a new connection, the way of the
	// release.
	settleTime = 200 * time.Millisecond

	// rejectionShare is the part of the limit that is used. The rest is for probes
	// and other requests that are not granted.
	rejectionShare = 0.8
)

// LimitRejections sets how many requests within a second each endpoint of a pool may
// reject, until a time. Zero requests end the limit.
func (o *Owner) LimitRejections(name coordination.Pool, limit int, until time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.poolLoad(name).limitRejections(limit, until)
}

// rejectionsLimited reports whether the endpoints of a pool may reject only some requests.
func (o *Owner) rejectionsLimited(now time.Time, name coordination.Pool) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	p := o.pools[name]
	return p != nil && p.rejectionLimit(now) > 0
}

func (p *poolLoad) limitRejections(limit int, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxRejections, p.rejectionsUntil = limit, until
}

// rejectionLimit returns how many requests within a second an endpoint of the pool may
// reject, or zero for any number.
func (p *poolLoad) rejectionLimit(now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !now.Before(p.rejectionsUntil) {
		return 0
	}
	return p.maxRejections
}

// recordRejection records that the endpoint has rejected a request.
func (l *endpointLoad) recordRejection(now time.Time) {
	l.rejections = append(l.recentRejections(now), now)
}

// recentRejections returns the rejections within rejectionWindow.
func (l *endpointLoad) recentRejections(now time.Time) []time.Time {
	return slices.DeleteFunc(l.rejections, func(at time.Time) bool { return now.Sub(at) >= rejectionWindow })
}

// rejectionsPermit reports whether the endpoint may take a request now, given how many
// it may reject.
func (l *endpointLoad) rejectionsPermit(now time.Time) bool {
	limit := l.pool.rejectionLimit(now)
	if limit == 0 {
		return true
	}
	share := rejectionShare * l.pool.fleetShare()
	if l.isNewOwner(now) {
		share *= coldNewShare
	}
	l.rejections = l.recentRejections(now)
	unsettled := 0
	for _, g := range l.grants {
		if now.Sub(g.start) < settleTime {
			unsettled++
		}
	}
	return len(l.rejections)+unsettled < max(int(share*float64(limit)), 1)
}
