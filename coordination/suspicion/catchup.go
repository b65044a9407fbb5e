package suspicion

import (
	"cmp"
	"context"
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"wisteriaspool/coordination"
)

// maxRecordsSent is the maximum number of records in a reply. Convictions come first.
const maxRecordsSent = 512

// RecordsRequest asks a router for its records. It is sent on [Topics.Records].
type RecordsRequest struct {
	Digest uint64 `cbor:"1,keyasint,omitempty"` // of the records of the router that asks
}

// RecordsReply answers a RecordsRequest. It has no records if those of both routers are
// the same.
type RecordsReply struct {
	Records  []Record `cbor:"1,keyasint,omitempty"`
	CaughtUp bool     `cbor:"2,keyasint,omitempty"` // the router has itself asked others since it started
}

// Encode returns m as CBOR.
func (m RecordsRequest) Encode() []byte { return encode(m) }

// Encode returns m as CBOR.
func (m RecordsReply) Encode() []byte { return encode(m) }

// live returns the records that have not expired, convictions first, and their digest.
func (t *Table) live(now time.Time) (all []Record, digest uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.records {
		if r.Expires <= unixMillis(now) {
			continue
		}
		all = append(all, *r)
		digest ^= r.digest(t.state(now, *r))
	}
	slices.SortFunc(all, func(a, b Record) int {
		if x, y := t.state(now, a), t.state(now, b); x != y {
			return cmp.Compare(y, x)
		}
		return cmp.Compare(a.Fingerprint, b.Fingerprint)
	})
	return all, digest
}

// digest returns a hash of what merging makes equal in the records of two routers. Times
// are left out, since the clocks of routers differ, and all but the conviction of a
// convicted request, since a record keeps only some of its crashes.
func (r *Record) digest(s State) uint64 {
	b := binary.LittleEndian.AppendUint64(nil, uint64(r.Fingerprint))
	b = append(b, byte(s))
	if s == Convicted {
		return xxhash.Sum64(b)
	}
	var crashes uint64
	for _, c := range r.Crashes {
		crashes ^= xxhash.Sum64String(fmt.Sprint(c.Endpoint, c.Incarnation, c.Alone, c.Excused))
	}
	return xxhash.Sum64(binary.LittleEndian.AppendUint64(b, crashes))
}

// HandleRecords answers a message received on [Topics.Records]. The error is of type
// [ErrMalformed].
func (g *Guard) HandleRecords(payload []byte) ([]byte, error) {
	var m RecordsRequest
	if err := decode(payload, &m); err != nil {
		return nil, err
	}
	reply := RecordsReply{CaughtUp: g.isCaughtUp()}
	if all, digest := g.table.live(time.Now()); digest != m.Digest {
		reply.Records = all[:min(len(all), maxRecordsSent)]
	}
	return reply.Encode(), nil
}

// Pull takes over the records of another router. It reports whether that router has asked
// others since it started, so that it knows what the fleet knows, and how many records
// were new. The error is that of the call, or of type [ErrMalformed].
func (g *Guard) Pull(ctx context.Context, from coordination.Instance) (caughtUp bool, news int, err error) {
	_, digest := g.table.live(time.Now())
	b, err := g.transport.Call(ctx, from, g.table.cfg.Topics().Records, RecordsRequest{Digest: digest}.Encode())
	if err != nil {
		return false, 0, err
	}
	var reply RecordsReply
	if err := decode(b, &reply); err != nil {
		return false, 0, err
	}
	fresh := lo.Filter(reply.Records, func(r Record, _ int) bool { return g.merge(ctx, r) })
	return reply.CaughtUp, len(fresh), nil
}

// BeginCatchUp makes all requests wait until EndCatchUp is called: a router that has just
// started does not know yet which requests crash endpoints. It must be called before
// anything else uses the guard.
func (g *Guard) BeginCatchUp() { g.caughtUp = make(chan struct{}) }

// EndCatchUp ends the wait. It may be called again.
func (g *Guard) EndCatchUp() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.isCaughtUp() {
		close(g.caughtUp)
	}
}

// CaughtUp returns a channel that is closed when requests need not wait any longer.
func (g *Guard) CaughtUp() <-chan struct{} { return g.caughtUp }

func (g *Guard) isCaughtUp() bool {
	select {
	case <-g.caughtUp:
		return true
	default:
		return false
	}
}

// awaitCatchUp waits until the router knows what the others know. It returns false if
// ctx ends before.
func (g *Guard) awaitCatchUp(ctx context.Context) bool {
	select {
	case <-g.caughtUp:
		return true
	case <-ctx.Done():
		return false
	}
}
