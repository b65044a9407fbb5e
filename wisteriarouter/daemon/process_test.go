package daemon_test

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"wisteriaspool/standin/loopback"
)

// processes is a fleet of separate processes on loopback addresses.
type processes struct {
	t        *testing.T
	dir      string
	platform string
	running  map[string]*exec.Cmd
	callers  []string

	services []string
}

// start starts a program, which is killed at the end of the test if it still
// runs.
func (p *processes) start(name string, args ...string) *exec.Cmd {
	logs, err := os.Create(filepath.Join(p.dir, name+".log"))
	assert.NilError(p.t, err)
	c := exec.Command(filepath.Join(p.dir, args[0]), args[1:]...)
	c.Stdout, c.Stderr = logs, logs
	assert.NilError(p.t, c.Start())
	p.running[name] = c
	p.t.Cleanup(func() {
		_ = c.Process.Kill()
		_ = c.Wait()
		_ = logs.Close()
	})
	return c
}

// startStandin starts a stand-in and returns the address that it listens on.
func (p *processes) startStandin(name string, args ...string) string {
	file := filepath.Join(p.dir, name+".addr")
	p.start(name, append(append([]string{"standin"}, args...), "-addr-file", file)...)
	var address []byte
	poll.WaitOn(p.t, func(poll.LogT) poll.Result {
		address, _ = os.ReadFile(file)
		if len(address) > 0 {
			return poll.Success()
		}
		return poll.Continue("%s does not listen", name)
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(10*time.Millisecond))
	return strings.TrimSpace(string(address))
}

// freeAddresses returns addresses that were unused a moment ago.
func freeAddresses(t *testing.T, n int) []string {
	var all []string
	for range n {
		l, err := net.Listen("tcp", loopback.Address())
		assert.NilError(t, err)
		defer l.Close()
		all = append(all, l.Addr().String())
	}
	return all
}

func newProcesses(t *testing.T, routers, engines int) *processes {
	p := &processes{t: t, dir: t.TempDir(), running: make(map[string]*exec.Cmd)}
	build := exec.Command("go", "build", "-o", p.dir+"/", "wisteriaspool/wisteriarouter", "wisteriaspool/standin")
	out, err := build.CombinedOutput()
	assert.NilError(t, err, string(out))
	p.platform = p.startStandin("platform", "platform")
	for n := range engines {
		p.startStandin(fmt.Sprintf("e%d", n+1), "engine", "-id", fmt.Sprintf("e%d", n+1), "-pool", "m@1", "-platform", "http://"+p.platform)
	}
	p.services = append(p.services, p.startStandin("s1", "service", "-id", "s1", "-time", "5ms", "-platform", "http://"+p.platform))
	p.startRouters(freeAddresses(t, 3*routers))
	w := &testCluster{t: t, address: p.platform}
	w.put(teamText)
	for _, address := range p.callers {
		poll.WaitOn(t, checkReady(address), poll.WithTimeout(20*time.Second), poll.WithDelay(20*time.Millisecond))
	}
	return p
}

func (p *processes) startRouters(addresses []string) {
	for n := 0; n < len(addresses); n += 3 {
		name := fmt.Sprintf("r%d", n/3+1)
		text := fmt.Sprintf("[router]\ninstance = %s\navailability-zone = a\n[listen]\ncallers = %s\noperators = %s\npeers = %s\n[peers]\nseeds = %s\n[platform]\nkv = %s\ninstances = %s\n",
			name, addresses[n], addresses[n+1], addresses[n+2], addresses[2], p.platform, p.platform)
		file := filepath.Join(p.dir, name+".ini")
		assert.NilError(p.t, os.WriteFile(file, []byte(text), 0o600))
		p.callers = append(p.callers, addresses[n])
		p.start(name, "wisteriarouter", "serve", "-config", file)
	}
}

// checkReady checks that a router has settings and serves requests.
func checkReady(address string) poll.Check {
	return func(poll.LogT) poll.Result {
		res, err := http.Get("http://" + address + "/readyz")
		if err != nil {
			return poll.Continue("%v", err)
		}
		defer res.Body.Close()
		if res.StatusCode != http.StatusOK {
			return poll.Continue("not ready: %d", res.StatusCode)
		}
		return poll.Success()
	}
}

// startLoad starts the load generator. It checks that each answer is complete
// and belongs to its request, that no action runs twice and that no reported
// outcome is false.
func (p *processes) startLoad() *exec.Cmd {
	return p.start("load", "standin", "load", "-routers", strings.Join(p.callers, ","), "-duration", "6s",
		"-rate", "8", "-pause", "1s", "-action-rate", "4", "-services", strings.Join(p.services, ","), "-retries", "6")
}

// waitLoad waits for the load generator and fails the test if its exit status
// reports an error.
func (p *processes) waitLoad(c *exec.Cmd) {
	err := c.Wait()
	report, _ := os.ReadFile(filepath.Join(p.dir, "load.log"))
	assert.NilError(p.t, err, string(report))
}

func (p *processes) signal(name string, s syscall.Signal) {
	assert.NilError(p.t, p.running[name].Process.Signal(s))
}

// Router processes are killed, frozen and stopped while callers stream and send
// actions. Callers of a dead router reconnect to another one. No caller may
// receive a wrong or incomplete answer, and no action may run twice.
func TestProcessFaults(t *testing.T) {
	for name, trouble := range map[string]func(p *processes){
		"a router killed": func(p *processes) {
			time.Sleep(2 * time.Second)
			p.signal("r2", syscall.SIGKILL)
		},
		"an owner frozen and back": func(p *processes) {
			time.Sleep(2 * time.Second)
			p.signal("r3", syscall.SIGSTOP)
			time.Sleep(2 * time.Second)
			p.signal("r3", syscall.SIGCONT)
		},
		"two routers stopped while settings change": func(p *processes) {
			time.Sleep(2 * time.Second)
			p.signal("r1", syscall.SIGTERM)
			p.signal("r2", syscall.SIGTERM)
			w := &testCluster{t: p.t, address: p.platform}
			w.put(teamText + "\n[account \"label\"]\nweight = 2\n")
			for _, each := range []string{"r1", "r2"} {
				assert.NilError(p.t, p.running[each].Wait(), "%s did not stop cleanly", each)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			p := newProcesses(t, 4, 4)
			load := p.startLoad()
			trouble(p)
			p.waitLoad(load)
		})
	}
}
