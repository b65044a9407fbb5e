// Command standin runs small stand-ins for what surrounds the routers: the
// platform, a model engine, a plain service, and callers that make load. They
// are for tests and for the demo; faults are set by an admin call.
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

// exitStatus turns an error into an exit exitStatus, and shows it.
func exitStatus(err error) subcommands.ExitStatus {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
