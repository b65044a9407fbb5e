package execution

import (
	"time"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/kv"
	"wisteriaspool/coordination/outcome"
)

// Finish records the outcome of a dispatched action, for repeats to find. It
// returns when the record is written, or after FinishWait, and reports whether
// it is written. If not, retries continue in the background until the record
// expires; the caller's response need not wait for them.
func (l *Ledger) Finish(t *Token, o outcome.Outcome, a *Answer) bool {
	t.settle()
	r := t.claim.record.finished(o, a, t.claim.answerLimit)
	if !l.reserveAnswer(r.Answer) {
		r = t.claim.record.finished(o, a, omitAnswer)
	}
	s := l.settle(t.claim.path, r, t.revision, t.claim.lease)
	return l.await(s)
}

// Abandon records that this token has not been and will not be used to send the
// action, which frees the key for a repeat. It waits as Finish does.
func (l *Ledger) Abandon(t *Token) bool {
	t.settle()
	s := l.settle(t.claim.path, t.claim.record.abandoned(), t.revision, t.claim.lease)
	return l.await(s)
}

func (l *Ledger) await(s *settlement) bool {
	timer := time.NewTimer(l.cfg.FinishWait)
	defer timer.Stop()
	select {
	case <-s.ended:
		return s.written
	case <-timer.C:
		l.cfg.Observe(SettlementDelayed)
		return false
	}
}

// settlement writes the final state of a record that this router holds. It
// keeps the lease of the record: a record written without a lease would never
// expire.
type settlement struct {
	ledger  *Ledger
	path    string
	record  Record
	expect  kv.Revision
	lease   kv.Lease
	ended   chan struct{}
	written bool // valid once ended is closed
}

// settle starts a settlement, which occupies one slot until it ends. After the
// ledger is stopped, nothing is written.
func (l *Ledger) settle(path string, r Record, expect kv.Revision, lease kv.Lease) *settlement {
	s := &settlement{ledger: l, path: path, record: r, expect: expect, lease: lease, ended: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		close(s.ended)
		return s
	}
	l.work.Add(1)
	go s.run()
	return s
}

// run retries until the record is written, is found to be lost, or has outlived
// its lease.
func (s *settlement) run() {
	l := s.ledger
	defer l.work.Done()
	defer close(s.ended)
	defer l.release()
	defer l.releaseAnswer(s.record.Answer)
	value := s.record.encode()
	start := time.Now()
	for try := 0; elapsed(start) < l.cfg.minRecordLifetime(); try++ {
		if try > 0 && !coordination.Sleep(l.ctx, backoff(try)) {
			break
		}
		if !l.mayAttempt(try) {
			continue
		}
		res := l.swap(s.path, value, s.expect, s.lease)
		if s.handleResult(res) {
			return
		}
	}
	l.cfg.Observe(SettlementGivenUp)
}

// handleResult reports whether res ends the settlement, and emits the event for
// it.
func (s *settlement) handleResult(res kv.Result) bool {
	switch res.Status {
	case kv.Applied:
		s.report()
		return true
	case kv.Conflict:
		return s.resolveConflict(res.Pairs)
	default:
		return false
	}
}

// resolveConflict decides by the record that exists instead of the expected
// revision. It reports whether the settlement has ended.
func (s *settlement) resolveConflict(existing []kv.Pair) bool {
	if len(existing) > 0 {
		r, err := DecodeRecord(existing[0].Value)
		if err == nil && r.Nonce == s.record.Nonce {
			if r.State == s.record.State {
				s.report() // the answer to an earlier attempt was lost
				return true
			}
			s.expect = existing[0].Revision // the create took effect late
			return false
		}
	}
	if s.record.State == Finished {
		s.ledger.cfg.Observe(RecordLost)
	}
	return true
}

func (s *settlement) report() {
	s.written = true
	if s.record.State == Finished {
		s.ledger.cfg.Observe(RecordFinished)
		return
	}
	s.ledger.cfg.Observe(RecordAbandoned)
}
