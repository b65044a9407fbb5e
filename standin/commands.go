package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"

	"wisteriaspool/standin/engine"
	"wisteriaspool/standin/platform"
	"wisteriaspool/standin/service"
)

// crashStatus is the exit status of an engine process that crashed.
const crashStatus = 1

// platformCommand implements the platform subcommand, which runs the platform
// stand-in.
type platformCommand struct {
	listener
	opts platform.Options
}

func (*platformCommand) Name() string { return "platform" }

func (*platformCommand) Synopsis() string {
	return "run the key-value service and the list of instances"
}

func (*platformCommand) Usage() string {
	return `standin platform [-addr ADDR] [flags]

Serves a subset of etcd v3's JSON gateway under /v3/, the list of instances at
/v1/instances, faults at POST /admin/faults and counts at GET /admin/calls.
Example of a fault: curl -d '{"outage":true}' http://ADDR/admin/faults

`
}

func (c *platformCommand) SetFlags(f *flag.FlagSet) {
	c.setFlags(f)
	f.Float64Var(&c.opts.WritesPerSecond, "writes", 0, "cap on writes a second; 0 means none")
	f.Float64Var(&c.opts.ReadsPerSecond, "reads", 0, "cap on reads and watches a second; 0 means none")
	f.IntVar(&c.opts.History, "history", 0, "events kept for watches; 0 means 10,000")
	f.DurationVar(&c.opts.ListLag, "list-lag", 0, "lag of the list of instances")
	f.Uint64Var(&c.opts.Seed, "seed", 1, "seed of faults that hit a share of calls")
}

func (c *platformCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ln, err := c.listen()
	if err != nil {
		return exitStatus(err)
	}
	h, cleanup := platform.New(c.opts)
	s := serve(ln, h)
	err = s.wait(ctx)
	cleanup()
	if err != nil {
		return exitStatus(err)
	}
	return exitStatus(s.stop())
}

// engineCommand implements the engine subcommand, which runs a model engine.
type engineCommand struct {
	member
	opts      engine.Options
	crashExit bool
}

func (*engineCommand) Name() string { return "engine" }

func (*engineCommand) Synopsis() string { return "run a model engine" }

func (*engineCommand) Usage() string {
	return `standin engine [-addr ADDR] [-platform URL] [-id ID] [flags]

Serves chat completions with continuous batching and a limited prefix cache,
faults at POST /admin/faults and statistics at GET /admin/stats. SIGTERM stops
it gracefully: it takes no new work, ends its streams, and exits with 0.

`
}

func (c *engineCommand) SetFlags(f *flag.FlagSet) {
	c.setFlags(f, "e1", "m@1", 16)
	f.IntVar(&c.opts.MaxWaiting, "max-waiting", 0, "requests that wait; 0 means no limit")
	f.IntVar(&c.opts.CacheBlocks, "cache-blocks", 0, "blocks of 16 tokens in the prefix cache; 0 means 4096")
	f.DurationVar(&c.opts.Step, "step", 0, "time of one token; 0 means 10ms")
	f.DurationVar(&c.opts.StepPerRunning, "step-per-running", 0, "added for each further running request; 0 means a fiftieth of -step")
	f.DurationVar(&c.opts.PrefillPerToken, "prefill-per-token", 0, "time of each uncached prompt token; 0 means 200µs")
	f.DurationVar(&c.opts.LoadReportLag, "load-lag", 0, "lag of the load report")
	f.DurationVar(&c.opts.EventDelay, "event-delay", 0, "delay of cache events")
	f.Float64Var(&c.opts.EventLoss, "event-loss", 0, "share of cache events that never show")
	f.DurationVar(&c.opts.UnreadTimeout, "keep-unread", 0, "how long a request lives without a reader; 0 means 10s")
	f.BoolVar(&c.opts.IgnoreFencing, "ignore-fencing", false, "take orders with an old fencing number")
	f.StringVar(&c.opts.Poison, "poison", "", "`text` in a message that crashes the engine; empty means POISON")
	f.DurationVar(&c.opts.RestartDelay, "restart", 0, "how long it is dead after a crash; 0 means 1s")
	f.Uint64Var(&c.opts.Seed, "seed", 1, "seed of faults that hit a share of calls")
	f.BoolVar(&c.crashExit, "crash-exit", false, "exit with status 1 at a crash")
}

func (c *engineCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	c.opts.ID, c.opts.Capacity = c.id, c.capacity
	if c.crashExit {
		c.opts.OnCrash = func() { os.Exit(crashStatus) }
	}
	e, cleanup := engine.New(c.opts)
	defer cleanup()
	return exitStatus(c.run(ctx, e, "engine"))
}

// serviceCommand implements the service subcommand, which runs a plain service.
type serviceCommand struct {
	member
	opts service.Options
}

func (*serviceCommand) Name() string { return "service" }

func (*serviceCommand) Synopsis() string { return "run a plain service" }

func (*serviceCommand) Usage() string {
	return `standin service [-addr ADDR] [-platform URL] [-id ID] [flags]

Serves POST /actions/{action}, faults at POST /admin/faults and the record of
arrivals at GET /admin/arrivals. SIGTERM stops it gracefully.

`
}

func (c *serviceCommand) SetFlags(f *flag.FlagSet) {
	c.setFlags(f, "s1", "order-desk", 64)
	f.DurationVar(&c.opts.ActionTime, "time", 0, "time that one action takes")
	f.Uint64Var(&c.opts.Seed, "seed", 1, "seed of faults that hit a share of calls")
}

func (c *serviceCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	c.opts.ID, c.opts.Capacity = c.id, c.capacity
	s, cleanup := service.New(c.opts)
	defer cleanup()
	return exitStatus(c.run(ctx, s, "service"))
}
