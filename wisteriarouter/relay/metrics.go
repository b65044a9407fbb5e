package relay

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"wisteriaspool/coordination"
)

// Metrics counts requests by their results. A nil *Metrics counts nothing.
type Metrics struct {
	requests         *prometheus.CounterVec
	placeSeconds     *prometheus.HistogramVec
	firstByteSeconds *prometheus.HistogramVec
	pauseSeconds     *prometheus.HistogramVec
	retries          *prometheus.CounterVec
	refusals         *prometheus.CounterVec
	sends            *prometheus.CounterVec
	tokens           *prometheus.CounterVec
	endings          *prometheus.CounterVec
	memoryRefusals   prometheus.Counter
}

// Buckets are in seconds. The longest time to first byte that is still on time is
// about 1.5 s, the longest pause 0.5 s.
var (
	placeBuckets = []float64{.001, .005, .01, .025, .05, .1, .25, .5, 1, 2.5}
	firstBuckets = []float64{.025, .05, .1, .2, .3, .5, .8, 1, 1.5, 3, 6, 12}
	pauseBuckets = []float64{.02, .05, .12, .2, .3, .5, 1, 2, 4}
)

// NewMetrics returns metrics that are registered with r.
func NewMetrics(r prometheus.Registerer) *Metrics {
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Name: "wisteria_relay_" + name, Help: help}, labels)
	}
	histogram := func(name, help string, buckets []float64, labels ...string) *prometheus.HistogramVec {
		return prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "wisteria_relay_" + name, Help: help, Buckets: buckets}, labels)
	}
	m := &Metrics{
		requests:         counter("requests_total", "Requests by route and what became of them: delivered, late (behind the route's targets), a status of the router's own, cut or caller-gone.", "route", "outcome"),
		placeSeconds:     histogram("place_seconds", "Time until a request had its place at an endpoint, waits in queues included.", placeBuckets, "pool"),
		firstByteSeconds: histogram("first_byte_seconds", "Time from a request's arrival to the first event of its stream, or to the whole answer.", firstBuckets, "pool"),
		pauseSeconds:     histogram("pause_seconds", "Longest pause between two events of a stream.", pauseBuckets, "pool"),
		retries:          counter("retries_total", "Attempts after the first, by how the one before ended.", "pool", "after"),
		refusals:         counter("refusals_total", "Answers in the router's own name by status.", "status"),
		sends:            counter("sends_total", "Attempts by what the endpoint is expected to have cached of the prompt: warm, fetched from another endpoint, or cold.", "pool", "cache"),
		tokens:           counter("shared_tokens_total", "Tokens of the shared parts of prompts, by the same; those that are cold are read again.", "pool", "cache"),
	}
	m.endings = counter("undelimited_responses_total", "Responses without a length or chunks that ended in order, by what was seen of their endpoint: accepting connections; refusing them while another connection is open (another-open), since before the end (stopped-before), the same with other responses that ended at that moment (ended-together), or refusing. The last two count as cut.", "pool", "ending")
	m.memoryRefusals = prometheus.NewCounter(prometheus.CounterOpts{Name: "wisteria_relay_memory_refusals_total", Help: "Requests refused since those of their client account held too much memory."})
	r.MustRegister(m.memoryRefusals, m.requests, m.placeSeconds, m.firstByteSeconds, m.pauseSeconds, m.retries, m.refusals, m.sends, m.tokens, m.endings)
	return m
}

func (m *Metrics) placed(p coordination.Pool, d time.Duration) {
	if m != nil {
		m.placeSeconds.WithLabelValues(string(p)).Observe(d.Seconds())
	}
}

func (m *Metrics) sent(x *exchange, p Placement) {
	if m == nil {
		return
	}
	cache := "warm"
	switch {
	case p.CacheSource != "":
		cache = "fetched"
	case p.Rank > 0:
		cache = "cold"
	}
	m.sends.WithLabelValues(string(x.pool), cache).Inc()
	m.tokens.WithLabelValues(string(x.pool), cache).Add(float64(x.sharedTokens()))
}

func (m *Metrics) retried(p coordination.Pool, after attemptResult) {
	if m != nil {
		m.retries.WithLabelValues(string(p), after.String()).Inc()
	}
}

// undelimited counts an undelimited response by how it ended.
func (m *Metrics) undelimited(x *exchange) {
	if m != nil {
		m.endings.WithLabelValues(string(x.pool), x.ending.String()).Inc()
	}
}

func (m *Metrics) refusedForMemory() {
	if m != nil {
		m.memoryRefusals.Inc()
	}
}

func (m *Metrics) refused(x *exchange, status int) {
	if m == nil {
		return
	}
	m.refusals.WithLabelValues(strconv.Itoa(status)).Inc()
	m.ended(x, strconv.Itoa(status))
}

// ended counts a request by its outcome. A request without a route counts under
// "none", so that callers cannot create label values.
func (m *Metrics) ended(x *exchange, outcome string) {
	if m == nil {
		return
	}
	name := "none"
	if x.route != nil {
		name = x.route.Name
	}
	m.requests.WithLabelValues(name, outcome).Inc()
}

// delivered counts a request that got an endpoint's response, and observes its
// latency.
func (m *Metrics) delivered(x *exchange) {
	if m == nil {
		return
	}
	outcome := "delivered"
	if x.missedTarget() != "" {
		outcome = "late"
	}
	m.ended(x, outcome)
	first := time.Since(x.arrived)
	if !x.stream.firstEventAt.IsZero() {
		first = x.stream.firstEventAt.Sub(x.arrived)
		m.pauseSeconds.WithLabelValues(string(x.pool)).Observe(x.stream.longestPause.Seconds())
	}
	m.firstByteSeconds.WithLabelValues(string(x.pool)).Observe(first.Seconds())
}
