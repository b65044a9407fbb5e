// Command standin runs stand-ins for the systems around the routers, for tests and
// for the demo: the platform, a model engine, a plain service, and callers that
// generate load. Faults are injected through an admin endpoint. It also runs soak
// tests of the routers and draws charts of benchmark results.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	subcommands.Register(subcommands.CommandsCommand(), "")
	subcommands.Register(&platformCommand{}, "")
	subcommands.Register(&engineCommand{}, "")
	subcommands.Register(&serviceCommand{}, "")
	subcommands.Register(&loadCommand{}, "")
	subcommands.Register(&chartCommand{}, "")
	subcommands.Register(&soakCommand{}, "")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}

// exitStatus prints a non-nil error to stderr and returns the exit status for it.
func exitStatus(err error) subcommands.ExitStatus {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
