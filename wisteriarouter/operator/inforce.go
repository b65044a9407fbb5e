package operator

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/kv"
	"wisteriaspool/coordination/settings"
)

// topicInForce is the topic of calls by which a router asks another which
// position of a team's settings it has in force.
const topicInForce = "settings-in-force"

const (
	maxConcurrentCalls = 32 // concurrent calls of one query
	maxWait            = 10 * time.Second
	callMargin         = time.Second // allowance for the network round trip, beyond the wait
	pollInterval       = 50 * time.Millisecond
)

// inForceRequest asks which position a router has in force. The router waits up
// to WaitMs milliseconds until it has reached Want, which saves the caller from
// polling.
type inForceRequest struct {
	Team   coordination.Team `cbor:"1,keyasint"`
	Want   settings.Position `cbor:"2,keyasint"`
	WaitMs int64             `cbor:"3,keyasint,omitempty"`
}

// inForceResponse holds the position in force and, if the router refuses a
// value, that value's revision.
type inForceResponse struct {
	Position settings.Position `cbor:"1,keyasint"`
	Refused  kv.Revision       `cbor:"2,keyasint,omitempty"`
}

// RouterInForce holds the position of a team's settings in force on one router.
type RouterInForce struct {
	Instance coordination.Instance `json:"instance"`
	Revision kv.Revision           `json:"revision"`
	Sequence uint64                `json:"sequence"`
	Refused  kv.Revision           `json:"refused_revision,omitempty" doc:"The revision that the router refuses, if any."`
}

// InForce reports on how many routers a change, or a later one, is in force.
type InForce struct {
	Team        coordination.Team       `json:"team"`
	Revision    kv.Revision             `json:"revision"`
	Routers     int                     `json:"routers" doc:"Routers known to the one that answered, itself included."`
	InForce     int                     `json:"in_force"`
	Behind      []RouterInForce         `json:"behind" doc:"Routers that have an earlier change in force."`
	Unreachable []coordination.Instance `json:"unreachable" doc:"Routers that did not answer."`
}

type inForceInput struct {
	Team     string `path:"team" maxLength:"128"`
	Revision int64  `query:"revision" required:"true" minimum:"1"`
	Sequence uint64 `query:"sequence" doc:"The change's sequence. Needed only after the platform was rebuilt with lower revisions."`
	WaitMs   int64  `query:"wait_ms" minimum:"0" maximum:"10000" doc:"How long to wait until the change is in force everywhere."`
}

type inForceOutput struct{ Body InForce }

func (s *Server) getInForce(ctx context.Context, in *inForceInput) (*inForceOutput, error) {
	req := inForceRequest{
		Team:   coordination.Team(in.Team),
		Want:   settings.Position{Sequence: in.Sequence, Revision: kv.Revision(in.Revision)},
		WaitMs: in.WaitMs,
	}
	if !settings.ValidTeam(req.Team) {
		return nil, &Failure{Code: CodeUnknownTeam, Message: "this is no name of a team"}
	}
	c := &inForceQuery{server: s, req: req, slots: make(chan struct{}, maxConcurrentCalls)}
	return &inForceOutput{Body: c.collect(ctx)}, nil
}

// reached reports whether position in is want or later. It compares revisions
// if want has no sequence.
func reached(in, want settings.Position) bool {
	if want.Sequence == 0 {
		return in.Revision >= want.Revision
	}
	return !in.Before(want)
}

// inForceQuery sends the same request to all routers and collects the responses.
type inForceQuery struct {
	server     *Server
	req   inForceRequest
	slots chan struct{}
	group sync.WaitGroup

	mu     sync.Mutex
	result InForce
}

// collect queries all known routers, this one included, and returns once each
// has answered or timed out.
func (c *inForceQuery) collect(ctx context.Context) InForce {
	wait := min(time.Duration(c.req.WaitMs)*time.Millisecond, maxWait)
	ctx, cancel := context.WithTimeout(ctx, wait+callMargin)
	defer cancel()
	members := c.server.Peers.Members()
	c.result = InForce{
		Team: c.req.Team, Revision: c.req.Want.Revision, Routers: len(members),
		Behind: []RouterInForce{}, Unreachable: []coordination.Instance{},
	}
	deadline := time.Now().Add(wait)
	for _, m := range members {
		c.group.Add(1)
		go c.queryRouter(ctx, m.Instance, deadline)
	}
	c.group.Wait()
	slices.SortFunc(c.result.Behind, func(a, b RouterInForce) int { return cmp.Compare(a.Instance, b.Instance) })
	slices.Sort(c.result.Unreachable)
	return c.result
}

// queryRouter queries one router and records its response.
func (c *inForceQuery) queryRouter(ctx context.Context, to coordination.Instance, deadline time.Time) {
	defer c.group.Done()
	c.slots <- struct{}{}
	defer func() { <-c.slots }()
	req := c.req
	req.WaitMs = max(time.Until(deadline).Milliseconds(), 0)
	a, err := c.call(ctx, to, req)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case err != nil:
		c.result.Unreachable = append(c.result.Unreachable, to)
	case reached(a.Position, c.req.Want):
		c.result.InForce++
	default:
		c.result.Behind = append(c.result.Behind, RouterInForce{
			Instance: to, Revision: a.Position.Revision, Sequence: a.Position.Sequence, Refused: a.Refused,
		})
	}
}

// call sends req to one router, or serves it locally if to is this router.
func (c *inForceQuery) call(ctx context.Context, to coordination.Instance, req inForceRequest) (a inForceResponse, err error) {
	if to == c.server.Self {
		return c.server.waitInForce(ctx, req), nil
	}
	payload, err := cbor.Marshal(req)
	if err != nil {
		return a, fmt.Errorf("operator: encoding in-force request: %w", err)
	}
	data, err := c.server.Peers.Call(ctx, to, topicInForce, payload)
	if err != nil {
		return a, err
	}
	if err := cbor.Unmarshal(data, &a); err != nil {
		return a, fmt.Errorf("operator: decoding in-force response from %s: %w", to, err)
	}
	return a, nil
}

// handleInForce serves an inForceRequest from another router.
func (s *Server) handleInForce(ctx context.Context, _ coordination.Instance, payload []byte) ([]byte, error) {
	var req inForceRequest
	if err := cbor.Unmarshal(payload, &req); err != nil {
		return nil, fmt.Errorf("operator: decoding in-force request: %w", err)
	}
	data, err := cbor.Marshal(s.waitInForce(ctx, req))
	if err != nil {
		return nil, fmt.Errorf("operator: encoding in-force response: %w", err)
	}
	return data, nil
}

// waitInForce waits until this router has reached the position that req wants,
// req.WaitMs has passed or ctx ends, and returns the position then in force.
func (s *Server) waitInForce(ctx context.Context, req inForceRequest) inForceResponse {
	wait := min(time.Duration(req.WaitMs)*time.Millisecond, maxWait)
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		a := s.inForce(req.Team)
		if reached(a.Position, req.Want) {
			return a
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return a
		}
	}
}

// inForce returns the position of a team's settings in force on this router.
func (s *Server) inForce(team coordination.Team) inForceResponse {
	for _, st := range s.Replica.Status() {
		if st.Team != team {
			continue
		}
		a := inForceResponse{Position: st.Position}
		if st.Refused != nil {
			a.Refused = st.Refused.Revision
		}
		return a
	}
	return inForceResponse{}
}
