package transfer

import (
	"cmp"
	"slices"
	"time"

	"github.com/samber/lo"

	"wisteriaspool/coordination"
)

// Action is what to do next.
type Action uint8

// The actions. Wait is for the time given or for the end of a move, whichever
// comes first.
const (
	Wait Action = iota
	Move
	Stop
)

// Step is the next step of a plan.
type Step struct {
	Action Action
	Chat   coordination.Chat // to be moved
	Wait   time.Duration
}

// Result is what became of a move.
type Result uint8

// The results of moves.
const (
	Moved   Result = iota // the other engine has the KV cache
	Cold                  // the leaving engine had none any more
	Skipped               // computing beats moving, or there is no other engine
	Busy                  // the other engine is near its load bound
	Refused               // the other engine did not take it
	Lost                  // the leaving engine did not answer
)

var resultNames = []string{"moved", "cold", "skipped", "busy", "refused", "lost"}

// String returns the name of r as metrics show it.
func (r Result) String() string { return resultNames[r] }

const (
	// busyDelay is how long a chat waits whose other engine is busy.
	busyDelay = 500 * time.Millisecond

	// maxChats bounds the chats of a plan. Those stored longest ago, which are
	// least likely to return, are dropped beyond it.
	maxChats = 16384
)

// candidate is a chat that the leaving engine has cached.
type candidate struct {
	chat       coordination.Chat
	lastSeq    Sequence // of its last event
	evicted    bool
	handledSeq Sequence // the event up to which it was dealt with
	moving     bool
	startedAt  time.Time // its move
	notBefore  time.Time // not to be moved before
}

// Plan decides about the chats of one leaving engine. It is not safe for
// concurrent use.
type Plan struct {
	cfg        Config
	end        time.Time
	chats      map[coordination.Chat]*candidate
	moving     int
	linkFreeAt time.Time // when the link budget is free again
	failures   int       // in a row
}

// NewPlan returns the plan for an engine that was first seen to leave at now.
func NewPlan(now time.Time, cfg Config) *Plan {
	cfg = cfg.WithDefaults()
	return &Plan{cfg: cfg, end: now.Add(cfg.Window), chats: make(map[coordination.Chat]*candidate)}
}

// AddEvents takes cache events that the leaving engine has answered with, in any
// order and with gaps.
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

// prune drops the chats stored longest ago.
func (p *Plan) prune() {
	all := lo.Values(p.chats)
	slices.SortFunc(all, func(a, b *candidate) int { return cmp.Compare(b.lastSeq, a.lastSeq) })
	for _, c := range all[maxChats/2:] {
		if !c.moving {
			delete(p.chats, c.chat)
		}
	}
}

// Next returns the next step. A chat that it says to move is on its way until
// [Plan.MoveEnded].
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

// latest returns the chat that was stored last among those to be moved, or nil.
// A chat that has just been served is the likeliest to return soon.
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

// MoveEnded takes what became of a move and how many bytes it took from the leaving
// engine. They are charged to the link budget: the next move waits until it is
// free again.
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

// ReadFailed takes that the leaving engine did not answer a read of its events.
func (p *Plan) ReadFailed() { p.failures++ }

// chargeLink charges bytes that were taken from a time on.
func (p *Plan) chargeLink(from time.Time, bytes int64) {
	if p.linkFreeAt.Before(from) {
		p.linkFreeAt = from
	}
	p.linkFreeAt = p.linkFreeAt.Add(p.cfg.linkTime(bytes))
}
