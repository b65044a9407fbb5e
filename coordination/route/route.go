// Package route holds the operators' desired state in the form that routers
// apply: which pool serves a request, who may send it, and whether it may be
// retried. The package does no I/O.
package route

import (
	"slices"
	"strings"
	"time"

	"wisteriaspool/coordination"
)

// Key is the credential by which a caller proves which client account it acts
// for.
type Key string

// Version numbers the versions of the desired state; later ones are higher.
type Version int64

// Kind says how often a request of a route may run.
type Kind uint8

// Kinds of routes.
const (
	// Unsafe requests run at most once for each attempt of a caller. It is the
	// zero value, so that requests of an unknown kind are never retried.
	Unsafe Kind = iota
	// Safe requests may run more than once.
	Safe
	// Stream requests are answered by a series of events. They may run again
	// only if their route is resumable.
	Stream
)

// String returns the name of k used in logs and metrics.
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

// Share is the share of a route's requests that one pool serves.
type Share struct {
	Pool   coordination.Pool
	Weight int // relative to the other shares of the route
}

// Route describes how requests with a given host and path prefix are served.
type Route struct {
	Name        string
	Host        string // lower case, without a port
	Prefix      string // begins and ends with a slash
	Kind        Kind
	Timeout     time.Duration // maximum time that a caller waits; zero for no limit
	FirstTarget time.Duration // time to the first byte or event within which an answer has its full value
	GapTarget   time.Duration // maximum pause between two events of a stream; zero for no target
	Attempts    int           // maximum number of endpoints a request is sent to, at least 1
	Priority    coordination.Priority
	Shares      []Share
	Public      bool // requires no key
	Sticky      bool // requests name the parts of their prompts and go where these are cached
	Resumable   bool // a broken stream may be continued at another endpoint

	Regions []coordination.Region // where requests may be processed; empty for anywhere
}

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// Residency says in which regions a request may be processed. The zero value allows
// all.
type Residency struct {
	limits [2][]coordination.Region // of the route and of the client account; empty for none
}

// NewResidency returns the residency of the requests of a client account on a route.
// Both have to allow a region.
func NewResidency(r *Route, t Tenant) Residency {
	return Residency{limits: [2][]coordination.Region{r.Regions, t.Regions}}
}

// Limited reports whether some regions are not allowed.
func (r Residency) Limited() bool { return len(r.limits[0]) > 0 || len(r.limits[1]) > 0 }

// Allows reports whether requests may be processed in a region. An unknown region,
// which is empty, is allowed only if there are no limits.
func (r Residency) Allows(region coordination.Region) bool {
	for _, limit := range r.limits {
		if len(limit) > 0 && !slices.Contains(limit, region) {
			return false
		}
	}
	return true
}

// Pool returns the pool for a request with hash h, chosen in proportion to the
// weights of the shares. Equal hashes get the same pool. If no weight is
// positive, it returns the pool of the first share.
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

// Pools returns the pools that Pool may return.
func (r *Route) Pools() []coordination.Pool {
	var all []coordination.Pool
	for _, s := range r.Shares {
		if s.Weight > 0 {
			all = append(all, s.Pool)
		}
	}
	if len(all) == 0 {
		return []coordination.Pool{r.Shares[0].Pool}
	}
	return all
}

// Pool describes a set of endpoints that serve the same requests.
type Pool struct {
	Name coordination.Pool
	// Engine reports whether the endpoints are model engines, which cache the
	// prompts that they have processed, rather than a plain service.
	Engine bool
	// ColdRate is how many requests a second an endpoint tolerates while it is cold,
	// that is for ColdTime after its start. Zero means that it tolerates any number.
	ColdRate float64
	ColdTime time.Duration
}

// Tenant is a client account that holds keys.
type Tenant struct {
	Account  coordination.Account
	Priority *coordination.Priority // takes precedence over the route's, see [Table.Priority]; nil for none
	Regions  []coordination.Region  // where requests may be processed; empty for anywhere
}

// State is one complete version of the desired state.
type State struct {
	Version  Version
	Routes   []Route
	Pools    map[coordination.Pool]Pool
	Accounts map[Key]Tenant // nil if requests require no key
	// BodyBytes is the maximum size of a request body in bytes; zero if the
	// operators set no limit.
	BodyBytes int
}

// Table looks up routes and keys in one version of the desired state. It is
// immutable, so it may be shared without locks. The zero Table has no routes.
type Table struct {
	State
	// KeysInUse reports whether callers may send API keys: this state has client accounts,
	// or one before it had.
	KeysInUse bool

	hosts map[string][]*Route // by host, longest prefix first

	lowest, highest coordination.Priority // route priorities
}

// NewTable returns the table of a state.
func NewTable(s State) *Table {
	t := &Table{State: s, KeysInUse: s.Accounts != nil, hosts: make(map[string][]*Route)}
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

// Priority returns the priority of a request on a route for a client account
// whose own priority is own, or nil if it has none. The account's priority
// takes precedence: the route's decides only between requests of accounts with
// equal priority.
func (t *Table) Priority(r *Route, own *coordination.Priority) coordination.Priority {
	first := r.Priority
	if own != nil {
		first = *own
	}
	return first*(t.highest-t.lowest+1) + r.Priority - t.highest
}

// Match returns the route of a request: of the routes of its host, the one with
// the longest matching path prefix. It returns nil if there is none.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.hosts[Hostname(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Hostname returns a Host header in lower case without its port. Routes are matched by it.
func Hostname(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// Tenant returns the client account that holds a key, and whether there is one.
func (t *Table) Tenant(key Key) (Tenant, bool) {
	tenant, ok := t.Accounts[key]
	return tenant, ok
}
