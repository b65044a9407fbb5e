package daemon

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/samber/do/v2"

	"wisteriaspool/coordination/kv"
	"wisteriaspool/platform"
)

// callBuckets are for calls over a network, in seconds.
var callBuckets = []float64{.002, .005, .01, .02, .05, .1, .25, .5, 1, 2.5}

// newStoreMetrics returns what counts the calls to the store.
func newStoreMetrics(r *prometheus.Registry) func(platform.Op, kv.Status, time.Duration) {
	calls := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "wisteria_store_calls_total",
		Help: "Calls to the platform's store by operation and result.",
	}, []string{"op", "status"})
	seconds := prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name:    "wisteria_store_call_seconds",
		Help:    "Duration of calls to the platform's store; a watch waits for a change.",
		Buckets: callBuckets,
	}, []string{"op"})
	r.MustRegister(calls, seconds)
	return func(op platform.Op, status kv.Status, d time.Duration) {
		calls.WithLabelValues(string(op), status.String()).Inc()
		seconds.WithLabelValues(string(op)).Observe(d.Seconds())
	}
}

// newDialMetrics returns what counts new connections to endpoints.
func newDialMetrics(r *prometheus.Registry) func(string, error, time.Duration) {
	dials := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "wisteria_endpoint_dials_total",
		Help: "New connections to endpoints by result.",
	}, []string{"result"})
	r.MustRegister(dials)
	return func(_ string, err error, _ time.Duration) {
		result := "made"
		if err != nil {
			result = "failed"
		}
		dials.WithLabelValues(result).Inc()
	}
}

func metricsHandler(i do.Injector) http.Handler {
	mux := http.NewServeMux()
	registry := do.MustInvoke[*prometheus.Registry](i)
	mux.Handle("GET /metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	addHealth(mux, stateOf(i))
	return mux
}
