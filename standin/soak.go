package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/google/subcommands"

	"wisteriaspool/standin/soak"
)

// soakCommand implements the soak subcommand, which runs router processes while it
// injects faults.
type soakCommand struct {
	opts        soak.Options
	skip        string
	regressions bool
}

func (*soakCommand) Name() string { return "soak" }

func (*soakCommand) Synopsis() string {
	return "run routers as processes, make faults around them by a seed, and check their promises"
}

func (*soakCommand) Usage() string {
	return `standin soak -binary FILE [-seed N] [-for 20s] [-routers 4] [-dir DIR]
             [-skip 3,7] [-zones] [-responses] [-crashes] [-parts] [-failures] [-versions]
             [-uneven] [-order] [-regressions]

Starts routers as processes on loopback, with a store and endpoints of its own
and a proxy on each link, and prints each fault and what it broke. With a seed
the faults are the same each time; what is under way when they strike is not.
With -uneven the routers measure the capacity of endpoints, and the output shows how
much work slow and fast endpoints had.
Each fault is printed with its number; -skip leaves some out, to find the few
that break a promise.
Exit codes: 0 no promise was broken, 1 some were, or it could not run.

`
}

func (c *soakCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.opts.Binary, "binary", "bin/wisteriarouter", "`file` of the router")
	f.Uint64Var(&c.opts.Seed, "seed", uint64(time.Now().UnixNano()), "`seed` of the faults; a new one each time by default")
	f.DurationVar(&c.opts.FaultDuration, "for", 20*time.Second, "`time` in which faults are made")
	f.IntVar(&c.opts.Routers, "routers", 4, "how many routers")
	f.StringVar(&c.skip, "skip", "", "`numbers` of faults that are left out, with commas between")
	f.BoolVar(&c.opts.Zones, "zones", false, "evacuate availability zones and make endpoints cold, too; the other faults of the seed stay the same")
	f.BoolVar(&c.opts.Responses, "responses", false, "serve undelimited responses, break responses off as if they were complete, leave unheard and ask for pauses, too; the other faults of the seed stay the same")
	f.BoolVar(&c.opts.Crashes, "crashes", false, "repeat requests that crash the endpoints that run them, too; the other faults of the seed stay the same")
	f.BoolVar(&c.opts.Restores, "restores", false, "restore the store from older copies, too; the other faults of the seed stay the same")
	f.BoolVar(&c.opts.Parts, "parts", false, "send requests that have only a part of their prompts in common, which crashes endpoints, too; the other faults of the seed stay the same")
	f.BoolVar(&c.opts.Failures, "failures", false, "make all endpoints of a service fail and kill all routers meanwhile, too; the other faults of the seed stay the same")
	f.BoolVar(&c.opts.Versions, "versions", false, "release versions of a service's software and lose replies to watches, too; the other faults of the seed stay the same")
	f.BoolVar(&c.opts.Uneven, "uneven", false, "serve a service whose endpoints differ in speed while one client account requests many times its share, too; the other faults of the seed stay the same")
	f.BoolVar(&c.opts.Order, "order", false, "check streams piece by piece while routers are cut off or stand still and versions are released, too; the other faults of the seed stay the same")
	f.BoolVar(&c.regressions, "regressions", false, "play the seeds that have failed once, and no other")
	f.IntVar(&c.opts.Callers, "callers", 8, "how many callers")
	f.StringVar(&c.opts.Dir, "dir", "", "`directory` for settings and logs; a new one by default, removed if nothing broke")
}

func (c *soakCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	for _, n := range strings.FieldsFunc(c.skip, func(r rune) bool { return r == ',' }) {
		number, err := strconv.Atoi(n)
		if err != nil {
			return exitStatus(fmt.Errorf("-skip: %w", err))
		}
		c.opts.Skip = append(c.opts.Skip, number)
	}
	if !c.regressions {
		return c.runOnce()
	}
	worst := subcommands.ExitSuccess
	for _, each := range soak.Regressions {
		fmt.Printf("once failed: %s\n", each.Cause)
		again := *c
		again.opts.Seed, again.opts.FaultDuration = each.Seed, each.FaultDuration
		again.opts.Order = again.opts.Order || each.Order
		if each.Routers > 0 {
			again.opts.Routers = each.Routers
		}
		worst = max(worst, again.runOnce())
	}
	return worst
}

// runOnce runs one soak.
func (c *soakCommand) runOnce() subcommands.ExitStatus {
	createdDir := c.opts.Dir == ""
	if createdDir {
		dir, err := os.MkdirTemp("", "wisteria-soak-")
		if err != nil {
			return exitStatus(err)
		}
		c.opts.Dir = dir
	}
	c.opts.Out = os.Stdout
	fmt.Printf("seed %d, logs in %s\n", c.opts.Seed, c.opts.Dir)
	result, err := soak.Run(c.opts)
	if err != nil {
		return exitStatus(err)
	}
	fmt.Print(result)
	if len(result.Violations) > 0 {
		return subcommands.ExitFailure
	}
	if createdDir {
		_ = os.RemoveAll(c.opts.Dir) // leftover files are harmless
	}
	return subcommands.ExitSuccess
}
