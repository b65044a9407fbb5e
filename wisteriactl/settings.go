package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"time"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/kv"
	"wisteriaspool/coordination/settings"
)

// baseLine matches the first line of the output of get. It tells put on which
// revision an edited file is based.
var baseLine = regexp.MustCompile(`^# wisteriactl: team (\S+), base revision (\d+)\r?\n`)

func (a app) get() *command {
	var standing bool
	return &command{
		app: a, name: "get", args: "[-standing] TEAM", takesTeam: true,
		synopsis: "print the settings of TEAM, with a first line that put takes its base from",
		flags: func(fs *flag.FlagSet) {
			fs.BoolVar(&standing, "standing", false, "print what stands in the platform, even if the routers refuse it")
		},
		do: func(ctx context.Context, c *command) error {
			s, err := c.client.get(ctx, c.teamName)
			if err != nil {
				return err
			}
			c.printWarnings(s)
			text := s.Text
			if s.InForceText != "" && !standing {
				text = s.InForceText
			}
			return c.show(s, func() {
				c.printf("# wisteriactl: team %s, base revision %d\n%s", s.Team, s.Revision, text)
			})
		},
	}
}

// printWarnings warns on standard error if s may be stale or is refused.
func (c *command) printWarnings(s teamSettings) {
	if !s.Fresh {
		fmt.Fprintln(c.err, "wisteriactl: the platform did not answer or has lost the key; these settings are in force on the router that answered")
	}
	if s.Refused != nil {
		fmt.Fprintf(c.err, "wisteriactl: revision %d stands in the platform but is not in force (%s); put the text in force, or a change of it, on top\n", s.Refused.Revision, s.Refused.Verdict)
		c.printProblems(s.Refused.Problems)
	}
}

func (c *command) printProblems(problems []settings.Problem) {
	for _, p := range problems {
		fmt.Fprintln(c.err, p)
	}
}

// settingsFile is the flag that names a file with settings.
type settingsFile struct{ name string }

func (f *settingsFile) registerFlags(fs *flag.FlagSet) {
	fs.StringVar(&f.name, "file", "", "`file` with the settings; - is the standard input")
}

// settingsText is the text of a settings file without its base line.
type settingsText struct {
	body string
	base kv.Revision // -1 if the file has no base line
}

// read reads the file and checks it. It prints the problems that it finds and
// returns errInvalid if there are any, or errUsage if the file cannot be read or
// belongs to another team.
func (f *settingsFile) read(c *command) (settingsText, error) {
	if f.name == "" {
		return settingsText{}, errUsage.New("-file is missing")
	}
	data, err := f.load(c)
	if err != nil {
		return settingsText{}, errUsage.New("%v", err)
	}
	_, problems := settings.Parse(f.name, data)
	if c.format != formatJSON {
		c.printProblems(problems)
	}
	t, err := splitBaseLine(string(data), c.teamName)
	if err == nil && len(problems) > 0 {
		err = errInvalid.New("%s has %d problems", f.name, len(problems))
	}
	if err != nil && c.format == formatJSON {
		err = c.showWithError(err, checkResult{Problems: append([]settings.Problem{}, problems...)}, nil)
	}
	return t, err
}

func (f *settingsFile) load(c *command) ([]byte, error) {
	if f.name == "-" {
		return io.ReadAll(c.in)
	}
	return os.ReadFile(f.name)
}

// splitBaseLine separates the base line from the settings. An empty team matches
// any team; a base line of another team is an errUsage.
func splitBaseLine(body string, team coordination.Team) (settingsText, error) {
	m := baseLine.FindStringSubmatch(body)
	if m == nil {
		return settingsText{body: body, base: -1}, nil
	}
	if team != "" && m[1] != string(team) {
		return settingsText{}, errUsage.New("the file was got from team %s, not %s; delete its first line to put it all the same", m[1], team)
	}
	base, err := strconv.ParseInt(m[2], 10, 64)
	if err != nil {
		return settingsText{}, errUsage.New("the file's first line has no right revision: %v", err)
	}
	return settingsText{body: strings.TrimPrefix(body, m[0]), base: kv.Revision(base)}, nil
}

// checkResult is the result of check.
type checkResult struct {
	Problems []settings.Problem `json:"problems"`
}

func (a app) check() *command {
	f := &settingsFile{}
	return &command{
		app: a, name: "check", args: "-file F", offline: true, flags: f.registerFlags,
		synopsis: "look for problems in a file, without a router",
		do: func(_ context.Context, c *command) error {
			if _, err := f.read(c); err != nil {
				return err
			}
			return c.show(checkResult{Problems: []settings.Problem{}}, func() { c.printf("%s: no problems\n", f.name) })
		},
	}
}

// diffResult is the result of diff.
type diffResult struct {
	Team     coordination.Team `json:"team"`
	Revision kv.Revision       `json:"revision"`
	Diff     string            `json:"diff"`
}

func (a app) diff() *command {
	f := &settingsFile{}
	return &command{
		app: a, name: "diff", args: "-file F TEAM", takesTeam: true, flags: f.registerFlags,
		synopsis: "print what a put of the file would change; exits with 9 if there is a difference",
		do: func(ctx context.Context, c *command) error {
			t, err := f.read(c)
			if err != nil {
				return err
			}
			s, err := c.client.get(ctx, c.teamName)
			if err != nil {
				return err
			}
			c.printWarnings(s)
			d := diffResult{Team: s.Team, Revision: s.Revision, Diff: settings.Diff(s.Text, t.body)}
			if err := c.show(d, func() { c.printf("%s", d.Diff) }); err != nil {
				return err
			}
			if d.Diff != "" {
				return errDiffers.New("the file differs from revision %d", s.Revision)
			}
			return nil
		},
	}
}

// settingsHistory lists the changes to the settings of a team, newest first.
type settingsHistory struct {
	Team    coordination.Team `json:"team"`
	Fresh   bool              `json:"fresh"`
	Entries []settings.Entry  `json:"entries"`
}

func (a app) history() *command {
	var diffs bool
	return &command{
		app: a, name: "history", args: "[-diff] TEAM", takesTeam: true,
		synopsis: "print who changed the settings of TEAM, when and why, newest first",
		flags:    func(fs *flag.FlagSet) { fs.BoolVar(&diffs, "diff", false, "print what each change changed") },
		do: func(ctx context.Context, c *command) error {
			var h settingsHistory
			err := c.client.call(ctx, http.MethodGet, settingsPath(c.teamName)+"/history", nil, &h)
			if err != nil {
				return classifyError(err)
			}
			return c.show(h, func() { c.printHistory(h, diffs) })
		},
	}
}

func (c *command) printHistory(h settingsHistory, diffs bool) {
	if diffs {
		for _, e := range h.Entries {
			c.printf("revision %d  %s  %s  %s\n%s\n", e.Revision, e.Time.Format(time.RFC3339), e.Author, e.Reason, e.Diff)
		}
		return
	}
	c.table("REVISION\tTIME\tAUTHOR\tREASON\tCHANGE ID", len(h.Entries), func(w io.Writer, i int) {
		e := h.Entries[i]
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\n", e.Revision, e.Time.Format(time.RFC3339), e.Author, e.Reason, e.ID)
	})
}
