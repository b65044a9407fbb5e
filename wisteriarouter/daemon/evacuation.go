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

// evacuation moves the chats of one leaving engine for as long as the engine
// responds.
type evacuation struct {
	*transfers
	from     endpoint.Info
	plan     *transfer.Plan // used only by run
	since    transfer.Sequence
	lastRead time.Time // when the cache events were last read
	outcomes chan moveOutcome

	mu    sync.Mutex
	loads transfer.Loads
}

// moveOutcome is the result of a move and the bytes that it took from the engine.
type moveOutcome struct {
	chat   coordination.Chat
	result transfer.Result
	bytes  int64
}

func newEvacuation(t *transfers, k endpoint.Info) *evacuation {
	return &evacuation{
		transfers: t,
		from:      k,
		plan:      transfer.NewPlan(time.Now(), t.cfg),
		outcomes:  make(chan moveOutcome, t.cfg.MaxConcurrent),
	}
}

// run executes the steps of the plan until the plan or ctx ends, or the engine is
// no longer listed. It then waits for the moves in progress.
func (e *evacuation) run(ctx context.Context) {
	var moves sync.WaitGroup
	defer e.finish(&moves)
	for ctx.Err() == nil && e.stillListed() {
		e.readCacheEvents(ctx)
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

// stillListed reports whether the same incarnation of the engine is still listed.
// Another incarnation at its address has other caches.
func (e *evacuation) stillListed() bool {
	k, ok := e.directory.Find(e.from.ID)
	return ok && k.Incarnation == e.from.Incarnation
}

// readCacheEvents reads the cache events again once the last read is older than
// the configured interval. Answers that end while the engine leaves add chats,
// which are the most recently used of all.
func (e *evacuation) readCacheEvents(ctx context.Context) {
	if time.Since(e.lastRead) < e.cfg.Interval {
		return
	}
	e.lastRead = time.Now()
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
	case outcome := <-e.outcomes:
		e.recordOutcome(outcome)
	}
}

// finish waits for the moves in progress and records their outcomes.
func (e *evacuation) finish(moves *sync.WaitGroup) {
	moves.Wait()
	for len(e.outcomes) > 0 {
		e.recordOutcome(<-e.outcomes)
	}
}

func (e *evacuation) recordOutcome(m moveOutcome) {
	e.plan.MoveEnded(time.Now(), m.chat, m.result, m.bytes)
	e.metrics.results.WithLabelValues(m.result.String()).Inc()
	e.metrics.bytes.Add(float64(m.bytes))
}

// move transfers the KV cache of one chat.
type move struct {
	*evacuation
	chat coordination.Chat
}

func (m move) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, m.cfg.MoveTimeout)
	defer cancel()
	result, n := m.execute(ctx)
	m.outcomes <- moveOutcome{chat: m.chat, result: result, bytes: n}
}

// execute makes the move and returns its result and the bytes taken from the
// leaving engine.
func (m move) execute(ctx context.Context) (transfer.Result, int64) {
	to, ok := m.destination(m.from.Pool, m.chat)
	if !ok {
		return transfer.Skipped, 0
	}
	if !m.hasRoom(ctx, to) {
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

// hasRoom reports whether an engine can receive a chat. It reads the load from the
// engine, because another router may own the engine.
func (m move) hasRoom(ctx context.Context, to endpoint.Info) bool {
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
	return err == nil && to.State == placement.Live && m.loads.CanAccept(to.ID, m.cfg.WithPlacementBound(m.placement.loadBound()))
}
