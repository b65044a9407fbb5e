package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const spotNotice = 2 * time.Second // from the notice to the end of a replica

// cutWithNotice takes replicas away at short notice while their streams run. The streams
// have neither a length nor chunks, and end with their channels.
func cutWithNotice(f *fleet) (bool, error) {
	const key = "n2ctnfzs989anu6wsjnb"
	var all []*process
	for n := 1; n <= 7; n++ {
		p, err := f.startProcess(n, "confirm-llm")
		if err != nil {
			return false, err
		}
		all = append(all, p)
	}
	f.put(map[string]any{
		"routes": []any{map[string]any{
			"name": "term-summary", "hostname": host, "prefix": "/summary/", "type": "stream", "timeoutMs": 12000, "ttftTargetMs": 800,
			"priority": 1, "backend": "confirm-llm", "attempts": 1, "public": false, "sticky": true, "resumable": false, "itlTargetMs": 300,
		}},
		"backends": []any{pool("confirm-llm", true)},
		"tenants":  []any{map[string]any{"name": "hule930", "apiKeys": []any{key}, "priority": 1}},
	})
	if err := f.startRouters(); err != nil {
		return false, err
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	var answers []answer
	end := time.Now().Add(14 * time.Second)
	for n := range 60 {
		wg.Go(func() {
			for time.Now().Before(end) {
				c, err := f.routers[n%3].open()
				if err != nil {
					return
				}
				a := c.do(request{id: newID(), method: http.MethodPost, path: "/summary/2f", key: key, usage: fmt.Sprintf("829,%d", streamEvents*eventTokens), part: fmt.Sprintf("5c1e07%02x", n), deadline: 12 * time.Second, body: make([]byte, 830)})
				c.close()
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
			}
		})
		time.Sleep(40 * time.Millisecond)
	}
	time.Sleep(3 * time.Second)
	if f.trouble {
		all[0].takeAway()
	}
	wg.Wait()
	short := 0
	for _, a := range answers {
		if a.status == http.StatusOK && a.whole && a.events < streamEvents {
			short++
			f.note("ORDER: the answer to %s ended as complete after %d of %d events", a.id, a.events, streamEvents)
		}
	}
	f.note("%d requests, %d streams ended as complete before their last piece", len(answers), short)
	return short > 0, nil
}

// streamEvents is how many events each stream of this case has.
const streamEvents = 80

// process is a replica that runs as a process of its own.
type process struct {
	*server
	command *exec.Cmd
}

// startProcess starts a replica as a process and registers it.
func (f *fleet) startProcess(n int, service string) (*process, error) {
	p := &process{server: f.newServer(n, service, 128, 0)}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(f.tmp, p.id+".log"))
	if err != nil {
		return nil, err
	}
	p.command = exec.Command(self, "replica", p.id, p.address)
	p.command.Stdout, p.command.Stderr = log, log
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		return nil, err
	}
	f.closers = append(f.closers, func() { _ = p.command.Process.Kill(); _ = p.command.Wait() })
	for range 100 {
		if c, err := net.Dial("tcp", p.address); err == nil {
			_ = c.Close()
			p.register()
			return p, nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil, fmt.Errorf("%s does not listen", p.id)
}

// takeAway reports the replica as draining, and ends its process a short time later.
func (p *process) takeAway() {
	b, _ := json.Marshal(map[string]any{
		"backend": p.service, "address": p.address, "zone": p.zone, "version": "v1", "slots": p.slots, "state": "draining",
		"coldLeftMs": 0, "phase": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "seqno": 2, "born": p.born,
	})
	p.fleet.store.put("servers/"+p.id, b)
	p.fleet.note("%s: draining", p.id)
	time.Sleep(spotNotice)
	p.fleet.note("%s: gone", p.id)
	_ = p.command.Process.Kill()
}

// replica is the main function of such a process.
func replica(id, address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	for {
		c, err := l.Accept()
		if err != nil {
			return err
		}
		go serveUndelimited(id, c)
	}
}

// serveUndelimited answers one request with a stream that ends with its channel.
func serveUndelimited(id string, c net.Conn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	r, err := http.ReadRequest(br)
	if err != nil {
		return
	}
	if _, err := br.Discard(int(r.ContentLength)); err != nil {
		return
	}
	request := r.Header.Get("X-Attempt-Id")
	if expected := r.Header.Get("X-Expect-Instance"); expected != id {
		fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", request, id)
		return
	}
	_, out, _ := strings.Cut(r.Header.Get("X-Token-Usage"), ",")
	tokens, _ := strconv.Atoi(out)
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Signature: sig.%s.%s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", request, id, request)
	for n := 1; n <= tokens/eventTokens; n++ {
		time.Sleep(eventTime)
		if _, err := fmt.Fprintf(c, "id: %d\ndata: tokens %d of %s\n\n", n, n, request); err != nil {
			return
		}
	}
}
