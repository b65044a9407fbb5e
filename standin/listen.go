package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"wisteriaspool/standin/platform"
)

// stopTimeout is how long open connections have to end at a stop.
const stopTimeout = 60 * time.Second

// listener holds the flags of everything that listens.
type listener struct {
	addr     string
	addrFile string
}

func (l *listener) setFlags(f *flag.FlagSet) {
	f.StringVar(&l.addr, "addr", "127.0.0.1:0", "`address` to listen on; port 0 takes a free one")
	f.StringVar(&l.addrFile, "addr-file", "", "`file` to write the address to once it listens")
}

// listen opens the port and announces it.
func (l *listener) listen() (net.Listener, error) {
	ln, err := net.Listen("tcp", l.addr)
	if err != nil {
		return nil, fmt.Errorf("standin: %w", err)
	}
	if l.addrFile != "" {
		if err := writeWhole(l.addrFile, ln.Addr().String()+"\n"); err != nil {
			ln.Close()
			return nil, err
		}
	}
	fmt.Fprintln(os.Stderr, "listening on", ln.Addr())
	return ln, nil
}

// writeWhole writes a file under another name first, so that who waits for the
// file never reads a part of it.
func writeWhole(name, text string) error {
	temp, err := os.CreateTemp(filepath.Dir(name), filepath.Base(name)+".*")
	if err != nil {
		return fmt.Errorf("standin: %w", err)
	}
	_, err = temp.WriteString(text)
	err = errors.Join(err, temp.Close())
	if err == nil {
		err = os.Rename(temp.Name(), name)
	}
	if err != nil {
		os.Remove(temp.Name())
		return fmt.Errorf("standin: %w", err)
	}
	return nil
}

// server serves a handler until a signal tells it to stop.
type server struct {
	http  *http.Server
	ended chan error
}

// serve starts a server.
func serve(ln net.Listener, h http.Handler) *server {
	s := &server{
		http:  &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second},
		ended: make(chan error, 1),
	}
	go s.run(ln)
	return s
}

func (s *server) run(ln net.Listener) { s.ended <- s.http.Serve(ln) }

// wait returns when SIGTERM or an interrupt arrives, or serving fails.
func (s *server) wait(ctx context.Context) error {
	ctx, cancel := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer cancel()
	select {
	case <-ctx.Done():
		return nil
	case err := <-s.ended:
		return fmt.Errorf("standin: %w", err)
	}
}

// stop waits for open connections to end.
func (s *server) stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := s.http.Shutdown(ctx); err != nil {
		return fmt.Errorf("standin: %w", err)
	}
	return nil
}

// member holds the flags of everything that is on the list of instances.
type member struct {
	listener
	platform  string
	id        string
	zone      string
	pool      string
	capacity  int
	leaveTime time.Duration
}

func (m *member) setFlags(f *flag.FlagSet, id, pool string, capacity int) {
	m.listener.setFlags(f)
	f.StringVar(&m.platform, "platform", "", "`URL` of the platform stand-in to register with; empty registers nowhere")
	f.StringVar(&m.id, "id", id, "`id` on the list of instances")
	f.StringVar(&m.zone, "zone", "a", "availability `zone`")
	f.StringVar(&m.pool, "pool", pool, "`pool`, as model@version or the name of a service")
	f.IntVar(&m.capacity, "capacity", capacity, "requests that run at once")
	f.DurationVar(&m.leaveTime, "leave-time", time.Second, "least `time` between the word that it leaves and its end")
}

// entry returns what the list of instances is to show.
func (m *member) entry(address, kind string, incarnation uint64) platform.Instance {
	return platform.Instance{
		ID: m.id, Address: address, Zone: m.zone, Kind: kind, Pool: m.pool,
		State: platform.Live, Incarnation: incarnation, Capacity: m.capacity,
	}
}

// worker is what a member serves.
type worker interface {
	http.Handler
	Leave()
	Drain(ctx context.Context) error
}

// run serves w from start to a graceful stop.
func (m *member) run(ctx context.Context, w worker, kind string, incarnation uint64) error {
	ln, err := m.listen()
	if err != nil {
		return err
	}
	s := serve(ln, w)
	client := platform.Client{URL: m.platform}
	entry := m.entry(ln.Addr().String(), kind, incarnation)
	if err := m.register(ctx, client, entry); err != nil {
		return err
	}
	if err := s.wait(ctx); err != nil {
		return err
	}
	w.Leave()
	entry.State = platform.Leaving
	registered := m.register(ctx, client, entry)
	time.Sleep(m.leaveTime)
	drain, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	drained := w.Drain(drain)
	stopped := s.stop()
	var removed error
	if m.platform != "" {
		removed = client.Remove(ctx, m.id)
	}
	return errors.Join(registered, drained, stopped, removed)
}

// register tries for a while, since the platform may be starting too.
func (m *member) register(ctx context.Context, client platform.Client, entry platform.Instance) error {
	const tries, interval = 25, 200 * time.Millisecond
	if m.platform == "" {
		return nil
	}
	var err error
	for range tries {
		if err = client.Register(ctx, entry); err == nil {
			return nil
		}
		time.Sleep(interval)
	}
	return err
}
