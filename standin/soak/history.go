package soak

import (
	"fmt"
	"slices"
	"time"

	"wisteriaspool/standin/replica"
)

// arrival is one run of a request as its endpoint saw it.
type arrival struct {
	replica.Arrival
	endpoint string
	service  string
}

// presence is the time for which an endpoint of a service took requests.
type presence struct {
	service     string
	from, until time.Time // until is zero if it did to the end
}

// span is a time in which endpoints, or links with them, failed.
type span struct{ from, until time.Time }

// history is what callers and endpoints saw in a soak, in the order of time.
type history struct {
	outcomes []outcome
	arrivals []arrival
	present  []presence
	harmed   []span
}

// broken returns the promises that the history shows as broken, one line each.
func (h *history) broken() []string {
	var all []string
	for _, check := range []func() []string{h.runs, h.contents, h.deadlines, h.repeats, h.loads, h.leavers} {
		all = append(all, check()...)
	}
	return all
}

// runs finds requests that ran more often than they may, and such that ran
// though their caller was told that they have not.
func (h *history) runs() (broken []string) {
	n := make(map[string]int)
	for _, a := range h.arrivals {
		n[a.ID]++
	}
	for _, o := range h.outcomes {
		switch n := n[o.id]; {
		case n > 1 && !o.repeatable():
			broken = append(broken, fmt.Sprintf("request %s %s ran %d times", o.id, o.path, n))
		case n > 0 && o.notRun() && !o.repeatable():
			broken = append(broken, fmt.Sprintf("request %s %s was answered %d and has run", o.id, o.path, o.status))
		case n > 2:
			broken = append(broken, fmt.Sprintf("request %s %s ran at %d endpoints, of two allowed", o.id, o.path, n))
		}
	}
	return broken
}

// services are the services of the routes.
var services = map[string]string{"/safe/": "desk", "/unsafe/": "desk", "/stream/": "model", "/resumable/": "model", "/long/": "long"}

// contents finds runs that no caller asked for in this way: of unknown requests,
// with another path, body or client account, or by a service of another route.
func (h *history) contents() (broken []string) {
	sent := make(map[string]outcome)
	for _, o := range h.outcomes {
		sent[o.id] = o
	}
	for _, a := range h.arrivals {
		o, ok := sent[a.ID]
		switch {
		case !ok:
			broken = append(broken, fmt.Sprintf("endpoint %s ran request %q, which nobody sent", a.endpoint, a.ID))
		case a.Path != o.path+o.id || a.Body != requestBody || a.Tenant != account:
			broken = append(broken, fmt.Sprintf("endpoint %s ran request %s changed: path %s, body %q, account %q", a.endpoint, a.ID, a.Path, a.Body, a.Tenant))
		case a.service != services[o.path]:
			broken = append(broken, fmt.Sprintf("service %s ran request %s %s", a.service, a.ID, o.path))
		}
	}
	return broken
}

// limitSlack is by how much the time that an endpoint is given may exceed what
// the caller gave.
const limitSlack = 500 * time.Millisecond

// deadlines finds runs that were given more time than their callers have.
func (h *history) deadlines() (broken []string) {
	for _, a := range h.arrivals {
		if a.Timeout <= 0 || a.Timeout > deadline+limitSlack {
			broken = append(broken, fmt.Sprintf("request %s had %v at endpoint %s, of %v", a.ID, a.Timeout, a.endpoint, deadline))
		}
	}
	return broken
}

// What a service may get beyond the first run of each request in a span.
const (
	repeatSpan  = 10 * time.Second
	repeatShare = 0.2
	repeatSlack = 54
)

// repeats finds services that got more second attempts than they may.
func (h *history) repeats() (broken []string) {
	for _, service := range h.services() {
		var all, again []time.Time
		seen := make(map[string]bool)
		for _, a := range h.arrivals {
			if a.service != service {
				continue
			}
			if seen[a.ID] {
				again = append(again, a.StartedAt)
			} else {
				all = append(all, a.StartedAt)
			}
			seen[a.ID] = true
		}
		for _, at := range again {
			n := within(again, at, repeatSpan)
			of := max(within(all, at, repeatSpan), within(all, at.Add(-repeatSpan/2), repeatSpan), within(all, at.Add(-repeatSpan), repeatSpan))
			if float64(n) > repeatShare*float64(of)+repeatSlack {
				broken = append(broken, fmt.Sprintf("service %s got %d second attempts for %d requests", service, n, of))
				break
			}
		}
	}
	return broken
}

func (h *history) services() []string {
	var all []string
	for _, a := range h.arrivals {
		all = append(all, a.service)
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// within counts the moments in a span that begins at one of them.
func within(all []time.Time, from time.Time, span time.Duration) (n int) {
	for _, at := range all {
		if !at.Before(from) && at.Sub(from) < span {
			n++
		}
	}
	return n
}

// What an endpoint may carry: a multiple of the mean of its service and a few
// more. Some requests may exceed it, as many as the pages allow.
const (
	loadFactor = 2
	loadSlack  = 3
	loadSome   = 20
	loadShare  = 0.03
)

// calmAfter is how long behind a failure of endpoints their load is judged
// again: routers have noticed its end by then.
const calmAfter = 2 * time.Second

// loads finds services whose load was uneven while no endpoint failed.
func (h *history) loads() (broken []string) {
	for _, service := range h.services() {
		judged, over := 0, 0
		for i, a := range h.arrivals {
			if a.service != service || !h.calm(a.StartedAt) {
				continue
			}
			judged++
			own, total, endpoints := h.running(i)
			if float64(own) > loadFactor*float64(total)/float64(endpoints)+loadSlack {
				over++
			}
		}
		if over >= loadSome && float64(over) > loadShare*float64(judged) {
			broken = append(broken, fmt.Sprintf("%d of %d requests came to endpoints of service %s that carried over %d times the mean and %d", over, judged, service, loadFactor, loadSlack))
		}
	}
	return broken
}

// calm reports whether endpoints have been well for calmAfter.
func (h *history) calm(at time.Time) bool {
	for _, s := range h.harmed {
		if at.After(s.from) && at.Before(s.until.Add(calmAfter)) {
			return false
		}
	}
	return true
}

// running returns what the endpoint of an arrival ran when it came, itself
// included, what the whole service ran, and at how many endpoints.
func (h *history) running(i int) (own, total, endpoints int) {
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
	for _, p := range h.present {
		if p.service == a.service && !p.from.After(a.StartedAt) && (p.until.IsZero() || p.until.After(a.StartedAt)) {
			endpoints++
		}
	}
	return own, total, max(endpoints, 1)
}

// What endpoints may still do for callers that have left.
const (
	leaveSlack = 500 * time.Millisecond
	leaveSome  = 4
	leaveShare = 0.25
)

// leavers finds requests at which endpoints worked on after their callers had
// left, or that reached endpoints only then.
func (h *history) leavers() (broken []string) {
	left := make(map[string]time.Time)
	for _, o := range h.outcomes {
		if !o.left.IsZero() {
			left[o.id] = o.left
		}
	}
	worked, late := 0, 0
	for _, a := range h.arrivals {
		at, ok := left[a.ID]
		if !ok {
			continue
		}
		if a.EndedAt.IsZero() || a.EndedAt.Sub(at) > leaveSlack {
			worked++
		}
		if a.StartedAt.Sub(at) > leaveSlack {
			late++
		}
	}
	if worked >= leaveSome && float64(worked) > leaveShare*float64(len(left)) {
		broken = append(broken, fmt.Sprintf("endpoints worked for %d of %d callers over %v after they had left", worked, len(left), leaveSlack))
	}
	if late >= leaveSome {
		broken = append(broken, fmt.Sprintf("%d requests reached endpoints over %v after their callers had left", late, leaveSlack))
	}
	return broken
}

// isStream reports whether requests of a route are streams.
func isStream(path string) bool { return services[path] != "desk" }
