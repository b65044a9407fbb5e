package daemon

import (
	"wisteriaspool/coordination/kv"
	"wisteriaspool/wisteriarouter/event"
)

// malformedBatchLogger logs batches of streams in the store that cannot be decoded.
type malformedBatchLogger struct{ log event.Log }

func (l malformedBatchLogger) logBatch(p kv.Pair, err error) {
	l.log.Emit(event.StreamsMalformed, event.F("key", p.Key), event.F("revision", p.Revision.Number()), event.F("error", err.Error()))
}
