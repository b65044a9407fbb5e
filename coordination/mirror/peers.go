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

// Request is a call to another router: what has changed after a revision?
type Request struct {
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
	// OnReachability, if set, is told whether a router that has answered reaches the
	// store itself. One that does not hears of changes no sooner than this one.
	OnReachability func(id coordination.Instance, reaches bool)
	// CallLog, if set, remembers the calls.
	CallLog *CallLog
}

// Fetch implements Source.
func (s PeerSource) Fetch(ctx context.Context, after kv.Revision) (Update, error) {
	to, ok := s.Choose()
	if !ok {
		return Update{}, ErrNoPeer.New("no other router is known")
	}
	start := time.Now()
	u, err := s.call(ctx, to, after, s.Wait())
	if s.CallLog != nil {
		s.CallLog.record(to, time.Since(start), u, err)
	}
	if err != nil {
		return Update{}, err
	}
	if s.OnReachability != nil {
		s.OnReachability(to, !u.Lost)
	}
	return u, nil
}

func (s PeerSource) call(ctx context.Context, to coordination.Instance, after kv.Revision, wait time.Duration) (Update, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+s.Timeout)
	defer cancel()
	b, err := s.Transport.Call(ctx, to, Topic, encode(Request{Prefix: s.Prefix, After: after, WaitMs: uint32(wait.Milliseconds())}))
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
	Compressed []byte `cbor:"1,keyasint,omitempty"` // compressed
	AgeMs      uint32 `cbor:"2,keyasint"`
	Plain      []byte `cbor:"3,keyasint,omitempty"` // in place of Packed
	Lost       bool   `cbor:"4,keyasint,omitempty"` // this router does not reach the store
	// BehindMs is that of the update, now.
	BehindMs uint32 `cbor:"5,keyasint,omitempty"`
}

// maxUpdateSize bounds an update that another router sends: all entries of 2,000
// endpoints and the largest value of the store, several times over.
const maxUpdateSize = 16 << 20

func decodeReply(b []byte) (Update, error) {
	var r reply
	if err := cbor.Unmarshal(b, &r); err != nil {
		return Update{}, err
	}
	encoded := r.Plain
	if len(r.Compressed) > 0 {
		var err error
		encoded, err = io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(r.Compressed)), maxUpdateSize))
		if err != nil {
			return Update{}, err
		}
	}
	var u Update
	if err := cbor.Unmarshal(encoded, &u); err != nil {
		return Update{}, err
	}
	u.AgeMs, u.BehindMs, u.Lost = r.AgeMs, r.BehindMs, r.Lost
	return u, nil
}

// minCompressSize is the size in bytes from which on an update is compressed: below,
// it fits a packet or two as it is.
const minCompressSize = 2 << 10

// encodeUpdate returns an update for the wire, compressed if it is large. A desired
// state of a thousand routes is 250 KB; a router on a link of 10 Mbit/s that
// told it to 26 others as it is would need 5 s, and the change would be late
// everywhere. It packs to a tenth.
func encodeUpdate(u Update) reply {
	u.AgeMs = 0
	encoded := encode(u)
	if len(encoded) < minCompressSize {
		return reply{Plain: encoded}
	}
	var b bytes.Buffer
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	w.Reset(&b)
	_, _ = w.Write(encoded) // a Buffer takes all writes
	_ = w.Close()
	return reply{Compressed: b.Bytes()}
}

// compressors holds compressors, each of which takes a megabyte.
var compressors = sync.Pool{New: func() any {
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

	mu    sync.Mutex
	cache []cachedUpdate // the latest ones
}

// cachedUpdate is an update as it was packed. Those who wait for a change ask
// for the same, so that it is packed once for all of them.
type cachedUpdate struct {
	prefix      string
	after, asOf kv.Revision
	reply       reply
}

const (
	// maxHold bounds the time for which a call is held, whatever it asks
	// for.
	maxHold = 10 * time.Second
	// maxCachedUpdates is how many packed updates are kept.
	maxCachedUpdates = 4
)

// Handle answers a call on [Topic].
func (s *Server) Handle(ctx context.Context, payload []byte) ([]byte, error) {
	b, _, err := s.handle(ctx, payload)
	return b, err
}

// handle also returns the revision up to which the answer tells all.
func (s *Server) handle(ctx context.Context, payload []byte) ([]byte, kv.Revision, error) {
	var req Request
	if err := cbor.Unmarshal(payload, &req); err != nil {
		return nil, 0, ErrMalformed.Wrap(err, "ask")
	}
	m := s.Mirrors[req.Prefix]
	if m == nil {
		return nil, 0, ErrMalformed.New("no mirror of %q", req.Prefix)
	}
	wait := min(time.Duration(req.WaitMs)*time.Millisecond, maxHold)
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	m.Wait(ctx, req.After, s.Lost)
	u := m.Since(req.After)
	r := s.cachedReply(req, u)
	r.AgeMs, r.BehindMs, r.Lost = u.AgeMs, u.BehindMs, s.Lost != nil && s.Lost()
	return encode(r), u.AsOf, nil
}

// cachedReply returns an update packed, from the kept ones if it is among them.
func (s *Server) cachedReply(req Request, u Update) reply {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.cache {
		if p.prefix == req.Prefix && p.after == req.After && p.asOf == u.AsOf {
			return p.reply
		}
	}
	p := cachedUpdate{prefix: req.Prefix, after: req.After, asOf: u.AsOf, reply: encodeUpdate(u)}
	s.cache = append(s.cache, p)
	if len(s.cache) > maxCachedUpdates {
		s.cache = s.cache[1:]
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
