package daemon

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/samber/do/v2"
	"github.com/samber/lo"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/budget"
	"wisteriaspool/coordination/kv"
	"wisteriaspool/coordination/membership"
	"wisteriaspool/coordination/outcome"
	"wisteriaspool/coordination/settings"
	"wisteriaspool/wisteriarouter/caller"
	"wisteriaspool/wisteriarouter/event"
	"wisteriaspool/wisteriarouter/peer"
	"wisteriaspool/wisteriarouter/platform"
)

// teamSettings serves the settings in force of all teams.
type teamSettings struct {
	replica   *settings.Replica
	sync      *settings.Sync
	log       event.Log
	onApplied []func() // called after each change that came into force
}

func newTeamSettings(i do.Injector) (*teamSettings, error) {
	cfg := configOf(i)
	node := do.MustInvoke[*peer.Node](i)
	p := do.MustInvoke[*placer](i)
	t := &teamSettings{replica: &settings.Replica{}, log: logOf(i)}
	t.onApplied = append(t.onApplied, func() { p.applySettings(t.replica.Snapshots()) })
	t.replica.Observe(t.observe)
	sync, stop := settings.NewSync(
		settings.Config{Self: cfg.Instance, Zone: cfg.Zone},
		t.replica,
		budgetedStore{store: do.MustInvoke[*platform.Client](i), budget: do.MustInvoke[*budget.Budget](i)},
		settingsPeers{node, do.MustInvoke[*peer.FailureDetector](i)},
	)
	t.sync = sync
	onStop(i, stop)
	return t, nil
}

// observe logs the verdict on each value that the replica is offered, and calls
// the onApplied functions when one has been applied.
func (t *teamSettings) observe(o settings.Observation) {
	fields := []event.Field{event.F("team", o.Team), event.F("revision", o.Revision)}
	switch o.Verdict {
	case settings.Applied:
		t.log.Emit(event.SettingsApplied, fields...)
		for _, fn := range t.onApplied {
			fn()
		}
	case settings.Invalid:
		t.log.Emit(event.SettingsInvalid, append(fields, event.F("problems", o.Problems))...)
	case settings.Older, settings.Removed:
		t.log.Emit(event.SettingsInvalid, append(fields, event.F("verdict", o.Verdict.String()))...)
	}
}

// settingsPeers adapts the peer node to [settings.Peers].
type settingsPeers struct {
	*peer.Node
	detector *peer.FailureDetector
}

// Call implements [settings.Peers].
func (p settingsPeers) Call(ctx context.Context, to coordination.Instance, topic string, payload []byte) ([]byte, error) {
	return p.detector.Call(ctx, to, topic, payload)
}

// Members implements [settings.Peers].
func (p settingsPeers) Members() []settings.Member {
	return lo.Map(p.Node.Members(), func(m membership.Member, _ int) settings.Member {
		return settings.Member{Instance: m.Instance, Zone: m.Zone}
	})
}

// Broadcast implements [settings.Peers].
func (p settingsPeers) Broadcast(topic, key string, version uint64, payload []byte) {
	p.Node.Broadcast(topic, key, version, payload)
}

// Handle implements [settings.Peers].
func (p settingsPeers) Handle(topic string, fn func(context.Context, coordination.Instance, []byte) ([]byte, error)) {
	p.Node.Handle(topic, fn)
}

// budgetedStore charges the calls for settings to this router's share of the
// fleet's platform call budget. Calls beyond it fail with status Throttled.
type budgetedStore struct {
	store  *platform.Client
	budget *budget.Budget
}

var errBudget = errors.New("daemon: platform call budget exhausted")

func (s budgetedStore) spend() (kv.Result, bool) {
	if ok, _ := s.budget.Allow(budget.Settings); !ok {
		return kv.Result{Status: kv.Throttled, Err: errBudget}, false
	}
	return kv.Result{}, true
}

// List implements [settings.SyncStore].
func (s budgetedStore) List(ctx context.Context, prefix string) kv.Result {
	if res, ok := s.spend(); !ok {
		return res
	}
	return s.store.List(ctx, prefix)
}

// Watch implements [settings.SyncStore].
func (s budgetedStore) Watch(ctx context.Context, prefix string, from kv.Revision) (<-chan kv.Batch, kv.Result) {
	if res, ok := s.spend(); !ok {
		return nil, res
	}
	return s.store.Watch(ctx, prefix, from)
}

// settingsRetryAfter is the Retry-After of a request with an unknown team, account,
// model or service: by then a change that was just accepted is in force on every
// router.
const settingsRetryAfter = 4 * time.Second

func unknownRefusal(code outcome.Code, format string, args ...any) *outcome.Refusal {
	return &outcome.Refusal{
		Code:       code,
		Message:    fmt.Sprintf(format, args...),
		Outcome:    outcome.NotRun,
		RetryAfter: settingsRetryAfter,
	}
}

// find returns the settings of a team, or a refusal if the team is unknown or does
// not list the account.
func (t *teamSettings) find(name coordination.Team, account coordination.Account) (*settings.TeamSettings, *outcome.Refusal) {
	team, ok := t.replica.Team(name)
	if !ok {
		return nil, unknownRefusal(outcome.UnknownTeam, "team %q has no settings in force", name)
	}
	if _, allowed := team.Account(account); !allowed {
		return nil, unknownRefusal(outcome.MissingAccount, "team %q does not list the client account %q", name, account)
	}
	return team, nil
}

// PlanChat implements [caller.ChatPlanner].
func (t *teamSettings) PlanChat(name coordination.Team, account coordination.Account, model coordination.Model, want coordination.Priority) (caller.Plan, *outcome.Refusal) {
	team, refusal := t.find(name, account)
	if refusal != nil {
		return caller.Plan{}, refusal
	}
	m, ok := team.Model(model)
	if !ok {
		return caller.Plan{}, unknownRefusal(outcome.UnknownModel, "team %q has no model %q", name, model)
	}
	return caller.Plan{
		Pool:         m.Pool(),
		Priority:     team.Priority(want, want != 0),
		StartTimeout: team.Deadline(),
		StallTimeout: m.StallTimeout,
		MaxTokens:    m.MaxTokens,
	}, nil
}
