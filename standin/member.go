package main

import (
	"context"
	"errors"
	"flag"
	"net/http"
	"time"

	"wisteriaspool/standin/platform"
)

// refreshInterval is the time between two checks of a member's incarnation.
const refreshInterval = 200 * time.Millisecond

// member holds the flags shared by all commands that register in the list of
// instances.
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

// entry returns the member's entry for the list of instances.
func (m *member) entry(address, kind string, incarnation uint64) platform.Instance {
	return platform.Instance{
		ID: m.id, Address: address, Zone: m.zone, Kind: kind, Pool: m.pool,
		State: platform.Live, Incarnation: incarnation, Capacity: m.capacity,
	}
}

// worker is the handler that a member serves.
type worker interface {
	http.Handler
	Incarnation() uint64
	Leave()
	Drain(ctx context.Context) error
}

// run registers and serves w until a signal, and then stops gracefully.
func (m *member) run(ctx context.Context, w worker, kind string) error {
	ln, err := m.listen()
	if err != nil {
		return err
	}
	s := serve(ln, w)
	r := &registration{
		member: m, worker: w, client: platform.Client{URL: m.platform},
		entry: m.entry(ln.Addr().String(), kind, w.Incarnation()),
	}
	if err := r.register(ctx); err != nil {
		return err
	}
	refresh, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go r.refreshLoop(refresh, done)
	err = s.wait(ctx)
	cancel()
	<-done
	if err != nil {
		return err
	}
	return m.leave(s, r)
}

// leave stops gracefully, without interrupting accepted requests.
func (m *member) leave(s *server, r *registration) error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	r.worker.Leave()
	r.entry.State = platform.Leaving
	registered := r.register(ctx)
	time.Sleep(m.leaveTime)
	drained := r.worker.Drain(ctx)
	stopped := s.stop()
	return errors.Join(registered, drained, stopped, r.remove(ctx))
}

// registration maintains a member's entry in the list of instances.
type registration struct {
	member *member
	worker worker
	client platform.Client
	entry  platform.Instance
}

// refreshLoop updates the entry when the incarnation of the worker changes, which
// happens after a crash.
func (r *registration) refreshLoop(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		incarnation := r.worker.Incarnation()
		if incarnation == r.entry.Incarnation {
			continue
		}
		next := *r
		next.entry.Incarnation = incarnation
		if next.register(ctx) == nil {
			r.entry = next.entry
		}
	}
}

// register registers the entry. It makes several attempts, since the platform may
// still be starting.
func (r *registration) register(ctx context.Context) error {
	const tries, interval = 25, 200 * time.Millisecond
	if r.member.platform == "" {
		return nil
	}
	var err error
	for range tries {
		if err = r.client.Register(ctx, r.entry); err == nil {
			return nil
		}
		select {
		case <-time.After(interval):
		case <-ctx.Done():
			return err
		}
	}
	return err
}

func (r *registration) remove(ctx context.Context) error {
	if r.member.platform == "" {
		return nil
	}
	return r.client.Remove(ctx, r.entry.ID)
}
