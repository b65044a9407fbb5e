package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// fleet is a small installation on loopback addresses.
type fleet struct {
	dir     string // of the case
	root    string // of the repository
	tmp     string
	trouble bool
	network string // the first three numbers of all addresses
	start   time.Time

	store   *store
	routers []*router
	servers []*server
	closers []func()
	version int

	mu     sync.Mutex
	record *os.File
}

const (
	storePort    = 8223
	frontendPort = 8227
	readyPort    = 8220
	peerPort     = 8229
	metricsPort  = 9464
	serverPort   = 8080
)

func newFleet(dir string) (*fleet, error) {
	dir, err := filepath.Abs(dir)
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, root: filepath.Dir(filepath.Dir(dir)), trouble: os.Getenv("TROUBLE") != "0", start: time.Now(), store: newStore()}
	if f.record, err = os.Create(filepath.Join(dir, "record.txt")); err != nil {
		return nil, err
	}
	if f.tmp, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, err
	}
	f.closers = append(f.closers, func() { _ = os.RemoveAll(f.tmp) })
	if err := f.findNetwork(); err != nil {
		return nil, err
	}
	return f, f.serve(f.address(200, storePort), f.store)
}

// findNetwork picks loopback addresses on which nothing listens.
func (f *fleet) findNetwork() error {
	for range 50 {
		f.network = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		if f.free() {
			return nil
		}
	}
	return fmt.Errorf("no free addresses")
}

func (f *fleet) free() bool {
	for host := 1; host <= 3; host++ {
		for _, port := range []int{frontendPort, readyPort, peerPort, metricsPort} {
			l, err := net.Listen("tcp", f.address(host, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (f *fleet) address(host, port int) string { return fmt.Sprintf("%s.%d:%d", f.network, host, port) }

func (f *fleet) serve(address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	f.closers = append(f.closers, func() { _ = s.Close() })
	return nil
}

// note writes a line to record.txt.
func (f *fleet) note(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fmt.Fprintf(f.record, "%8.3f %s\n", time.Since(f.start).Seconds(), fmt.Sprintf(format, args...))
}

func (f *fleet) close() {
	for n := len(f.closers) - 1; n >= 0; n-- {
		f.closers[n]()
	}
	_ = f.record.Close()
}

// put writes the desired state with the next version. The store's answer is the
// acknowledgement.
func (f *fleet) put(state map[string]any) {
	f.version += 3
	state["version"] = f.version
	state["limits"] = map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": maxBody, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
	b, err := json.Marshal(state)
	if err != nil {
		panic(err)
	}
	f.store.put("op/config", b)
	f.note("operator: version %d of the desired state is acknowledged", f.version)
}

// maxBody is the limit of the desired state for bodies, as on the page of messages.
const maxBody = 4194304

// pool describes a service in a desired state.
func pool(name string, engine bool) map[string]any {
	p := map[string]any{"name": name, "healthPath": "/healthz", "maxConns": 620, "protocol": "h1", "tls": false}
	if engine {
		p["runtime"] = map[string]any{"slots": 128, "kvCapacity": 692758, "kvBytes": 18432, "linkMbps": 88000.0, "models": []any{map[string]any{"name": "m"}}}
	}
	return p
}

// startRouters starts three routers and waits until all are ready.
func (f *fleet) startRouters() error {
	for n := 1; n <= 3; n++ {
		r := &router{fleet: f, n: n}
		f.routers = append(f.routers, r)
		if err := r.start(); err != nil {
			return err
		}
	}
	for _, r := range f.routers {
		if err := r.awaitReady(15 * time.Second); err != nil {
			return err
		}
	}
	time.Sleep(2 * time.Second) // until the routers know each other
	return nil
}
