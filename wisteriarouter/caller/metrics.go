package caller

import (
	"github.com/prometheus/client_golang/prometheus"

	"wisteriaspool/coordination/outcome"
	"wisteriaspool/wisteriarouter/engine"
)

// Metrics holds the metrics of requests, and of the tokens that callers are
// billed for.
type Metrics struct {
	requests   *prometheus.CounterVec
	inFlight   prometheus.Gauge
	firstToken prometheus.Histogram
	delivered  prometheus.Counter
	wasted     prometheus.Counter
	prompt     prometheus.Counter
	cached     prometheus.Counter
	resumed    prometheus.Counter
	continued  prometheus.Counter
	adopted    prometheus.Counter
	cancelled  prometheus.Counter
}

// NewMetrics creates the metrics and registers them with reg.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	counter := func(name, help string) prometheus.Counter {
		c := prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
		reg.MustRegister(c)
		return c
	}
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "wisteria_requests_total",
			Help: "Requests that ended, by kind (chat, action), outcome and refusal code.",
		}, []string{"kind", "outcome", "code"}),
		inFlight: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "wisteria_requests_in_flight",
			Help: "Requests being served.",
		}),
		firstToken: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "wisteria_first_token_seconds",
			Help:    "Time from a chat request's arrival to its first token.",
			Buckets: []float64{.02, .04, .08, .16, .24, .32, .48, .64, 1, 2, 4, 8},
		}),
		delivered: counter("wisteria_tokens_delivered_total", "Tokens passed on to callers."),
		wasted:    counter("wisteria_tokens_wasted_total", "Tokens that cancelled attempts generated and nobody read."),
		prompt:    counter("wisteria_prompt_tokens_total", "Prompt tokens of answers, as endpoints report them."),
		cached:    counter("wisteria_prompt_tokens_cached_total", "Prompt tokens that endpoints found in their cache."),
		resumed:   counter("wisteria_streams_resumed_total", "Streams resumed on their own endpoint."),
		continued: counter("wisteria_streams_continued_total", "Streams that went on at another endpoint."),
		adopted:   counter("wisteria_streams_adopted_total", "Streams taken over from another router."),
		cancelled: counter("wisteria_attempts_cancelled_total", "Attempts cancelled at their endpoint."),
	}
	reg.MustRegister(m.requests, m.inFlight, m.firstToken)
	return m
}

func (m *Metrics) requestEnded(kind string, o outcome.Outcome, code string) {
	m.requests.WithLabelValues(kind, o.String(), code).Inc()
}

func (m *Metrics) addUsage(u *engine.Usage) {
	if u == nil {
		return
	}
	m.prompt.Add(float64(u.Prompt))
	m.cached.Add(float64(u.Cached))
}
