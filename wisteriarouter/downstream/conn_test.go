package downstream_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination/synctest"
)

// Guards against a drain that cancels the handler of a pipelined request.
func TestDrainLeavesPipelinedRequestsAlone(t *testing.T) {
	for name, together := range map[string]bool{"one segment": true, "two segments": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var handled atomic.Int32
				var cancelled atomic.Bool
				f := newFixtureOf(t, func(w http.ResponseWriter, r *http.Request) {
					body, _ := io.ReadAll(r.Body)
					if handled.Add(1) == 2 {
						select {
						case <-time.After(3 * time.Second):
						case <-r.Context().Done():
							cancelled.Store(true)
						}
					}
					_, _ = w.Write(body)
				})
				c := f.connect()
				if together {
					c.write(text("/") + text("/"))
					assert.Assert(t, !c.readAnswer())
				} else {
					c.write(text("/"))
					assert.Assert(t, !c.readAnswer())
					c.write(text("/"))
				}
				synctest.Wait()
				left := f.beginDrain(8 * time.Second)
				c.readAnswer()
				assert.Equal(t, <-left, 0)
				assert.Assert(t, !cancelled.Load())
			})
		})
	}
}

// Guards against drains that wait for a request that has not begun. The HTTP server
// fills the last byte of its buffer with a one-byte read, like the reads with which
// it detects a closed connection.
func TestOneByteHeaderReadIsNotReadAhead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		c := f.connect()
		long := "POST /" + strings.Repeat("a", 5000) + " HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 4\r\n\r\nbody"
		c.write(long[:4095])
		synctest.Wait()
		c.write(long[4095:])
		assert.Assert(t, !c.readAnswer())
		time.Sleep(2 * quiet)
		start := time.Now()
		assert.Equal(t, <-f.beginDrain(8*time.Second), 0)
		assert.Assert(t, time.Since(start) < quiet, "the drain took %v", time.Since(start))
		assert.Equal(t, len(f.dropped()), 0)
	})
}

// Guards against a drain that returns while a handler is running whose client has
// disconnected.
func TestDrainAwaitsHandlersOfBrokenConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var done atomic.Bool
		f := newFixtureOf(t, func(w http.ResponseWriter, _ *http.Request) {
			for range 10 {
				if _, err := w.Write(make([]byte, 8<<10)); err != nil {
					break
				}
			}
			time.Sleep(time.Second)
			done.Store(true)
		})
		c := f.connect()
		c.write(text("/"))
		synctest.Wait()
		left := f.beginDrain(8 * time.Second)
		assert.NilError(t, c.Close())
		assert.Equal(t, <-left, 0)
		assert.Assert(t, done.Load(), "a handler still runs")
	})
}

// Guards against a response to a too large body that is delayed until the rest of
// the body arrives. http.MaxBytesReader makes the server close the connection only
// if it gets the HTTP server's own ResponseWriter.
func TestHandlersGetServerResponseWriter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixtureOf(t, func(w http.ResponseWriter, r *http.Request) {
			if _, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 8)); err != nil {
				w.WriteHeader(http.StatusRequestEntityTooLarge)
			}
		})
		for _, framing := range []string{"Content-Length: 100000\r\n\r\n0123456789", "Transfer-Encoding: chunked\r\n\r\na\r\n0123456789\r\n"} {
			c := f.connect()
			c.write("POST / HTTP/1.1\r\nHost: desk.example\r\n" + framing)
			start := time.Now()
			assert.Equal(t, c.readHeader().StatusCode, http.StatusRequestEntityTooLarge)
			assert.Equal(t, time.Since(start), time.Duration(0))
			assert.NilError(t, c.Close())
		}
		time.Sleep(time.Second) // the server delays closing the connections
	})
}

// Guards against clients that block a drain by sending an incomplete request
// header.
func TestDrainLimitsHeaderTime(t *testing.T) {
	for name, kept := range map[string]bool{"first": false, "next": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				c := f.connect()
				if kept {
					c.write(text("/"))
					assert.Assert(t, !c.readAnswer())
				}
				c.write("P")
				synctest.Wait()
				start := time.Now()
				left := f.beginDrain(2 * time.Minute)
				_, err := io.Copy(io.Discard, c.r) // the HTTP server answers an incomplete first request with 400
				assert.NilError(t, err)
				assert.Equal(t, <-left, 0)
				assert.Equal(t, time.Since(start), headerTimeout)
			})
		})
	}
}

// Guards against dropping a request whose first byte arrives during a drain and the
// rest late.
func TestDrainWaitsForPartialHeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		c := f.connect()
		synctest.Wait()
		left := f.beginDrain(8 * time.Second)
		time.Sleep(quiet / 2)
		c.write(text("/")[:1])
		time.Sleep(2 * quiet)
		c.write(text("/")[1:])
		assert.Assert(t, c.readAnswer())
		assert.Equal(t, <-left, 0)
	})
}

func TestDrainWaitsForRequestedBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		c := f.connect()
		c.write("POST / HTTP/1.1\r\nHost: desk.example\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n")
		assert.Equal(t, c.readHeader().StatusCode, http.StatusContinue)
		left := f.beginDrain(8 * time.Second)
		time.Sleep(3 * quiet)
		c.write("body")
		c.readAnswer()
		assert.Equal(t, <-left, 0)
		assert.Equal(t, len(f.dropped()), 0)
	})
}

func TestDrainWithCancelledContextReportsDrops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		c := f.connect()
		c.write(text("/")[:20])
		synctest.Wait()
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		assert.Equal(t, f.Drain(ctx), 0)
		c.awaitClose()
		assert.Equal(t, len(f.dropped()), 1)
	})
}

// Guards against unused connections that are still open when the drain ends.
func TestDrainClosesUnusedConnectionsBeforeItsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		c := f.connect()
		synctest.Wait()
		start := time.Now()
		left := f.beginDrain(1200 * time.Millisecond)
		c.awaitClose()
		assert.Equal(t, time.Since(start), 700*time.Millisecond+look)
		assert.Equal(t, <-left, 0)
	})
}
