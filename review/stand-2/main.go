// Command stand-2 plays the cases of the second review: it starts routers as processes, and
// the store, the replicas and the clients itself.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// Exit codes.
const (
	held     = 0
	broken   = 1
	notAble  = 2
	host     = "desk.example"
	service  = "app"
	tenant   = "hule930"
	firstKey = "n2ctnfzs989anu6wsjnb"
)

// trial is one run of a case.
type trial struct {
	trouble bool // the disruption is made
	began   time.Time
	store   *store
	all     []*replica
	fleet   *fleet

	mu      sync.Mutex
	record  *os.File
	reasons []string // why the rule is broken
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: stand-2 CASE ROUTER RECORD")
		os.Exit(notAble)
	}
	plays := map[string]func(*trial) error{"leave": playLeave, "keys": playKeys, "revision": playRevision, "slow": playSlow, "exit": playExit}
	play := plays[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "stand-2: no such case")
		os.Exit(notAble)
	}
	os.Exit(playCase(play, os.Args[2], os.Args[3]))
}

func playCase(play func(*trial) error, binary, record string) int {
	binary, err := filepath.Abs(binary)
	if err != nil {
		return notAble
	}
	file, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, "stand-2:", err)
		return notAble
	}
	defer file.Close()
	t := &trial{trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), record: file}
	defer t.close()
	if err := t.start(binary, play); err != nil {
		t.note("could not run: %v", err)
		return notAble
	}
	if len(t.reasons) > 0 {
		t.note("BROKEN: %s", strings.Join(t.reasons, "; "))
		return broken
	}
	t.note("the rule held")
	return held
}

// firstRevision is the revision of the first change of the store. Cases may raise it.
var firstRevision = map[string]int64{"revision": 1<<40 - 60}

func (t *trial) start(binary string, play func(*trial) error) (err error) {
	first := firstRevision[os.Args[1]]
	if first == 0 {
		first = 412
	}
	if t.store, err = newStore("127.77.0.1", first); err != nil {
		return err
	}
	for i := range 7 {
		r, err := newReplica("127.77.0.2", fmt.Sprintf("i-%d", i+1), service, fmt.Sprintf("z%d", i%3+1))
		if err != nil {
			return err
		}
		t.all = append(t.all, r)
		t.store.put("servers/"+r.id, r.entry("ready"))
	}
	if t.fleet, err = newFleet(binary, t.store.address(), 3); err != nil {
		return err
	}
	return play(t)
}

// startRouters starts all routers and waits until they are ready.
func (t *trial) startRouters() error {
	for _, r := range t.fleet.routers {
		if err := t.fleet.start(r); err != nil {
			return err
		}
	}
	if err := t.fleet.awaitReady(15 * time.Second); err != nil {
		return err
	}
	t.note("%d routers are ready", len(t.fleet.routers))
	time.Sleep(time.Second)
	return nil
}

func (t *trial) close() {
	if t.fleet != nil {
		t.fleet.close(os.Getenv("KEEP") != "")
	}
}

// note writes a line to the record.
func (t *trial) note(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	fmt.Fprintf(t.record, "%8.3f s  %s\n", time.Since(t.began).Seconds(), fmt.Sprintf(format, args...))
}

// fail notes that the rule is broken.
func (t *trial) fail(format string, args ...any) {
	t.note("rule broken: "+format, args...)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reasons = append(t.reasons, fmt.Sprintf(format, args...))
}

// state returns a desired state. Without keys, it has no tenants.
func state(version int, keys ...string) map[string]any {
	route := func(name, prefix, kind string, timeout, attempts int) map[string]any {
		return map[string]any{
			"name": name, "hostname": host, "prefix": prefix, "type": kind, "timeoutMs": timeout, "ttftTargetMs": 800,
			"priority": 0, "backend": service, "attempts": attempts, "public": false, "sticky": false, "resumable": false, "itlTargetMs": 300,
		}
	}
	s := map[string]any{
		"version":  version,
		"routes":   []any{route("r-u", "/puxa403/", "unsafe", 4000, 1), route("r-s", "/cufi504/", "safe", 4000, 2), route("r-t", "/lohu930/", "stream", 12000, 1)},
		"backends": []any{map[string]any{"name": service, "healthPath": "/healthz", "maxConns": 620, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
	if len(keys) > 0 {
		s["tenants"] = []any{map[string]any{"name": tenant, "apiKeys": keys, "priority": 1}}
	}
	return s
}

// writeState writes a desired state and notes its acknowledgement.
func (t *trial) writeState(s map[string]any) {
	revision := t.store.put("op/config", s)
	t.note("version %v of the desired state is acknowledged, at revision %d of the store", s["version"], revision)
}

var errAnswer = errors.New("a request is not served before the disruption")

// runsOf returns the replica and the run of an attempt, or nil.
func (t *trial) runsOf(attempt string) (at *replica, first *run, n int) {
	t.mu.Lock()
	replicas := append([]*replica(nil), t.all...)
	t.mu.Unlock()
	for _, r := range replicas {
		for _, each := range r.all() {
			if each.header.Get("X-Attempt-Id") == attempt {
				at, first, n = r, &each, n+1
			}
		}
	}
	return at, first, n
}
