package mirror

import (
	"bytes"
	"compress/flate"
	"context"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/joomcode/errorx"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/kv"
)

// Topic is the topic of calls to the mirrors of other routers.
const Topic = "mirror"

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("mirror")

var (
	// ErrNoPeer means that there is no other router to ask.
	ErrNoPeer = Errors.NewType("no-peer")
	// ErrMalformed means that a message cannot be decoded or is about an
	// unknown prefix.
	ErrMalformed = Errors.NewType("malformed")
)

// Request asks another router for the changes after a revision. The reply waits
// for a change for up to WaitMs milliseconds.
type Request struct {
	Prefix string      `cbor:"1,keyasint"`
	After  kv.Revision `cbor:"2,keyasint"` // its number
	WaitMs uint32      `cbor:"3,keyasint"`
	Era    messageEra  `cbor:"4,keyasint,omitempty"` // of After
}

func newRequest(prefix string, after kv.Revision, wait time.Duration) Request {
	return Request{Prefix: prefix, After: numberOnly(after), Era: newMessageEra(after.Era()), WaitMs: uint32(wait.Milliseconds())}
}

// messageEra is one more than the era of all revisions in a message, which hold only their
// numbers. It is zero in messages of routers that do not know eras and take the number for
// the revision. What these send is taken to be of the receiver's own era.
type messageEra int32

func newMessageEra(era kv.Era) messageEra { return messageEra(era) + 1 }

// era returns the era, or own if the message has none.
func (e messageEra) era(own kv.Era) kv.Era {
	if e == 0 {
		return own
	}
	return kv.Era(e - 1)
}

// check returns [ErrMalformed] if a message has an era or a number that no revision holds.
func (e messageEra) check(number kv.Revision) error {
	if e < 0 || kv.Era(e-1) > kv.MaxEra {
		return ErrMalformed.New("era %d", int64(e)-1)
	}
	if !kv.ValidNumber(int64(number)) {
		return ErrMalformed.New("revision %d", int64(number))
	}
	return nil
}

// numberOnly returns the number of a revision as it is in messages.
func numberOnly(r kv.Revision) kv.Revision { return kv.NewRevision(0, r.Number()) }

// numbersOnly returns the update as it is in messages.
func (u Update) numbersOnly() Update {
	u.Items = slices.Clone(u.Items)
	for i := range u.Items {
		u.Items[i].Revision = numberOnly(u.Items[i].Revision)
	}
	u.Era, u.AsOf = newMessageEra(u.AsOf.Era()), numberOnly(u.AsOf)
	return u
}

// inEra returns an update of a message with the revisions in its era, or in own if the
// message has none.
func (u Update) inEra(own kv.Era) Update {
	era := u.Era.era(own)
	for i, item := range u.Items {
		u.Items[i].Revision = kv.NewRevision(era, item.Revision.Number())
	}
	u.AsOf = kv.NewRevision(era, u.AsOf.Number())
	return u
}

// Transport sends calls and messages to other routers.
type Transport interface {
	// Call sends a call and returns its reply.
	Call(ctx context.Context, to coordination.Instance, topic string, payload []byte) ([]byte, error)
	// Notify sends a message that has no reply.
	Notify(ctx context.Context, to coordination.Instance, topic string, payload []byte) error
}

// PeerSource is a Source that fetches from other routers. Choose picks a router
// for each fetch, so that one that is behind or cut off itself is asked twice
// in a row only by chance.
type PeerSource struct {
	Transport Transport
	Choose    func() (coordination.Instance, bool)
	Prefix    string
	Wait      func() time.Duration // how long the other router waits for a change
	Timeout   time.Duration        // of a call, in addition to Wait
	// OnReachability, if set, is called with each router that has replied and
	// whether it reaches the store. A router that does not learns of changes no
	// sooner than this one.
	OnReachability func(id coordination.Instance, reaches bool)
	// CallLog, if set, records the calls.
	CallLog *CallLog
}

// Fetch implements Source. The error is [ErrNoPeer] if there is no router to
// ask, [ErrMalformed] if the reply cannot be decoded, or that of the call.
func (s PeerSource) Fetch(ctx context.Context, after kv.Revision) (Update, error) {
	to, ok := s.Choose()
	if !ok {
		return Update{}, ErrNoPeer.New("no other router is available")
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
	b, err := s.Transport.Call(ctx, to, Topic, encode(newRequest(s.Prefix, after, wait)))
	if err != nil {
		return Update{}, err
	}
	u, err := decodeReply(b, after.Era())
	if err != nil {
		return Update{}, ErrMalformed.Wrap(err, "decoding the update from %s", to)
	}
	u.From = to
	return u, nil
}

// reply is the reply to a Request: an update, encoded once for all callers that
// ask for the same one, and its current age.
type reply struct {
	Compressed []byte `cbor:"1,keyasint,omitempty"` // deflated encoding of the Update
	AgeMs      uint32 `cbor:"2,keyasint"`
	Plain      []byte `cbor:"3,keyasint,omitempty"` // uncompressed encoding, if Compressed is empty
	Lost       bool   `cbor:"4,keyasint,omitempty"` // this router does not reach the store
	// BehindMs is the current BehindMs of the update.
	BehindMs uint32 `cbor:"5,keyasint,omitempty"`
}

// maxUpdateSize bounds the uncompressed size in bytes of an update from another
// router. It is several times the size of all entries of 2,000 endpoints plus
// the largest value that the store allows.
const maxUpdateSize = 16 << 20

// decodeReply decodes a reply. own is the era of this router's mirror.
func decodeReply(b []byte, own kv.Era) (Update, error) {
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
	if err := u.Era.check(u.AsOf); err != nil {
		return Update{}, err
	}
	for _, item := range u.Items {
		if err := u.Era.check(item.Revision); err != nil {
			return Update{}, err
		}
	}
	u.AgeMs, u.BehindMs, u.Lost = r.AgeMs, r.BehindMs, r.Lost
	return u.inEra(own), nil
}

// minCompressSize is the size in bytes from which an update is compressed. A
// smaller one fits one or two packets uncompressed.
const minCompressSize = 2 << 10

// encodeUpdate encodes an update and compresses it if it is large. A desired
// state with a thousand routes has 250 KB. A router on a link of 10 Mbit/s
// would need 5 s to send it uncompressed to 26 others, and the change would be
// late everywhere. Compressed, it is a tenth of that.
func encodeUpdate(u Update) reply {
	u.AgeMs = 0
	encoded := encode(u.numbersOnly())
	if len(encoded) < minCompressSize {
		return reply{Plain: encoded}
	}
	var b bytes.Buffer
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	w.Reset(&b)
	_, _ = w.Write(encoded) // a Buffer accepts all writes
	_ = w.Close()
	return reply{Compressed: b.Bytes()}
}

// compressors pools compressors because each takes a megabyte.
var compressors = sync.Pool{New: func() any {
	w, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		panic("mirror: creating a compressor: " + err.Error())
	}
	return w
}}

// Server answers the calls of other routers on [Topic].
type Server struct {
	Mirrors map[string]*Mirror // by prefix
	// Lost, if set, reports whether this router cannot reach the store. The
	// server then does not hold calls until there is a change, as other routers
	// learn of changes first.
	Lost func() bool

	mu    sync.Mutex
	cache []cachedUpdate // the latest ones, oldest first
}

// cachedUpdate is an encoded update. Callers that wait for a change all ask for
// the same update, so that it is encoded once for all of them.
type cachedUpdate struct {
	prefix      string
	after, asOf kv.Revision
	reply       reply
}

const (
	// maxHold bounds how long a call is held, regardless of the wait it asks
	// for.
	maxHold = 10 * time.Second
	// maxCachedUpdates is the number of encoded updates that are kept.
	maxCachedUpdates = 4
)

// Handle answers a call on [Topic]. The error is [ErrMalformed] if the request
// cannot be decoded or is about an unknown prefix.
func (s *Server) Handle(ctx context.Context, payload []byte) ([]byte, error) {
	b, _, err := s.handle(ctx, payload)
	return b, err
}

// handle is Handle, and also returns the revision up to which the reply is
// complete.
func (s *Server) handle(ctx context.Context, payload []byte) ([]byte, kv.Revision, error) {
	var req Request
	if err := cbor.Unmarshal(payload, &req); err != nil {
		return nil, 0, ErrMalformed.Wrap(err, "ask")
	}
	m := s.Mirrors[req.Prefix]
	if m == nil {
		return nil, 0, ErrMalformed.New("no mirror of %q", req.Prefix)
	}
	if err := req.Era.check(req.After); err != nil {
		return nil, 0, err
	}
	wait := min(time.Duration(req.WaitMs)*time.Millisecond, maxHold)
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	after := kv.NewRevision(req.Era.era(m.AsOf().Era()), req.After.Number())
	m.Wait(ctx, after, s.Lost)
	u := m.Since(after)
	r := s.cachedReply(req.Prefix, after, u)
	r.AgeMs, r.BehindMs, r.Lost = u.AgeMs, u.BehindMs, s.Lost != nil && s.Lost()
	return encode(r), u.AsOf, nil
}

// cachedReply returns an encoded update, from the cache if it is there.
func (s *Server) cachedReply(prefix string, after kv.Revision, u Update) reply {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.cache {
		if c.prefix == prefix && c.after == after && c.asOf == u.AsOf {
			return c.reply
		}
	}
	c := cachedUpdate{prefix: prefix, after: after, asOf: u.AsOf, reply: encodeUpdate(u)}
	s.cache = append(s.cache, c)
	if len(s.cache) > maxCachedUpdates {
		s.cache = s.cache[1:]
	}
	return c.reply
}

func encode(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic("mirror: encoding a message: " + err.Error())
	}
	return b
}
