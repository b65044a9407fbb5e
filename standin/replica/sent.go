package replica

import (
	"bytes"
	"crypto/sha256"
	"hash"
	"io"
	"net/http"
	"sync"
)

// sentRequest is a request as its caller sent it to a router.
type sentRequest struct {
	method, target, host string
	header               http.Header

	mu    sync.Mutex
	body  hash.Hash // of what was sent so far
	bytes int64
}

// Transport returns a RoundTripper that records each request before next sends it.
func (i *Inspector) Transport(next http.RoundTripper) http.RoundTripper {
	return &recorder{inspector: i, next: next}
}

type recorder struct {
	inspector *Inspector
	next      http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (r *recorder) RoundTrip(req *http.Request) (*http.Response, error) {
	s := &sentRequest{method: req.Method, target: req.URL.RequestURI(), host: req.Host, header: req.Header.Clone(), body: sha256.New()}
	if _, ok := s.header["User-Agent"]; !ok {
		s.header.Set("User-Agent", "Go-http-client/1.1") // net/http adds it
	}
	out := req.Clone(req.Context())
	if req.Body != nil && req.Body != http.NoBody {
		out.Body = &sentBody{ReadCloser: req.Body, request: s}
	}
	if req.GetBody != nil {
		out.GetBody = func() (io.ReadCloser, error) { return s.again(req) }
	}
	id := req.Header.Get("X-Attempt-Id")
	r.inspector.mu.Lock()
	r.inspector.sent[id] = append(r.inspector.sent[id], s)
	r.inspector.mu.Unlock()
	return r.next.RoundTrip(out)
}

// CloseIdleConnections closes the idle connections of the next RoundTripper, for
// http.Client.CloseIdleConnections.
func (r *recorder) CloseIdleConnections() {
	if c, ok := r.next.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

// again returns the body for a request that is sent once more on another connection.
func (s *sentRequest) again(req *http.Request) (io.ReadCloser, error) {
	body, err := req.GetBody()
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.body.Reset()
	s.bytes = 0
	return &sentBody{ReadCloser: body, request: s}, nil
}

// sentBody is the body of a request that is being sent.
type sentBody struct {
	io.ReadCloser
	request *sentRequest
}

// Read implements io.Reader.
func (b *sentBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.request.mu.Lock()
	defer b.request.mu.Unlock()
	_, _ = b.request.body.Write(p[:n]) // a hash returns no error
	b.request.bytes += int64(n)
	return n, err
}

// hasBody reports whether body is what was sent.
func (s *sentRequest) hasBody(body []byte) bool {
	sum := sha256.Sum256(body)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bytes == int64(len(body)) && bytes.Equal(s.body.Sum(nil), sum[:])
}
