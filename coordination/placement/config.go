package placement

import (
	"time"

	"wisteriaspool/coordination"
)

// DefaultWarmWait is the wait for a warm endpoint that pays: measured at 60
// endpoints and 30 routers, see docs/ROUTING.md.
const DefaultWarmWait = 50 * time.Millisecond

// Config holds the settings of placement. A zero field means its default.
type Config struct {
	// Bound is the multiple of its pool's mean load that an endpoint may
	// carry; above 1, default 1.25.
	Bound float64

	// Slack is a number of requests that an endpoint may carry beyond Bound. It
	// keeps small loads from being driven away from their caches: at a mean of
	// two, a bound of 1.25 lets an endpoint run three. Default 0.
	Slack int
	// Overcommit is as in PoolBound, default 0.
	Overcommit float64
	// Pools holds the bounds of pools that have their own.
	Pools map[coordination.Pool]PoolBound
	// WarmWait is the longest time for which an owner holds a request back
	// for the endpoint where its chat is warm, before it is passed on to a
	// cold one. Zero is none. It is a part of the time to the first token.
	WarmWait time.Duration

	// QueueLimit is the number of requests that may wait at one endpoint,
	// default 64.
	QueueLimit int

	// AccountQueueLimit is the number of requests of one client account that
	// may wait at one endpoint, default 16.
	AccountQueueLimit int

	// AccountWeights are the shares of client accounts under contention;
	// an account not named here has weight 1.
	AccountWeights map[coordination.Account]float64

	// MaxWait is the longest time that a request without a nearer deadline
	// waits in a queue, default 10 s.
	MaxWait time.Duration

	// Grace is how long a new owner waits for entries to register what an
	// endpoint runs, if the endpoint itself does not report; default 1 s.
	Grace time.Duration

	// EntryLease is how long the grants of an entry last without a word from
	// it, default 30 s. Entries register every third of it.
	EntryLease time.Duration

	// ReportTTL is how long an endpoint's report of its load counts, default
	// 5 s.
	ReportTTL time.Duration

	// Candidates is the number of endpoints that an entry asks about before
	// a request queues at the first of them, default 6.
	Candidates int

	// MeanTTL is how long an owner uses the last mean of a pool when its root
	// is silent, default 5 s.
	MeanTTL time.Duration

	// LostTTL is how long an endpoint that an entry has found dead gets nothing,
	// unless its own report proves otherwise; default ReportTTL. Where endpoints
	// do not report, nothing else proves an entry wrong.
	LostTTL time.Duration
	// FallbackLimit is the number of requests that an entry may have at an endpoint
	// without its owner's leave, while the owner cannot be reached and the
	// endpoint is not asked for its load. Default 0: none.
	FallbackLimit int
	// FallbackShare is the part of the bound that an entry uses when it has to
	// decide without an endpoint's owner, default 0.8.
	FallbackShare float64
}

// PoolBound is how much of its pool's mean load an endpoint may carry.
type PoolBound struct {
	Bound float64 // multiple of the mean; above 1
	Slack int     // requests beyond it
	// Overcommit is the share of an endpoint's capacity that it is sent beyond it.
	// An owner learns of the end of a request some 30 ms late, by way of its
	// entry, and the next one needs as long to get there; for requests of 60 ms
	// an endpoint that is never sent more than it can run idles a third of its
	// time while others wait for it.
	Overcommit float64
}

// boundOf returns the bound of a pool.
func (c *Config) boundOf(p coordination.Pool) PoolBound {
	if b, ok := c.Pools[p]; ok {
		return b
	}
	return PoolBound{Bound: c.Bound, Slack: c.Slack, Overcommit: c.Overcommit}
}

// limit returns how many requests an endpoint may carry at a mean load.
func (b PoolBound) limit(mean float64) int { return limitOf(b.Bound, mean) + b.Slack }

// weightOf returns the share of an account under contention.
func (c *Config) weightOf(a coordination.Account) float64 {
	if w := c.AccountWeights[a]; w > 0 {
		return w
	}
	return 1
}

// withDefaults returns c with the zero fields filled in.
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
