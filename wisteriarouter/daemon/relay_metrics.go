package daemon

import (
	"net/http"
	"time"

	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/samber/do/v2"

	"wisteriaspool/coordination/calls"
	"wisteriaspool/coordination/kv"
	"wisteriaspool/coordination/memory"
	"wisteriaspool/coordination/mirror"
	"wisteriaspool/platform"
	"wisteriaspool/wisteriarouter/operator"
	"wisteriaspool/wisteriarouter/relay"
)

// callBuckets are histogram buckets for network calls, in seconds.
var callBuckets = []float64{.002, .005, .01, .02, .05, .1, .25, .5, 1, 2.5}

// newStoreMetrics registers the metrics of calls to the store and returns the
// function that records a call there and with w.
func newStoreMetrics(r *prometheus.Registry, w *calls.Watcher) func(platform.Op, kv.Status, time.Duration) {
	total := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "wisteria_store_calls_total",
		Help: "Calls to the platform's store by operation and result.",
	}, []string{"op", "status"})
	seconds := prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name:    "wisteria_store_call_seconds",
		Help:    "Duration of calls to the platform's store; a watch waits for a change.",
		Buckets: callBuckets,
	}, []string{"op"})
	r.MustRegister(total, seconds)
	return func(op platform.Op, status kv.Status, d time.Duration) {
		total.WithLabelValues(string(op), status.String()).Inc()
		seconds.WithLabelValues(string(op)).Observe(d.Seconds())
		w.Record(calls.Kind("store "+string(op)), status)
	}
}

// behindBuckets are histogram buckets for the delay of a change after the first
// router, in seconds.
var behindBuckets = []float64{.01, .03, .1, .3, .5, 1, 1.5, 2, 3}

// newBehindMetric registers the metric of how late changes of the store reach
// this router and returns the function that records them.
func newBehindMetric(r *prometheus.Registry) func(mirror.Changes) {
	behind := prometheus.NewHistogram(prometheus.HistogramOpts{
		Name:    "wisteria_mirror_behind_seconds",
		Help:    "Time from when the store told the first router of a change until this one had it.",
		Buckets: behindBuckets,
	})
	r.MustRegister(behind)
	return func(n mirror.Changes) { behind.Observe(n.Behind.Seconds()) }
}

// newDialMetrics registers the metric of new connections to endpoints and
// returns the function that records a connection.
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
	addHealthChecks(mux, stateOf(i))
	api := humago.New(mux, huma.DefaultConfig("wisteriaspool operators", version))
	(&operator.StatusServer{Status: newRelayStatus(i).report}).Register(api)
	do.MustInvoke[*crashSuspicion](i).suspectServer().Register(api)
	(&previewer{relay: do.MustInvoke[*relay.Server](i), placer: do.MustInvoke[*relayPlacer](i)}).previewServer().Register(api)
	return mux
}

// relayCollector exports the state of a relaying router and its age as metrics.
type relayCollector struct {
	desired *desiredState
	placer  *placer
	retries *poolRetries
	memory  *memory.Budget
}

var (
	storeAge = prometheus.NewDesc("wisteria_store_age_seconds",
		"Time since the store confirmed what this router knows, itself or through others.", nil, nil)
	stateVersion = prometheus.NewDesc("wisteria_desired_state_version",
		"Version of the desired state in force.", nil, nil)
	endpointStates = prometheus.NewDesc("wisteria_endpoints",
		"Endpoints by pool and state.", []string{"pool", "state"}, nil)
	evacuatedZones = prometheus.NewDesc("wisteria_zone_evacuated",
		"1 for each evacuated availability zone.", []string{"zone"}, nil)
	retriesLeft = prometheus.NewDesc("wisteria_retries_left",
		"Second attempts that this router could make now.", []string{"pool"}, nil)
	heldBytes = prometheus.NewDesc("wisteria_held_bytes",
		"Memory that requests hold, the most that they have held at once, and the most that they may hold.", []string{"kind"}, nil)
)

// Describe implements prometheus.Collector.
func (c *relayCollector) Describe(ch chan<- *prometheus.Desc) {
	ch <- storeAge
	ch <- stateVersion
	ch <- endpointStates
	ch <- evacuatedZones
	ch <- retriesLeft
	ch <- heldBytes
}

// Collect implements prometheus.Collector.
func (c *relayCollector) Collect(ch chan<- prometheus.Metric) {
	gauge := func(d *prometheus.Desc, v float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	gauge(storeAge, c.desired.Age().Seconds())
	if t := c.desired.Table(); t != nil {
		gauge(stateVersion, float64(t.Version))
	}
	type group struct{ pool, state string }
	states := make(map[group]int)
	for _, k := range c.placer.listEndpoints() {
		states[group{string(k.Pool), k.State.String()}]++
	}
	for _, zone := range c.placer.zones.List() {
		gauge(evacuatedZones, 1, string(zone))
	}
	for g, n := range states {
		gauge(endpointStates, float64(n), g.pool, g.state)
	}
	for pool, n := range c.retries.remaining() {
		gauge(retriesLeft, float64(n), string(pool))
	}
	usage := c.memory.Usage()
	gauge(heldBytes, float64(usage.Held), "now")
	gauge(heldBytes, float64(usage.Peak), "peak")
	gauge(heldBytes, float64(usage.Limit), "limit")
}
