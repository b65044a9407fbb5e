package soak

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"wisteriaspool/standin/proxy"
)

// router is a router process and the proxies on its links.
type router struct {
	n                int
	soak             *soak
	callerAddress    string
	readinessAddress string
	peerProxy        *proxy.Proxy // on the link from other routers
	storeProxy       *proxy.Proxy // on the link to the store
	peerAddress      string
	operatorAddress  string

	mu            sync.Mutex
	process       *exec.Cmd
	ended         chan struct{} // closed when process has ended
	paused        bool
	lastFault     time.Time // when a fault of the router last began or ended
	stopRequested time.Time // when it was last asked to stop
}

// Router ports lie below the kernel's ephemeral port range, so that no outgoing
// connection takes a port between its selection and its use. Each soak has a range
// of its own: the routers of two soaks in one range would join one fleet.
const (
	firstPort  = 20000
	portsEach  = 100
	portRanges = 127
)

// claimPorts claims a port range, the seed's or the next one that no other soak has,
// by listening on its first port until the soak is closed.
func (s *soak) claimPorts() error {
	for n := range uint64(portRanges) {
		base := firstPort + portsEach*int((s.opts.Seed+n)%portRanges)
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", base))
		if err != nil {
			continue
		}
		s.onClose(func() { _ = l.Close() })
		s.basePort, s.port = base, 1
		return nil
	}
	return errors.New("soak: all port ranges are taken")
}

// freeAddress returns an address of the range that nothing listens on. It returns an
// error if no port of the range is left.
func (s *soak) freeAddress() (string, error) {
	for s.port < portsEach {
		address := fmt.Sprintf("127.0.0.1:%d", s.basePort+s.port)
		s.port++
		l, err := net.Listen("tcp", address)
		if err == nil {
			return address, l.Close()
		}
	}
	return "", fmt.Errorf("soak: no free port in the range that starts at %d", s.basePort)
}

func (s *soak) newRouter(n int) (*router, error) {
	r := &router{n: n, soak: s}
	for _, address := range []*string{&r.callerAddress, &r.readinessAddress, &r.peerAddress, &r.operatorAddress} {
		var err error
		if *address, err = s.freeAddress(); err != nil {
			return nil, err
		}
	}
	var err error
	if r.peerProxy, err = s.proxyTo(r.peerAddress); err != nil {
		return nil, err
	}
	if s.opts.Order {
		r.peerProxy.IdentifySources(s.sourceOf)
	}
	if r.storeProxy, err = s.proxyTo(strings.TrimPrefix(s.storeServer.URL, "http://")); err != nil {
		return nil, err
	}
	s.onClose(r.kill)
	return r, nil
}

func (s *soak) proxyTo(target string) (*proxy.Proxy, error) {
	p, stop, err := proxy.New(target)
	if err == nil {
		s.onClose(stop)
	}
	return p, err
}

func (r *router) logFile() string {
	return filepath.Join(r.soak.opts.Dir, fmt.Sprintf("router-%d.log", r.n))
}

// start starts the process unless it is already running.
func (r *router) start(seeds string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.process != nil {
		return nil
	}
	text := fmt.Sprintf(`[router]
instance = %s
availability-zone = z%d
[listen]
callers = %s
operators = %s
peers = %s
advertise = %s
[peers]
seeds = %s
[relay]
store = %s
readiness = %s
%s[limits]
stop-delay = 1s
stop-within = 8s
`, r.name(), r.n%3, r.callerAddress, r.operatorAddress, r.peerAddress, r.peerProxy.Address(), seeds, r.storeProxy.Address(), r.readinessAddress, r.soak.capacitySetting())
	file := filepath.Join(r.soak.opts.Dir, fmt.Sprintf("router-%d.ini", r.n))
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(r.logFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the process holds its own descriptor
	c := exec.Command(r.soak.opts.Binary, "serve", "-config", file)
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return err
	}
	r.process, r.ended, r.stopRequested = c, make(chan struct{}), time.Time{}
	go processWaiter{r, c, r.ended}.run()
	return nil
}

// processWaiter waits for one process to exit.
type processWaiter struct {
	router  *router
	command *exec.Cmd
	ended   chan struct{}
}

func (w processWaiter) run() {
	err := w.command.Wait()
	w.router.mu.Lock()
	w.router.process = nil
	w.router.mu.Unlock()
	close(w.ended)
	var exit *exec.ExitError
	if errors.As(err, &exit) && exit.ExitCode() > 0 {
		w.router.soak.reportViolation("router %d ended by itself or cut off requests: exit code %d; see %s", w.router.n, exit.ExitCode(), w.router.logFile())
	}
}

// processEnded returns the channel that is closed when the current process ends.
// It also identifies the process, since each process has its own channel.
func (r *router) processEnded() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ended
}

// signal sends a signal to the process. It returns a channel that is closed when
// the process ends, or nil if none is running.
func (r *router) signal(sig syscall.Signal) <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.process == nil {
		return nil
	}
	_ = r.process.Process.Signal(sig) // fails if the process has just ended
	return r.ended
}

func (r *router) kill() {
	if ended := r.signal(syscall.SIGKILL); ended != nil {
		<-ended
	}
}

func (r *router) pause(on bool) {
	r.mu.Lock()
	r.paused = on
	r.mu.Unlock()
	if on {
		r.signal(syscall.SIGSTOP)
		return
	}
	r.signal(syscall.SIGCONT)
}

// name returns the router's instance.
func (r *router) name() string { return fmt.Sprint("r", r.n) }

// pid returns the id of the process, or zero if none is running.
func (r *router) pid() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.process == nil {
		return 0
	}
	return r.process.Process.Pid
}

// cutOff cuts the router off from all others and from the store, whoever opens a connection,
// or ends that.
func (r *router) cutOff(on bool) {
	r.storeProxy.Cut("", on)
	r.peerProxy.Cut("", on)
	for _, other := range r.soak.routers {
		if other != r {
			other.peerProxy.Cut(r.name(), on)
		}
	}
}

// markFault records that a fault affects the router now.
func (r *router) markFault() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastFault = time.Now()
}

// healthySince reports whether the router is running and no fault has affected it
// since a time.
func (r *router) healthySince(at time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.process != nil && !r.paused && r.lastFault.Before(at)
}

// clearFaults ends all faults of the router and starts it if it is not running.
// It waits for the end of a process that was asked to stop in the last 10 s.
func (r *router) clearFaults(seeds string) {
	r.pause(false)
	r.cutOff(false)
	r.peerProxy.SetMode(proxy.Mode{})
	r.storeProxy.SetMode(proxy.Mode{})
	r.mu.Lock()
	ended, leaving := r.ended, r.process != nil && time.Since(r.stopRequested) < 10*time.Second
	r.mu.Unlock()
	if leaving {
		<-ended
	}
	if err := r.start(seeds); err != nil {
		r.soak.reportViolation("router %d does not start: %v", r.n, err)
	}
}

// readyTimeout is how long the load balancer waits for a readiness response.
const readyTimeout = 300 * time.Millisecond

// isReady queries the readiness of the router as the platform's load balancer
// does.
func (r *router) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.readinessAddress+"/wisteriaspool/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
