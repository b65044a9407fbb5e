package platform

import (
	"encoding/json"
	"io"
	"net/http"
)

// handleWatch streams the events of a watch as JSON messages, one per line.
func (s *Server) handleWatch(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if !s.admit(w, r, call{kind: watchCall}) {
		return
	}
	var req watchRequest
	if err == nil {
		err = decodeRequest(data, &req)
	}
	if err != nil || req.Create == nil {
		writeError(w, newStatusError(codeInvalidArgument, "a watch starts with create_request"))
		return
	}
	s.addOpenWatches(1)
	defer s.addOpenWatches(-1)
	s.streamEvents(w, r, req.Create)
}

func (s *Server) streamEvents(w http.ResponseWriter, r *http.Request, req *watchCreateRequest) {
	s.mu.Lock()
	dropped := s.watchesDropped
	s.mu.Unlock()
	out := watchWriter{encoder: json.NewEncoder(w), flusher: http.NewResponseController(w)}
	next := req.StartRevision
	_, h, _, _ := s.store.eventsSince(req.Key, req.RangeEnd, max(next, 1))
	if next <= 0 {
		next = h.Revision + 1
	}
	w.Header().Set("Content-Type", "application/json")
	out.write(watchResult{Header: h, Created: true})
	for {
		faults, faultsChanged := s.faults.get()
		events, h, compacted, changed := s.store.eventsSince(req.Key, req.RangeEnd, next)
		if faults.StallWatches {
			events, compacted = nil, 0
		} else if compacted == 0 {
			next = max(next, h.Revision+1)
		}
		if compacted > 0 {
			out.write(watchResult{
				Header: h, Canceled: true, CompactRevision: compacted,
				CancelReason: "etcdserver: mvcc: required revision has been compacted",
			})
			return
		}
		if len(events) > 0 {
			s.countEvents(len(events))
			out.write(watchResult{Header: h, Events: watchEvents(events, req.PrevKV)})
		}
		if out.err != nil {
			return
		}
		select {
		case <-changed:
		case <-faultsChanged:
		case <-dropped:
			panic(http.ErrAbortHandler)
		case <-s.closed:
			return
		case <-r.Context().Done():
			return
		}
	}
}

// watchWriter writes the messages of a watch. After the first error, which it
// keeps in err, it writes nothing.
type watchWriter struct {
	encoder *json.Encoder
	flusher *http.ResponseController
	err     error
}

func (w *watchWriter) write(res watchResult) {
	if w.err == nil {
		w.err = w.encoder.Encode(watchResponse{Result: res})
	}
	if w.err == nil {
		w.err = w.flusher.Flush()
	}
}
