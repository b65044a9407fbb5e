package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"

	"github.com/google/uuid"

	"wisteriaspool/standin/service"
)

// actionSender sends actions that must run at most once, each through two
// routers at the same time.
type actionSender struct {
	load   *load
	random *rand.Rand
}

func (a *actionSender) run(ctx context.Context) {
	defer a.load.inFlight.Done()
	mean := meanInterval(a.load.opts.ActionRate)
	at := a.load.start
	for {
		at = at.Add(exponential(a.random, mean))
		if !a.load.wait(ctx, at) {
			return
		}
		a.load.inFlight.Add(1)
		go newAction(a.load, a.random.IntN(a.load.opts.Accounts)).run(ctx)
	}
}

// action is one action with its idempotency key.
type action struct {
	load    *load
	account string
	key     string
	body    []byte
	answers [2]actionAnswer
	pending sync.WaitGroup
}

// actionAnswer is the response of one of the two routers.
type actionAnswer struct {
	outcome outcome
	code    string
	body    string
	refusal *refusal
}

// actionResult combines the outcomes that both routers reported for an action.
type actionResult struct {
	ran    bool // reported by at least one router
	notRun bool // reported by both routers
}

func newAction(l *load, account int) *action {
	key := uuid.Must(uuid.NewV7()).String()
	data, err := json.Marshal(struct {
		Key   string `json:"key"`
		Order string `json:"order"`
	}{key, "slot"})
	if err != nil {
		panic("caller: " + err.Error())
	}
	return &action{load: l, account: fmt.Sprintf("account-%d", account+1), key: key, body: data}
}

func (a *action) run(ctx context.Context) {
	defer a.load.inFlight.Done()
	ctx, cancel := context.WithTimeout(ctx, a.load.opts.Timeout)
	defer cancel()
	for i := range a.answers {
		a.pending.Add(1)
		go (&actionCall{action: a, answer: &a.answers[i]}).run(ctx)
	}
	a.pending.Wait()
	a.load.recordAction(a)
	a.load.recorder.addAction(a)
}

// actionCall sends an action through one router.
type actionCall struct {
	action *action
	answer *actionAnswer
}

func (c *actionCall) run(ctx context.Context) {
	defer c.action.pending.Done()
	*c.answer = c.action.send(ctx)
}

func (a *action) send(ctx context.Context) actionAnswer {
	l := a.load
	router := l.balancer.next()
	url := router + "/v1/services/" + l.opts.Service + "/" + l.opts.Action
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, io.NopCloser(bytes.NewReader(a.body)))
	if err != nil {
		panic("caller: " + err.Error())
	}
	req.ContentLength = int64(len(a.body))
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Team", l.opts.Team)
	req.Header.Set("X-Client-Account", a.account)
	req.Header.Set("Idempotency-Key", a.key)
	res, err := l.opts.HTTP.Do(req)
	if err != nil {
		l.balancer.markFailed(router)
		return actionAnswer{outcome: unknown}
	}
	defer res.Body.Close()
	return readAction(res)
}

func readAction(res *http.Response) actionAnswer {
	data, err := io.ReadAll(io.LimitReader(res.Body, maxEvent))
	out := actionAnswer{outcome: outcome(res.Header.Get("X-Outcome")), body: string(data)}
	if err != nil || out.outcome == "" {
		out.outcome = unknown
	}
	if res.StatusCode/100 == 2 {
		return out
	}
	var e errorBody
	_ = json.Unmarshal(data, &e) // the code stays empty if the body has another format
	out.code = e.Error.Code
	out.refusal = &refusal{status: res.StatusCode, hasRetry: res.Header.Get("Retry-After") != ""}
	return out
}

// result combines the outcomes of both answers.
func (a *action) result() actionResult {
	first, second := a.answers[0].outcome, a.answers[1].outcome
	return actionResult{
		ran:    first == ran || second == ran,
		notRun: first == notRun && second == notRun,
	}
}

// differs reports whether both routers returned a successful answer and the
// answers differ.
func (a *action) differs() bool {
	x, y := a.answers[0], a.answers[1]
	return x.outcome == ran && y.outcome == ran && x.refusal == nil && y.refusal == nil && x.body != y.body
}

func (l *load) recordAction(a *action) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.actionResults[a.key] = a.result()
}

// checkActions compares the reported outcomes with the runs that the services
// recorded.
func (l *load) checkActions(ctx context.Context, r *Report) {
	if len(l.opts.Services) == 0 {
		return
	}
	runs := make(map[string]int)
	for _, url := range l.opts.Services {
		var seen service.Arrivals
		if err := getJSON(ctx, l.opts.HTTP, url+"/admin/arrivals", &seen); err != nil {
			r.Unchecked = append(r.Unchecked, err.Error())
			return
		}
		for key, count := range seen.ByKey {
			runs[key] += count.Ran
		}
	}
	r.Actions.Checked = len(l.actionResults)
	for key, result := range l.actionResults {
		switch {
		case runs[key] > 1:
			r.Actions.Doubled++
		case runs[key] > 0 && result.notRun:
			r.Actions.FalseNotRun++
		case runs[key] == 0 && result.ran:
			r.Actions.FalseRan++
		}
	}
}

func getJSON(ctx context.Context, client *http.Client, url string, v any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return fmt.Errorf("caller: %w", err)
	}
	res, err := client.Do(req)
	if err != nil {
		return fmt.Errorf("caller: %w", err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("caller: %s: %s", url, res.Status)
	}
	if err := json.NewDecoder(res.Body).Decode(v); err != nil {
		return fmt.Errorf("caller: %s: %w", url, err)
	}
	return nil
}
