package mirror

import (
	"bytes"
	"compress/flate"
	"context"
	"io"
	"sync"
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

// Transport carries calls and messages to other routers.
type Transport interface {
	Call(ctx context.Context, to coordination.Instance, topic string, payload []byte) ([]byte, error)
	// Notify sends a message that has no answer.
	Notify(ctx context.Context, to coordination.Instance, topic string, payload []byte) error
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
	// OnReach, if set, is told whether a router that has answered reaches the
	// store itself. One that does not hears of changes no sooner than this one.
	OnReach func(id coordination.Instance, reaches bool)
	// Asked, if set, remembers the calls.
	Asked *Asked
}

// Fetch implements Source.
func (s PeerSource) Fetch(ctx context.Context, after kv.Revision) (Update, error) {
	to, ok := s.Choose()
	if !ok {
		return Update{}, ErrNoPeer.New("no other router is known")
	}
	start := time.Now()
	u, err := s.ask(ctx, to, after, s.Wait())
	if s.Asked != nil {
		s.Asked.note(to, time.Since(start), u, err)
	}
	if err != nil {
		return Update{}, err
	}
	if s.OnReach != nil {
		s.OnReach(to, !u.Lost)
	}
	return u, nil
}

func (s PeerSource) ask(ctx context.Context, to coordination.Instance, after kv.Revision, wait time.Duration) (Update, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+s.Timeout)
	defer cancel()
	b, err := s.Transport.Call(ctx, to, Topic, encode(Ask{Prefix: s.Prefix, After: after, WaitMs: uint32(wait.Milliseconds())}))
	if err != nil {
		return Update{}, err
	}
	u, err := decodeReply(b)
	if err != nil {
		return Update{}, ErrMalformed.Wrap(err, "update from %s", to)
	}
	u.From = to
	return u, nil
}

// reply is the answer to an Ask: an update as it was packed for all who ask for
// the same, and its age now.
type reply struct {
	Packed []byte `cbor:"1,keyasint,omitempty"` // compressed
	AgeMs  uint32 `cbor:"2,keyasint"`
	Plain  []byte `cbor:"3,keyasint,omitempty"` // in place of Packed
	Lost   bool   `cbor:"4,keyasint,omitempty"` // this router does not reach the store
	// BehindMs is that of the update, now.
	BehindMs uint32 `cbor:"5,keyasint,omitempty"`
}

// mostUnpacked bounds an update that another router sends: all entries of 2,000
// endpoints and the largest value of the store, several times over.
const mostUnpacked = 16 << 20

func decodeReply(b []byte) (Update, error) {
	var r reply
	if err := cbor.Unmarshal(b, &r); err != nil {
		return Update{}, err
	}
	text := r.Plain
	if len(r.Packed) > 0 {
		var err error
		text, err = io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(r.Packed)), mostUnpacked))
		if err != nil {
			return Update{}, err
		}
	}
	var u Update
	if err := cbor.Unmarshal(text, &u); err != nil {
		return Update{}, err
	}
	u.AgeMs, u.BehindMs, u.Lost = r.AgeMs, r.BehindMs, r.Lost
	return u, nil
}

// packFrom is the size in bytes from which on an update is compressed: below,
// it fits a packet or two as it is.
const packFrom = 2 << 10

// pack returns an update for the wire, compressed if it is large. A desired
// state of a thousand routes is 250 KB; a router on a link of 10 Mbit/s that
// told it to 26 others as it is would need 5 s, and the change would be late
// everywhere. It packs to a tenth.
func pack(u Update) reply {
	u.AgeMs = 0
	text := encode(u)
	if len(text) < packFrom {
		return reply{Plain: text}
	}
	var b bytes.Buffer
	w := packers.Get().(*flate.Writer)
	defer packers.Put(w)
	w.Reset(&b)
	_, _ = w.Write(text) // a Buffer takes all writes
	_ = w.Close()
	return reply{Packed: b.Bytes()}
}

// packers holds compressors, each of which takes a megabyte.
var packers = sync.Pool{New: func() any {
	w, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		panic("mirror: packing an update: " + err.Error())
	}
	return w
}}

// Server answers the calls of other routers.
type Server struct {
	Mirrors map[string]*Mirror // by prefix
	// Lost, if set, reports whether this router does not reach the store. It
	// then holds no caller back to wait for a change, which others hear first.
	Lost func() bool

	mu     sync.Mutex
	packed []packedUpdate // the latest ones
}

// packedUpdate is an update as it was packed. Those who wait for a change ask
// for the same, so that it is packed once for all of them.
type packedUpdate struct {
	prefix      string
	after, asOf kv.Revision
	reply       reply
}

const (
	// longestWait bounds the time for which a call is held, whatever it asks
	// for.
	longestWait = 10 * time.Second
	// packedKept is how many packed updates are kept.
	packedKept = 4
)

// Handle answers a call on [Topic].
func (s *Server) Handle(ctx context.Context, payload []byte) ([]byte, error) {
	b, _, err := s.handle(ctx, payload)
	return b, err
}

// handle also returns the revision up to which the answer tells all.
func (s *Server) handle(ctx context.Context, payload []byte) ([]byte, kv.Revision, error) {
	var a Ask
	if err := cbor.Unmarshal(payload, &a); err != nil {
		return nil, 0, ErrMalformed.Wrap(err, "ask")
	}
	m := s.Mirrors[a.Prefix]
	if m == nil {
		return nil, 0, ErrMalformed.New("no mirror of %q", a.Prefix)
	}
	wait := min(time.Duration(a.WaitMs)*time.Millisecond, longestWait)
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	m.Wait(ctx, a.After, s.Lost)
	u := m.Since(a.After)
	r := s.pack(a, u)
	r.AgeMs, r.BehindMs, r.Lost = u.AgeMs, u.BehindMs, s.Lost != nil && s.Lost()
	return encode(r), u.AsOf, nil
}

// pack returns an update packed, from the kept ones if it is among them.
func (s *Server) pack(a Ask, u Update) reply {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.packed {
		if p.prefix == a.Prefix && p.after == a.After && p.asOf == u.AsOf {
			return p.reply
		}
	}
	p := packedUpdate{prefix: a.Prefix, after: a.After, asOf: u.AsOf, reply: pack(u)}
	s.packed = append(s.packed, p)
	if len(s.packed) > packedKept {
		s.packed = s.packed[1:]
	}
	return p.reply
}

func encode(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic("mirror: encoding a message: " + err.Error())
	}
	return b
}
