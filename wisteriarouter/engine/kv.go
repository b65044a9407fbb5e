package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/transfer"
)

// Limits of what is read about KV caches.
const (
	maxCacheEventsBytes = 4 << 20
	maxRefusalBytes     = 512
)

// accountKey is the key of the client account in a context.
type accountKey struct{}

// WithAccount returns a context for the calls that serve a client account.
func WithAccount(ctx context.Context, a coordination.Account) context.Context {
	return context.WithValue(ctx, accountKey{}, a)
}

// ScopedChat returns the name by which engines know a chat: the client account and
// the caller's own id of the chat. Two accounts may use the same id; under that
// id alone an engine would take their chats for one, and would export the KV
// cache of either for the other. A chat without an id has no name.
func ScopedChat(a coordination.Account, id coordination.Chat) coordination.Chat {
	if a == "" || id == "" {
		return id
	}
	return coordination.Chat(string(a) + "/" + string(id))
}

// scopedChatFromContext returns the name of a chat of the account that ctx serves.
func scopedChatFromContext(ctx context.Context, id coordination.Chat) coordination.Chat {
	a, _ := ctx.Value(accountKey{}).(coordination.Account)
	return ScopedChat(a, id)
}

// CacheEvents are the events behind a number, as far as the engine shows them.
// They come late and with gaps.
type CacheEvents struct {
	Events []transfer.Event  `json:"events"`
	Next   transfer.Sequence `json:"next"`
}

// CacheEvents reads what has happened to the KV caches of an engine's chats
// behind a number.
func (c *Client) CacheEvents(ctx context.Context, address string, since transfer.Sequence) (CacheEvents, error) {
	ctx, cancel := context.WithTimeout(ctx, c.callTimeout)
	defer cancel()
	url := fmt.Sprintf("http://%s/v1/cache-events?since=%d", address, since)
	res, err := c.callKV(ctx, http.MethodGet, url, nil, 0)
	if err != nil {
		return CacheEvents{}, err
	}
	defer res.Body.Close()
	var events CacheEvents
	if err := json.NewDecoder(io.LimitReader(res.Body, maxCacheEventsBytes)).Decode(&events); err != nil {
		return CacheEvents{}, fmt.Errorf("engine: cache events: %w", err)
	}
	return events, nil
}

// KV is the KV cache of one chat on its way from one engine to another.
type KV struct {
	Body io.ReadCloser
	Size int64 // bytes; negative if the engine does not say
}

// exportRequest is the body of an export.
type exportRequest struct {
	Chat coordination.Chat `json:"chat"`
}

// Export opens the KV cache of a chat, which the caller has to close. The error
// is ErrNotFound if the engine has none. The cache is not held in memory: it may
// have hundreds of megabytes, and a router has few.
func (c *Client) Export(ctx context.Context, address string, chat coordination.Chat) (KV, error) {
	body, err := json.Marshal(exportRequest{Chat: chat})
	if err != nil {
		return KV{}, fmt.Errorf("engine: export: %w", err)
	}
	res, err := c.callKV(ctx, http.MethodPost, "http://"+address+"/v1/kv/export", bytes.NewReader(body), int64(len(body)))
	if err != nil {
		return KV{}, err
	}
	return KV{Body: res.Body, Size: res.ContentLength}, nil
}

// Import hands a KV cache to an engine. It returns the bytes that were read
// from the cache, whether or not the engine took them. The error is ErrTruncated if
// the cache broke off, in which case the engine has taken nothing.
func (c *Client) Import(ctx context.Context, address string, kv KV) (int64, error) {
	counted := &countingReader{source: kv.Body}
	res, err := c.callKV(ctx, http.MethodPost, "http://"+address+"/v1/kv/import", counted, kv.Size)
	if err == nil {
		res.Body.Close()
	}
	if counted.failed.Load() {
		return counted.n.Load(), ErrTruncated
	}
	return counted.n.Load(), err
}

// countingReader counts the bytes that are read through it. The transport may go on
// reading for a moment when the engine has answered.
type countingReader struct {
	source io.Reader
	n      atomic.Int64
	failed atomic.Bool // reading ended before the end
}

func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.source.Read(p)
	c.n.Add(int64(n))
	if err != nil && !errors.Is(err, io.EOF) {
		c.failed.Store(true)
	}
	return n, err
}

// callKV makes one call about KV caches.
func (c *Client) callKV(ctx context.Context, method, url string, body io.Reader, size int64) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return nil, fmt.Errorf("engine: %w", err)
	}
	req.ContentLength = size
	if method == http.MethodPost {
		req.Header.Set("Content-Type", "application/octet-stream")
	}
	res, err := c.http.Do(req)
	if err != nil {
		return nil, fmt.Errorf("engine: %w", err)
	}
	switch res.StatusCode {
	case http.StatusOK, http.StatusNoContent:
		return res, nil
	case http.StatusNotFound:
		res.Body.Close()
		return nil, ErrNotFound
	}
	defer res.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(res.Body, maxRefusalBytes))
	return nil, fmt.Errorf("engine: %s answers %s: %s", req.URL.Path, res.Status, text)
}

// TransferLoad returns what a decision to move chats needs of a report.
func (l Load) TransferLoad(now time.Time) transfer.Load {
	return transfer.Load{Requests: l.Running + l.Waiting, Capacity: l.Capacity, Leaving: l.Leaving(), ReadAt: now}
}
