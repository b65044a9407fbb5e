package replica

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
)

// undelimitedWriter writes a response that has neither a length nor chunks and ends
// where its connection is closed.
type undelimitedWriter struct {
	conn   net.Conn
	w      *bufio.Writer
	header http.Header
	status int // 0 before the header is written
}

// Undelimited takes the connection of a request over and returns a writer of a response that
// ends with it, and a function that ends it, which the handler must defer.
func Undelimited(w http.ResponseWriter) (http.ResponseWriter, func()) {
	return newUndelimitedWriter(w)
}

// newUndelimitedWriter takes the connection of a request over. The returned function
// ends the response: in order, or with a reset if the handler panics.
func newUndelimitedWriter(w http.ResponseWriter) (*undelimitedWriter, func()) {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic("replica: taking over a connection: " + err.Error())
	}
	u := &undelimitedWriter{conn: conn, w: buffered.Writer, header: w.Header().Clone()}
	return u, u.end
}

// end closes the connection. It must be deferred by the handler.
func (u *undelimitedWriter) end() {
	if cause := recover(); cause != nil {
		_ = u.conn.(*inspectedConn).SetLinger(0) // makes Close reset the connection
		_ = u.conn.Close()
		panic(cause)
	}
	u.WriteHeader(http.StatusOK)
	_ = u.w.Flush() // an error means that the caller disconnected
	_ = u.conn.Close()
}

// Header implements http.ResponseWriter.
func (u *undelimitedWriter) Header() http.Header { return u.header }

// WriteHeader implements http.ResponseWriter.
func (u *undelimitedWriter) WriteHeader(status int) {
	if u.status != 0 {
		return
	}
	u.status = status
	// A failed write is reported by the next Flush.
	_, _ = fmt.Fprintf(u.w, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	_ = u.header.Write(u.w)
	_, _ = u.w.WriteString("\r\n")
}

// Write implements http.ResponseWriter.
func (u *undelimitedWriter) Write(b []byte) (int, error) {
	u.WriteHeader(http.StatusOK)
	return u.w.Write(b)
}

// FlushError sends what was written.
func (u *undelimitedWriter) FlushError() error { return u.w.Flush() }
