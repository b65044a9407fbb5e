package soak

import (
	"fmt"
	"slices"
	"time"

	"wisteriaspool/standin/replica"
)

// arrival is one run of a request, as recorded by its endpoint.
type arrival struct {
	replica.Arrival
	endpoint string
	service  string
}

// servingPeriod is the time during which an endpoint accepted requests.
type servingPeriod struct {
	service     string
	from, until time.Time // until is zero if it accepted requests to the end
}

// timeSpan is a time during which endpoints, or the links to them, were faulty.
type timeSpan struct{ from, until time.Time }

// history is what callers and endpoints recorded during a soak. The arrivals are
// sorted by time.
type history struct {
	outcomes       []outcome
	arrivals       []arrival
	servingPeriods []servingPeriod
	faultSpans     []timeSpan
	coldSpans      []coldSpan
}

// violations returns the violated guarantees that the history shows, one line
// each.
func (h *history) violations() []string {
	var all []string
	for _, check := range []func() []string{h.checkRuns, h.checkContents, h.checkDeadlines, h.checkRetries, h.checkLoads, h.checkDisconnects, h.checkCold} {
		all = append(all, check()...)
	}
	return all
}

// checkRuns finds requests that ran more often than permitted, and requests that
// ran although their caller received a response that promises they did not.
func (h *history) checkRuns() (violations []string) {
	n := make(map[string]int)
	for _, a := range h.arrivals {
		n[a.ID]++
	}
	for _, o := range h.outcomes {
		switch n := n[o.id]; {
		case n > 1 && !o.repeatable():
			violations = append(violations, fmt.Sprintf("request %s %s ran %d times", o.id, o.path, n))
		case n > 0 && o.notRun() && !o.repeatable():
			violations = append(violations, fmt.Sprintf("request %s %s was answered %d and has run", o.id, o.path, o.status))
		case n > 2:
			violations = append(violations, fmt.Sprintf("request %s %s ran at %d endpoints, of two allowed", o.id, o.path, n))
		}
	}
	return violations
}

// routeServices maps each route prefix to its service.
var routeServices = map[string]string{"/safe/": "desk", "/unsafe/": "desk", "/stream/": "model", "/resumable/": "model", "/long/": "long", releasePath: releaseService, unevenPath: unevenService, piecesPath: orderService, oncePath: orderService}

// checkContents finds runs that do not match a request sent by a caller: unknown
// requests, a different path, body or client account, or the service of another
// route.
func (h *history) checkContents() (violations []string) {
	sent := make(map[string]outcome)
	for _, o := range h.outcomes {
		sent[o.id] = o
	}
	for _, a := range h.arrivals {
		o, ok := sent[a.ID]
		switch {
		case !ok:
			violations = append(violations, fmt.Sprintf("endpoint %s ran request %q, which nobody sent", a.endpoint, a.ID))
		case a.Path != o.target() || a.Body != requestBody || a.Tenant != o.tenant():
			violations = append(violations, fmt.Sprintf("endpoint %s ran request %s changed: path %s, body %q, account %q", a.endpoint, a.ID, a.Path, a.Body, a.Tenant))
		case a.service != routeServices[o.path]:
			violations = append(violations, fmt.Sprintf("service %s ran request %s %s", a.service, a.ID, o.path))
		}
	}
	return violations
}

// limitSlack is by how much the time limit passed to an endpoint may exceed the
// deadline that the caller set.
const limitSlack = 500 * time.Millisecond

// checkDeadlines finds runs that had no time limit, or a longer one than their
// callers set.
func (h *history) checkDeadlines() (violations []string) {
	for _, a := range h.arrivals {
		if a.Timeout <= 0 || a.Timeout > callerDeadline+limitSlack {
			violations = append(violations, fmt.Sprintf("request %s had %v at endpoint %s, of %v", a.ID, a.Timeout, a.endpoint, callerDeadline))
		}
	}
	return violations
}

// The retries that a service may receive within retrySpan: retryShare of the first
// attempts plus retrySlack.
const (
	retrySpan  = 10 * time.Second
	retryShare = 0.2
	retrySlack = 54
)

// checkRetries finds services that received more retries than permitted.
func (h *history) checkRetries() (violations []string) {
	for _, service := range h.services() {
		var firsts, retries []time.Time
		seen := make(map[string]bool)
		for _, a := range h.arrivals {
			if a.service != service {
				continue
			}
			if seen[a.ID] {
				retries = append(retries, a.StartedAt)
			} else {
				firsts = append(firsts, a.StartedAt)
			}
			seen[a.ID] = true
		}
		for _, at := range retries {
			n := countWithin(retries, at, retrySpan)
			of := max(countWithin(firsts, at, retrySpan), countWithin(firsts, at.Add(-retrySpan/2), retrySpan), countWithin(firsts, at.Add(-retrySpan), retrySpan))
			if float64(n) > retryShare*float64(of)+retrySlack {
				violations = append(violations, fmt.Sprintf("service %s got %d second attempts for %d requests", service, n, of))
				break
			}
		}
	}
	return violations
}

func (h *history) services() []string {
	var all []string
	for _, a := range h.arrivals {
		all = append(all, a.service)
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// countWithin counts the times within a span that begins at from.
func countWithin(all []time.Time, from time.Time, span time.Duration) (n int) {
	for _, at := range all {
		if !at.Before(from) && at.Sub(from) < span {
			n++
		}
	}
	return n
}

// The load that an endpoint may carry: loadFactor times the mean of its service,
// plus loadSlack. It is a violation if both minOverloads and loadShare of the
// requests exceed it.
const (
	loadFactor   = 2
	loadSlack    = 3
	minOverloads = 20
	loadShare    = 0.03
)

// faultSettleTime is how long after an endpoint fault the load is not checked,
// since routers need time to notice the end of the fault.
const faultSettleTime = 2 * time.Second

// checkLoads finds services with unevenly distributed load while no endpoint was
// faulty.
func (h *history) checkLoads() (violations []string) {
	for _, service := range h.services() {
		checked, over := 0, 0
		for i, a := range h.arrivals {
			if a.service != service || !h.settledAt(a.StartedAt) {
				continue
			}
			checked++
			own, total, endpoints := h.runningAt(i)
			if float64(own) > loadFactor*float64(total)/float64(endpoints)+loadSlack {
				over++
			}
		}
		if over >= minOverloads && float64(over) > loadShare*float64(checked) {
			violations = append(violations, fmt.Sprintf("%d of %d requests came to endpoints of service %s that carried over %d times the mean and %d", over, checked, service, loadFactor, loadSlack))
		}
	}
	return violations
}

// settledAt reports whether the last endpoint fault before at ended at least
// faultSettleTime earlier.
func (h *history) settledAt(at time.Time) bool {
	for _, s := range h.faultSpans {
		if at.After(s.from) && at.Before(s.until.Add(faultSettleTime)) {
			return false
		}
	}
	return true
}

// runningAt returns, for the time of arrival i, the number of requests running at
// its endpoint (including itself), the number running in the whole service, and
// the number of the service's endpoints, at least 1.
func (h *history) runningAt(i int) (own, total, endpoints int) {
	a := h.arrivals[i]
	for _, b := range h.arrivals[:i+1] {
		if b.service != a.service || !b.EndedAt.IsZero() && !b.EndedAt.After(a.StartedAt) {
			continue
		}
		total++
		if b.endpoint == a.endpoint {
			own++
		}
	}
	for _, p := range h.servingPeriods {
		if p.service == a.service && !p.from.After(a.StartedAt) && (p.until.IsZero() || p.until.After(a.StartedAt)) {
			endpoints++
		}
	}
	return own, total, max(endpoints, 1)
}

// What endpoints may still do for callers that have disconnected: work or requests
// that arrive within disconnectSlack of it are permitted. Of those beyond it, it is
// a violation if minDisconnects requests arrive, or if work continues for both
// minDisconnects and disconnectShare of the disconnected callers.
const (
	disconnectSlack = 500 * time.Millisecond
	minDisconnects  = 4
	disconnectShare = 0.25
)

// checkDisconnects finds endpoints that kept working on requests after the callers
// had disconnected, and requests that reached endpoints only after that.
func (h *history) checkDisconnects() (violations []string) {
	left := make(map[string]time.Time)
	for _, o := range h.outcomes {
		if !o.disconnectedAt.IsZero() {
			left[o.id] = o.disconnectedAt
		}
	}
	worked, late := 0, 0
	for _, a := range h.arrivals {
		at, ok := left[a.ID]
		if !ok {
			continue
		}
		if a.EndedAt.IsZero() || a.EndedAt.Sub(at) > disconnectSlack {
			worked++
		}
		if a.StartedAt.Sub(at) > disconnectSlack {
			late++
		}
	}
	if worked >= minDisconnects && float64(worked) > disconnectShare*float64(len(left)) {
		violations = append(violations, fmt.Sprintf("endpoints worked for %d of %d callers over %v after they had left", worked, len(left), disconnectSlack))
	}
	if late >= minDisconnects {
		violations = append(violations, fmt.Sprintf("%d requests reached endpoints over %v after their callers had left", late, disconnectSlack))
	}
	return violations
}

// isStream reports whether requests of a route are streams.
func isStream(path string) bool { return routeServices[path] != "desk" && path != unevenPath }
