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

// outOfReach reports whether the error of a dial says nothing of the endpoint: it has not
// refused the connection, and no other router has found that it cannot connect either.
func outOfReach(err error) bool { return !Refused(err) && !Unreachable(err) }
