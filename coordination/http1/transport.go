package http1

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
)

// transport is a transport whose responses are valid.
type transport struct{ base *http.Transport }

// Transport returns a transport that uses base and fails with an ErrInvalid if a response, or an
// interim one before it, is not valid. The server may have carried out the request. The
// connections that base makes from then on are of type *Conn. Over TLS, interim responses and
// fields that net/http removes are not checked.
func Transport(base *http.Transport) http.RoundTripper {
	dial := base.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	base.DialContext = Dial(dial)
	return transport{base}
}

// RoundTrip implements http.RoundTripper.
func (t transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var conn *Conn
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		// base may send a request again on another connection.
		if conn, _ = info.Conn.(*Conn); conn != nil {
			conn.heads.start()
		}
	}}
	resp, err := t.base.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	var heads []byte
	if conn != nil {
		heads = conn.heads.stop()
	}
	if err != nil {
		return nil, err
	}
	err = Check(resp, nil)
	if err == nil && conn != nil {
		err = checkHeads(r, heads)
	}
	if err != nil {
		_ = resp.Body.Close()
		return nil, fmt.Errorf("response of %s: %w", r.URL.Host, err)
	}
	return resp, nil
}

// checkHeads checks the final head of a response to r, and the interim ones before it. net/http
// passes over these. Other bytes may follow.
func checkHeads(r *http.Request, heads []byte) error {
	unread := bytes.NewReader(heads)
	buffered := bufio.NewReader(unread)
	for {
		start := len(heads) - unread.Len() - buffered.Buffered()
		resp, err := http.ReadResponse(buffered, r)
		if err != nil {
			return ErrInvalid.Wrap(err, "head")
		}
		end := len(heads) - unread.Len() - buffered.Buffered()
		if err := Check(resp, heads[start:end]); err != nil {
			return err
		}
		if resp.StatusCode >= http.StatusOK || resp.StatusCode == http.StatusSwitchingProtocols {
			return nil
		}
	}
}

// headRecord keeps what is read of the heads of a response. It is safe for concurrent use.
type headRecord struct {
	mu      sync.Mutex
	started bool
	bytes   []byte
}

// start is called before the request is written.
func (h *headRecord) start() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.started, h.bytes = true, nil
}

// add adds bytes that were read, up to MaxHeadBytes in all.
func (h *headRecord) add(p []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.started {
		h.bytes = append(h.bytes, p[:min(len(p), MaxHeadBytes-len(h.bytes))]...)
	}
}

// stop returns what was read since start.
func (h *headRecord) stop() []byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	b := h.bytes
	h.started, h.bytes = false, nil
	return b
}
