// Package detour decides whether a router connects to an endpoint directly or
// through another router. A router may lose its links to endpoints while its
// callers, the platform and the other routers still reach it. Its failed connections
// say nothing of the endpoints then, and its requests need another way.
//
// The ways to an endpoint are tried one after the other, each somewhat later than
// the one before unless that has failed, and the first that connects is used. A
// direct connection comes first. Where it has failed and another router has
// connected, other routers come first for a while.
package detour

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"wisteriaspool/coordination"
)

// Address is the host and port of an endpoint.
type Address string

// Router is a router that may be asked to connect to an endpoint.
type Router struct {
	ID   coordination.Instance
	Zone coordination.Zone
}

// Way is a way to connect to an endpoint: through another router, or directly if
// Via is empty.
type Way struct {
	Via coordination.Instance
}

// Direct reports whether the way is a direct connection.
func (w Way) Direct() bool { return w.Via == "" }

const (
	// minBlocked and maxBlocked bound how long other routers come first after a
	// direct connection has failed where another router connected. The time
	// doubles with each failure.
	minBlocked = time.Second
	maxBlocked = 4 * time.Second

	// minAvoided and maxAvoided bound how long a router that could not help is
	// asked only after others.
	minAvoided = time.Second
	maxAvoided = 8 * time.Second

	// maxDetours is how many other routers are asked for one connection.
	maxDetours = 3

	// cutOffEndpoints is the number of endpoints that cannot be reached, without
	// one that can, from which a router takes itself for cut off. A request that
	// crashes endpoints is refused before it has ended as many.
	cutOffEndpoints = 3

	// staggerFactor times the time that connecting takes is how long a way is given
	// before the next one is tried too.
	staggerFactor = 8
	minStagger    = 80 * time.Millisecond
	maxStagger    = 200 * time.Millisecond

	// forgetAfter is how long the state of an endpoint or a router is kept after
	// its last use.
	forgetAfter = time.Minute
)

// Planner decides for one router. It is safe for concurrent use.
type Planner struct {
	self Router

	mu        sync.Mutex
	endpoints map[Address]*pause
	routers   map[coordination.Instance]*pause
	failing   map[Address]failure // direct connections that failed since the last success
	took      time.Duration       // smoothed time of direct connections
	connected time.Time           // when the last direct connection was made
	swept     time.Time
}

// failure is a direct connection that has failed.
type failure struct {
	at     time.Time
	silent bool // nothing came back, while another router has connected
}

// pause is a time during which a way is not tried first. It doubles with each
// failure.
type pause struct {
	until  time.Time
	length time.Duration
}

func (p *pause) extend(now time.Time, least, most time.Duration) {
	p.length = min(max(2*p.length, least), most)
	p.until = now.Add(p.length)
}

// NewPlanner returns the planner of a router.
func NewPlanner(self Router) *Planner {
	return &Planner{
		self:      self,
		endpoints: make(map[Address]*pause),
		routers:   make(map[coordination.Instance]*pause),
		failing:   make(map[Address]failure),
	}
}

// Plan returns the ways to connect to an endpoint, in the order in which they are
// tried. Without other routers that is the direct one only.
func (p *Planner) Plan(now time.Time, address Address, routers []Router) []Way {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweep(now)
	ways := p.detours(now, address, routers)
	if p.blocked(now, address) {
		return append(ways, Way{})
	}
	return append([]Way{{}}, ways...)
}

// detours returns the routers to ask: those that could help before those that could
// not, and those of the same zone before others. Among equals each router and
// endpoint has an order of its own, so that the load is spread.
func (p *Planner) detours(now time.Time, address Address, routers []Router) []Way {
	type candidate struct {
		id      coordination.Instance
		avoided time.Time
		distant bool
		hash    uint64
	}
	var all []candidate
	for _, r := range routers {
		if r.ID == p.self.ID {
			continue
		}
		c := candidate{id: r.ID, distant: r.Zone != p.self.Zone, hash: xxhash.Sum64String(string(p.self.ID) + "\x00" + string(address) + "\x00" + string(r.ID))}
		if s := p.routers[r.ID]; s != nil && now.Before(s.until) {
			c.avoided = s.until
		}
		all = append(all, c)
	}
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(a.avoided.Compare(b.avoided), compareBool(a.distant, b.distant), cmp.Compare(a.hash, b.hash), cmp.Compare(a.id, b.id))
	})
	var ways []Way
	for _, c := range all[:min(len(all), maxDetours)] {
		ways = append(ways, Way{Via: c.id})
	}
	return ways
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// Stagger returns how long a way is given before the next one is tried too.
func (p *Planner) Stagger() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return min(max(staggerFactor*p.took, minStagger), maxStagger)
}

// RecordDirect records a direct connection to an endpoint and how long it took.
func (p *Planner) RecordDirect(now time.Time, address Address, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.endpoints, address)
	clear(p.failing)
	p.connected = now
	if p.took == 0 {
		p.took = took
	}
	p.took += (took - p.took) / 8
}

// RecordResponse records that a response has arrived over a direct connection. A router
// whose open connections serve requests makes hardly any new ones, and would else take
// itself for cut off once some endpoints have ended.
func (p *Planner) RecordResponse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, f := range p.failing {
		if !f.silent {
			delete(p.failing, a)
		}
	}
}

// RecordFailure records that a direct connection to an endpoint has failed.
func (p *Planner) RecordFailure(now time.Time, address Address) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, known := p.failing[address]; !known {
		p.failing[address] = failure{at: now}
	}
}

// RecordHelp records that another router has connected to an endpoint.
func (p *Planner) RecordHelp(via coordination.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.routers, via)
}

// RecordBlocked records that another router has connected to an endpoint to which
// this one could not connect, or not as fast. silent reports that the direct
// connection was not refused.
func (p *Planner) RecordBlocked(now time.Time, address Address, silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failing[address] = failure{at: now, silent: silent}
	s := p.endpoints[address]
	if s == nil {
		s = &pause{}
		p.endpoints[address] = s
	}
	if now.Before(s.until) {
		return // of connections at the same time
	}
	s.extend(now, minBlocked, maxBlocked)
}

// RecordUnreachable records that another router could not connect to an endpoint
// either: its failure is not due to this router.
func (p *Planner) RecordUnreachable(address Address) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.failing, address)
}

// RecordNoHelp records that a router could not be asked, or is cut off itself.
func (p *Planner) RecordNoHelp(now time.Time, via coordination.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.routers[via]
	if s == nil {
		s = &pause{}
		p.routers[via] = s
	}
	if now.Before(s.until) {
		return // of requests at the same time
	}
	s.extend(now, minAvoided, maxAvoided)
}

// Blocked reports whether the endpoint is reached through other routers first.
func (p *Planner) Blocked(now time.Time, address Address) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.blocked(now, address)
}

func (p *Planner) blocked(now time.Time, address Address) bool {
	s := p.endpoints[address]
	return s != nil && now.Before(s.until)
}

// CutOff reports whether this router seems to be cut off from endpoints in general,
// so that a failure of it says nothing about an endpoint.
func (p *Planner) CutOff() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.failing) >= cutOffEndpoints
}

// Silent reports whether endpoints that other routers reach are silent to this one,
// so that what it has sent to endpoints lately may not have arrived.
func (p *Planner) Silent() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, f := range p.failing {
		if f.silent {
			n++
		}
	}
	return n >= cutOffEndpoints
}

// ConnectedSince reports whether this router has connected to any endpoint since a
// time.
func (p *Planner) ConnectedSince(t time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.connected.Before(t)
}

// sweep forgets what has not been used for long. The caller holds p.mu.
func (p *Planner) sweep(now time.Time) {
	if now.Sub(p.swept) < forgetAfter {
		return
	}
	p.swept = now
	old := func(until time.Time) bool { return now.Sub(until) > forgetAfter }
	for a, s := range p.endpoints {
		if old(s.until) {
			delete(p.endpoints, a)
		}
	}
	for r, s := range p.routers {
		if old(s.until) {
			delete(p.routers, r)
		}
	}
	for a, f := range p.failing {
		if old(f.at) {
			delete(p.failing, a)
		}
	}
}
