package raw

import "strings"

// Statuses returns status codes, with a reason, that HTTP does not have, or that cannot be
// those of a response to a request which asks for no other protocol.
func Statuses() []string {
	return []string{
		"000 Trouble", "000", "001 Trouble", "099 Trouble", "-00 Trouble", "-01 Trouble", "+20 Trouble", "+00 Trouble",
		"600 Trouble", "999 Trouble", "2000 OK", "20 OK", "2xx OK", "", "101 Switching Protocols",
	}
}

// FieldLines returns lines of a head whose field names are no tokens: they hold a blank, a
// control byte, a delimiter or another byte that may not be in them, or are empty.
func FieldLines() []string {
	lines := []string{
		"Content-Length : 2", "Content-Length\t: 2", "Transfer-Encoding : chunked", "Connection : close", "X-Server-Signature : forged",
		"Content Length: 2", "Bad Name: x", "Bad  Name: x", " Leading: x", "\tLeading: x", "Trailing : x", "Trailing  : x", ": x", " : x", "no colon",
	}
	for c := range 256 {
		if !isTokenByte(byte(c)) && c != '\n' && c != ':' {
			lines = append(lines, "Na"+string([]byte{byte(c)})+"me: x")
		}
	}
	return lines
}

// isTokenByte reports whether a byte may be in a token by RFC 9110, section 5.6.2.
func isTokenByte(c byte) bool {
	return '0' <= c && c <= '9' || 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0
}
