package service

import (
	"github.com/prometheus/client_golang/prometheus"

	"wisteriaspool/coordination/execution"
	"wisteriaspool/wisteriarouter/event"
)

// Observer counts and logs the events of an execution.Ledger.
type Observer struct {
	reg    prometheus.Registerer
	log    event.Log
	events *prometheus.CounterVec
}

// NewObserver returns an observer whose metrics are registered with reg.
func NewObserver(reg prometheus.Registerer, log event.Log) *Observer {
	o := &Observer{
		reg: reg,
		log: log,
		events: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "wisteria_action_records_total",
			Help: "What happened to execution records, by event.",
		}, []string{"event"}),
	}
	reg.MustRegister(o.events)
	return o
}

// Observe handles one event. It is meant for execution.Config.Observe.
func (o *Observer) Observe(e execution.Event) {
	o.events.WithLabelValues(e.String()).Inc()
	switch e {
	case execution.SettlementDelayed:
		o.log.Emit(event.ActionUnfinished)
	case execution.SettlementGivenUp:
		o.log.Emit(event.RecordUnsettled)
	case execution.RecordLost:
		o.log.Emit(event.RecordLost)
	case execution.PlatformLost:
		o.log.Emit(event.PlatformLost, event.F("service", "actions"))
	case execution.PlatformBack:
		o.log.Emit(event.PlatformBack, event.F("service", "actions"))
	}
}

// RegisterOpenRecords registers a gauge of the open records of l.
func (o *Observer) RegisterOpenRecords(l *execution.Ledger) {
	o.reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "wisteria_action_records_open",
		Help: "Execution records that this router has not settled yet.",
	}, func() float64 { return float64(l.Open()) }))
}
