package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/google/subcommands"

	"wisteriaspool/coordination"
)

// suspectList holds the suspects reported by a router.
type suspectList struct {
	Suspects []struct {
		Kind        string            `json:"kind"`
		Fingerprint string            `json:"fingerprint"`
		State       string            `json:"state"`
		Pool        coordination.Pool `json:"pool,omitempty"`
		Crashes     int               `json:"crashes"`
		Last        time.Time         `json:"last"`
		Trials      int               `json:"trials"`
		NextTrial   *time.Time        `json:"next_trial,omitempty"`
		Expires     time.Time         `json:"expires"`
	} `json:"suspects"`
}

// suspectsGroup is the command "suspects", which has subcommands.
type suspectsGroup struct{ app }

func (suspectsGroup) Name() string { return "suspects" }
func (suspectsGroup) Synopsis() string {
	return "show and clear requests and parts of prompts that end endpoints"
}
func (suspectsGroup) Usage() string          { return usageText }
func (suspectsGroup) SetFlags(*flag.FlagSet) {}

func (g suspectsGroup) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return subcommands.ExitStatus(execute(ctx, g.app, "wisteriactl suspects", f.Args(), g.listSuspects(), g.clearSuspect()))
}

func (a app) listSuspects() *command {
	return &command{
		app: a, name: "list",
		synopsis: "print the requests and parts of prompts under which endpoints have ended, as a router knows them",
		do: func(ctx context.Context, c *command) error {
			var s suspectList
			if err := c.client.call(ctx, http.MethodGet, "/operator/v1/suspects", nil, &s); err != nil {
				return err
			}
			return c.show(s, func() { c.printSuspects(s) })
		},
	}
}

func (c *command) printSuspects(s suspectList) {
	c.table("KIND\tFINGERPRINT\tSTATE\tPOOL\tENDED\tLAST\tTRIALS\tNEXT TRIAL\tEXPIRES", len(s.Suspects), func(w io.Writer, i int) {
		x := s.Suspects[i]
		next := "-"
		if x.NextTrial != nil {
			next = x.NextTrial.Format(time.RFC3339)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%s\t%d\t%s\t%s\n", x.Kind, x.Fingerprint, x.State, x.Pool, x.Crashes, x.Last.Format(time.RFC3339), x.Trials, next, x.Expires.Format(time.RFC3339))
	})
}

// clearRequest is the body of a request to clear a suspect.
type clearRequest struct {
	Author string `json:"author"`
	Reason string `json:"reason"`
}

// clearedSuspect is the response to it.
type clearedSuspect struct {
	Kind        string `json:"kind"`
	Fingerprint string `json:"fingerprint"`
}

func (a app) clearSuspect() *command {
	var kind string
	var body clearRequest
	return &command{
		app: a, name: "clear", args: "-author A -reason R [-kind part] FINGERPRINT", takesSuspect: true,
		synopsis: "let requests run again that all routers refuse since endpoints have ended under them",
		flags: func(f *flag.FlagSet) {
			f.StringVar(&kind, "kind", "part", "what the fingerprint is of: `part|request`")
			f.StringVar(&body.Author, "author", "", "`who` clears it")
			f.StringVar(&body.Reason, "reason", "", "`why`")
		},
		do: func(ctx context.Context, c *command) error {
			switch {
			case kind != "part" && kind != "request":
				return errUsage.New("-kind %s is not known; write -kind part or -kind request", kind)
			case body.Author == "":
				return errUsage.New("-author is missing: say who clears it")
			case body.Reason == "":
				return errUsage.New("-reason is missing: say why it is cleared")
			}
			path := "/operator/v1/suspects/" + kind + "/" + c.suspectID + "/clear"
			var cleared clearedSuspect
			if err := c.client.call(ctx, http.MethodPost, path, body, &cleared); err != nil {
				return err
			}
			return c.show(cleared, func() { c.printf("%s %s is cleared\n", cleared.Kind, cleared.Fingerprint) })
		},
	}
}
