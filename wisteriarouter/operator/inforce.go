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
	q := &inForceQuery{server: s, req: req, slots: make(chan struct{}, maxConcurrentCalls)}
	return &inForceOutput{Body: q.collect(ctx)}, nil
}

// reached reports whether current is want or a later position. It compares revisions
// if want has no sequence.
func reached(current, want settings.Position) bool {
	if want.Sequence == 0 {
		return current.Revision >= want.Revision
	}
	return !current.Before(want)
}

// inForceQuery sends the same request to all routers and collects the responses.
type inForceQuery struct {
	server *Server
	req    inForceRequest
	slots  chan struct{}
	group  sync.WaitGroup

	mu     sync.Mutex
	result InForce
}

// collect queries all known routers, this one included, and returns once each
// has answered or timed out.
func (q *inForceQuery) collect(ctx context.Context) InForce {
	wait := min(time.Duration(q.req.WaitMs)*time.Millisecond, maxWait)
	ctx, cancel := context.WithTimeout(ctx, wait+callMargin)
	defer cancel()
	members := q.server.Peers.Members()
	q.result = InForce{
		Team: q.req.Team, Revision: q.req.Want.Revision, Routers: len(members),
		Behind: []RouterInForce{}, Unreachable: []coordination.Instance{},
	}
	deadline := time.Now().Add(wait)
	for _, m := range members {
		q.group.Add(1)
		go q.queryRouter(ctx, m.Instance, deadline)
	}
	q.group.Wait()
	slices.SortFunc(q.result.Behind, func(a, b RouterInForce) int { return cmp.Compare(a.Instance, b.Instance) })
	slices.Sort(q.result.Unreachable)
	return q.result
}

// queryRouter queries one router and records its response.
func (q *inForceQuery) queryRouter(ctx context.Context, to coordination.Instance, deadline time.Time) {
	defer q.group.Done()
	q.slots <- struct{}{}
	defer func() { <-q.slots }()
	req := q.req
	req.WaitMs = max(time.Until(deadline).Milliseconds(), 0)
	resp, err := q.call(ctx, to, req)
	q.mu.Lock()
	defer q.mu.Unlock()
	switch {
	case err != nil:
		q.result.Unreachable = append(q.result.Unreachable, to)
	case reached(resp.Position, q.req.Want):
		q.result.InForce++
	default:
		q.result.Behind = append(q.result.Behind, RouterInForce{
			Instance: to, Revision: resp.Position.Revision, Sequence: resp.Position.Sequence, Refused: resp.Refused,
		})
	}
}

// call sends req to one router, or serves it locally if to is this router.
func (q *inForceQuery) call(ctx context.Context, to coordination.Instance, req inForceRequest) (resp inForceResponse, err error) {
	if to == q.server.Self {
		return q.server.waitInForce(ctx, req), nil
	}
	payload, err := cbor.Marshal(req)
	if err != nil {
		return resp, fmt.Errorf("operator: encoding in-force request: %w", err)
	}
	data, err := q.server.Peers.Call(ctx, to, topicInForce, payload)
	if err != nil {
		return resp, err
	}
	if err := cbor.Unmarshal(data, &resp); err != nil {
		return resp, fmt.Errorf("operator: decoding in-force response from %s: %w", to, err)
	}
	return resp, nil
}

// handleInForce serves an inForceRequest from another router.
func (s *Server) handleInForce(ctx context.Context, _ coordination.Instance, payload []byte) ([]byte, error) {
	var req inForceRequest
	if err := cbor.Unmarshal(payload, &req); err != nil {
		return nil, fmt.Errorf("operator: question about settings: %w", err)
	}
	data, err := cbor.Marshal(s.waitInForce(ctx, req))
	if err != nil {
		return nil, fmt.Errorf("operator: encoding an answer: %w", err)
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
		resp := s.inForce(req.Team)
		if reached(resp.Position, req.Want) {
			return resp
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return resp
		}
	}
}

// inForce returns the position of a team's settings in force on this router.
func (s *Server) inForce(team coordination.Team) inForceResponse {
	for _, st := range s.Replica.Status() {
		if st.Team != team {
			continue
		}
		resp := inForceResponse{Position: st.Position}
		if st.Refused != nil {
			resp.Refused = st.Refused.Revision
		}
		return resp
	}
	return inForceResponse{}
}
