package engine

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// BenchmarkMoveKV measures the transfer of a chat's KV cache from one engine to
// another over loopback. The CPU time is that of the whole process, which
// includes both engines, so a router's own share is lower.
//
//	go test -run xxx -bench MoveKV ./engine
func BenchmarkMoveKV(b *testing.B) {
	const size = 128 << 20 // 1024 tokens of 128 KiB
	chunk := make([]byte, 1<<20)
	from := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(size))
		for range size / len(chunk) {
			_, _ = w.Write(chunk)
		}
	}))
	defer from.Close()
	to := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
	}))
	defer to.Close()
	c, closeClient := NewClient(Options{})
	defer closeClient()
	b.SetBytes(size)
	before := processCPUTime()
	for b.Loop() {
		kv, err := c.Export(b.Context(), strings.TrimPrefix(from.URL, "http://"), "c")
		assert.NilError(b, err)
		n, err := c.Import(b.Context(), strings.TrimPrefix(to.URL, "http://"), kv)
		assert.NilError(b, err)
		assert.Equal(b, n, int64(size))
		kv.Body.Close()
	}
	b.ReportMetric((processCPUTime()-before).Seconds()/float64(b.N)/size*1e9, "cpu-s/GB")
}

// processCPUTime returns the user and system CPU time of the process.
func processCPUTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
