package service_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/execution"
	"wisteriaspool/coordination/outcome"
	standin "wisteriaspool/standin/platform"
	"wisteriaspool/standin/service"
	"wisteriaspool/wisteriarouter/caller"
	"wisteriaspool/wisteriarouter/platform"
	router "wisteriaspool/wisteriarouter/service"
)

// Environment variables that make this test binary run as a router.
const (
	envPlatform = "WISTERIA_TEST_PLATFORM" // URL
	envServices = "WISTERIA_TEST_DESKS"    // addresses, separated by commas
)

func TestMain(m *testing.M) {
	if os.Getenv(envPlatform) != "" {
		serveOrders()
	}
	os.Exit(m.Run())
}

// process is the handler of a router in its own process. It runs the order
// whose key is the path, and responds with what the caller is told.
type process struct{ runner *router.Runner }

type processAnswer struct {
	Outcome outcome.Outcome `json:"outcome"`
	Body    string          `json:"body"`
}

func serveOrders() {
	store, _, err := platform.New(platform.Config{Endpoints: []string{os.Getenv(envPlatform)}, Timeout: 300 * time.Millisecond})
	if err != nil {
		panic(err)
	}
	client, _ := router.NewClient(router.Options{})
	ledger, _ := execution.New(execution.Config{
		Store:         store,
		Holder:        coordination.Instance(uuid.NewString()),
		DispatchLimit: 300 * time.Millisecond,
		CallTimeout:   300 * time.Millisecond,
	})
	s := &cluster{random: rand.New(rand.NewPCG(1, uint64(os.Getpid()))), nonIdempotent: true}
	s.addresses = strings.Split(os.Getenv(envServices), ",")
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	go parent{}.run()
	fmt.Println(l.Addr())
	panic(http.Serve(l, process{&router.Runner{Planner: s, Placer: s, Retries: s, Client: client, Ledger: ledger}}))
}

// parent ends this process when the test process ends, which closes standard
// input.
type parent struct{}

func (parent) run() {
	_, _ = io.Copy(io.Discard, os.Stdin)
	os.Exit(1)
}

func (p process) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	key := strings.TrimPrefix(r.URL.Path, "/")
	ans, refusal := p.runner.Run(r.Context(), caller.Action{
		Team: "solco", Account: "label-1", Service: "orders", Action: "book", Key: key, Body: []byte(`{"key":"` + key + `"}`),
	})
	out := processAnswer{Outcome: ans.Outcome, Body: string(ans.Body)}
	if refusal != nil {
		out = processAnswer{Outcome: refusal.Outcome}
	}
	_ = json.NewEncoder(w).Encode(out)
}

// child is a running router process.
type child struct {
	cmd     *exec.Cmd
	address string
}

func startChild(t *testing.T, platformURL string, services []string) *child {
	t.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), envPlatform+"="+platformURL, envServices+"="+strings.Join(services, ","))
	out, err := cmd.StdoutPipe()
	assert.NilError(t, err)
	_, err = cmd.StdinPipe() // closed when the test process ends
	assert.NilError(t, err)
	assert.NilError(t, cmd.Start())
	c := &child{cmd: cmd}
	t.Cleanup(c.kill)
	line, err := bufio.NewReader(out).ReadString('\n')
	assert.NilError(t, err)
	c.address = strings.TrimSpace(line)
	return c
}

func (c *child) signal(s syscall.Signal) { _ = c.cmd.Process.Signal(s) }

func (c *child) kill() {
	_ = c.cmd.Process.Kill()
	_ = c.cmd.Wait()
}

// fleet holds the current router processes.
type fleet struct {
	mu       sync.Mutex
	children [clusterRouters]*child
}

func (f *fleet) get(i int) *child {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.children[i]
}

func (f *fleet) set(i int, c *child) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.children[i] = c
}

// processCaller repeats one order through the routers until the test ends.
type processCaller struct {
	cluster *cluster
	fleet   *fleet
	key     string
}

func (b *processCaller) run(ctx context.Context, done *sync.WaitGroup) {
	defer done.Done()
	client := &http.Client{Timeout: time.Second}
	for ctx.Err() == nil {
		t := b.order(client, b.fleet.get(b.cluster.intN(clusterRouters)).address)
		b.cluster.mu.Lock()
		b.cluster.results[b.key] = append(b.cluster.results[b.key], t)
		b.cluster.mu.Unlock()
		time.Sleep(time.Duration(b.cluster.intN(300)) * time.Millisecond)
	}
}

func (b *processCaller) order(client *http.Client, address string) callResult {
	res, err := client.Post("http://"+address+"/"+b.key, "", nil)
	if err != nil {
		return callResult{}
	}
	defer res.Body.Close()
	var ans processAnswer
	if json.NewDecoder(res.Body).Decode(&ans) != nil {
		return callResult{}
	}
	return callResult{outcome: ans.Outcome, body: ans.Body}
}

// Router processes are stopped by SIGSTOP for longer than their dispatch limit
// and continued, or killed and replaced, while their callers repeat orders
// through the others and the platform loses replies and is down. The results
// must stand up to the check of TestWholePathAtMostOnce.
func TestProcessesFrozenAndKilled(t *testing.T) {
	server, stop := standin.New(standin.Options{Seed: 1})
	defer stop()
	platformServer := httptest.NewServer(server)
	defer platformServer.Close()
	s := &cluster{random: rand.New(rand.NewPCG(1, 1)), results: map[string][]callResult{}}
	var services []string
	for i := range clusterServices {
		svc, stop := service.New(service.Options{Seed: uint64(i), ActionTime: 20 * time.Millisecond})
		defer stop()
		svc.SetFaults(service.Faults{CutBefore: 0.1, CutAfter: 0.1, Refuse: 0.1})
		srv := httptest.NewServer(svc)
		defer srv.Close()
		s.services = append(s.services, svc)
		services = append(services, address(srv.URL))
	}
	f := &fleet{}
	for i := range clusterRouters {
		f.set(i, startChild(t, platformServer.URL, services))
	}
	ctx, cancel := context.WithCancel(t.Context())
	var callersDone sync.WaitGroup
	const rounds = 12
	for n := range rounds {
		for range 3 {
			key := booking(t).Key
			for range 3 {
				callersDone.Add(1)
				go (&processCaller{s, f, key}).run(ctx, &callersDone)
			}
		}
		assert.NilError(t, server.SetFaults(standin.Faults{LoseReply: 0.1, Outage: n%4 == 3}))
		i := s.intN(clusterRouters)
		c := f.get(i)
		c.signal(syscall.SIGSTOP)
		time.Sleep(400 * time.Millisecond)
		if n%3 == 2 {
			c.kill()
			f.set(i, startChild(t, platformServer.URL, services))
			continue
		}
		c.signal(syscall.SIGCONT)
	}
	cancel()
	callersDone.Wait()
	assert.NilError(t, s.check())
	runs, calls := 0, 0
	for key, all := range s.results {
		runs += s.runs(key)
		calls += len(all)
	}
	t.Logf("%d orders, %d calls, %d ran", len(s.results), calls, runs)
	assert.Assert(t, runs > 0)
}
