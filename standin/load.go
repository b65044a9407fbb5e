package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"

	"wisteriaspool/standin/caller"
)

// loadCommand implements the load subcommand, which generates load.
type loadCommand struct {
	opts     caller.Options
	routers  string
	services string
	engines  string
	counters string
	metrics  string
	output   string
}

func (*loadCommand) Name() string { return "load" }

func (*loadCommand) Synopsis() string { return "make load as callers do, and check the answers" }

func (*loadCommand) Usage() string {
	return `standin load -routers URL[,URL...] [flags]

Makes a seeded open-loop load of chats that return after pauses, and of actions,
each sent through two routers at once. Checks that each answer is whole and its
own. Exit status: 0 if all promises held, 1 if one was broken or the load could
not be made, 2 for wrong usage.

`
}

func (c *loadCommand) SetFlags(f *flag.FlagSet) {
	o := &c.opts
	f.StringVar(&c.routers, "routers", "", "`URLs` of the routers, with commas between; required")
	f.StringVar(&c.output, "o", "text", "`format` of the report: text or json")
	f.StringVar(&o.Team, "team", "demo", "team")
	f.StringVar(&o.Model, "model", "m", "model")
	f.DurationVar(&o.Duration, "duration", 10*time.Second, "time in which turns start")
	f.IntVar(&o.Requests, "requests", 0, "at most so many turns; 0 means no limit")
	f.Uint64Var(&o.Seed, "seed", 1, "seed of arrivals, pauses and texts")
	f.Float64Var(&o.Rate, "rate", 5, "new chats a second over all accounts")
	f.IntVar(&o.Accounts, "accounts", 10, "client accounts")
	f.IntVar(&o.SurgingAccounts, "surging", 0, "accounts that surge in the middle third")
	f.Float64Var(&o.SurgeFactor, "surge", 10, "times their rate")
	f.IntVar(&o.Turns, "turns", 4, "mean turns of a chat")
	f.DurationVar(&o.Pause, "pause", 2*time.Second, "mean pause before a chat returns")
	f.IntVar(&o.SystemWords, "system-words", 32, "words shared by an account's chats")
	f.IntVar(&o.FirstWords, "first-words", 96, "words of a chat's first message")
	f.IntVar(&o.TurnWords, "turn-words", 24, "words of later messages")
	f.IntVar(&o.MaxTokens, "max-tokens", 0, "tokens of an answer; 0 means its natural length")
	f.Float64Var(&o.NonStreamShare, "whole", 0, "share of turns without a stream")
	f.DurationVar(&o.Timeout, "timeout", time.Minute, "time of one turn with its reconnects")
	f.IntVar(&o.Retries, "retries", 2, "times that a refused turn is sent again, after Retry-After")
	f.IntVar(&o.PoisonRequests, "poisons", 0, "requests that crash each stand-in engine that runs them")
	f.StringVar(&o.Service, "service", "order-desk", "plain service of the actions")
	f.StringVar(&o.Action, "action", "confirm", "action")
	f.Float64Var(&o.ActionRate, "action-rate", 0, "actions a second")
	f.StringVar(&c.services, "services", "", "`URLs` of the stand-in services, to check the actions")
	f.StringVar(&c.engines, "engines", "", "`URLs` of the stand-in engines, to measure skew")
	f.StringVar(&c.counters, "counters", "", "`names` of metrics to show as rates, as name or name{label=\"value\"}, with commas between")
	f.StringVar(&c.metrics, "metrics", "", "`URLs` that have the routers' /metrics; empty means those of -routers")
	f.Float64Var(&o.LoadBound, "bound", 1.25, "times the mean load that an engine may carry")
}

func (c *loadCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	c.opts.Routers, c.opts.Services, c.opts.Engines = urls(c.routers), urls(c.services), urls(c.engines)
	c.opts.Metrics = urls(c.metrics)
	c.opts.Counters = strings.FieldsFunc(c.counters, isSeparator)
	if len(c.opts.Routers) == 0 || c.output != "text" && c.output != "json" {
		fmt.Fprintln(os.Stderr, "standin: load needs -routers, and -o text or json")
		return subcommands.ExitUsageError
	}
	report, err := caller.Run(ctx, c.opts)
	if err != nil {
		return exitStatus(err)
	}
	if err := c.write(report); err != nil {
		return exitStatus(err)
	}
	if n := report.Failures(); n > 0 {
		return exitStatus(fmt.Errorf("standin: %d broken promises", n))
	}
	return subcommands.ExitSuccess
}

func (c *loadCommand) write(r caller.Report) error {
	if c.output == "text" {
		return r.WriteText(os.Stdout)
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// urls parses a list separated by commas or spaces. The default scheme is http.
func urls(list string) []string {
	var out []string
	for _, url := range strings.FieldsFunc(list, isSeparator) {
		if !strings.Contains(url, "://") {
			url = "http://" + url
		}
		out = append(out, strings.TrimSuffix(url, "/"))
	}
	return out
}

func isSeparator(r rune) bool { return r == ',' || r == ' ' }
