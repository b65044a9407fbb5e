package http1

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
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
	var rec *record
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		// base may send a request again on another connection.
		if conn, _ = info.Conn.(*Conn); conn != nil {
			rec = conn.startRecord()
		}
	}}
	resp, err := t.base.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	var heads []byte
	if conn != nil {
		heads = conn.endRecord(rec)
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

// record holds what was read of a connection for one request, up to MaxHeadBytes.
type record struct{ bytes []byte }

// startRecord returns a record of what is read from now on, until the next one is started.
func (c *Conn) startRecord() *record {
	c.recordMu.Lock()
	defer c.recordMu.Unlock()
	c.record = new(record)
	return c.record
}

// keep adds bytes that were read to the record.
func (c *Conn) keep(p []byte) {
	c.recordMu.Lock()
	defer c.recordMu.Unlock()
	if r := c.record; r != nil {
		r.bytes = append(r.bytes, p[:min(len(p), MaxHeadBytes-len(r.bytes))]...)
	}
}

// endRecord returns what a record holds. After a response without a body, the next request may
// have started its own already.
func (c *Conn) endRecord(r *record) []byte {
	c.recordMu.Lock()
	defer c.recordMu.Unlock()
	if c.record == r {
		c.record = nil
	}
	return r.bytes
}
