package settings

import (
	"context"
	"errors"
	"time"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/kv"
)

// EditorStore is the part of the platform's key-value service that an Editor
// uses.
type EditorStore interface {
	Get(ctx context.Context, key string) kv.Result
	CompareAndSwap(ctx context.Context, key string, value []byte, expect kv.Revision, lease kv.Lease) kv.Result
}

// Timeouts and backoff of an Editor.
const (
	callTimeout       = time.Second
	settleTimeout     = 6 * time.Second // limit of one Put, including retries after a lost response
	initialBackoff    = 50 * time.Millisecond
	maxBackoff        = 800 * time.Millisecond
	defaultRetryAfter = time.Second // wait suggested to the caller after Unavailable or Undecided
)

// Editor changes the settings of teams.
type Editor struct {
	store   EditorStore
	replica *Replica
}

// NewEditor returns an Editor that writes to store and offers every value that
// it reads or writes to replica.
func NewEditor(store EditorStore, replica *Replica) *Editor {
	return &Editor{store: store, replica: replica}
}

var (
	errStaleRead  = errors.New("settings: platform returned a revision older than the base")
	errKeyDeleted = errors.New("settings: key was deleted concurrently")
)

// Put makes the change p. It may be repeated with the same p until the outcome is
// known: the change is accepted at most once.
func (e *Editor) Put(ctx context.Context, p Put) Outcome {
	if problems := p.problems(); len(problems) > 0 {
		return Outcome{Status: Rejected, Problems: problems}
	}
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	if snapshot, ok := e.replica.Snapshot(p.Team); ok {
		if entry, found := snapshot.Value.find(p.ID, snapshot.Position.Revision); found {
			return acceptedOutcome(entry, true)
		}
	}
	b, out, settled := e.findBase(ctx, p)
	if settled {
		return out
	}
	return e.write(ctx, p, b)
}

func acceptedOutcome(entry Entry, repeated bool) Outcome {
	return Outcome{
		Status:   Accepted,
		Position: Position{Sequence: entry.Sequence, Revision: entry.Revision},
		Repeated: repeated,
	}
}

// findBase determines the state that p is based on. If settled is true, the Put
// ends with the returned outcome. The platform is read even if the replica holds
// the base: during an outage a read fails without side effects, whereas a write
// without a response leaves it unknown whether the change was made.
func (e *Editor) findBase(ctx context.Context, p Put) (b putBase, out Outcome, settled bool) {
	snapshot, _ := e.replica.Snapshot(p.Team)
	if snapshot != nil {
		b.inForce = snapshot.Position
		b.updateNewest(snapshot.current())
	}
	pair, found, out, failed := e.read(ctx, p.Team)
	if failed {
		return b, out, true
	}
	if !found {
		return e.baseForMissingKey(p, b, snapshot)
	}
	current := currentOf(pair)
	b.updateNewest(current)
	b.expect, b.previous = p.Base, p.Base
	switch {
	case pair.Revision > p.Base:
		return b, p.resolve(current), true
	case pair.Revision < p.Base && b.inForce.Revision != p.Base:
		// Either the read was stale or the platform has lost the revision that
		// the author saw, so the base cannot be verified.
		return b, Outcome{Status: Unavailable, Err: errStaleRead, RetryAfter: defaultRetryAfter}, true
	}
	return b, Outcome{}, false
}

// baseForMissingKey determines the base if the key does not exist or was
// deleted. The change is then based on the value in force.
func (e *Editor) baseForMissingKey(p Put, b putBase, snapshot *Snapshot) (putBase, Outcome, bool) {
	switch {
	case snapshot != nil && snapshot.Position.Revision != p.Base:
		return b, p.conflictOutcome(snapshot.current()), true
	case snapshot == nil && p.Base != 0:
		return b, p.conflictOutcome(Current{}), true
	}
	b.previous = p.Base
	return b, Outcome{}, false
}

// read reads the team's key and offers the result to the replica.
func (e *Editor) read(ctx context.Context, team coordination.Team) (pair kv.Pair, found bool, out Outcome, failed bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	res := e.store.Get(ctx, Key(team))
	if res.Status != kv.Applied {
		return kv.Pair{}, false, Outcome{Status: Unavailable, Err: res.Err, RetryAfter: defaultRetryAfter}, true
	}
	if len(res.Pairs) == 0 {
		e.replica.Remove(team, res.Revision)
		return kv.Pair{}, false, Outcome{}, false
	}
	e.replica.Offer(team, res.Pairs[0])
	return res.Pairs[0], true, Outcome{}, false
}

// write applies p on top of b. After a lost response it repeats the
// compare-and-swap with the same expected revision: at most one of these writes
// takes effect, and a conflict shows whether one did. A read alone could not
// resolve it, since a write in flight may take effect after the read.
func (e *Editor) write(ctx context.Context, p Put, b putBase) Outcome {
	v := b.newValue(p, time.Now())
	data, err := v.encode()
	if err != nil {
		return Outcome{Status: Rejected, Problems: []Problem{{File: string(p.Team), Message: err.Error()}}}
	}
	responseLost := false
	for wait := initialBackoff; ; wait = min(2*wait, maxBackoff) {
		res := e.compareAndSwap(ctx, p.Team, data, b.expect)
		switch res.Status {
		case kv.Applied:
			e.replica.Offer(p.Team, kv.Pair{Key: Key(p.Team), Value: data, Revision: res.Revision})
			return acceptedOutcome(Entry{Change: v.Change, Revision: res.Revision}, false)
		case kv.Conflict:
			return e.resolveConflict(p, b, res, responseLost)
		case kv.Unavailable, kv.Throttled, kv.Rejected:
			if !responseLost {
				return unprovenOutcome(responseLost, res.Err)
			}
		default:
			responseLost = true
		}
		if !coordination.Sleep(ctx, coordination.Jitter(wait)) {
			return Outcome{Status: Undecided, Err: res.Err, RetryAfter: defaultRetryAfter}
		}
	}
}

func (e *Editor) compareAndSwap(ctx context.Context, team coordination.Team, data []byte, expect kv.Revision) kv.Result {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return e.store.CompareAndSwap(ctx, Key(team), data, expect, kv.Lease{})
}

// resolveConflict determines the outcome of p after a failed compare-and-swap. If
// an earlier response was lost, the history of the current value must prove that
// p was not accepted in between.
func (e *Editor) resolveConflict(p Put, b putBase, res kv.Result, responseLost bool) Outcome {
	if len(res.Pairs) == 0 {
		e.replica.Remove(p.Team, res.Revision)
		return unprovenOutcome(responseLost, errKeyDeleted)
	}
	e.replica.Offer(p.Team, res.Pairs[0])
	current := currentOf(res.Pairs[0])
	out := p.resolve(current)
	if out.Status == Conflict && responseLost && !current.excludes(p.ID, b.previous) {
		return unprovenOutcome(responseLost, nil)
	}
	return out
}

// unprovenOutcome returns the outcome of a change that was found in no value:
// Unavailable if every response arrived, Undecided if one was lost.
func unprovenOutcome(responseLost bool, err error) Outcome {
	out := Outcome{Status: Unavailable, Err: err, RetryAfter: defaultRetryAfter}
	if responseLost {
		out.Status = Undecided
	}
	return out
}

// resolve determines the outcome of p from the current value.
func (p Put) resolve(current Current) Outcome {
	if current.Value != nil {
		if entry, found := current.Value.find(p.ID, current.Revision); found {
			return acceptedOutcome(entry, true)
		}
	}
	return p.conflictOutcome(current)
}

func (p Put) conflictOutcome(current Current) Outcome {
	return Outcome{Status: Conflict, Current: current, Diff: Diff(current.Text, p.Text)}
}

// excludes reports whether the history of c contains another change than id that
// replaced the revision previous, which proves that id was not accepted there.
func (c Current) excludes(id ChangeID, previous kv.Revision) bool {
	if c.Value == nil {
		return false
	}
	for _, e := range c.Value.History(c.Revision) {
		if e.Previous == previous && e.ID != id {
			return true
		}
	}
	return false
}

// currentOf decodes pair. If the value has no valid change record, the Text is
// the raw value.
func currentOf(pair kv.Pair) Current {
	v, err := decodeValue(pair.Value)
	if err != nil {
		return Current{Revision: pair.Revision, Text: string(pair.Value)}
	}
	return Current{Revision: pair.Revision, Text: v.Text, Value: &v}
}

func (s *Snapshot) current() Current {
	return Current{Revision: s.Position.Revision, Text: s.Value.Text, Value: &s.Value}
}

// Read returns the value of team in the platform. If the platform does not
// respond or the key was deleted, it returns the value in force on this router,
// and fresh is false. A Current with revision zero means that no settings are
// known for the team.
func (e *Editor) Read(ctx context.Context, team coordination.Team) (current Current, fresh bool) {
	pair, found, _, failed := e.read(ctx, team)
	if found {
		return currentOf(pair), true
	}
	if snapshot, ok := e.replica.Snapshot(team); ok {
		return snapshot.current(), false
	}
	return Current{}, !failed
}
