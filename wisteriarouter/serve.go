package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/google/subcommands"

	"wisteriaspool/wisteriarouter/daemon"
)

// serveCommand runs a router.
type serveCommand struct {
	file string
}

func (*serveCommand) Name() string     { return "serve" }
func (*serveCommand) Synopsis() string { return "run a router" }
func (*serveCommand) Usage() string {
	return `wisteriarouter serve -config FILE

Runs a router until SIGTERM or SIGINT, then finishes the requests in flight.
SIGHUP or a change of FILE reloads the settings; changes of addresses and names
need a restart.
Exit codes: 0 stopped with nothing cut off, 1 could not start or had to cut
off requests, 2 wrong usage.

`
}

func (c *serveCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.file, "config", "router.ini", "settings `file`")
}

func (c *serveCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	cfg := loadConfig(c.file)
	if cfg == nil {
		return subcommands.ExitFailure
	}
	// Garbage is collected sooner when the process approaches the limit of its memory. The
	// rest is for what the runtime does not count.
	debug.SetMemoryLimit(int64(cfg.Limits.Memory) * 3 / 4)
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	d, shutdown, err := daemon.Start(cfg)
	if err != nil {
		fmt.Fprintln(os.Stderr, "wisteriarouter:", err)
		return subcommands.ExitFailure
	}
	r, stopReload := newReloader(c.file, d)
	defer stopReload()
	go r.run(ctx)
	select {
	case <-ctx.Done():
	case <-d.Failed():
	}
	if left := shutdown(); left > 0 || d.Err() != nil {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
