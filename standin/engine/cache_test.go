package engine

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The next request of a chat finds its prompt in the prefix cache of the engine
// that served it before, which shortens the prefill. Another engine computes the
// whole prompt again.
func TestReturningChatHitsPrefixCache(t *testing.T) {
	inBubble(t, Options{}, func(s *fixture) {
		req := chatRequest("a", 160, 32)
		first := s.ask("http://one", "x", req, "X-Chat-Id", "c")
		assert.Equal(s.t, first.usage.PromptDetails.CachedTokens, 0)
		again := req
		again.Messages = append(req.Messages[:1:1],
			Message{Role: "assistant", Content: Content(first.text)},
			Message{Role: "user", Content: "and now"})
		warm := s.ask("http://one", "y", again, "X-Chat-Id", "c")
		assert.Equal(s.t, warm.usage.PromptTokens, 194)
		assert.Equal(s.t, warm.usage.PromptDetails.CachedTokens, 192)
		cold := s.ask("http://two", "z", again, "X-Chat-Id", "c")
		assert.Equal(s.t, cold.usage.PromptDetails.CachedTokens, 0)
	})
}

func TestExportedCacheIsUsableAfterImport(t *testing.T) {
	inBubble(t, Options{}, func(s *fixture) {
		req := chatRequest("a", 160, 16)
		s.ask("http://one", "x", req, "X-Chat-Id", "c")
		assert.Equal(s.t, s.post("http://one/v1/kv/export", `{"chat":"none"}`, nil), http.StatusNotFound)
		res, err := s.client.Post("http://one/v1/kv/export", "application/json", strings.NewReader(`{"chat":"c"}`))
		assert.NilError(s.t, err)
		kv, err := io.ReadAll(res.Body)
		assert.NilError(s.t, err)
		assert.Equal(s.t, s.post("http://two/v1/kv/import", string(kv), nil), http.StatusNoContent)
		got := s.ask("http://two", "y", req, "X-Chat-Id", "c")
		assert.Equal(s.t, got.usage.PromptDetails.CachedTokens, 160)
		assert.Equal(s.t, s.post("http://two/v1/kv/import", string(kv[:20]), nil), http.StatusBadRequest)
	})
}

// A chat is evicted from the cache by another chat. The cache events report this
// after Options.EventDelay.
func TestCacheEvictsLeastRecentlyUsedChat(t *testing.T) {
	inBubble(t, Options{CacheBlocks: 12, EventDelay: time.Second}, func(s *fixture) {
		s.ask("http://one", "x", chatRequest("a", 160, 1), "X-Chat-Id", "a")
		s.ask("http://one", "y", chatRequest("b", 192, 1), "X-Chat-Id", "b")
		got := s.ask("http://one", "z", chatRequest("a", 160, 1), "X-Chat-Id", "a")
		assert.Equal(s.t, got.usage.PromptDetails.CachedTokens, 0)
		assert.Equal(s.t, len(s.events(0).Events), 0)
		time.Sleep(time.Second)
		events := s.events(0)
		assert.Check(s.t, contains(events.Events, "a", "evicted"))
		assert.Check(s.t, contains(events.Events, "b", "stored"))
		assert.Equal(s.t, len(s.events(events.Next).Events), 0)
	})
}

func (s *fixture) events(since int) CacheEvents {
	s.t.Helper()
	res, err := s.client.Get("http://one/v1/cache-events?since=" + strconv.Itoa(since))
	assert.NilError(s.t, err)
	defer res.Body.Close()
	var out CacheEvents
	assert.NilError(s.t, json.NewDecoder(res.Body).Decode(&out))
	return out
}

func contains(events []CacheEvent, chat, kind string) bool {
	for _, e := range events {
		if e.Chat == chat && e.Kind == kind {
			return true
		}
	}
	return false
}
