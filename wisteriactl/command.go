package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"regexp"
	"strings"

	"github.com/google/subcommands"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/settings"
)

const (
	formatText = "text"
	formatJSON = "json"

	routerVariable = "WISTERIACTL_ROUTER"
	defaultRouter  = "http://127.0.0.1:8081"
)

// fingerprintPattern matches the fingerprint of a suspect.
var fingerprintPattern = regexp.MustCompile("^[0-9a-f]{1,16}$")

// command implements subcommands.Command for all commands but settings.
type command struct {
	app
	name         string
	synopsis     string
	args         string // synopsis of the arguments, such as "-file F TEAM"
	takesTeam    bool   // whether a team name is required
	takesRequest bool   // whether a request ID is required
	takesSuspect bool   // whether the fingerprint of a suspect is required
	offline      bool   // whether it runs without a router
	flags        func(f *flag.FlagSet)
	do           func(ctx context.Context, c *command) error

	teamName  coordination.Team
	requestID coordination.Attempt
	suspectID string
	client    *client
	routers   string
	format    string
}

// Name implements subcommands.Command.
func (c *command) Name() string { return c.name }

// Synopsis implements subcommands.Command.
func (c *command) Synopsis() string { return c.synopsis }

// Usage implements subcommands.Command.
func (c *command) Usage() string {
	return strings.TrimSpace(c.name+" "+c.args) + ":\n  " + c.synopsis + "\n"
}

// SetFlags implements subcommands.Command.
func (c *command) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.format, "o", formatText, "output as `text|json`")
	if !c.offline {
		router := os.Getenv(routerVariable)
		if router == "" {
			router = defaultRouter
		}
		f.StringVar(&c.routers, "router", router, "operators' `URL` of a router, or several with commas; the next one is tried if one cannot be reached; the default is $"+routerVariable)
	}
	if c.flags != nil {
		c.flags(f)
	}
}

// Execute implements subcommands.Command.
func (c *command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	err := c.prepare(f)
	if err == nil {
		err = c.do(ctx, c)
	}
	if err != nil && exitCodeOf(err) != exitDiffers {
		fmt.Fprintf(c.err, "wisteriactl: %s\n", messageOf(err))
	}
	return subcommands.ExitStatus(exitCodeOf(err))
}

// prepare parses the positional argument and the flags, which may precede or
// follow it, and creates the client unless the command is offline. Its errors are
// errUsage.
func (c *command) prepare(f *flag.FlagSet) error {
	if c.takesTeam {
		if f.NArg() == 0 {
			return errUsage.New("%s needs a TEAM; see wisteriactl settings %s -help", c.name, c.name)
		}
		c.teamName = coordination.Team(f.Arg(0))
		if err := f.Parse(f.Args()[1:]); err != nil {
			return errUsage.New("wrong flags: %v", err)
		}
		if !settings.ValidTeam(c.teamName) {
			return errUsage.New("%q is no name of a team", c.teamName)
		}
	}
	if c.takesRequest {
		if f.NArg() == 0 {
			return errUsage.New("%s needs the id of a REQUEST; see wisteriactl %s -help", c.name, c.name)
		}
		c.requestID = coordination.Attempt(f.Arg(0))
		if err := f.Parse(f.Args()[1:]); err != nil {
			return errUsage.New("wrong flags: %v", err)
		}
	}
	if c.takesSuspect {
		if f.NArg() == 0 {
			return errUsage.New("%s needs a FINGERPRINT; see wisteriactl suspects list", c.name)
		}
		c.suspectID = strings.ToLower(f.Arg(0))
		if err := f.Parse(f.Args()[1:]); err != nil {
			return errUsage.New("wrong flags: %v", err)
		}
		if !fingerprintPattern.MatchString(c.suspectID) {
			return errUsage.New("%q is no fingerprint", c.suspectID)
		}
	}
	if f.NArg() > 0 {
		return errUsage.New("%q is one argument too many", f.Arg(0))
	}
	if c.format != formatText && c.format != formatJSON {
		return errUsage.New("-o %s is not known; write -o text or -o json", c.format)
	}
	if c.offline {
		return nil
	}
	var err error
	c.client, err = newClient(c.routers)
	return err
}

// show prints v as JSON if the output format is JSON, or else calls text.
func (c *command) show(v any, text func()) error {
	if c.format != formatJSON {
		text()
		return nil
	}
	enc := json.NewEncoder(c.out)
	enc.SetIndent("", "  ")
	enc.SetEscapeHTML(false)
	return enc.Encode(v)
}

// showWithError calls show and returns err or, if it is nil, the error of show.
func (c *command) showWithError(err error, v any, text func()) error {
	shown := c.show(v, text)
	if err != nil {
		return err
	}
	return shown
}

func (c *command) printf(format string, args ...any) { fmt.Fprintf(c.out, format, args...) }
