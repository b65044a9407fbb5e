package replica

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
)

// maxKeptViolations bounds the violations whose texts an Inspector keeps.
const maxKeptViolations = 100

// Inspector checks the requests that routers send to the endpoints of a fleet against the
// interface, and against what callers sent through Transport. It is safe for concurrent
// use.
type Inspector struct {
	mu         sync.Mutex
	violations []string
	count      int                       // of all violations
	sent       map[string][]*sentRequest // by attempt id
	written    map[string]int            // id of the last whole event of a stream, by attempt id
	states     int                       // number of desired states
	granted    map[string]map[string]int // number of states, by API key and client account
	keysInUse  bool                      // the newest state has API keys
}

// NewInspector returns an Inspector.
func NewInspector() *Inspector {
	return &Inspector{sent: make(map[string][]*sentRequest), written: make(map[string]int), granted: make(map[string]map[string]int)}
}

// AddState adds the API keys of a desired state, by client account.
func (i *Inspector) AddState(keys map[string][]string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.states++
	i.keysInUse = len(keys) > 0
	for account, all := range keys {
		for _, key := range all {
			if i.granted[key] == nil {
				i.granted[key] = make(map[string]int)
			}
			i.granted[key][account]++
		}
	}
}

// Violations returns what requests violated, one line each.
func (i *Inspector) Violations() []string {
	i.mu.Lock()
	defer i.mu.Unlock()
	all := slices.Clone(i.violations)
	if n := i.count - len(all); n > 0 {
		all = append(all, fmt.Sprintf("%d more violations", n))
	}
	return all
}

func (i *Inspector) report(format string, args ...any) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.count++
	if len(i.violations) < maxKeptViolations {
		i.violations = append(i.violations, fmt.Sprintf(format, args...))
	}
}

// RecordEvent records that an endpoint is about to write a whole event of a stream.
func (i *Inspector) RecordEvent(attempt string, n int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.written[attempt] = max(i.written[attempt], n)
}

func (i *Inspector) lastEvent(attempt string) int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.written[attempt]
}

// sentRequests returns the requests that callers sent with an attempt id.
func (i *Inspector) sentRequests(attempt string) []*sentRequest {
	i.mu.Lock()
	defer i.mu.Unlock()
	return slices.Clone(i.sent[attempt])
}

// accountsOf returns the client accounts that have had an API key. always reports that all
// desired states had the key.
func (i *Inspector) accountsOf(key string) (accounts []string, always bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	n := 0
	for account, states := range i.granted[key] {
		accounts = append(accounts, account)
		n += states
	}
	return accounts, n > 0 && n == i.states
}

// mayPass reports whether a value of Authorization may reach endpoints: it is no API key.
func (i *Inspector) mayPass(value string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	known := slices.Collect(maps.Keys(i.granted))
	return !i.keysInUse && !slices.ContainsFunc(strings.Fields(value), func(word string) bool { return slices.Contains(known, word) })
}
