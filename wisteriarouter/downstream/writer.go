package downstream

import "net/http"

// writer writes an answer, which ends its connection if the server has left by the
// time that its head is written.
type writer struct {
	http.ResponseWriter
	server *Server
	begun  bool // the head is written
}

// Unwrap lets http.ResponseController find what the inner writer can do.
func (w *writer) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *writer) WriteHeader(status int) {
	w.begin()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *writer) Write(b []byte) (int, error) {
	w.begin()
	return w.ResponseWriter.Write(b)
}

// FlushError sends what was written, as http.ResponseController asks for it.
func (w *writer) FlushError() error {
	w.begin()
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// begin is called before the head is written.
func (w *writer) begin() {
	if !w.begun && w.server.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	w.begun = true
}
