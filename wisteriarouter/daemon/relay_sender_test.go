package daemon_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// requestSender sends requests at an even pace, whether earlier ones have ended or not.
type requestSender struct {
	cluster    *relayCluster
	interval   time.Duration
	until      time.Time
	newRequest func(ctx context.Context, n int) *http.Request // the n-th one

	mu      sync.Mutex
	answers []sentAnswer
	wg      sync.WaitGroup
}

// sentAnswer is the answer to one request, and when it was sent.
type sentAnswer struct {
	relayResponse
	sent time.Time
}

// newPrompts returns a sender of requests with prompts, each through the next router, no two
// alike. %x in prompt is replaced in each.
func (s *relayCluster) newPrompts(path, prompt string, interval time.Duration, until time.Time) *requestSender {
	return &requestSender{cluster: s, interval: interval, until: until, newRequest: func(ctx context.Context, n int) *http.Request {
		id := freshID()
		return s.request(ctx, n%len(s.routers), path+id, "X-Prefix-Hash", fmt.Sprintf(prompt, id))
	}}
}

func (s *requestSender) run() {
	for n := 0; time.Now().Before(s.until); n++ {
		s.wg.Go(sentRequest{s, n}.run)
		time.Sleep(s.interval)
	}
	s.wg.Wait()
}

// sentRequest is one request of a requestSender.
type sentRequest struct {
	sender *requestSender
	n      int
}

func (r sentRequest) run() {
	ctx, cancel := context.WithTimeout(r.sender.cluster.t.Context(), 5*time.Second)
	defer cancel()
	req := r.sender.newRequest(ctx, r.n)
	sent := time.Now()
	got := sentAnswer{relayResponse: r.sender.cluster.do(req), sent: sent}
	r.sender.mu.Lock()
	defer r.sender.mu.Unlock()
	r.sender.answers = append(r.sender.answers, got)
}

// served returns how many requests that were sent in a span of time had a whole response.
func (s *requestSender) served(from, to time.Time) (served, all int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.answers {
		if a.sent.Before(from) || a.sent.After(to) {
			continue
		}
		all++
		if a.status == http.StatusOK && a.err == nil {
			served++
		}
	}
	return served, all
}
