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

// CacheEvent reports that blocks of a chat were stored or that the chat's last
// block was evicted. Kind is "stored" or "evicted".
type CacheEvent struct {
	Seq  int    `json:"seq"`
	Chat string `json:"chat"`
	Kind string `json:"kind"`
}

// CacheEvents is the response to a read of cache events. Next is the sequence
// number from which the next read continues.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	Next   int          `json:"next"`
}

const (
	maxEvents       = 10000
	kvMagic         = "wkv1"
	kvBytesPerBlock = 1024 // padding, so that an export is not trivially small
)

var errMalformedKV = errors.New("engine: not an exported KV cache")

// storeLocked caches blocks of a chat and publishes the resulting events.
func (e *Engine) storeLocked(chat string, hashes []blockHash) {
	if len(hashes) == 0 {
		return
	}
	for _, evicted := range e.cache.store(chat, hashes) {
		e.publishLocked(evicted, "evicted")
	}
	e.publishLocked(chat, "stored")
}

// publishLocked appends an event. A share Options.EventLoss of the events is
// dropped, which leaves a gap in the sequence numbers.
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

// handleCacheEvents responds with the events after the sequence number since that
// are at least Options.EventDelay old.
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

// handleExport responds with the cached blocks of a chat, after the simulated
// transfer time of its KV cache.
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
	_, _ = w.Write(encodeKV(req.Chat, hashes)) // an error means that the caller disconnected
}

// handleImport stores blocks exported by another engine, after their simulated
// transfer time.
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

// simulateTransfer waits for the transfer time of n blocks, or until the caller
// disconnects.
func (e *Engine) simulateTransfer(r *http.Request, n int) {
	bytes := float64(n * blockTokens * e.opts.KVBytesPerToken)
	timer := time.NewTimer(time.Duration(bytes / e.opts.LinkBytesPerSec * float64(time.Second)))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
	}
}

// encodeKV encodes a chat and its block hashes as the magic string, the chat, the
// number of hashes, and each hash followed by padding.
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

// decodeKV decodes the output of encodeKV. It returns errMalformedKV if data is
// anything else.
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
