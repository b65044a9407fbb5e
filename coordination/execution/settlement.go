package execution

import (
	"time"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/kv"
	"wisteriaspool/coordination/outcome"
)

// Finish records the end of a dispatched action, for repeats to find. It
// returns once the record stands, or after FinishWait, and tells whether it
// stands; if not, tries go on in the background for as long as the record
// lives. The caller's own answer need not wait for more.
func (l *Ledger) Finish(t *Token, o outcome.Outcome, a *Answer) bool {
	t.settle()
	r := t.claim.record.finished(o, a, t.claim.answerLimit)
	if !l.reserveAnswer(r.Answer) {
		r = t.claim.record.finished(o, a, omitAnswer)
	}
	s := l.settle(t.claim.path, r, t.revision, t.claim.lease)
	return l.await(s)
}

// Abandon records that the action was not and will not be dispatched by this
// token, which frees its key for a repeat. It waits as Finish does.
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

// settlement writes the last state of a record that this router holds. It
// keeps the record's lease: a write without one would make the record stay for
// ever.
type settlement struct {
	ledger  *Ledger
	path    string
	record  Record
	expect  kv.Revision
	lease   kv.Lease
	ended   chan struct{}
	written bool // valid once ended is closed
}

// settle starts a settlement, which owns one slot until it ends. A ledger that
// has ended settles nothing more.
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

// run tries until the record stands, is found to be gone, or has outlived its
// lease.
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

// handleResult tells whether res ends the settlement, and reports how.
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

// resolveConflict judges what stands instead of the expected revision.
func (s *settlement) resolveConflict(standing []kv.Pair) bool {
	if len(standing) > 0 {
		r, err := DecodeRecord(standing[0].Value)
		if err == nil && r.Nonce == s.record.Nonce {
			if r.State == s.record.State {
				s.report() // the answer to an earlier try was lost
				return true
			}
			s.expect = standing[0].Revision // a create that landed late
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
