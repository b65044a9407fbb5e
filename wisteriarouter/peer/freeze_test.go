package peer

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/membership"
)

// childEnv holds the address of a seed. If it is set, the test binary runs as a
// router.
const childEnv = "PEER_TEST_SEED"

// quick configures short timeouts, so that the fleet detects a death within about
// six seconds.
func quick(cfg *Config) {
	cfg.DeadAfter = 3 * time.Second
	cfg.Membership = membership.Config{
		HeartbeatInterval: 500 * time.Millisecond,
		ProbeAfter:        1500 * time.Millisecond,
		ProbeTimeout:      time.Second,
		SuspicionTimeout:  3 * time.Second,
		ReconnectInterval: 500 * time.Millisecond,
	}
}

// TestMain runs the tests, or the router process that TestFrozenProcess suspends.
func TestMain(m *testing.M) {
	if seed := os.Getenv(childEnv); seed != "" {
		runChild(seed)
		return
	}
	os.Exit(m.Run())
}

// runChild runs a router until its standard input is closed or a line is read.
func runChild(seed string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	cfg := configOf(l, "frozen", []string{seed})
	quick(&cfg)
	n, stop, err := New(cfg)
	if err != nil {
		panic(err)
	}
	defer stop()
	n.Handle("view", func(context.Context, coordination.Instance, []byte) ([]byte, error) {
		return fmt.Appendf(nil, "%d members, %d deaths", len(n.Members()), n.Stats().Membership.Deaths), nil
	})
	srv := serverOf(n)
	defer srv.Close()
	go func() { _ = srv.Serve(l) }()
	_, _ = bufio.NewReader(os.Stdin).ReadString('\n')
}

// A router process is suspended for longer than the suspicion timeout and resumed.
// The others must declare it dead and accept it again with a new incarnation. It
// must not declare the others dead because of the time that it was suspended.
func TestFrozenProcess(t *testing.T) {
	routers := fleet(t, 3, quick)
	eventually(t, "full membership", joined(routers))
	child := startChild(t, routers[0].address)
	all := func(want int) func() bool {
		return func() bool {
			for _, r := range routers {
				if len(r.Members()) != want {
					return false
				}
			}
			return true
		}
	}
	eventually(t, "member of the other process", all(4))
	before, _ := routers[0].lookup("frozen")

	assert.NilError(t, child.Signal(syscall.SIGSTOP))
	eventually(t, "death of the frozen process", all(3))
	assert.NilError(t, child.Signal(syscall.SIGCONT))
	eventually(t, "return of the process", all(4))
	after, _ := routers[0].lookup("frozen")
	assert.Assert(t, after.Incarnation > before.Incarnation)
	answer, err := routers[1].Call(within(t, 20*time.Second), "frozen", "view", nil)
	assert.NilError(t, err)
	assert.Equal(t, string(answer), "4 members, 0 deaths")
}

// startChild runs this test binary as a router that joins through seed.
func startChild(t *testing.T, seed string) *os.Process {
	t.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), childEnv+"="+seed)
	in, err := cmd.StdinPipe()
	assert.NilError(t, err)
	assert.NilError(t, cmd.Start())
	t.Cleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		in.Close()
		_ = cmd.Wait()
	})
	return cmd.Process
}
