package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"wisteriaspool/standin/chart"
)

// chartCommand implements the chart subcommand, which draws benchmark results.
type chartCommand struct {
	in, out string
	spec    chart.Spec
}

func (*chartCommand) Name() string { return "chart" }

func (*chartCommand) Synopsis() string { return "draw results of go test -bench" }

func (*chartCommand) Usage() string {
	return `standin chart -in FILE -out FILE.svg -name Fleet -x routers -y sent-B/s [-by rate]

Draws one unit of a benchmark's results over one of its parameters.

`
}

func (c *chartCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.in, "in", "", "`file` with the output of go test -bench")
	f.StringVar(&c.out, "out", "", "`file` to write, .svg or .png")
	f.StringVar(&c.spec.Title, "title", "", "title")
	f.StringVar(&c.spec.Name, "name", "", "benchmark, without Benchmark before it")
	f.StringVar(&c.spec.X, "x", "", "`parameter` of the horizontal axis")
	f.StringVar(&c.spec.Y, "y", "", "`unit` of the vertical axis")
	f.StringVar(&c.spec.By, "by", "", "`parameter` that tells lines apart")
	f.Float64Var(&c.spec.Limit, "limit", 0, "level line; 0 means none")
	f.StringVar(&c.spec.Legend, "legend", "limit", "what the level line is")
}

func (c *chartCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if c.in == "" || c.out == "" {
		fmt.Fprintln(os.Stderr, "standin: chart needs -in and -out")
		return subcommands.ExitUsageError
	}
	return exitStatus(c.draw())
}

func (c *chartCommand) draw() error {
	in, err := os.Open(c.in)
	if err != nil {
		return err
	}
	defer in.Close()
	all, err := chart.Read(in)
	if err != nil {
		return err
	}
	p, err := chart.Draw(all, c.spec)
	if err != nil {
		return err
	}
	return chart.Save(p, c.out)
}
