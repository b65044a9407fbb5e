package daemon

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/do/v2"
	"github.com/samber/lo"

	"wisteriaspool/coordination/calls"
	"wisteriaspool/wisteriarouter/event"
	"wisteriaspool/wisteriarouter/operator"
)

const (
	// failingBound is how long the calls of a kind may fail before that is logged. Most
	// outages of the platform's service are shorter.
	failingBound = 30 * time.Second
	// failingInterval is the time between two log lines about a kind of call.
	failingInterval = time.Minute
)

// newCallWatcher creates the watcher of this router's calls.
func newCallWatcher(i do.Injector) (*calls.Watcher, error) {
	w := calls.NewWatcher(calls.Config{Bound: failingBound, Interval: failingInterval, Report: callLogger{logOf(i)}.logReport})
	do.MustInvoke[*prometheus.Registry](i).MustRegister(callCollector{w})
	return w, nil
}

// callLogger logs kinds of calls that have a problem.
type callLogger struct{ log event.Log }

func (l callLogger) logReport(r calls.Report) {
	kind := event.CallsFailing
	if r.Problem == calls.Rejected {
		kind = event.CallRejected
	}
	l.log.Emit(kind,
		event.F("call", r.Kind), event.F("rejected", r.Rejected), event.F("failed", r.Failed), event.F("succeeded", r.Succeeded),
		event.F("failing-ms", r.FailingFor.Milliseconds()), event.F("status", r.Last.String()),
	)
}

// callCollector exports the problems of kinds of calls as metrics.
type callCollector struct{ watcher *calls.Watcher }

var callProblem = prometheus.NewDesc("wisteria_call_problem",
	"1 for each kind of call that a peer finds wrong (rejected), or that has not succeeded for longer than allowed (failing).",
	[]string{"call", "problem"}, nil)

// Describe implements prometheus.Collector.
func (c callCollector) Describe(ch chan<- *prometheus.Desc) { ch <- callProblem }

// Collect implements prometheus.Collector.
func (c callCollector) Collect(ch chan<- prometheus.Metric) {
	for _, r := range c.watcher.Reports() {
		for _, p := range []calls.Problem{calls.Failing, calls.Rejected} {
			value := 0.0
			if r.Problem == p {
				value = 1
			}
			ch <- prometheus.MustNewConstMetric(callProblem, prometheus.GaugeValue, value, string(r.Kind), p.String())
		}
	}
}

// callStatus returns the calls of this router for the operator API.
func callStatus(w *calls.Watcher) []operator.CallStatus {
	return lo.Map(w.Reports(), func(r calls.Report, _ int) operator.CallStatus {
		return operator.CallStatus{
			Call: string(r.Kind), Problem: r.Problem.String(),
			Succeeded: r.Succeeded, Failed: r.Failed, Rejected: r.Rejected,
			FailingMs: r.FailingFor.Milliseconds(),
		}
	})
}
