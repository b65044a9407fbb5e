package daemon

import (
	"context"
	"strconv"

	"github.com/samber/lo"

	"wisteriaspool/coordination/suspicion"
	"wisteriaspool/wisteriarouter/operator"
)

// Kinds of suspects in the operators' API.
const (
	kindRequest = "request"
	kindPart    = "part"
)

// suspectServer returns the operators' API for suspects.
func (s *crashSuspicion) suspectServer() *operator.SuspectServer {
	return &operator.SuspectServer{List: s.list, Clear: s.clear, Log: s.log}
}

// list returns the suspects of all guards, parts first.
func (s *crashSuspicion) list() []operator.Suspect {
	all := []operator.Suspect{}
	if s.parts != nil {
		all = append(all, s.parts.list(kindPart)...)
	}
	return append(all, s.sharedGuard.list(kindRequest)...)
}

func (s *sharedGuard) list(kind string) []operator.Suspect {
	return lo.Map(s.guard.Statuses(), func(j suspicion.Status, _ int) operator.Suspect {
		o := operator.Suspect{
			Kind: kind, Fingerprint: j.Fingerprint.String(), State: j.State.String(), Pool: j.Pool,
			Crashes: len(j.Crashes), Last: j.Crashes[len(j.Crashes)-1].At.Time().UTC(), Trials: j.Trials, Expires: j.Expires.Time().UTC(),
		}
		if !j.NextTrial.IsZero() {
			next := j.NextTrial.UTC()
			o.NextTrial = &next
		}
		return o
	})
}

// clear clears a suspect on all routers, and reports whether this one knew it.
func (s *crashSuspicion) clear(ctx context.Context, kind, fingerprint string) bool {
	f, err := strconv.ParseUint(fingerprint, 16, 64)
	if err != nil {
		return false
	}
	g := s.sharedGuard
	if kind == kindPart {
		g = s.parts
	}
	return g != nil && g.guard.Clear(ctx, suspicion.Fingerprint(f))
}
