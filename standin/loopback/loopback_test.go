package loopback

import (
	"net"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a listener that gets the connections meant for one that has stopped.
func TestAddressesAreNotSharedAmongListeners(t *testing.T) {
	seen := make(map[string]bool)
	for range 100 {
		l, err := net.Listen("tcp", Address())
		assert.NilError(t, err)
		address := l.Addr().String()
		assert.NilError(t, l.Close())
		assert.Assert(t, !strings.HasPrefix(address, "127.0.0.1:") && !seen[address], address)
		seen[address] = true
	}
}
