package placement

import (
	"time"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/capacity"
)

// DefaultWarmWait is a value of Config.WarmWait whose benefit exceeds its cost,
// as measured with 60 endpoints and 30 routers; see docs/ROUTING.md.
const DefaultWarmWait = 50 * time.Millisecond

// Config holds the placement settings. A zero field selects its default.
type Config struct {
	// Bound is the maximum load of an endpoint as a multiple of its pool's mean
	// load. It must exceed 1; the default is 1.25.
	Bound float64

	// Slack is the number of requests that an endpoint may carry beyond Bound.
	// It lets endpoints with a small load keep chats near their cache: at a
	// mean of two, a bound of 1.25 allows three requests. Default 0.
	Slack int
	// Overcommit is described in PoolBound. Default 0.
	Overcommit float64
	// Pools overrides the bounds of individual pools.
	Pools map[coordination.Pool]PoolBound
	// WarmWait is the longest time that an owner holds a request for the
	// endpoint with its cached context before the entry tries another
	// candidate. The wait adds to the time to the first token. Zero disables
	// it.
	WarmWait time.Duration

	// QueueLimit is the maximum number of requests queued at one endpoint.
	// Default 64.
	QueueLimit int

	// AccountQueueLimit is the maximum number of requests of one client account
	// queued at one endpoint. Default 16.
	AccountQueueLimit int

	// AccountWeights holds the relative shares of client accounts under
	// contention. Accounts that are not listed have weight 1.
	AccountWeights map[coordination.Account]float64

	// MaxWait is the longest queueing time of a request without an earlier
	// deadline. Default 10 s.
	MaxWait time.Duration

	// Grace is how long a new owner waits for entries to register the grants
	// they hold at an endpoint that does not report its load. Default 1 s.
	Grace time.Duration

	// EntryLease is how long an entry's grants stay valid after its last
	// message. Entries register every third of it. Default 30 s.
	EntryLease time.Duration

	// ReportTTL is how long an endpoint's load report is used. Default 5 s.
	ReportTTL time.Duration

	// Candidates is the number of endpoints that an entry asks about before it
	// queues a request at the first of them. Default 6.
	Candidates int

	// MeanTTL is how long an owner uses the last mean of a pool after the
	// pool's root stopped answering. Default 5 s.
	MeanTTL time.Duration

	// LostTTL is how long no requests are placed at an endpoint that an entry
	// found dead, unless the endpoint's own report shows it alive. If endpoints
	// do not report, nothing else corrects a finding that was wrong. Default
	// ReportTTL.
	LostTTL time.Duration
	// FallbackLimit is the number of requests that an entry may run at an
	// endpoint without a grant, while the owner is unreachable and the endpoint
	// is not polled for its load. Default 0.
	FallbackLimit int
	// FallbackShare is the fraction of the bound that an entry uses when it
	// places a request without asking the endpoint's owner. Default 0.8.
	FallbackShare float64
	// Capacity selects whether the capacity of endpoints is measured. Default Slots.
	Capacity capacity.Mode
}

// PoolBound limits the load of each endpoint of a pool.
type PoolBound struct {
	Bound float64 // multiple of the pool's mean load; above 1
	Slack int     // requests allowed beyond Bound
	// Overcommit is the fraction of an endpoint's capacity by which requests
	// sent to it may exceed that capacity, at least. An owner allows more where
	// it observes that places stay empty for long between two requests, compared
	// with the time that a request takes.
	Overcommit float64
	// ColdRate is how many requests a second a cold endpoint of the pool tolerates.
	// Zero means that its endpoints tolerate any number.
	ColdRate float64
	// ColdTime is how long an endpoint of the pool stays cold after its start.
	ColdTime time.Duration
	// Capacity selects whether the capacity of the pool's endpoints is measured.
	Capacity capacity.Mode
}

// boundOf returns the bound of pool p.
func (c *Config) boundOf(p coordination.Pool) PoolBound {
	if b, ok := c.Pools[p]; ok {
		return b
	}
	return PoolBound{Bound: c.Bound, Slack: c.Slack, Overcommit: c.Overcommit, Capacity: c.Capacity}
}

// limit returns the maximum number of requests at an endpoint for a mean load.
func (b PoolBound) limit(mean float64) int { return limitOf(b.Bound, mean) + b.Slack }

// weightOf returns the relative share of account a under contention.
func (c *Config) weightOf(a coordination.Account) float64 {
	if w := c.AccountWeights[a]; w > 0 {
		return w
	}
	return 1
}

// withDefaults returns c with zero fields set to their defaults.
func (c Config) withDefaults() Config {
	setFloat(&c.Bound, 1.25)
	setInt(&c.QueueLimit, 64)
	setInt(&c.AccountQueueLimit, 16)
	setDuration(&c.MaxWait, 10*time.Second)
	setDuration(&c.Grace, time.Second)
	setDuration(&c.EntryLease, 30*time.Second)
	setDuration(&c.ReportTTL, 5*time.Second)
	setDuration(&c.LostTTL, c.ReportTTL)
	setInt(&c.Candidates, 6)
	setDuration(&c.MeanTTL, 5*time.Second)
	setFloat(&c.FallbackShare, 0.8)
	return c
}

func setFloat(v *float64, d float64) {
	if *v <= 0 {
		*v = d
	}
}

func setInt(v *int, d int) {
	if *v <= 0 {
		*v = d
	}
}

func setDuration(v *time.Duration, d time.Duration) {
	if *v <= 0 {
		*v = d
	}
}
