// Package downstream accepts the connections of callers, operators and other
// routers, and shuts servers down without dropping requests that were read.
//
// The Shutdown method of net/http.Server cannot do that: a connection that reads a
// request during the shutdown ends without a response, and one on which part of a
// header has arrived counts as unused and is closed. A server of this package is
// never shut down while it has connections. The reading goroutine decides instead:
// a connection ends after a response with "Connection: close", or when its read has
// returned nothing for some time. If a client sends part of its next request before
// the response to the last one and does not complete it, that part may still be
// dropped.
package downstream
