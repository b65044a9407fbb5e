package caller

import (
	"context"
	"fmt"
	"time"

	"wisteriaspool/standin/engine"
)

// poisonText in a message crashes the stand-in engine that runs it.
const poisonText = "POISON"

// poisonAttempts is how many times a caller sends its poison request, each time
// through the next router.
const poisonAttempts = 5

// PoisonReport counts poison requests, which crash every engine that runs them.
type PoisonReport struct {
	Requests int        `json:"requests"`
	Sent     int        `json:"sent"`    // attempts; each request is sent several times
	Final    int        `json:"final"`   // answers that refused the request permanently as poison
	Ran      int        `json:"ran"`     // answers that reported the request as run; must be zero
	Crashes  int        `json:"crashes"` // engine crashes during the load, from any cause
	Codes    CodeCounts `json:"codes"`
}

// poisonSender sends poison requests at regular intervals.
type poisonSender struct {
	load *load
}

func (p *poisonSender) run(ctx context.Context) {
	defer p.load.inFlight.Done()
	n := p.load.opts.PoisonRequests
	interval := p.load.opts.Duration / time.Duration(n+1)
	for i := range n {
		if !p.load.wait(ctx, p.load.start.Add(time.Duration(i+1)*interval)) {
			return
		}
		p.load.inFlight.Add(1)
		go newPoisonCaller(p.load, i).run(ctx)
	}
}

// poisonCaller sends one poison request poisonAttempts times.
type poisonCaller struct {
	chat *chat
}

func newPoisonCaller(l *load, n int) *poisonCaller {
	random := newRandom(l.opts.Seed, poisonStream+uint64(n))
	a := &account{load: l, name: "account-1"}
	content := engine.Content(fmt.Sprintf("%s-%d ", poisonText, n)) + randomText(random, l.opts.FirstWords)
	return &poisonCaller{chat: &chat{
		load: l, account: a, id: fmt.Sprintf("poison-%d-%d", l.opts.Seed, n), random: random,
		messages: []engine.Message{{Role: "user", Content: content}},
	}}
}

func (p *poisonCaller) run(ctx context.Context) {
	l := p.chat.load
	defer l.inFlight.Done()
	l.recorder.addPoisonRequest()
	for range poisonAttempts {
		p.chat.next = time.Now()
		t := newTurn(p.chat, false)
		t.run(ctx)
		if ctx.Err() != nil {
			return
		}
		l.recorder.addPoisonAttempt(t)
		t.wait(ctx, minBackoff)
	}
}

func (r *recorder) addPoisonRequest() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.totals.Poison.Requests++
}

func (r *recorder) addPoisonAttempt(t *turn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := &r.totals.Poison
	p.Sent++
	switch {
	case t.outcome == ran:
		p.Ran++
	case t.code == codePoison:
		p.Final++
	}
	if t.outcome != ran {
		p.Codes[t.code]++
	}
}

// readCrashes returns the total number of crashes of all engines, and false if
// an engine does not respond.
func (l *load) readCrashes(ctx context.Context) (int, bool) {
	total := 0
	for _, base := range l.opts.Engines {
		var stats engine.Stats
		if err := getJSON(ctx, l.opts.HTTP, base+"/admin/stats?history=0", &stats); err != nil {
			return 0, false
		}
		total += stats.Crashes
	}
	return total, true
}

// countCrashes stores in r how many engine crashes occurred since before.
func (l *load) countCrashes(ctx context.Context, before int, known bool, r *Report) {
	if l.opts.PoisonRequests == 0 || len(l.opts.Engines) == 0 {
		return
	}
	after, ok := l.readCrashes(ctx)
	if !known || !ok {
		r.Unchecked = append(r.Unchecked, "caller: an engine did not tell its crashes")
		return
	}
	r.Poison.Crashes = after - before
}
