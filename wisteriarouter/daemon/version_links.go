package daemon

import (
	"maps"
	"slices"
	"strings"
	"time"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/route"
)

// poolLinks holds, for each pool, those that the streams of its routes may have begun in, or
// may go on in, as a route is divided among them or was moved from one to the other. The time is
// when that ended; it is zero while it lasts. Links are symmetric.
type poolLinks map[coordination.Pool]map[coordination.Pool]time.Time

// update links the pools that share a route now, and those of which a route was moved. The
// former table is nil for the first one.
func (l poolLinks) update(now time.Time, former, current *route.Table) {
	for _, linked := range l {
		for q, ended := range linked {
			if ended.IsZero() {
				linked[q] = now
			}
		}
	}
	formerByHost := make(map[string][]*route.Route)
	for _, f := range resumableRoutes(former) {
		formerByHost[f.Host] = append(formerByHost[f.Host], f)
	}
	for _, r := range resumableRoutes(current) {
		pools := r.Pools()
		l.connect(pools, pools, time.Time{})
		var whole *route.Route // that had all paths of r
		if former != nil {
			whole = former.Match(r.Host, r.Prefix)
		}
		for _, f := range formerByHost[r.Host] {
			if f == whole || strings.HasPrefix(f.Prefix, r.Prefix) && current.Match(f.Host, f.Prefix) == r {
				l.connect(pools, f.Pools(), now)
			}
		}
	}
}

// resumableRoutes returns the routes of a table, which may be nil, whose streams may be taken up.
func resumableRoutes(t *route.Table) (routes []*route.Route) {
	if t == nil {
		return nil
	}
	for i := range t.Routes {
		if t.Routes[i].Resumable {
			routes = append(routes, &t.Routes[i])
		}
	}
	return routes
}

// connect links each pool of a to each other one of b. A link that lasts stays.
func (l poolLinks) connect(a, b []coordination.Pool, ended time.Time) {
	for _, p := range a {
		for _, q := range b {
			l.set(p, q, ended)
			l.set(q, p, ended)
		}
	}
}

func (l poolLinks) set(p, q coordination.Pool, ended time.Time) {
	if p == q {
		return
	}
	if l[p] == nil {
		l[p] = make(map[coordination.Pool]time.Time)
	}
	if at, ok := l[p][q]; !ok || !at.IsZero() {
		l[p][q] = ended
	}
}

// recent returns the pools that a pool is linked to, or was within maxStreamAge, with the time
// when that ended.
func (l poolLinks) recent(now time.Time, pool coordination.Pool) map[coordination.Pool]time.Time {
	maps.DeleteFunc(l[pool], func(_ coordination.Pool, ended time.Time) bool {
		return !ended.IsZero() && now.Sub(ended) > maxStreamAge
	})
	return l[pool]
}

// applyRoutes takes note of the pools of the routes. It is called before a new table is in
// force.
func (h *versionHistory) applyRoutes(former, current *route.Table) {
	h.mu.Lock()
	now := time.Now()
	mixed := h.mixed(now)
	if h.links == nil {
		h.links = make(poolLinks)
	}
	h.links.update(now, former, current)
	h.mu.Unlock()
	h.signalChange()
	h.reportMixed(mixed)
}

// lastLinked returns when a pool was last linked to one whose endpoints have, or had lately,
// another version, or zero if it never was. The caller holds h.mu.
func (h *versionHistory) lastLinked(now time.Time, pool coordination.Pool) (last time.Time) {
	own := make(versionSet)
	h.addOwn(now, pool, own)
	for q, ended := range h.links.recent(now, pool) {
		others := make(versionSet)
		h.addOwn(now, q, others)
		maps.DeleteFunc(others, func(v coordination.SoftwareVersion, _ bool) bool { return own[v] })
		if len(others) == 0 {
			continue
		}
		if ended.IsZero() {
			return now
		}
		last = slices.MaxFunc([]time.Time{last, ended}, time.Time.Compare)
	}
	return last
}
