package settings

import (
	"context"
	"errors"
	"time"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/kv"
)

// EditorStore is the part of the platform's service that an Editor needs.
type EditorStore interface {
	Get(ctx context.Context, key string) kv.Result
	CompareAndSwap(ctx context.Context, key string, value []byte, expect kv.Revision, lease kv.Lease) kv.Result
}

// Times of an Editor.
const (
	callTimeout   = time.Second
	settleTime    = 6 * time.Second // in which a lost answer is settled
	firstBackoff  = 50 * time.Millisecond
	lastBackoff   = 800 * time.Millisecond
	unwrittenWait = time.Second // Retry-After when the platform names none
)

// Editor changes the settings of teams.
type Editor struct {
	store   EditorStore
	replica *Replica
}

// NewEditor returns an editor that writes to store and offers what it writes
// and reads to replica.
func NewEditor(store EditorStore, replica *Replica) *Editor {
	return &Editor{store: store, replica: replica}
}

var (
	errStale   = errors.New("settings: the platform answered with an old revision")
	errDeleted = errors.New("settings: the key was deleted meanwhile")
)

// Put makes the change p. It may be called again with the same p until it is
// settled: the change is accepted at most once.
func (e *Editor) Put(ctx context.Context, p Put) Outcome {
	if problems := p.problems(); len(problems) > 0 {
		return Outcome{Status: Rejected, Problems: problems}
	}
	ctx, cancel := context.WithTimeout(ctx, settleTime)
	defer cancel()
	if in, ok := e.replica.Snapshot(p.Team); ok {
		if entry, found := in.Value.find(p.ID, in.Position.Revision); found {
			return accepted(entry, true)
		}
	}
	b, out, settled := e.basis(ctx, p)
	if settled {
		return out
	}
	return e.write(ctx, p, b)
}

func accepted(entry Entry, repeated bool) Outcome {
	return Outcome{
		Status:   Accepted,
		Position: Position{Sequence: entry.Sequence, Revision: entry.Revision},
		Repeated: repeated,
	}
}

// basis finds what p is put on. The outcome counts if settled is true. The
// platform is read even if the replica holds the base: in an outage a read
// fails without harm, while a write that gets no answer leaves it open whether
// the change was made.
func (e *Editor) basis(ctx context.Context, p Put) (b basis, out Outcome, settled bool) {
	in, _ := e.replica.Snapshot(p.Team)
	if in != nil {
		b.inForce = in.Position
		b.raise(in.standing())
	}
	pair, found, out, failed := e.read(ctx, p.Team)
	if failed {
		return b, out, true
	}
	if !found {
		return e.basisWithoutKey(p, b, in)
	}
	standing := standingOf(pair)
	b.raise(standing)
	b.expect, b.previous = p.Base, p.Base
	switch {
	case pair.Revision > p.Base:
		return b, p.settle(standing), true
	case pair.Revision < p.Base && b.inForce.Revision != p.Base:
		// Either the read was stale or the author saw a revision that the
		// platform has lost since. Nothing can be said of the base.
		return b, Outcome{Status: Unwritten, Err: errStale, RetryAfter: unwrittenWait}, true
	}
	return b, Outcome{}, false
}

// basisWithoutKey is for a key that does not exist, or no longer. Then the
// change is put on what is in force.
func (e *Editor) basisWithoutKey(p Put, b basis, in *Snapshot) (basis, Outcome, bool) {
	switch {
	case in != nil && in.Position.Revision != p.Base:
		return b, p.conflict(in.standing()), true
	case in == nil && p.Base != 0:
		return b, p.conflict(Standing{}), true
	}
	b.previous = p.Base
	return b, Outcome{}, false
}

// read reads the team's key and offers what it finds to the replica.
func (e *Editor) read(ctx context.Context, team coordination.Team) (pair kv.Pair, found bool, out Outcome, failed bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	res := e.store.Get(ctx, Key(team))
	if res.Status != kv.Applied {
		return kv.Pair{}, false, Outcome{Status: Unwritten, Err: res.Err, RetryAfter: unwrittenWait}, true
	}
	if len(res.Pairs) == 0 {
		e.replica.Remove(team, res.Revision)
		return kv.Pair{}, false, Outcome{}, false
	}
	e.replica.Offer(team, res.Pairs[0])
	return res.Pairs[0], true, Outcome{}, false
}

// write puts p on b. After a lost answer it writes again on the same base: of
// all these writes at most one takes effect, and a conflict shows whether one
// did. A mere read could not settle it, since a write that is still on its way
// may take effect after the read.
func (e *Editor) write(ctx context.Context, p Put, b basis) Outcome {
	v := b.change(p, time.Now())
	data, err := v.encode()
	if err != nil {
		return Outcome{Status: Rejected, Problems: []Problem{{File: string(p.Team), Message: err.Error()}}}
	}
	lost := false
	for wait := firstBackoff; ; wait = min(2*wait, lastBackoff) {
		res := e.swap(ctx, p.Team, data, b.expect)
		switch res.Status {
		case kv.Applied:
			e.replica.Offer(p.Team, kv.Pair{Key: Key(p.Team), Value: data, Revision: res.Revision})
			return accepted(Entry{Change: v.Change, Revision: res.Revision}, false)
		case kv.Conflict:
			return e.afterConflict(p, b, res, lost)
		case kv.Unavailable, kv.Throttled:
			if !lost {
				return unproven(lost, res.Err)
			}
		default:
			lost = true
		}
		if !coordination.Sleep(ctx, coordination.Jitter(wait)) {
			return Outcome{Status: Undecided, Err: res.Err, RetryAfter: unwrittenWait}
		}
	}
}

func (e *Editor) swap(ctx context.Context, team coordination.Team, data []byte, expect kv.Revision) kv.Result {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return e.store.CompareAndSwap(ctx, Key(team), data, expect, 0)
}

// afterConflict settles p by what stands in the platform. If an answer was
// lost before, the standing value has to prove that this change was not
// accepted in between.
func (e *Editor) afterConflict(p Put, b basis, res kv.Result, lost bool) Outcome {
	if len(res.Pairs) == 0 {
		e.replica.Remove(p.Team, res.Revision)
		return unproven(lost, errDeleted)
	}
	e.replica.Offer(p.Team, res.Pairs[0])
	standing := standingOf(res.Pairs[0])
	out := p.settle(standing)
	if out.Status == Conflicting && lost && !standing.excludes(p.ID, b.previous) {
		return unproven(lost, nil)
	}
	return out
}

// unproven is the outcome of a change that no value shows: it was not written
// only if every answer came.
func unproven(lost bool, err error) Outcome {
	out := Outcome{Status: Unwritten, Err: err, RetryAfter: unwrittenWait}
	if lost {
		out.Status = Undecided
	}
	return out
}

// settle tells, by the value that stands, how p ended.
func (p Put) settle(standing Standing) Outcome {
	if standing.Value != nil {
		if entry, found := standing.Value.find(p.ID, standing.Revision); found {
			return accepted(entry, true)
		}
	}
	return p.conflict(standing)
}

func (p Put) conflict(standing Standing) Outcome {
	return Outcome{Status: Conflicting, Standing: standing, Diff: Diff(standing.Text, p.Text)}
}

// excludes reports whether the history of s shows another change than id on
// previous, so that id can never have been accepted there.
func (s Standing) excludes(id ChangeID, previous kv.Revision) bool {
	if s.Value == nil {
		return false
	}
	for _, c := range s.Value.History(s.Revision) {
		if c.Previous == previous && c.ID != id {
			return true
		}
	}
	return false
}

// standingOf returns what stands in pair. A value without a readable record is
// shown as it is.
func standingOf(pair kv.Pair) Standing {
	v, err := decodeValue(pair.Value)
	if err != nil {
		return Standing{Revision: pair.Revision, Text: string(pair.Value)}
	}
	return Standing{Revision: pair.Revision, Text: v.Text, Value: &v}
}

func (s *Snapshot) standing() Standing {
	return Standing{Revision: s.Position.Revision, Text: s.Value.Text, Value: &s.Value}
}

// Read returns what stands in the platform for team. If the platform does not
// answer, or the key is gone, it returns what is in force here, and fresh is
// false. A Standing with revision zero means that the team has no settings.
func (e *Editor) Read(ctx context.Context, team coordination.Team) (standing Standing, fresh bool) {
	pair, found, _, failed := e.read(ctx, team)
	if found {
		return standingOf(pair), true
	}
	if in, ok := e.replica.Snapshot(team); ok {
		return in.standing(), false
	}
	return Standing{}, !failed
}
