package mirror

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/joomcode/errorx"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/kv"
)

// Topic is the topic of calls to other routers' mirrors.
const Topic = "mirror"

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("mirror")

var (
	// ErrNoPeer says that no other router is known.
	ErrNoPeer = Errors.NewType("no-peer")
	// ErrMalformed says that a message cannot be read.
	ErrMalformed = Errors.NewType("malformed")
)

// Ask is a call to another router: what has changed after a revision?
type Ask struct {
	Prefix string      `cbor:"1,keyasint"`
	After  kv.Revision `cbor:"2,keyasint"`
	WaitMs uint32      `cbor:"3,keyasint"`
}

// Transport carries calls to other routers.
type Transport interface {
	Call(ctx context.Context, to coordination.Instance, topic string, payload []byte) ([]byte, error)
}

// PeerSource is the other routers as a Source. Each fetch goes to a router that
// Choose names, so that one that is behind or cut off itself is not asked
// twice in a row but by chance.
type PeerSource struct {
	Transport Transport
	Choose    func() (coordination.Instance, bool)
	Prefix    string
	Wait      func() time.Duration // for which a peer waits for a change
	Timeout   time.Duration        // beyond Wait
}

// Fetch implements Source.
func (s PeerSource) Fetch(ctx context.Context, after kv.Revision) (Update, error) {
	to, ok := s.Choose()
	if !ok {
		return Update{}, ErrNoPeer.New("no other router is known")
	}
	wait := s.Wait()
	ctx, cancel := context.WithTimeout(ctx, wait+s.Timeout)
	defer cancel()
	b, err := s.Transport.Call(ctx, to, Topic, encode(Ask{Prefix: s.Prefix, After: after, WaitMs: uint32(wait.Milliseconds())}))
	if err != nil {
		return Update{}, err
	}
	var u Update
	if err := cbor.Unmarshal(b, &u); err != nil {
		return Update{}, ErrMalformed.Wrap(err, "update from %s", to)
	}
	return u, nil
}

func encode(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic("mirror: encoding a message: " + err.Error())
	}
	return b
}

// Server answers the calls of other routers.
type Server struct {
	Mirrors map[string]*Mirror // by prefix
}

// longestWait bounds the time for which a call is held, whatever it asks for.
const longestWait = 10 * time.Second

// Handle answers a call on [Topic].
func (s Server) Handle(ctx context.Context, payload []byte) ([]byte, error) {
	var a Ask
	if err := cbor.Unmarshal(payload, &a); err != nil {
		return nil, ErrMalformed.Wrap(err, "ask")
	}
	m := s.Mirrors[a.Prefix]
	if m == nil {
		return nil, ErrMalformed.New("no mirror of %q", a.Prefix)
	}
	wait := min(time.Duration(a.WaitMs)*time.Millisecond, longestWait)
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	m.Wait(ctx, a.After)
	return encode(m.Since(a.After)), nil
}
