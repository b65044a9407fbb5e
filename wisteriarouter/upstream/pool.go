package upstream

import (
	"errors"
	"io"
	"sync"
	"time"
)

// ignoreEOF returns nil for io.EOF, the regular end of a body, and otherwise err.
func ignoreEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// pool holds idle connections by address, the most recently used last.
type pool struct {
	mu    sync.Mutex
	conns map[string][]*conn
}

// take returns the most recently used connection that is usable, or nil. A maxIdle
// other than zero limits how long it has been idle.
func (p *pool) take(now time.Time, address string, maxIdle time.Duration) *conn {
	for {
		c := p.pop(now, address, maxIdle)
		if c == nil || c.usable() {
			return c
		}
		c.abort()
	}
}

func (p *pool) pop(now time.Time, address string, maxIdle time.Duration) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := p.conns[address]
	if len(all) == 0 {
		return nil
	}
	c := all[len(all)-1]
	if now.After(c.expires) || maxIdle > 0 && now.Sub(c.idleSince) > maxIdle {
		return nil // all others have been idle for longer
	}
	p.conns[address] = all[:len(all)-1]
	return c
}

// put adds a connection, and closes the one that has been idle for longest if there
// are more than limit.
func (p *pool) put(c *conn, limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := append(p.conns[c.address], c)
	if len(all) > limit {
		all[0].abort()
		all = all[1:]
	}
	p.conns[c.address] = all
}

// sweep closes the connections that endpoints may be about to close, and those through
// routers that leave, which wait for them.
func (p *pool) sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, all := range p.conns {
		kept := all[:0]
		for _, c := range all {
			if now.After(c.expires) || !c.viaServes() {
				c.abort()
				continue
			}
			kept = append(kept, c)
		}
		if len(kept) == 0 {
			delete(p.conns, address)
			continue
		}
		p.conns[address] = kept
	}
}

// activeConns holds when something was last heard on the direct connections that
// serve a request.
type activeConns struct {
	mu      sync.Mutex
	heardAt map[*conn]time.Time
}

// add adds a connection on which a request is sent.
func (a *activeConns) add(c *conn, now time.Time) {
	if !c.direct() {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.heardAt[c] = now
}

// heard records that a part of a response has arrived.
func (a *activeConns) heard(c *conn, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := a.heardAt[c]; ok {
		a.heardAt[c] = now
	}
}

func (a *activeConns) remove(c *conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.heardAt, c)
}

// silentAfter is how long nothing is heard on a connection before it counts as dead
// while this router is cut off from endpoints.
const silentAfter = time.Second

// abortSilent closes the connections on which nothing was heard for silentAfter.
// Their requests hold places at endpoints that other routers could use.
func (a *activeConns) abortSilent(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for c, at := range a.heardAt {
		if now.Sub(at) >= silentAfter {
			c.abort()
		}
	}
}

// drop closes the direct connections to an address, or to all if it is empty.
func (p *pool) drop(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, all := range p.conns {
		if address != "" && a != address {
			continue
		}
		kept := all[:0]
		for _, c := range all {
			if !c.direct() {
				kept = append(kept, c)
				continue
			}
			c.abort()
		}
		p.conns[a] = kept
	}
}

func (p *pool) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, all := range p.conns {
		for _, c := range all {
			c.abort()
		}
	}
	clear(p.conns)
}
