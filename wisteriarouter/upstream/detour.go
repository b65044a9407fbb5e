package upstream

import (
	"context"
	"errors"
	"net"
	"time"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/detour"
)

// Tunnels connects to endpoints through other routers.
type Tunnels interface {
	// Routers returns the routers that may be asked to connect to an endpoint.
	Routers(address string) []detour.Router
	// Open connects to an endpoint through another router. The error wraps
	// ErrUnreachable if that router, which reaches others, cannot connect to it.
	Open(ctx context.Context, via coordination.Instance, address string) (net.Conn, error)
	// Serves reports whether a router neither leaves nor is silent. One that leaves cuts off
	// what goes through it when it ends.
	Serves(via coordination.Instance) bool
}

// ErrUnreachable reports that a router which reaches other endpoints cannot connect
// to an endpoint.
var ErrUnreachable = errors.New("upstream: another router cannot connect to the endpoint either")

// errCutOff reports that no connection was made and that the cause may lie with this
// router.
var errCutOff = errors.New("upstream: this router may be cut off from the endpoint")

// CutOff reports whether a failed dial says nothing about the endpoint, because this
// router may be cut off from it.
func CutOff(err error) bool { return causedBy(err, errCutOff) }

// Unreachable reports whether a dial has failed that another router, which reaches other
// endpoints, has confirmed.
func Unreachable(err error) bool { return causedBy(err, ErrUnreachable) }

// Detour connects to endpoints, through another router where this one is cut off.
type Detour struct {
	Direct  func(ctx context.Context, network, address string) (net.Conn, error)
	Tunnels Tunnels
	Planner *detour.Planner
	// OnBlocked, if set, is called when another router has connected to an endpoint
	// to which this one could not. silent reports that the direct connection had not
	// been refused: packets may be lost, also on connections that are open.
	OnBlocked func(address string, silent bool)
}

// DialDirect connects to an endpoint without a detour.
func (d *Detour) DialDirect(ctx context.Context, network, address string) (net.Conn, error) {
	began := time.Now()
	c, err := d.Direct(ctx, network, address)
	switch {
	case err == nil:
		d.Planner.RecordDirect(time.Now(), detour.Address(address), time.Since(began))
	case !errors.Is(ctx.Err(), context.Canceled):
		d.Planner.RecordFailure(time.Now(), detour.Address(address))
	}
	return c, err
}

// DialContext connects to an endpoint.
func (d *Detour) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	ways := d.Planner.Plan(time.Now(), detour.Address(address), d.Tunnels.Routers(address))
	if len(ways) == 1 {
		return d.DialDirect(ctx, network, address)
	}
	raceCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &race{Detour: d, network: network, address: address, ways: ways, results: make(chan raceResult, len(ways))}
	return r.run(raceCtx)
}

// race tries several ways to connect to one endpoint.
type race struct {
	*Detour
	network, address string
	ways             []detour.Way
	results          chan raceResult

	started     int
	pending     int
	directErr   error // nil while the direct connection has not failed
	directBegun bool
	confirmed   bool // another router cannot connect either
}

type raceResult struct {
	way  detour.Way
	conn net.Conn
	err  error
}

// run returns the first connection that is made. Ways are started one by one, when
// the last one has failed or after a while.
func (r *race) run(ctx context.Context) (net.Conn, error) {
	stagger := time.NewTimer(r.Planner.Stagger())
	defer stagger.Stop()
	r.start(ctx)
	for {
		select {
		case <-ctx.Done():
			go raceLosers{results: r.results, pending: r.pending}.run()
			return nil, r.failure(ctx.Err())
		case <-stagger.C:
			if !r.start(ctx) {
				continue
			}
		case res := <-r.results:
			r.pending--
			if res.err == nil {
				r.won(res)
				go raceLosers{results: r.results, pending: r.pending}.run()
				return res.conn, nil
			}
			r.lost(res)
			if !r.start(ctx) && r.pending == 0 {
				return nil, r.failure(res.err)
			}
		}
		stagger.Reset(r.Planner.Stagger())
	}
}

// start starts the next way and reports whether there was one. An endpoint to which
// another router cannot connect either is not tried further.
func (r *race) start(ctx context.Context) bool {
	if r.started == len(r.ways) || r.confirmed && r.directBegun {
		return false
	}
	w := r.ways[r.started]
	r.started++
	r.pending++
	r.directBegun = r.directBegun || w.Direct()
	go raceAttempt{race: r, way: w}.run(ctx)
	return true
}

// won records how the connection was made.
func (r *race) won(res raceResult) {
	if res.way.Direct() {
		return
	}
	r.Planner.RecordHelp(res.way.Via)
	if !r.directBegun {
		return
	}
	silent := r.directErr == nil || !Refused(r.directErr)
	r.Planner.RecordBlocked(time.Now(), detour.Address(r.address), silent)
	if r.OnBlocked != nil {
		r.OnBlocked(r.address, silent)
	}
}

// lost records that a way has failed.
func (r *race) lost(res raceResult) {
	switch {
	case res.way.Direct():
		r.directErr = res.err
	case errors.Is(res.err, ErrUnreachable):
		r.confirmed = true
	default:
		r.Planner.RecordNoHelp(time.Now(), res.way.Via)
	}
}

// failure returns the error of a race that no way has won.
func (r *race) failure(err error) error {
	if r.directErr != nil {
		err = r.directErr
	}
	if r.confirmed && r.directBegun {
		r.Planner.RecordUnreachable(detour.Address(r.address))
		return errors.Join(ErrUnreachable, err)
	}
	return errors.Join(errCutOff, err)
}

// directTimeout limits a direct connection beside which other ways are tried. A lost
// first packet is sent again after 1 s, by which time other routers have connected.
const directTimeout = 400 * time.Millisecond

// raceAttempt is one way that is tried.
type raceAttempt struct {
	race *race
	way  detour.Way
}

func (a raceAttempt) run(ctx context.Context) {
	res := raceResult{way: a.way}
	if a.way.Direct() {
		// The direct connection goes on when another router was faster: if it is
		// made after all, this router is not cut off.
		directCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), directTimeout)
		defer cancel()
		res.conn, res.err = a.race.DialDirect(directCtx, a.race.network, a.race.address)
	} else {
		res.conn, res.err = a.race.Tunnels.Open(ctx, a.way.Via, a.race.address)
	}
	a.race.results <- res
}

// raceLosers closes the connections of the ways that were slower.
type raceLosers struct {
	results chan raceResult
	pending int
}

func (l raceLosers) run() {
	for range l.pending {
		if res := <-l.results; res.err == nil {
			_ = res.conn.Close()
		}
	}
}
