package engine

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"
)

// CacheEvent tells that a chat's blocks were stored, or that the last of them
// was evicted.
type CacheEvent struct {
	Seq  int    `json:"seq"`
	Chat string `json:"chat"`
	Kind string `json:"kind"`
}

// CacheEvents is the body of a read of cache events.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	Next   int          `json:"next"`
}

const (
	maxEvents       = 10000
	kvMagic         = "wkv1"
	kvBytesPerBlock = 1024 // of padding, so that an export has some size
)

var errMalformedKV = errors.New("engine: not an exported KV cache")

// storeLocked caches blocks of a chat and publishes what changed.
func (e *Engine) storeLocked(chat string, hashes []blockHash) {
	if len(hashes) == 0 {
		return
	}
	for _, evicted := range e.cache.store(chat, hashes) {
		e.publishLocked(evicted, "evicted")
	}
	e.publishLocked(chat, "stored")
}

// publishLocked adds an event, or loses it as the options say.
func (e *Engine) publishLocked(chat, kind string) {
	if chat == "" {
		return
	}
	e.eventSeq++
	if e.random.Float64() < e.opts.EventLoss {
		return
	}
	e.events = append(e.events, CacheEvent{Seq: e.eventSeq, Chat: chat, Kind: kind})
	e.eventTimes = append(e.eventTimes, time.Now())
	if len(e.events) > 2*maxEvents {
		e.events = append([]CacheEvent(nil), e.events[maxEvents:]...)
		e.eventTimes = append([]time.Time(nil), e.eventTimes[maxEvents:]...)
	}
}

// handleCacheEvents answers with the events after since that are old enough to
// show.
func (e *Engine) handleCacheEvents(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.Atoi(r.FormValue("since"))
	e.mu.Lock()
	cutoff := time.Now().Add(-e.opts.EventDelay)
	out := CacheEvents{Events: []CacheEvent{}, Next: since}
	for i, event := range e.events {
		if e.eventTimes[i].After(cutoff) {
			break
		}
		if event.Seq > since {
			out.Events = append(out.Events, event)
			out.Next = event.Seq
		}
	}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, out)
}

// handleExport answers with the cached blocks of a chat, after the time that
// its KV cache takes on the link.
func (e *Engine) handleExport(w http.ResponseWriter, r *http.Request) {
	var req struct {
		Chat string `json:"chat"`
	}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&req); err != nil {
		writeError(w, http.StatusBadRequest, "malformed", err.Error())
		return
	}
	e.mu.Lock()
	hashes := append([]blockHash(nil), e.cache.export(req.Chat)...)
	if len(hashes) > 0 {
		e.stats.Exports++
	}
	e.mu.Unlock()
	if len(hashes) == 0 {
		writeError(w, http.StatusNotFound, "cold", "no KV cache of this chat")
		return
	}
	e.simulateTransfer(r, len(hashes))
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(encodeKV(req.Chat, hashes)) // the caller has gone if it fails
}

// handleImport stores what another engine exported.
func (e *Engine) handleImport(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxImport))
	if err != nil {
		writeError(w, http.StatusBadRequest, "malformed", err.Error())
		return
	}
	chat, hashes, err := decodeKV(data)
	if err != nil {
		writeError(w, http.StatusBadRequest, "malformed", err.Error())
		return
	}
	e.simulateTransfer(r, len(hashes))
	e.mu.Lock()
	e.stats.Imports++
	e.storeLocked(chat, hashes)
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// simulateTransfer waits for the time that n blocks take on the link.
func (e *Engine) simulateTransfer(r *http.Request, n int) {
	bytes := float64(n * blockTokens * e.opts.KVBytesPerToken)
	timer := time.NewTimer(time.Duration(bytes / e.opts.LinkBytesPerSec * float64(time.Second)))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
	}
}

// encodeKV writes the magic, the chat, the hashes and padding.
func encodeKV(chat string, hashes []blockHash) []byte {
	out := []byte(kvMagic)
	out = binary.AppendUvarint(out, uint64(len(chat)))
	out = append(out, chat...)
	out = binary.AppendUvarint(out, uint64(len(hashes)))
	for _, hash := range hashes {
		out = binary.LittleEndian.AppendUint64(out, uint64(hash))
		out = append(out, make([]byte, kvBytesPerBlock)...)
	}
	return out
}

// decodeKV reads what encodeKV wrote.
func decodeKV(data []byte) (string, []blockHash, error) {
	if len(data) < len(kvMagic) || string(data[:len(kvMagic)]) != kvMagic {
		return "", nil, errMalformedKV
	}
	data = data[len(kvMagic):]
	size, n := binary.Uvarint(data)
	if n <= 0 || size > uint64(len(data)-n) {
		return "", nil, errMalformedKV
	}
	chat := string(data[n : n+int(size)])
	data = data[n+int(size):]
	count, n := binary.Uvarint(data)
	if n <= 0 || count*(8+kvBytesPerBlock) != uint64(len(data)-n) {
		return "", nil, errMalformedKV
	}
	data = data[n:]
	hashes := make([]blockHash, count)
	for i := range hashes {
		hashes[i] = blockHash(binary.LittleEndian.Uint64(data))
		data = data[8+kvBytesPerBlock:]
	}
	return chat, hashes, nil
}
