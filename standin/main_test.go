package main

import (
	"context"
	"encoding/json"
	"flag"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/subcommands"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"wisteriaspool/standin/platform"
)

// process is a subcommand that runs in the test process until it is stopped.
type process struct {
	command subcommands.Command
	flags   *flag.FlagSet
	file    string
	stop    context.CancelFunc
	done    chan subcommands.ExitStatus
}

func start(t *testing.T, c subcommands.Command, args ...string) *process {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	p := &process{
		command: c, flags: flag.NewFlagSet(c.Name(), flag.ContinueOnError), stop: cancel,
		file: filepath.Join(t.TempDir(), "addr"), done: make(chan subcommands.ExitStatus, 1),
	}
	c.SetFlags(p.flags)
	assert.NilError(t, p.flags.Parse(append(args, "-addr-file", p.file)))
	go p.run(ctx)
	return p
}

func (p *process) run(ctx context.Context) { p.done <- p.command.Execute(ctx, p.flags) }

// url waits until the process listens and returns its base URL.
func (p *process) url(t *testing.T) string {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, err := os.Stat(p.file); err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	})
	data, err := os.ReadFile(p.file)
	assert.NilError(t, err)
	return "http://" + strings.TrimSpace(string(data))
}

func instances(t *testing.T, url string) []platform.Instance {
	t.Helper()
	res, err := http.Get(url + "/v1/instances")
	assert.NilError(t, err)
	defer res.Body.Close()
	var list platform.List
	assert.NilError(t, json.NewDecoder(res.Body).Decode(&list))
	return list.Instances
}

// waitFor waits until ok accepts the list of instances.
func waitFor(t *testing.T, url string, ok func([]platform.Instance) bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if list := instances(t, url); !ok(list) {
			return poll.Continue("the list is %v", list)
		}
		return poll.Success()
	})
}

// An engine that crashed must appear in the list of instances with a higher
// incarnation, and one that was stopped must be removed from it.
func TestMembersAreOnTheList(t *testing.T) {
	p := start(t, &platformCommand{})
	e := start(t, &engineCommand{}, "-platform", p.url(t), "-id", "e7", "-zone", "b", "-leave-time", "10ms", "-restart", "10ms")
	s := start(t, &serviceCommand{}, "-platform", p.url(t), "-leave-time", "10ms")
	waitFor(t, p.url(t), func(list []platform.Instance) bool { return len(list) == 2 })
	before := instances(t, p.url(t))[0]
	assert.Equal(t, before.ID, "e7")
	assert.Equal(t, before.Zone, "b")
	assert.Equal(t, "http://"+before.Address, e.url(t))

	res, err := http.Post(e.url(t)+"/admin/faults", "application/json", strings.NewReader(`{"crash":true}`))
	assert.NilError(t, err)
	res.Body.Close()
	waitFor(t, p.url(t), func(list []platform.Instance) bool { return list[0].Incarnation > before.Incarnation })

	e.stop()
	s.stop()
	assert.Equal(t, <-e.done, subcommands.ExitSuccess)
	assert.Equal(t, <-s.done, subcommands.ExitSuccess)
	assert.Equal(t, len(instances(t, p.url(t))), 0)
	p.stop()
	assert.Equal(t, <-p.done, subcommands.ExitSuccess)
}

func TestLoadNeedsRouters(t *testing.T) {
	c := &loadCommand{}
	f := flag.NewFlagSet("load", flag.ContinueOnError)
	c.SetFlags(f)
	assert.NilError(t, f.Parse([]string{"-duration", "1s"}))
	assert.Equal(t, c.Execute(t.Context(), f), subcommands.ExitUsageError)
}

func TestURLs(t *testing.T) {
	assert.DeepEqual(t, urls("127.0.0.1:1, http://h:2/,"), []string{"http://127.0.0.1:1", "http://h:2"})
}
