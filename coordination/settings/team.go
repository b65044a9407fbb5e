// Package settings provides the settings of teams: parsing, change history, the
// editor that changes them and the replica that each router keeps.
//
// A team's settings and the audit record of their last change are one value of
// the platform's key-value service, so that one compare-and-swap writes both. A
// few routers watch the service; the others receive changes by gossip. A router
// never reverts to settings older than those it has in force.
package settings

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/samber/lo"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/settings/schema"
)

// Problem describes one error in a team's settings or in a change request.
type Problem = schema.Problem

// TeamSettings holds the parsed settings of one team. It is immutable and safe
// for concurrent use.
type TeamSettings struct {
	priorityDefault coordination.Priority
	priorityCap     coordination.Priority
	retryBudget     float64
	deadline        time.Duration
	actions         Actions
	onlyListed      bool
	weightDefault   float64
	weights         map[coordination.Account]float64
	models          map[coordination.Model]Model
	services        map[coordination.Service]Service
	evacuated       []coordination.Zone
}

// Model holds a team's settings for one model.
type Model struct {
	Name         coordination.Model
	Version      string
	LoadBound    float64 // highest load of an engine, as a multiple of the pool's mean
	Capacity     int     // requests per endpoint; 0 uses the capacity that the endpoint reports
	Queue        int     // requests that may wait per endpoint
	WarmWait     time.Duration
	MaxTokens    coordination.Tokens
	Adapters     []string      // loaded by every engine of the pool
	LoadPace     time.Duration // minimum time between two adapter loads in the pool
	StallTimeout time.Duration
}

// Pool returns the pool that serves m.
func (m Model) Pool() coordination.Pool { return coordination.PoolOf(m.Name, m.Version) }

// Service holds a team's settings for one plain service.
type Service struct {
	Name          coordination.Service
	ActionTimeout time.Duration
	Capacity      int // requests per endpoint; 0 uses the capacity that the endpoint reports

	nonIdempotent []coordination.Action
}

// NonIdempotent reports whether action may run at most once per idempotency
// key.
func (s Service) NonIdempotent(action coordination.Action) bool {
	return slices.Contains(s.nonIdempotent, action)
}

// Pool returns the pool that serves s.
func (s Service) Pool() coordination.Pool { return coordination.Pool(s.Name) }

// Actions configures how long and at what size the outcomes of a team's
// non-idempotent actions are kept.
type Actions struct {
	Retention   time.Duration
	ClockSkew   time.Duration
	AnswerLimit int // bytes; of larger answers only the outcome is kept
}

// Parse parses a team's settings. The file name is used in problems only. If
// there are problems, it returns all of them and a nil TeamSettings.
func Parse(file string, text []byte) (*TeamSettings, []Problem) {
	if len(text) > MaxText {
		return nil, []Problem{{File: file, Message: fmt.Sprintf("the text has %d bytes; at most %d are allowed", len(text), MaxText)}}
	}
	f, problems := Schema.Parse(file, text)
	if f == nil {
		return nil, problems
	}
	if problems = crossCheck(f); len(problems) > 0 {
		return nil, problems
	}
	return newTeamSettings(f), nil
}

// crossCheck validates constraints between keys and the syntax of version names.
func crossCheck(f *schema.File) []Problem {
	var problems []Problem
	team := f.Section(sectionTeam)
	if team.Int(keyPriorityDefault) > team.Int(keyPriorityCap) {
		problems = append(problems, team.Problem(keyPriorityDefault,
			fmt.Sprintf("%d is above the cap; write at most %d, or raise %s",
				team.Int(keyPriorityDefault), team.Int(keyPriorityCap), keyPriorityCap)))
	}
	actions := f.Section(sectionActions)
	if actions.Duration(keyClockSkew)*2 > actions.Duration(keyRetention) {
		problems = append(problems, actions.Problem(keyClockSkew,
			fmt.Sprintf("%v is more than half of the retention; write at most %v, or raise %s",
				actions.Duration(keyClockSkew), actions.Duration(keyRetention)/2, keyRetention)))
	}
	for _, m := range f.Named(sectionModel) {
		if v := m.Text(keyVersion); v != "" && !schema.ValidName(v) {
			problems = append(problems, m.Problem(keyVersion,
				fmt.Sprintf("%q is not right; write letters, digits and . _ @ : / -, at most 128", v)))
		}
	}
	return problems
}

func newTeamSettings(f *schema.File) *TeamSettings {
	team := f.Section(sectionTeam)
	actions := f.Section(sectionActions)
	accounts := f.Section(sectionAccounts)
	return &TeamSettings{
		priorityDefault: coordination.Priority(team.Int(keyPriorityDefault)),
		priorityCap:     coordination.Priority(team.Int(keyPriorityCap)),
		retryBudget:     team.Float(keyRetryBudget),
		deadline:        team.Duration(keyDeadline),
		actions: Actions{
			Retention:   actions.Duration(keyRetention),
			ClockSkew:   actions.Duration(keyClockSkew),
			AnswerLimit: actions.Int(keyAnswerLimit),
		},
		evacuated: lo.Map(f.Section(sectionZones).List(keyEvacuated), func(s string, _ int) coordination.Zone {
			return coordination.Zone(s)
		}),
		onlyListed:    accounts.Bool(keyOnlyListed),
		weightDefault: accounts.Float(keyWeightDefault),
		weights: lo.SliceToMap(f.Named(sectionAccount), func(v schema.Values) (coordination.Account, float64) {
			return coordination.Account(v.Name), v.Float(keyWeight)
		}),
		models: lo.SliceToMap(f.Named(sectionModel), func(v schema.Values) (coordination.Model, Model) {
			return coordination.Model(v.Name), newModel(v)
		}),
		services: lo.SliceToMap(f.Named(sectionService), func(v schema.Values) (coordination.Service, Service) {
			return coordination.Service(v.Name), newService(v)
		}),
	}
}

func newModel(v schema.Values) Model {
	return Model{
		Name:         coordination.Model(v.Name),
		Version:      v.Text(keyVersion),
		LoadBound:    v.Float(keyLoadBound),
		Capacity:     v.Int(keyCapacity),
		Queue:        v.Int(keyQueue),
		WarmWait:     v.Duration(keyWarmWait),
		MaxTokens:    coordination.Tokens(v.Int(keyMaxTokens)),
		Adapters:     v.List(keyAdapters),
		LoadPace:     v.Duration(keyLoadPace),
		StallTimeout: v.Duration(keyStallTimeout),
	}
}

func newService(v schema.Values) Service {
	names := lo.Map(v.List(keyNonIdempotent), func(s string, _ int) coordination.Action { return coordination.Action(s) })
	return Service{
		Name:          coordination.Service(v.Name),
		ActionTimeout: v.Duration(keyActionTimeout),
		Capacity:      v.Int(keyCapacity),
		nonIdempotent: names,
	}
}

// Priority returns the effective priority of a request: the requested one,
// limited to the team's cap, or the default if specified is false.
func (t *TeamSettings) Priority(requested coordination.Priority, specified bool) coordination.Priority {
	if !specified {
		return t.priorityDefault
	}
	return min(requested, t.priorityCap)
}

// RetryBudget returns the fraction of requests that may be retried, from 0 to 1.
func (t *TeamSettings) RetryBudget() float64 { return t.retryBudget }

// Deadline returns the time within which the answer to a request must start if
// the request sets no deadline.
func (t *TeamSettings) Deadline() time.Duration { return t.deadline }

// Actions returns the settings for the records of non-idempotent actions.
func (t *TeamSettings) Actions() Actions { return t.actions }

// Model returns the settings of model name, and whether the team has it.
func (t *TeamSettings) Model(name coordination.Model) (Model, bool) {
	m, ok := t.models[name]
	return m, ok
}

// Models returns the team's models, sorted by name.
func (t *TeamSettings) Models() []Model {
	return lo.Map(slices.Sorted(maps.Keys(t.models)), func(n coordination.Model, _ int) Model { return t.models[n] })
}

// Service returns the settings of service name, and whether the team has it.
func (t *TeamSettings) Service(name coordination.Service) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Services returns the team's services, sorted by name.
func (t *TeamSettings) Services() []Service {
	return lo.Map(slices.Sorted(maps.Keys(t.services)), func(n coordination.Service, _ int) Service { return t.services[n] })
}

// EvacuatedZones returns the availability zones that the team's operators have
// evacuated.
func (t *TeamSettings) EvacuatedZones() []coordination.Zone { return slices.Clone(t.evacuated) }

// Weights returns a copy of the weights of the listed client accounts.
func (t *TeamSettings) Weights() map[coordination.Account]float64 { return maps.Clone(t.weights) }

// Account returns the weight of client account name, and whether the team
// admits it.
func (t *TeamSettings) Account(name coordination.Account) (weight float64, allowed bool) {
	if w, listed := t.weights[name]; listed {
		return w, true
	}
	return t.weightDefault, !t.onlyListed
}
