// Package http1 holds what clients of HTTP/1.1 need besides net/http to tell a complete and
// valid response from a broken one.
package http1
