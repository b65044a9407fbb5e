package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/joomcode/errorx"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/kv"
	"wisteriaspool/coordination/settings"
)

// maxWait is the longest wait that a call to a router requests.
const maxWait = 8 * time.Second

// putCommand holds the flags of the command put.
type putCommand struct {
	file   settingsFile
	reason string
	author string
	id     string
	base   int64
	wait   time.Duration
}

// putRequest is the body of a request to change settings.
type putRequest struct {
	Text         string            `json:"text"`
	BaseRevision kv.Revision       `json:"base_revision"`
	ChangeID     settings.ChangeID `json:"change_id"`
	Author       string            `json:"author"`
	Reason       string            `json:"reason"`
}

// putResponse is a router's response to an accepted change.
type putResponse struct {
	Team     coordination.Team `json:"team"`
	Revision kv.Revision       `json:"revision"`
	Sequence uint64            `json:"sequence"`
	Repeated bool              `json:"repeated"`
	InForce  *rolloutStatus    `json:"in_force,omitempty"` // set by the command if -wait is given
}

// rolloutStatus reports on how many routers a change is in force.
type rolloutStatus struct {
	Routers     int                     `json:"routers"`
	InForce     int                     `json:"in_force"`
	Behind      []laggingRouter         `json:"behind"`
	Unreachable []coordination.Instance `json:"unreachable"`
}

// laggingRouter is a router on which a change is not in force, with its current
// revision and the revision that it refuses, if any.
type laggingRouter struct {
	Instance coordination.Instance `json:"instance"`
	Revision kv.Revision           `json:"revision"`
	Refused  kv.Revision           `json:"refused_revision,omitempty"`
}

func (a app) put() *command {
	p := &putCommand{}
	return &command{
		app: a, name: "put", args: "-file F -reason R [-author A] [-base N] [-wait 4s] TEAM", takesTeam: true,
		synopsis: "change the settings of TEAM to those of the file",
		flags:    p.registerFlags,
		do:       p.run,
	}
}

func (p *putCommand) registerFlags(fs *flag.FlagSet) {
	p.file.registerFlags(fs)
	fs.StringVar(&p.reason, "reason", "", "`why` the change is made, for the audit trail")
	fs.StringVar(&p.author, "author", os.Getenv("USER"), "`who` makes the change")
	fs.StringVar(&p.id, "change-id", "", "`id` of a change whose outcome is unknown, to put it again")
	fs.Int64Var(&p.base, "base", -1, "`revision` that the change starts from; the default is the one in the file's first line, or else the one that stands now")
	fs.DurationVar(&p.wait, "wait", 0, "wait this `long` until the change is in force on all routers")
}

func (p *putCommand) run(ctx context.Context, c *command) error {
	t, err := p.file.read(c)
	if err != nil {
		return err
	}
	req, err := p.buildRequest(ctx, c, t)
	if err != nil {
		return err
	}
	var resp putResponse
	if err := c.client.call(ctx, http.MethodPut, settingsPath(c.teamName), req, &resp); err != nil {
		return p.reportError(c, req, err)
	}
	if p.wait > 0 {
		resp.InForce, err = p.awaitRollout(ctx, c, resp)
	}
	return c.showWithError(err, resp, func() { p.print(c, resp) })
}

func (p *putCommand) buildRequest(ctx context.Context, c *command, t settingsText) (putRequest, error) {
	switch {
	case p.reason == "":
		return putRequest{}, errUsage.New("-reason is missing: say why the change is made")
	case p.author == "":
		return putRequest{}, errUsage.New("-author is missing: say who makes the change")
	case p.id != "" && !settings.ChangeID(p.id).Valid():
		return putRequest{}, errUsage.New("-change-id %q is no UUIDv7", p.id)
	}
	req := putRequest{Text: t.body, BaseRevision: kv.Revision(p.base), ChangeID: settings.ChangeID(p.id), Author: p.author, Reason: p.reason}
	if p.id == "" {
		req.ChangeID = settings.NewChangeID()
	}
	if p.base < 0 {
		req.BaseRevision = t.base
	}
	if req.BaseRevision >= 0 {
		return req, nil
	}
	s, err := c.client.get(ctx, c.teamName)
	if err != nil && !errorx.IsOfType(err, errNoTeam) {
		return putRequest{}, err
	}
	req.BaseRevision = s.Revision
	return req, nil
}

// reportError prints why a change was not accepted and how to proceed. It returns
// err with the type of its exit code.
func (p *putCommand) reportError(c *command, req putRequest, err error) error {
	var f *routerError
	if errors.As(err, &f) {
		if c.format == formatJSON {
			return c.showWithError(classifyError(err), f, nil)
		}
		c.printProblems(f.Problems)
		if f.Current != nil {
			c.printConflict(f)
		}
		return classifyError(err)
	}
	if errorx.IsOfType(err, errUnknown) {
		fmt.Fprintf(c.err, "wisteriactl: to settle it, put the same file again with -change-id %s -base %d\n", req.ChangeID, req.BaseRevision)
	}
	return err
}

func (c *command) printConflict(f *routerError) {
	c.printf("revision %d stands", f.Current.Revision)
	if ch := f.Current.Change; ch != nil {
		c.printf(", by %s at %s: %s", ch.Author, ch.Time.Format(time.RFC3339), ch.Reason)
	}
	c.printf("\n%s", f.Diff)
}

func (p *putCommand) print(c *command, resp putResponse) {
	again := ""
	if resp.Repeated {
		again = ", by an earlier try"
	}
	c.printf("accepted: team %s, revision %d%s\n", resp.Team, resp.Revision, again)
	if resp.InForce == nil {
		return
	}
	c.printf("in force on %d of %d routers\n", resp.InForce.InForce, resp.InForce.Routers)
	for _, b := range resp.InForce.Behind {
		c.printf("  %s still has revision %d", b.Instance, b.Revision)
		if b.Refused > 0 {
			c.printf(" and refuses revision %d", b.Refused)
		}
		c.printf("\n")
	}
	for _, u := range resp.InForce.Unreachable {
		c.printf("  %s did not answer\n", u)
	}
}

// awaitRollout waits until the change is in force on all routers. It returns
// errBehind if that takes longer than -wait or cannot be determined.
func (p *putCommand) awaitRollout(ctx context.Context, c *command, resp putResponse) (*rolloutStatus, error) {
	deadline := time.Now().Add(p.wait)
	for {
		left := max(time.Until(deadline), 0)
		path := fmt.Sprintf("%s/in-force?revision=%d&sequence=%d&wait_ms=%d",
			settingsPath(resp.Team), resp.Revision, resp.Sequence, min(left, maxWait).Milliseconds())
		var in rolloutStatus
		if err := c.client.call(ctx, http.MethodGet, path, nil, &in); err != nil {
			return nil, errBehind.New("accepted, but no router tells where it is in force: %v", err)
		}
		if in.InForce == in.Routers {
			return &in, nil
		}
		if time.Until(deadline) <= 0 {
			return &in, errBehind.New("accepted, but in force on only %d of %d routers after %v", in.InForce, in.Routers, p.wait)
		}
	}
}
