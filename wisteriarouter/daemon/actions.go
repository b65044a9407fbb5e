package daemon

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/do/v2"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/budget"
	"wisteriaspool/coordination/execution"
	"wisteriaspool/coordination/outcome"
	"wisteriaspool/wisteriarouter/caller"
	"wisteriaspool/wisteriarouter/platform"
	"wisteriaspool/wisteriarouter/service"
)

// The upper limits of the retention and clock skew that a team may set. They are
// the same on all routers: a record made under a shorter limit could expire while
// another router still accepts its key. The settings schema allows no more.
const (
	maxRetention = 24 * time.Hour
	maxSkew      = time.Minute
)

func newActions(i do.Injector) (*service.Runner, error) {
	st := stateOf(i)
	client, closeClient := service.NewClient(service.Options{})
	onStop(i, closeClient)
	observer := service.NewObserver(do.MustInvoke[*prometheus.Registry](i), logOf(i))
	ledger, closeLedger := execution.New(execution.Config{
		Store:       do.MustInvoke[*platform.Client](i),
		Budget:      do.MustInvoke[*budget.Budget](i),
		Holder:      st.instance,
		Incarnation: st.incarnation,
		Retention:   maxRetention,
		ClockSkew:   maxSkew,
		Observe:     observer.Observe,
	})
	observer.RegisterOpenRecords(ledger)
	onStop(i, func() {
		drain(ledger)
		closeLedger()
	})
	return &service.Runner{
		Planner: do.MustInvoke[*teamSettings](i),
		Placer:  do.MustInvoke[*placer](i),
		Retries: do.MustInvoke[*teamRetries](i),
		Client:  client,
		Ledger:  ledger,
		Log:     logOf(i),
	}, nil
}

// drainTimeout limits how long a stopping router waits for the records of
// finished actions to be written. A record left open would keep its key in
// progress, and its caller without an answer, until the record expires.
const drainTimeout = 5 * time.Second

func drain(l *execution.Ledger) {
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	l.Drain(ctx)
}

// PlanAction implements [service.ActionPlanner].
func (t *teamSettings) PlanAction(a caller.Action) (service.Plan, *outcome.Refusal) {
	team, refusal := t.find(a.Team, a.Account)
	if refusal != nil {
		return service.Plan{}, refusal
	}
	s, ok := team.Service(a.Service)
	if !ok {
		return service.Plan{}, unknownRefusal(outcome.UnknownService, "team %q has no service %q", a.Team, a.Service)
	}
	rules := team.Actions()
	return service.Plan{
		Pool:          s.Pool(),
		Priority:      team.Priority(a.Priority, a.Priority != coordination.Priority(0)),
		StartTimeout:  team.Deadline(),
		Timeout:       s.ActionTimeout,
		NonIdempotent: s.NonIdempotent(a.Action),
		Rules: execution.Rules{
			Retention:   rules.Retention,
			ClockSkew:   rules.ClockSkew,
			AnswerLimit: rules.AnswerLimit,
		},
	}, nil
}
