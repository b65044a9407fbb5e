package transfer

import (
	"cmp"
	"slices"
	"time"

	"github.com/samber/lo"

	"wisteriaspool/coordination"
)

// Action is the kind of a step.
type Action uint8

// Kinds of steps. Wait lasts for Step.Wait or until a move ends, whichever
// comes first.
const (
	Wait Action = iota
	Move
	Stop
)

// Step is the next step of a plan.
type Step struct {
	Action Action
	Chat   coordination.Chat // chat to move
	Wait   time.Duration
}

// Result is the result of a move.
type Result uint8

// Results of a move.
const (
	Moved   Result = iota // the destination engine has the KV cache
	Cold                  // the leaving engine no longer had the KV cache
	Skipped               // recomputing is faster than moving, or there is no other engine
	Busy                  // the destination engine is near its load bound
	Refused               // the destination engine did not accept the KV cache
	Lost                  // the leaving engine did not answer
)

var resultNames = []string{"moved", "cold", "skipped", "busy", "refused", "lost"}

// String returns the name of r as used in metrics.
func (r Result) String() string { return resultNames[r] }

const (
	// busyDelay is the time before a chat whose destination engine is busy is
	// tried again.
	busyDelay = 500 * time.Millisecond

	// maxChats limits the chats of a plan. Above it, the chats that were stored
	// longest ago are dropped, since they are least likely to return.
	maxChats = 16384
)

// candidate is a chat whose KV cache the leaving engine holds.
type candidate struct {
	chat       coordination.Chat
	lastSeq    Sequence // of the last event of the chat
	evicted    bool
	handledSeq Sequence // lastSeq when the last move began; zero if that move is to be retried
	moving     bool
	startedAt  time.Time // when the last move began
	notBefore  time.Time // earliest time of the next move
}

// Plan schedules the moves of the chats of one leaving engine. It is not safe
// for concurrent use.
type Plan struct {
	cfg        Config
	end        time.Time
	chats      map[coordination.Chat]*candidate
	moving     int
	linkFreeAt time.Time // when the bandwidth used so far is paid off
	failures   int       // consecutive
}

// NewPlan returns the plan for an engine that was first observed to be leaving
// at now.
func NewPlan(now time.Time, cfg Config) *Plan {
	cfg = cfg.WithDefaults()
	return &Plan{cfg: cfg, end: now.Add(cfg.Window), chats: make(map[coordination.Chat]*candidate)}
}

// AddEvents adds cache events read from the leaving engine. They may be in any
// order and have gaps.
func (p *Plan) AddEvents(events []Event) {
	p.failures = 0
	for _, e := range events {
		if e.Chat != "" && (e.Kind == Stored || e.Kind == Evicted) {
			p.addEvent(e)
		}
	}
	if len(p.chats) > maxChats {
		p.prune()
	}
}

func (p *Plan) addEvent(e Event) {
	c := p.chats[e.Chat]
	if c == nil {
		c = &candidate{chat: e.Chat}
		p.chats[e.Chat] = c
	}
	if e.Seq > c.lastSeq {
		c.lastSeq = e.Seq
		c.evicted = e.Kind == Evicted
	}
}

// prune drops the chats that were stored longest ago, except those being moved.
func (p *Plan) prune() {
	all := lo.Values(p.chats)
	slices.SortFunc(all, func(a, b *candidate) int { return cmp.Compare(b.lastSeq, a.lastSeq) })
	for _, c := range all[maxChats/2:] {
		if !c.moving {
			delete(p.chats, c.chat)
		}
	}
}

// Next returns the next step. A chat to be moved counts as in transit until
// [Plan.MoveEnded] is called for it.
func (p *Plan) Next(now time.Time) Step {
	if !now.Before(p.end) || p.failures >= p.cfg.MaxFailures {
		return Step{Action: Stop}
	}
	if p.moving >= p.cfg.MaxConcurrent {
		return Step{Action: Wait, Wait: p.cfg.Interval}
	}
	if wait := p.linkFreeAt.Sub(now); wait > 0 {
		return Step{Action: Wait, Wait: min(wait, p.cfg.Interval)}
	}
	c := p.latest(now)
	if c == nil {
		return Step{Action: Wait, Wait: p.cfg.Interval}
	}
	c.moving, c.handledSeq, c.startedAt = true, c.lastSeq, now
	p.moving++
	return Step{Action: Move, Chat: c.chat}
}

// latest returns the most recently stored chat that is due to be moved, or nil.
// A chat that has just been served is the most likely to return soon.
func (p *Plan) latest(now time.Time) *candidate {
	var best *candidate
	for _, c := range p.chats {
		if c.moving || c.evicted || c.handledSeq == c.lastSeq || now.Before(c.notBefore) {
			continue
		}
		if best == nil || c.lastSeq > best.lastSeq {
			best = c
		}
	}
	return best
}

// MoveEnded records the result of a move and the bytes that it read from the
// leaving engine. The bytes are charged to the link: the next move waits until
// they are paid off at the configured bandwidth.
func (p *Plan) MoveEnded(now time.Time, chat coordination.Chat, r Result, bytes int64) {
	c := p.chats[chat]
	c.moving = false
	p.moving--
	p.chargeLink(c.startedAt, bytes)
	switch r {
	case Lost:
		p.failures++
	case Busy:
		c.handledSeq = 0
		c.notBefore = now.Add(busyDelay)
	default:
		p.failures = 0
	}
}

// ReadFailed records that the leaving engine did not answer a read of its cache
// events.
func (p *Plan) ReadFailed() { p.failures++ }

// chargeLink charges the link for bytes whose transfer began at from.
func (p *Plan) chargeLink(from time.Time, bytes int64) {
	if p.linkFreeAt.Before(from) {
		p.linkFreeAt = from
	}
	p.linkFreeAt = p.linkFreeAt.Add(p.cfg.linkTime(bytes))
}
