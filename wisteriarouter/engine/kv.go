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

// Limits on the size of responses to calls about KV caches.
const (
	maxCacheEventsBytes = 4 << 20
	maxRefusalBytes     = 512
)

// accountKey is the context key of the client account.
type accountKey struct{}

// WithAccount returns a context that carries the client account on whose behalf
// calls are made.
func WithAccount(ctx context.Context, a coordination.Account) context.Context {
	return context.WithValue(ctx, accountKey{}, a)
}

// ScopedChat returns the chat id that is sent to engines: the client account
// and the caller's own chat id. Two accounts may use the same id; an engine
// given only that id would treat their chats as one and would export the KV
// cache of one account to the other. An empty id or account leaves the id
// unchanged.
func ScopedChat(a coordination.Account, id coordination.Chat) coordination.Chat {
	if a == "" || id == "" {
		return id
	}
	return coordination.Chat(string(a) + "/" + string(id))
}

// scopedChatFromContext returns the scoped id of a chat of the account that ctx
// carries.
func scopedChatFromContext(ctx context.Context, id coordination.Chat) coordination.Chat {
	a, _ := ctx.Value(accountKey{}).(coordination.Account)
	return ScopedChat(a, id)
}

// CacheEvents is a page of KV cache events, and the sequence number to continue
// from. Events arrive late and may be missing.
type CacheEvents struct {
	Events []transfer.Event  `json:"events"`
	Next   transfer.Sequence `json:"next"`
}

// CacheEvents reads the events of the engine's KV caches after sequence number
// since.
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

// KV is the KV cache of one chat in transfer between two engines.
type KV struct {
	Body io.ReadCloser
	Size int64 // bytes; negative if unknown
}

// exportRequest is the body of an export request.
type exportRequest struct {
	Chat coordination.Chat `json:"chat"`
}

// Export opens the KV cache of a chat. The caller must close its body. The
// error is ErrNotFound if the engine does not have the cache. The cache is
// streamed rather than buffered, because it may be hundreds of megabytes and a
// router has little memory. The error is ErrTruncated if the response has neither a
// length nor chunks, since its end would not prove the cache complete.
func (c *Client) Export(ctx context.Context, address string, chat coordination.Chat) (KV, error) {
	body, err := json.Marshal(exportRequest{Chat: chat})
	if err != nil {
		return KV{}, fmt.Errorf("engine: export: %w", err)
	}
	res, err := c.callKV(ctx, http.MethodPost, "http://"+address+"/v1/kv/export", bytes.NewReader(body), int64(len(body)))
	if err != nil {
		return KV{}, err
	}
	if res.ContentLength < 0 && len(res.TransferEncoding) == 0 {
		res.Body.Close()
		return KV{}, fmt.Errorf("%w: the cache has no length", ErrTruncated)
	}
	return KV{Body: res.Body, Size: res.ContentLength}, nil
}

// Import sends a KV cache to an engine. It returns the number of bytes read
// from the cache, whether or not the engine accepted them. The error is
// ErrTruncated if reading the cache failed, in which case the engine has stored
// nothing.
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

// countingReader counts the bytes read from source. Its fields are atomic
// because the transport may still read for a moment after the engine has
// responded.
type countingReader struct {
	source io.Reader
	n      atomic.Int64
	failed atomic.Bool // a read failed before the end of the source
}

func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.source.Read(p)
	c.n.Add(int64(n))
	if err != nil && !errors.Is(err, io.EOF) {
		c.failed.Store(true)
	}
	return n, err
}

// callKV makes one call about KV caches. The caller must close the body of the
// response. The error is ErrNotFound if the status is 404.
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
	return nil, fmt.Errorf("engine: %s: unexpected status %s: %s", req.URL.Path, res.Status, text)
}

// TransferLoad converts the report, read at now, to the form used to decide on
// chat transfers.
func (l Load) TransferLoad(now time.Time) transfer.Load {
	return transfer.Load{Requests: l.Running + l.Waiting, Capacity: l.Capacity, Leaving: l.Leaving(), ReadAt: now}
}
