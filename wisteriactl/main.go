// Command wisteriactl is the command-line tool for operators. It reads and
// changes the settings of teams, shows the state of routers and analyzes their
// logs.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"

	"github.com/google/subcommands"
)

const usageText = `wisteriactl reads and changes the settings of teams and shows the state of
routers. It speaks to the operators' address of any router.

  wisteriactl settings get [flags] TEAM       the settings, to edit and put back
  wisteriactl settings check -file F          look for problems, without a router
  wisteriactl settings diff -file F TEAM      what a put would change
  wisteriactl settings put -file F -reason R [-wait 4s] TEAM
  wisteriactl settings history [flags] TEAM   who changed what, when and why
  wisteriactl status [flags]                  a router, its peers and endpoints
  wisteriactl suspects list [flags]           requests and parts of prompts that end endpoints
  wisteriactl suspects clear -author A -reason R [-kind part] FINGERPRINT
                                              let refused requests run again
  wisteriactl preview -host H -path P [flags] where a request would be placed now, and why
  wisteriactl explain REQUEST < LOGS          what became of a request, from routers' logs
  wisteriactl losses < LOGS                   how many requests were late, failed or refused, and by what
  wisteriactl calls < LOGS                    how calls to the platform ended, by kind

A command with -help tells its flags.

Exit codes:
`

func main() {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt)
	code := run(ctx, os.Args[1:], app{in: os.Stdin, out: os.Stdout, err: os.Stderr})
	cancel()
	os.Exit(int(code))
}

// app holds the standard streams of the program.
type app struct {
	in  io.Reader
	out io.Writer
	err io.Writer
}

// run executes the command named by args and returns its exit code.
func run(ctx context.Context, args []string, a app) exitCode {
	return execute(ctx, a, "wisteriactl", args, a.status(), a.preview(), a.explain(), a.losses(), a.calls(), settingsGroup{a}, suspectsGroup{a})
}

// execute executes the command of cmds that is named by args.
func execute(ctx context.Context, a app, name string, args []string, cmds ...subcommands.Command) exitCode {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(a.err)
	flags.Usage = func() { printUsage(a.err) }
	if err := flags.Parse(args); err != nil {
		return exitUsage
	}
	c := subcommands.NewCommander(flags, name)
	c.Output, c.Error = a.out, a.err
	c.Explain = printUsage
	flags.Usage = func() { printUsage(a.err) }
	c.Register(c.HelpCommand(), "")
	for _, cmd := range cmds {
		c.Register(cmd, "")
	}
	return exitCode(c.Execute(ctx))
}

func printUsage(w io.Writer) {
	fmt.Fprint(w, usageText)
	for _, e := range exitCodes {
		fmt.Fprintf(w, "  %d  %s\n", e.code, e.meaning)
	}
}

// settingsGroup is the command "settings", which has subcommands.
type settingsGroup struct{ app }

func (settingsGroup) Name() string           { return "settings" }
func (settingsGroup) Synopsis() string       { return "read and change the settings of teams" }
func (settingsGroup) Usage() string          { return usageText }
func (settingsGroup) SetFlags(*flag.FlagSet) {}

func (g settingsGroup) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return subcommands.ExitStatus(execute(ctx, g.app, "wisteriactl settings", f.Args(),
		g.get(), g.check(), g.diff(), g.put(), g.history()))
}
