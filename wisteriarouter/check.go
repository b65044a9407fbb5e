package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"wisteriaspool/wisteriarouter/config"
)

// checkCommand validates a settings file without starting the router.
type checkCommand struct {
	file string
}

func (*checkCommand) Name() string     { return "check" }
func (*checkCommand) Synopsis() string { return "validate a router's settings file" }
func (*checkCommand) Usage() string {
	return `wisteriarouter check -config FILE

Validates FILE and prints all problems, each with file, line and key.
Exit codes: 0 valid, 1 not valid or not readable, 2 wrong usage.

`
}

func (c *checkCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.file, "config", "router.ini", "settings `file`")
}

func (c *checkCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	cfg := loadConfig(c.file)
	if cfg == nil {
		return subcommands.ExitFailure
	}
	fmt.Printf("%s: valid; instance %s in availability zone %s\n", c.file, cfg.Instance, cfg.Zone)
	return subcommands.ExitSuccess
}

// loadConfig reads a settings file and prints its problems to standard error.
// It returns nil if the file is unreadable or invalid.
func loadConfig(file string) *config.Config {
	cfg, problems, err := config.Load(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, "wisteriarouter:", err)
		return nil
	}
	for _, p := range problems {
		fmt.Fprintln(os.Stderr, p)
	}
	return cfg
}
