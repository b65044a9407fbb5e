// Package loopback provides addresses for the listeners of tests and stand-ins.
package loopback

import (
	"math/rand/v2"
	"net"
)

// Host returns a loopback address that no other listener is likely to use. Among
// listeners at 127.0.0.1 the port of one that has stopped is soon that of another,
// which then gets the connections of those who still know the address.
func Host() string {
	n := rand.Uint32()
	return net.IPv4(127, 1+byte(n>>16)%254, byte(n>>8), 1+byte(n)%254).String()
}

// Address returns the address to listen on at a free port of Host.
func Address() string { return net.JoinHostPort(Host(), "0") }
