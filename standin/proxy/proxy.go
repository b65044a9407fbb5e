// Package proxy provides a TCP proxy on the loopback interface that can delay,
// stall and reset connections, to simulate links and machines that fail
// silently.
package proxy

import (
	"net"
	"sync"
	"time"

	"wisteriaspool/standin/loopback"
)

// Mode sets how a proxy handles its connections.
type Mode struct {
	Delay  time.Duration // added to each chunk of up to 16 KiB and to the close, in both directions
	Silent bool          // data is held back in both directions until the mode changes
	OneWay bool          // like Silent, but only toward the target
	Refuse bool          // new connections are reset
}

// Proxy forwards TCP connections to a target.
type Proxy struct {
	target   string
	listener net.Listener

	mu       sync.Mutex
	mode     Mode
	changed  chan struct{}
	conns    map[net.Conn]struct{}
	accepted int                          // connections
	severed  int                          // connections up to this one hold all data back for good
	cut      map[string]bool              // sources whose connections hold data back; "" stands for all
	sourceOf func(client net.Addr) string // nil if sources are not told apart
}

// New starts a proxy on a free loopback port that forwards to target, a
// host:port. The returned function stops it and resets its connections. New
// returns an error if it can't listen.
func New(target string) (*Proxy, func(), error) {
	l, err := net.Listen("tcp", loopback.Address())
	if err != nil {
		return nil, nil, err
	}
	p := &Proxy{target: target, listener: l, changed: make(chan struct{}), conns: make(map[net.Conn]struct{}), cut: make(map[string]bool)}
	go p.run()
	return p, p.stop, nil
}

// Address returns the host:port that the proxy listens on.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetMode sets the mode for open and new connections.
func (p *Proxy) SetMode(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	close(p.changed)
	p.changed = make(chan struct{})
}

// Sever makes all open connections silent for good, while new ones work.
func (p *Proxy) Sever() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.severed = p.accepted
}

// IdentifySources sets the function that names the source of a connection by the address
// of its client. It must be called before the first connection.
func (p *Proxy) IdentifySources(sourceOf func(client net.Addr) string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sourceOf = sourceOf
}

// Cut holds back the data of all open and new connections of a source in both directions, or
// ends that. An empty source stands for all. The mode stays as it is.
func (p *Proxy) Cut(source string, on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if on {
		p.cut[source] = true
	} else {
		delete(p.cut, source)
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// isCut reports whether the connections of a source hold data back.
func (p *Proxy) isCut(source string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut[""] || p.cut[source]
}

// source returns the source of a connection.
func (p *Proxy) source(c net.Conn) string {
	p.mu.Lock()
	sourceOf := p.sourceOf
	p.mu.Unlock()
	if sourceOf == nil {
		return ""
	}
	return sourceOf(c.RemoteAddr())
}

// isSevered reports whether a connection is silent for good.
func (p *Proxy) isSevered(n int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return n <= p.severed
}

// Reset closes all open connections with a TCP reset.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (p *Proxy) stop() {
	_ = p.listener.Close()
	p.mu.Lock()
	clear(p.cut)
	p.mu.Unlock()
	p.SetMode(Mode{})
	p.Reset()
}

func (p *Proxy) run() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		if mode, _ := p.currentMode(); mode.Refuse {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
			continue
		}
		p.mu.Lock()
		p.accepted++
		pair := connPair{proxy: p, client: c, n: p.accepted}
		p.mu.Unlock()
		go pair.run()
	}
}

func (p *Proxy) currentMode() (Mode, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, p.changed
}

func (p *Proxy) trackConn(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = struct{}{}
}

func (p *Proxy) closeConn(c net.Conn) {
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
	_ = c.Close()
}

// connPair is a client connection and the matching connection to the target.
type connPair struct {
	proxy  *Proxy
	client net.Conn
	n      int // of the connections accepted
}

func (c connPair) run() {
	c.proxy.trackConn(c.client)
	defer c.proxy.closeConn(c.client)
	target, err := net.Dial("tcp", c.proxy.target)
	if err != nil {
		_ = c.client.(*net.TCPConn).SetLinger(0)
		return
	}
	c.proxy.trackConn(target)
	defer c.proxy.closeConn(target)
	source := c.proxy.source(c.client)
	toClient := forwarder{proxy: c.proxy, n: c.n, source: source, from: target, to: c.client, done: make(chan struct{})}
	go toClient.run()
	forwarder{proxy: c.proxy, n: c.n, source: source, from: c.client, to: target, toTarget: true, done: make(chan struct{})}.run()
	<-toClient.done
}

// forwarder copies one direction of a connPair.
type forwarder struct {
	proxy    *Proxy
	n        int
	source   string
	from, to net.Conn
	toTarget bool // copies from the client to the target
	done     chan struct{}
}

// run copies data until either connection ends, and then closes the other.
func (f forwarder) run() {
	defer close(f.done)
	defer func() { _ = f.to.Close() }()
	buf := make([]byte, 16<<10)
	for {
		n, err := f.from.Read(buf)
		if n > 0 {
			f.waitForMode()
			if _, werr := f.to.Write(buf[:n]); werr != nil {
				_ = f.from.Close()
				return
			}
		}
		if err != nil {
			f.waitForMode() // delays the close like data
			return
		}
	}
}

// waitForMode waits until the mode allows data in this direction and then for
// mode.Delay.
func (f forwarder) waitForMode() {
	for {
		mode, changed := f.proxy.currentMode()
		if !f.proxy.isSevered(f.n) && !f.proxy.isCut(f.source) && !mode.Silent && (!mode.OneWay || !f.toTarget) {
			time.Sleep(mode.Delay)
			return
		}
		<-changed
	}
}
