package engine

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A poison request crashes the engine that runs it. All other answers are cut off,
// and the engine restarts with an empty cache as a new incarnation.
func TestPoisonCrashesTheEngine(t *testing.T) {
	inBubble(t, Options{}, func(s *fixture) {
		otherAnswer := s.askAsync("http://one", "x", chatRequest("a", 16, 100))
		time.Sleep(100 * time.Millisecond)
		before := s.one.Incarnation()
		assert.Equal(s.t, s.ask("http://one", "p", chatRequest("POISON", 1, 1)).done, false)
		cut := <-otherAnswer
		assert.Check(s.t, len(cut.ids) > 0 && !cut.done)
		assert.Equal(s.t, s.ask("http://one", "y", chatRequest("a", 16, 1)).status, 0)

		time.Sleep(time.Second)
		got := s.ask("http://one", "z", chatRequest("a", 16, 1))
		assert.Check(s.t, got.done)
		assert.Equal(s.t, got.usage.PromptDetails.CachedTokens, 0)
		assert.Check(s.t, s.one.Incarnation() > before)
		assert.Equal(s.t, s.one.Stats().Crashes, 1)
		assert.Equal(s.t, s.resume("http://one", "x", 0).status, http.StatusNotFound)
	})
}

// A frozen engine neither reads nor writes, and afterwards completes its answers
// unchanged.
func TestFrozenEngineResumes(t *testing.T) {
	inBubble(t, Options{}, func(s *fixture) {
		start := time.Now()
		done := s.askAsync("http://one", "x", chatRequest("a", 16, 10))
		time.Sleep(50 * time.Millisecond)
		s.one.SetFaults(Faults{FreezeMillis: 5000})
		got := <-done
		assert.Check(s.t, got.done)
		assert.Equal(s.t, got.text, Answer(chatRequest("a", 16, 10).Messages, 10))
		assert.Check(s.t, time.Since(start) > 5*time.Second)
	})
}

// The engine sends chunks twice, swapped, or from another attempt. A reader that
// does not check chunk ids shows a wrong answer, and tests rely on these faults
// to detect that.
func TestDisorderedChunks(t *testing.T) {
	for _, test := range []struct {
		name   string
		faults Faults
		ids    string
	}{
		{"twice", Faults{Duplicates: 1}, "x.1 x.1 x.2 x.2 x.3 x.3 x.3"},
		{"swapped", Faults{Swaps: 1}, "x.2 x.1 x.3 x.3"},
		{"strays", Faults{Strays: 1}, "stray-x.1 x.1 stray-x.2 x.2 stray-x.3 x.3 x.3"},
	} {
		t.Run(test.name, func(t *testing.T) {
			inBubble(t, Options{}, func(s *fixture) {
				s.one.SetFaults(test.faults)
				got := s.ask("http://one", "x", chatRequest("a", 16, 3))
				assert.Equal(s.t, strings.Join(got.ids, " "), test.ids)
			})
		})
	}
}
