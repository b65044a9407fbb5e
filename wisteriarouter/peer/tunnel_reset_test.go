package peer

import (
	"io"
	"testing"

	"gotest.tools/v3/assert"
)

// uploader writes to a connection until that fails.
type uploader struct{ w io.Writer }

func (u uploader) run() {
	chunk := make([]byte, 64<<10)
	for {
		if _, err := u.w.Write(chunk); err != nil {
			return
		}
	}
}

// Guards against a connection that an endpoint resets while a request is still being written, and
// that ends in order for the router at the other end of the tunnel.
func TestTunnelResetDuringUploadIsNoOrderlyEnd(t *testing.T) {
	for range 20 {
		c, end, _ := openTestTunnel(t)
		go uploader{c}.run()
		_, err := io.ReadFull(end, make([]byte, 4<<20)) // until the upload fills the sockets
		assert.NilError(t, err)
		_, err = io.WriteString(end, "a part")
		assert.NilError(t, err)
		assert.NilError(t, end.SetLinger(0)) // makes Close reset the connection
		assert.NilError(t, end.Close())
		got, err := io.ReadAll(c)
		assert.Assert(t, err != nil, "ended in order after %q", got)
		_ = c.Close()
	}
}

// Guards against an orderly end that is taken for a reset as the endpoint does not read all
// that is written.
func TestTunnelEndsInOrderDuringUpload(t *testing.T) {
	c, end, _ := openTestTunnel(t)
	go uploader{c}.run()
	_, err := io.ReadFull(end, make([]byte, 4<<20))
	assert.NilError(t, err)
	_, err = io.WriteString(end, "all of it")
	assert.NilError(t, err)
	assert.NilError(t, end.CloseWrite())
	got, err := io.ReadAll(c)
	assert.NilError(t, err)
	assert.Equal(t, string(got), "all of it")
}
