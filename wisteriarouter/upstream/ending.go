package upstream

import (
	"context"
	"net"

	"wisteriaspool/coordination/http1"
)

// Ending returns what is known of an undelimited response that has ended in order, if its
// endpoint refuses connections now. It must be called before Close.
func (b *Body) Ending(ctx context.Context) http1.Ending { return b.watched.Ending(ctx) }

// endWatch ends the watch over a request whose response has failed with err. A connection that
// this client has closed itself shows nothing of its endpoint.
func endWatch(watched *http1.WatchedRequest, err error) {
	if !causedBy(err, net.ErrClosed) {
		watched.End()
	}
	watched.Release()
}

// refused reports whether a dial has failed since the endpoint refuses connections, as far as
// this router or another one can tell.
func refused(err error) bool { return Refused(err) || Unreachable(err) }
