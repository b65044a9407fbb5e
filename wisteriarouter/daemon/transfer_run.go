package daemon

import (
	"context"
	"errors"
	"sync"
	"time"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/placement"
	"wisteriaspool/coordination/transfer"
	"wisteriaspool/wisteriarouter/endpoint"
	"wisteriaspool/wisteriarouter/engine"
)

// evacuation moves the chats of one leaving engine for as long as it answers.
type evacuation struct {
	*transfers
	from  endpoint.Info
	plan  *transfer.Plan // used by run alone
	since transfer.Sequence
	read  time.Time // when the cache events were last read
	ended chan moveEnd

	mu    sync.Mutex
	loads transfer.Loads
}

// moveEnd tells what became of a move.
type moveEnd struct {
	chat   coordination.Chat
	result transfer.Result
	bytes  int64
}

func newEvacuation(t *transfers, k endpoint.Info) *evacuation {
	return &evacuation{
		transfers: t,
		from:      k,
		plan:      transfer.NewPlan(time.Now(), t.cfg),
		ended:     make(chan moveEnd, t.cfg.MaxConcurrent),
	}
}

// run does one step after another until the plan or ctx ends, or the engine
// has gone. Moves under way come to their own end.
func (e *evacuation) run(ctx context.Context) {
	var moves sync.WaitGroup
	defer e.finish(&moves)
	for ctx.Err() == nil && e.leaving() {
		e.learn(ctx)
		step := e.plan.Next(time.Now())
		switch step.Action {
		case transfer.Stop:
			return
		case transfer.Move:
			m := move{evacuation: e, chat: step.Chat}
			moves.Go(func() { m.run(ctx) })
		case transfer.Wait:
			e.wait(ctx, step.Wait)
		}
	}
}

// leaving reports whether the same life of the engine is still listed. Another
// life under its address has other caches.
func (e *evacuation) leaving() bool {
	k, ok := e.directory.Find(e.from.ID)
	return ok && k.Incarnation == e.from.Incarnation
}

// learn reads the cache events if the last read is old enough. The engine's
// last answers end while it leaves, and theirs are the warmest chats of all.
func (e *evacuation) learn(ctx context.Context) {
	if time.Since(e.read) < e.cfg.Interval {
		return
	}
	e.read = time.Now()
	events, err := e.engines.CacheEvents(ctx, e.from.Address, e.since)
	if err != nil {
		e.plan.ReadFailed()
		return
	}
	e.since = max(e.since, events.Next)
	e.plan.AddEvents(events.Events)
}

func (e *evacuation) wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case end := <-e.ended:
		e.end(end)
	}
}

// finish waits for the moves under way.
func (e *evacuation) finish(moves *sync.WaitGroup) {
	moves.Wait()
	for len(e.ended) > 0 {
		e.end(<-e.ended)
	}
}

func (e *evacuation) end(m moveEnd) {
	e.plan.MoveEnded(time.Now(), m.chat, m.result, m.bytes)
	e.metrics.results.WithLabelValues(m.result.String()).Inc()
	e.metrics.bytes.Add(float64(m.bytes))
}

// move is the move of one chat.
type move struct {
	*evacuation
	chat coordination.Chat
}

func (m move) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, m.cfg.MoveTimeout)
	defer cancel()
	result, n := m.do(ctx)
	m.ended <- moveEnd{chat: m.chat, result: result, bytes: n}
}

// do makes the move and returns the bytes that it took from the engine.
func (m move) do(ctx context.Context) (transfer.Result, int64) {
	to, ok := m.target(m.from.Pool, m.chat)
	if !ok {
		return transfer.Skipped, 0
	}
	if !m.room(ctx, to) {
		return transfer.Busy, 0
	}
	kv, err := m.engines.Export(ctx, m.from.Address, m.chat)
	if errors.Is(err, engine.ErrNotFound) {
		return transfer.Cold, 0
	}
	if err != nil {
		return transfer.Lost, 0
	}
	defer kv.Body.Close()
	if !m.cfg.Worthwhile(kv.Size) {
		return transfer.Skipped, 0
	}
	n, err := m.engines.Import(ctx, to.Address, kv)
	n = max(n, kv.Size)
	switch {
	case errors.Is(err, engine.ErrTruncated):
		return transfer.Lost, n
	case err != nil:
		return transfer.Refused, n
	}
	return transfer.Moved, n
}

// room reports whether an engine may receive a chat. It reads the engine's load
// itself: the engine may have another owner.
func (m move) room(ctx context.Context, to endpoint.Info) bool {
	m.mu.Lock()
	fresh := m.loads.Fresh(time.Now(), to.ID)
	m.mu.Unlock()
	var l engine.Load
	var err error
	if !fresh {
		l, err = m.engines.Load(ctx, to.Address)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !fresh && err == nil {
		m.loads.Update(to.ID, l.TransferLoad(time.Now()))
	}
	return err == nil && to.State == placement.Live && m.loads.CanAccept(to.ID, m.cfg.WithPlacementBound(m.placed.bound()))
}
