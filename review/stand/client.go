package main

import (
	"bufio"
	"bytes"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// request is one client attempt.
type request struct {
	id       string
	method   string
	path     string
	key      string
	usage    string // X-Token-Usage; empty for a request without a stream
	part     string // the id of the shared part of its prompt
	deadline time.Duration
	body     []byte
}

// answer is what the client has seen of a request.
type answer struct {
	id      string
	router  int
	sent    time.Time // when its last byte was sent
	ended   time.Time
	status  int // 0 if no answer came
	signed  bool
	body    int
	events  int  // complete events of a stream
	whole   bool // the answer is complete
	closing bool // the channel ends with it
	err     error
}

var lastID atomic.Int64

// newID returns an id that no other request has.
func newID() string { return fmt.Sprintf("%08x%08x", 0x9c41d07b, lastID.Add(1)) }

// channel is a client's connection to one router, for one request at a time.
type channel struct {
	router *router
	nc     net.Conn
	r      *bufio.Reader
}

// open opens a channel. Clients allow a second for that.
func (r *router) open() (*channel, error) {
	nc, err := net.DialTimeout("tcp", r.frontend(), time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{router: r, nc: nc, r: bufio.NewReader(nc)}, nil
}

func (c *channel) close() { _ = c.nc.Close() }

const host = "ficu95.example"

// do sends a request and reads its answer to the end, or to the request's deadline.
func (c *channel) do(q request) answer {
	a := answer{id: q.id, router: c.router.n, closing: true}
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n", q.method, q.path, host, q.id, q.deadline.Milliseconds())
	if q.key != "" {
		fmt.Fprintf(&b, "Authorization: Bearer %s\r\n", q.key)
	}
	if q.usage != "" {
		fmt.Fprintf(&b, "X-Model: m\r\nX-Token-Usage: %s\r\nX-Prefix-Hash: %s:699,%s:130\r\n", q.usage, cmp.Or(q.part, "5c1e07a2"), q.id[8:])
	}
	if q.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	b.WriteString("\r\n")
	_ = c.nc.SetDeadline(time.Now().Add(q.deadline))
	parts := net.Buffers{b.Bytes(), q.body}
	if _, a.err = parts.WriteTo(c.nc); a.err == nil {
		a.sent = time.Now()
		c.read(q, &a)
	}
	a.ended = time.Now()
	c.router.fleet.note("client: %s %s at %s: status %d, %d bytes, whole %v, after %d ms, error %v",
		q.id, q.path, c.router.name(), a.status, a.body, a.whole, a.ended.Sub(a.sent).Milliseconds(), a.err)
	return a
}

func (c *channel) read(q request, a *answer) {
	resp, err := http.ReadResponse(c.r, &http.Request{Method: q.method})
	if err != nil {
		a.err = err
		return
	}
	a.status, a.signed = resp.StatusCode, resp.Header.Get("X-Server-Signature") != ""
	events := &eventCounter{}
	n, err := io.Copy(events, resp.Body)
	a.events = events.n
	_ = resp.Body.Close()
	a.body, a.err, a.whole, a.closing = int(n), err, err == nil, resp.Close || err != nil
}

// eventCounter counts the complete events that are written to it.
type eventCounter struct {
	n    int
	last byte
}

// Write implements io.Writer.
func (e *eventCounter) Write(b []byte) (int, error) {
	for _, c := range b {
		if c == '\n' && e.last == '\n' {
			e.n++
		}
		e.last = c
	}
	return len(b), nil
}
