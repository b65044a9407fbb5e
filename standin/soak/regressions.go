package soak

import "time"

// Regression is a seed that has failed once, with the cause that was found.
type Regression struct {
	Seed  uint64
	For   time.Duration
	Cause string
}

// Regressions are played again by hand before a change of the router lands. The
// seeds choose the same faults; what was under way when they struck is not the
// same each time.
var Regressions = []Regression{
	{102, 20 * time.Second, "the soak did not end: it waited for a paused router"},
	{107, 20 * time.Second, "as seed 102"},
	{114, 20 * time.Second, "as seed 102"},
	{148, 20 * time.Second, "as seed 102"},
}
