// Package route holds the operators' desired state as routers apply it: which
// pool serves a request, who may send it, and what may be repeated. It does no
// I/O.
package route

import (
	"slices"
	"strings"
	"time"

	"wisteriaspool/coordination"
)

// Key is what a caller shows to prove which client account it acts for.
type Key string

// Version numbers the desired states; a later one has a higher number.
type Version int64

// Kind tells what may be repeated of a route's requests.
type Kind uint8

// The kinds of routes.
const (
	// Unsafe requests run at most once for each attempt of a caller. It is the
	// zero value, so that a kind that nobody knows repeats nothing.
	Unsafe Kind = iota
	// Safe requests may run more than once.
	Safe
	// Stream requests are answered by a series of events. They may run again
	// only if their route is resumable.
	Stream
)

// String returns the name of k as logs and metrics show it.
func (k Kind) String() string {
	switch k {
	case Safe:
		return "safe"
	case Stream:
		return "stream"
	default:
		return "unsafe"
	}
}

// Share is one pool's part of a route's requests.
type Share struct {
	Pool   coordination.Pool
	Weight int // against the other shares of the route
}

// Route says how the requests of one host and path prefix are served.
type Route struct {
	Name            string
	Host            string // without a port, in lower case
	Prefix          string // begins and ends with a slash
	Kind            Kind
	Timeout         time.Duration // longest time that a caller is kept waiting; zero for none
	FirstByteTarget time.Duration // to the first byte or event, within which an answer has its full worth
	GapTarget       time.Duration // longest pause between two events of a stream; zero for none
	Attempts        int           // endpoints to which one request may be sent, at least 1
	Priority        coordination.Priority
	Shares          []Share
	Public          bool // needs no key
	Sticky          bool // its requests name the parts of their prompts
	Resumable       bool // a stream that broke may go on elsewhere
}

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// Pool returns the pool that serves a request whose hash is h, by the weights
// of the shares. The same hash always falls on the same pool.
func (r *Route) Pool(h uint64) coordination.Pool {
	total := 0
	for _, s := range r.Shares {
		total += max(s.Weight, 0)
	}
	if total == 0 {
		return r.Shares[0].Pool
	}
	at := int(h % uint64(total))
	for _, s := range r.Shares {
		at -= max(s.Weight, 0)
		if at < 0 {
			return s.Pool
		}
	}
	return r.Shares[len(r.Shares)-1].Pool
}

// Pool describes the endpoints that serve the same requests.
type Pool struct {
	Name coordination.Pool
	// Engine says that they are model engines, which keep cached what they
	// have read of prompts; otherwise they are of a plain service.
	Engine bool
}

// Tenant is a client account that holds keys.
type Tenant struct {
	Account  coordination.Account
	Priority *coordination.Priority // goes before the route's, see [Table.Priority]; nil if the account has none
}

// State is one version of the desired state in full.
type State struct {
	Version  Version
	Routes   []Route
	Pools    map[coordination.Pool]Pool
	Accounts map[Key]Tenant // nil if requests need no key
	// BodyBytes is the size of the largest body that a caller may send; zero
	// for no limit of the operators.
	BodyBytes int
}

// Table answers from one version of the desired state. It never changes, so it
// may be shared without locks. The zero Table has no routes.
type Table struct {
	State
	hosts map[string][]*Route // by host, the longest prefix first

	lowest, highest coordination.Priority // of the routes
}

// NewTable returns the table of a state.
func NewTable(s State) *Table {
	t := &Table{State: s, hosts: make(map[string][]*Route)}
	for i := range t.Routes {
		r := &t.Routes[i]
		t.hosts[r.Host] = append(t.hosts[r.Host], r)
		if i == 0 {
			t.lowest, t.highest = r.Priority, r.Priority
		}
		t.lowest, t.highest = min(t.lowest, r.Priority), max(t.highest, r.Priority)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t
}

// Priority returns the priority of a request on a route, for a client account
// whose own priority is own, or nil if it has none. The account's goes before the
// route's: between requests of accounts of the same priority the route's decides.
func (t *Table) Priority(r *Route, own *coordination.Priority) coordination.Priority {
	first := r.Priority
	if own != nil {
		first = *own
	}
	return first*(t.highest-t.lowest+1) + r.Priority - t.highest
}

// Match returns the route of a request: among those of its host the one with
// the longest prefix of its path. It returns nil if there is none.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.hosts[hostname(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// hostname returns a host header without its port, in lower case.
func hostname(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// Tenant returns the client account that holds a key.
func (t *Table) Tenant(key Key) (Tenant, bool) {
	tenant, ok := t.Accounts[key]
	return tenant, ok
}
