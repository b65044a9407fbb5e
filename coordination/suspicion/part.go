package suspicion

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"
)

// PartOf returns the fingerprint of a part of a prompt: the number that its id is in
// hexadecimal. An id that is none has a hash in place of it.
func PartOf(id string) Fingerprint {
	n, err := strconv.ParseUint(id, 16, 64)
	if err != nil {
		return Fingerprint(xxhash.Sum64String(id))
	}
	return Fingerprint(n)
}

// An innocent part may be in the prompts of requests that run on several endpoints as
// these end for another reason, most of all if it is popular. Endpoints that end within
// crashSpacing of each other therefore count once, so that the loss of an availability zone
// convicts nothing.
const (
	crashSpacing = 500 * time.Millisecond

	// partCrashesToConvict is the number of crashes after which a part is convicted,
	// provided that other requests of its pool have completed since the first one.
	partCrashesToConvict = 3

	// knownPartCrashesToConvict is that number for a part with which a request had
	// completed before, and for a pool that completes nothing.
	knownPartCrashesToConvict = 5
)

// trialPauses are the times after a conviction, or after the last trial, at which a request
// with the part is let through. A part that was convicted wrongly is soon cleared, and one
// that crashes endpoints crashes three more until its record expires.
var trialPauses = []time.Duration{time.Second, 8 * time.Second, 64 * time.Second}

// countSpaced returns how many crashes count, given those of a record in order of time.
func countSpaced(crashes []Crash) (n int) {
	var last UnixMillis
	for _, c := range crashes {
		if n == 0 || c.At-last >= UnixMillis(crashSpacing.Milliseconds()) {
			n, last = n+1, c.At
		}
	}
	return n
}

// newCrashes returns the crashes of a record that were reported by routers which knew of no
// request with the part that had completed.
func newCrashes(r Record) []Crash {
	return lo.Reject(r.Crashes, func(c Crash, _ int) bool { return c.Excused })
}

// poolServes reports whether other requests of the pool are known to have completed since
// the first crash of a record that has one.
func (r Record) poolServes() bool { return r.Served > r.Crashes[0].At }

// convicts reports whether the crashes of a record are enough to convict a part.
func convicts(r Record) bool {
	if len(r.Crashes) == 0 {
		return false
	}
	return countSpaced(r.Crashes) >= knownPartCrashesToConvict || r.poolServes() && countSpaced(newCrashes(r)) >= partCrashesToConvict
}

// partState derives the state of a part of prompts. The caller holds t.mu.
func (t *Table) partState(r Record) State {
	switch {
	case t.refused[r.Fingerprint]:
		return Convicted
	case convicts(r):
		return Exempt
	case len(newCrashes(r)) > 0:
		return Suspect
	default:
		return Clear
	}
}

// updateRefused determines which parts are refused: those convicted first. The caller
// holds t.mu.
func (t *Table) updateRefused() {
	all := lo.FilterMap(lo.Values(t.records), func(r *Record, _ int) (Record, bool) { return *r, convicts(*r) })
	slices.SortFunc(all, func(a, b Record) int {
		return cmp.Or(cmp.Compare(a.Crashes[0].At, b.Crashes[0].At), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	t.refused, t.explained = make(map[Fingerprint]bool), make(map[EndpointLifetime]bool)
	for _, r := range all[:min(len(all), t.cfg.MaxRefused)] {
		t.refused[r.Fingerprint] = true
		for _, c := range r.Crashes {
			t.explained[c.lifetime()] = true
		}
	}
}

// ExplainedBy makes t discount crashes that a convicted part of prompts explains: the
// requests that ran beside it have not caused them. It must be called before t is used.
func (t *Table) ExplainedBy(parts *Table) { t.parts = parts }

// Explains reports whether a convicted part has crashed an endpoint.
func (t *Table) Explains(l EndpointLifetime) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.explained[l]
}

// nextTrial returns when a request with a convicted part may be let through, and false if
// none may.
func nextTrial(r Record) (time.Time, bool) {
	if r.Trials >= len(trialPauses) || len(r.Crashes) == 0 {
		return time.Time{}, false
	}
	last := max(r.Tried, r.Crashes[len(r.Crashes)-1].At)
	return last.Time().Add(trialPauses[r.Trials]), true
}

// trialDue reports whether a request with a convicted part may be let through.
func (t *Table) trialDue(now time.Time, r Record) bool {
	at, ok := nextTrial(r)
	return t.cfg.Parts && ok && !now.Before(at)
}

// refusedUntil returns when a convicted request, or one with a convicted part, may be
// let through again.
func (t *Table) refusedUntil(r Record) time.Time {
	if at, ok := nextTrial(r); t.cfg.Parts && ok {
		return at
	}
	return r.Expires.Time()
}

// beginTrial counts a request with a convicted part that is let through. It returns the
// changed record and true, or false if none may be.
func (t *Table) beginTrial(now time.Time, f Fingerprint) (Record, bool) {
	r, state := t.Find(now, f)
	if state != Convicted || !t.trialDue(now, r) {
		return Record{}, false
	}
	t.Merge(now, Record{Fingerprint: f, Trials: r.Trials + 1, Tried: unixMillis(now), Expires: r.Expires})
	r, _ = t.Find(now, f)
	return r, true
}
