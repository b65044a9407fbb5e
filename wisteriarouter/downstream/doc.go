// Package downstream accepts the connections of callers, operators and other
// routers, and ends them without dropping a request that was read.
//
// The Shutdown method of net/http's server cannot do that: a connection that reads
// a request while the server shuts down ends without an answer, and one on which a
// part of a head has come counts as unused and is closed. A server of this package
// is never shut down while it has connections. It leaves the decision to the
// goroutine that reads: a connection ends behind an answer that says so, or when
// its read has returned nothing for a while. What a caller sends of a next request
// before the answer to the last one, and does not complete, may still be dropped.
package downstream
