package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// router is a process of the project, started as the deploy file says.
type router struct {
	name      string
	ip        string
	frontend  string
	readiness string
	control   string
	file      string // settings
	log       string
	cmd       *exec.Cmd
	ended     chan struct{}
}

// fleet is a small deployment on loopback addresses.
type fleet struct {
	binary  string
	dir     string // temporary
	store   string // address
	zones   []string
	routers []*router
}

// settings is deploy/router.ini as the platform fills it in for a small site.
const settings = `[router]
instance = %s
availability-zone = %s
region = r1
[zone "z1"]
region = r1
[zone "z2"]
region = r1
[zone "z3"]
region = r1
[listen]
callers = %s
operators = %s:9464
peers = %s

[peers]
seeds = %s

[relay]
store = %s
min-lease = 1000ms
readiness = %s
capacity = reported
retry-slack = 54
[limits]
memory = 284MiB
stop-within = 8s
stop-delay = 2500ms

[log]
level = info
`

// newFleet prepares n routers. Each has a loopback address of its own, as the port of the
// operators is the same on all machines.
func newFleet(binary, store string, n int) (*fleet, error) {
	base, err := freeBase(n)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	f := &fleet{binary: binary, dir: dir, store: store, zones: []string{"z1", "z2", "z3"}}
	for i := range n {
		r := &router{name: fmt.Sprintf("edge-%d", i+1), ip: fmt.Sprintf("127.77.%d.%d", base, i+1)}
		for _, a := range []*string{&r.frontend, &r.readiness, &r.control} {
			if *a, err = freeAddress(r.ip); err != nil {
				return nil, err
			}
		}
		f.routers = append(f.routers, r)
	}
	for i, r := range f.routers {
		seeds := make([]string, 0, 3)
		for _, other := range f.routers[:min(3, n)] {
			seeds = append(seeds, other.control)
		}
		r.file = filepath.Join(dir, r.name+".ini")
		r.log = filepath.Join(dir, r.name+".log")
		text := fmt.Sprintf(settings, r.name, f.zones[i%3], r.frontend, r.ip, r.control, strings.Join(seeds, ","), store, r.readiness)
		if err := os.WriteFile(r.file, []byte(text), 0o600); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// freeBase returns the third byte of addresses of which n have a free port for operators.
func freeBase(n int) (int, error) {
	for range 100 {
		base, free := 1+rand.IntN(250), true
		for i := range n {
			l, err := net.Listen("tcp", fmt.Sprintf("127.77.%d.%d:9464", base, i+1))
			if err != nil {
				free = false
				break
			}
			l.Close()
		}
		if free {
			return base, nil
		}
	}
	return 0, errors.New("no addresses are free")
}

func freeAddress(ip string) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// start starts the process of a router.
func (f *fleet) start(r *router) error {
	log, err := os.OpenFile(r.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	c := exec.Command(f.binary, "serve", "-config", r.file)
	c.Stdout, c.Stderr = log, log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	r.cmd, r.ended = c, make(chan struct{})
	go func(ended chan struct{}) {
		_ = c.Wait()
		close(ended)
	}(r.ended)
	return nil
}

func (r *router) signal(s syscall.Signal) { _ = r.cmd.Process.Signal(s) }

// stop sends SIGTERM, and SIGKILL after grace.
func (r *router) stop(grace time.Duration) {
	r.signal(syscall.SIGTERM)
	select {
	case <-r.ended:
	case <-time.After(grace):
		r.kill()
	}
}

func (r *router) kill() {
	if r.cmd == nil {
		return
	}
	r.signal(syscall.SIGCONT)
	r.signal(syscall.SIGKILL)
	<-r.ended
}

// ready asks as the platform does.
func (r *router) ready() bool {
	c := http.Client{Timeout: 500 * time.Millisecond}
	resp, err := c.Get("http://" + r.readiness + "/wisteriaspool/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until the routers are ready.
func (f *fleet) awaitReady(within time.Duration) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, r := range f.routers {
			if r.cmd != nil && r.ready() {
				ready++
			}
		}
		if ready == len(f.routers) {
			return nil
		}
	}
	return fmt.Errorf("not all routers are ready after %v; logs in %s", within, f.dir)
}

// close ends all processes and removes the folder.
func (f *fleet) close(keep bool) {
	for _, r := range f.routers {
		r.kill()
	}
	if !keep {
		_ = os.RemoveAll(f.dir)
	}
}
