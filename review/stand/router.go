package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// router is one process of the deploy file's role.
type router struct {
	fleet *fleet
	n     int

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{} // closed when the process has ended
	killed  atomic.Bool   // it was over its memory
	peak    atomic.Int64  // of its memory, in bytes
}

func (r *router) name() string     { return fmt.Sprintf("edge-zone-%d-1", r.n) }
func (r *router) frontend() string { return r.fleet.address(r.n, frontendPort) }

// memoryMb is the limit of memory of a machine, as on the sheets of the small sites.
const memoryMb = 284

// settings are the fields of a settings file that the platform fills in.
func (r *router) settings() map[string]any {
	f := r.fleet
	seeds := []any{f.address(1, peerPort), f.address(2, peerPort), f.address(3, peerPort)}
	return map[string]any{
		"nodeName": r.name(), "zone": fmt.Sprintf("zone-%d", r.n), "region": "region", "ip": fmt.Sprintf("%s.%d", f.network, r.n),
		"zones": map[string]any{"zone-1": "region", "zone-2": "region", "zone-3": "region"},
		"listen": map[string]any{
			"frontend": f.address(r.n, frontendPort), "readiness": f.address(r.n, readyPort), "controlPlane": f.address(r.n, peerPort),
		},
		"seeds":    seeds,
		"platform": map[string]any{"address": f.address(200, storePort)},
		"bounds":   map[string]any{"graceS": int(grace.Seconds()), "retrySlack": 54, "drainMs": 2000, "contactMs": 3000},
		"limits":   map[string]any{"memoryMb": memoryMb, "maxFds": 4100},
	}
}

// grace is graceS of the sheets: the time from SIGTERM to SIGKILL.
const grace = 8 * time.Second

// start starts the process with the command of the deploy file.
func (r *router) start() error {
	template, err := os.ReadFile(filepath.Join(r.fleet.root, "deploy", "router.ini"))
	if err != nil {
		return err
	}
	text, err := render(string(template), r.settings())
	if err != nil {
		return err
	}
	file := filepath.Join(r.fleet.tmp, r.name()+".ini")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(r.fleet.tmp, r.name()+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	c := exec.Command("target/wisteriarouter", "serve", "-config", file)
	c.Dir, c.Stdout, c.Stderr = r.fleet.root, log, log
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "WISTERIASPOOL_NODE_FILE=" + file}
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	r.mu.Lock()
	r.process, r.ended = c, ended
	r.mu.Unlock()
	go r.run(c, ended)
	r.fleet.closers = append(r.fleet.closers, func() { r.signal(syscall.SIGKILL); <-ended })
	return nil
}

// run waits for the end of the process.
func (r *router) run(c *exec.Cmd, ended chan struct{}) {
	err := c.Wait()
	r.fleet.note("%s: the process has ended: %v", r.name(), err)
	close(ended)
}

// signal sends a signal to the process if it has not ended.
func (r *router) signal(s syscall.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.ended:
	default:
		_ = r.process.Process.Signal(s)
	}
}

// terminate stops the process as the platform does: SIGTERM, then SIGKILL after grace.
func (r *router) terminate() {
	r.fleet.note("platform: SIGTERM to %s", r.name())
	r.signal(syscall.SIGTERM)
	time.AfterFunc(grace, func() { r.signal(syscall.SIGKILL) })
}

func (r *router) awaitReady(limit time.Duration) error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		resp, err := client.Get("http://" + r.fleet.address(r.n, readyPort) + "/wisteriaspool/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			r.fleet.note("%s is ready", r.name())
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", r.name())
}

// limitMemory kills the process when it exceeds memoryMb, as the platform does.
func (r *router) limitMemory() {
	for {
		select {
		case <-r.ended:
			return
		case <-time.After(10 * time.Millisecond):
		}
		used := residentBytes(r.process.Process.Pid)
		r.peak.Store(max(r.peak.Load(), used))
		if used > memoryMb<<20 {
			r.killed.Store(true)
			r.fleet.note("platform: %s uses %d MB, over memoryMb = %d: killed", r.name(), used>>20, memoryMb)
			r.signal(syscall.SIGKILL)
			return
		}
	}
}

// residentBytes returns the resident memory of a process that this one has started.
func residentBytes(pid int) int64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(b))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}
