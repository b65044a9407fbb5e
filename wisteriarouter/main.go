// Command wisteriarouter routes requests of callers to model engines and plain
// services.
package main

import (
	"context"
	"flag"
	"os"
	"path/filepath"

	"github.com/google/subcommands"
)

func main() {
	c := subcommands.NewCommander(flag.CommandLine, filepath.Base(os.Args[0]))
	c.Register(c.HelpCommand(), "")
	c.Register(c.FlagsCommand(), "")
	c.Register(&serveCommand{}, "")
	c.Register(&checkCommand{}, "")
	flag.Parse()
	os.Exit(int(c.Execute(context.Background())))
}
