package daemon

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/samber/lo"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/placement"
	"wisteriaspool/wisteriarouter/operator"
	"wisteriaspool/wisteriarouter/relay"
)

// previewer shows operators where requests would go.
type previewer struct {
	relay  *relay.Server
	placer *relayPlacer
}

func (p *previewer) previewServer() *operator.PreviewServer {
	return &operator.PreviewServer{Preview: p.preview}
}

// preview returns what would become of a request, or why it would not be placed.
func (p *previewer) preview(ctx context.Context, q operator.PreviewQuery) (operator.Preview, string) {
	name, r, problem := p.relay.Preview(relay.PreviewRequest{Host: q.Host, Path: q.Path, Account: q.Account, Parts: q.Parts, Attempt: q.Request})
	if problem != "" {
		return operator.Preview{}, string(problem)
	}
	out := operator.Preview{Route: name, Pool: r.Pool, Key: r.Key, Candidates: []operator.PreviewCandidate{}}
	p.placer.preview(ctx, r, &out)
	return out, ""
}

// preview fills in what Place would do. Like acquire, it leaves out endpoints that pause
// and goes on if the chosen one leaves.
func (p *relayPlacer) preview(ctx context.Context, r relay.PlacementRequest, out *operator.Preview) {
	req := p.requestOf(r, p.affinity.PreviewSubsetSize)
	if !r.Deadline.IsZero() {
		req.Deadline = max(time.Until(r.Deadline), time.Millisecond)
	}
	left := make(map[coordination.Endpoint]string) // why endpoints are left out
	for {
		avoid, refusal := p.avoidPausing(&req)
		if refusal != nil {
			out.Code, out.RetryAfterMs = string(refusal.Code), refusal.RetryAfter.Milliseconds()
			out.Explanation = "The request would be refused: " + refusal.Message + "."
			return
		}
		asked := req
		asked.Avoid = avoid
		for _, id := range avoid {
			if left[id] == "" {
				left[id] = "paused"
			}
		}
		v := p.entry.Preview(ctx, asked)
		if d := v.Chosen; d != nil && !v.Waits {
			if k, ok := p.directory.Find(d.ID); !ok || p.zones.Evacuated(k.Zone) || !p.mayStart(d.ID, d.Incarnation) {
				left[d.ID] = "leaving"
				req.Avoid = append(slices.Clip(req.Avoid), d.ID)
				continue
			}
		}
		p.describe(r, v, left, out)
		return
	}
}

func (p *relayPlacer) describe(r relay.PlacementRequest, v placement.Preview, left map[coordination.Endpoint]string, out *operator.Preview) {
	out.Candidates = lo.Map(v.Candidates, func(c placement.CandidatePreview, _ int) operator.PreviewCandidate {
		o := operator.PreviewCandidate{
			Endpoint: c.Endpoint.ID, Zone: c.Endpoint.Zone, Owner: c.Owner, Rank: c.Rank,
			Cached: r.PrefixCached && c.Rank == 0, Skip: string(c.Skip), Answer: string(c.Answer), Final: c.Final,
		}
		if why := left[c.Endpoint.ID]; c.Skip == placement.SkippedAvoid && why != "" {
			o.Skip = why
		}
		describeReply(c, &o)
		return o
	})
	switch {
	case v.Unknown:
		out.Explanation = "The outcome is not known: the owner of a candidate runs a version without previews."
	case v.Chosen == nil:
		refusal := refusalOf(v.Refusal)
		out.Code, out.RetryAfterMs = v.Refusal.Code.String(), refusal.RetryAfter.Milliseconds()
		out.Explanation = fmt.Sprintf("The request would be refused: %s.", refusal.Message)
	case v.Waits:
		out.Endpoint = v.Chosen.ID
		out.Explanation = fmt.Sprintf("No candidate has room now; the request would wait at %s.", v.Chosen.ID)
	default:
		out.Endpoint = v.Chosen.ID
		c, _ := lo.Find(out.Candidates, func(c operator.PreviewCandidate) bool { return c.Endpoint == v.Chosen.ID })
		passed := lo.CountBy(out.Candidates, func(o operator.PreviewCandidate) bool { return o.Rank < c.Rank })
		out.Explanation = fmt.Sprintf("%s would run the request: it is the first candidate.", v.Chosen.ID)
		if passed > 0 {
			out.Explanation = fmt.Sprintf("%s would run the request: the %d before it are skipped or do not take it.", v.Chosen.ID, passed)
		}
	}
}

// describeReply fills in what the owner of a candidate replied.
func describeReply(c placement.CandidatePreview, o *operator.PreviewCandidate) {
	if c.Answer == "" || c.Answer == placement.NotHandled {
		return
	}
	r := c.Reply
	o.Decision = r.Reply.Decision.String()
	if r.Queued {
		o.Decision = "waits"
	}
	if r.Reply.Code != placement.None {
		o.Code = r.Reply.Code.String()
	}
	if c.Answer != placement.Answered || r.Reply.Code == placement.NotOwner {
		return
	}
	o.State = &operator.PreviewState{
		Load: r.Load, Bound: r.Bound, Capacity: r.Capacity, Queue: r.Queue, WaitMs: r.Wait.Duration().Milliseconds(), Cold: r.Cold,
		Pace: int(r.Pace), Measured: r.Measured, EstimateAgeMs: r.EstimateAge.Duration().Milliseconds(),
	}
	if !r.SumsUnknown {
		age := r.SumsAge.Duration().Milliseconds()
		o.State.SumsAgeMs = &age
	}
}
