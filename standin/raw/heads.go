package raw

import (
	"fmt"
	"strings"
)

// Statuses returns status codes, with a reason, that HTTP does not have, or that cannot be
// those of a response to a request which asks for no other protocol.
func Statuses() []string {
	return []string{
		"000 Trouble", "000", "001 Trouble", "099 Trouble", "-00 Trouble", "-01 Trouble", "+20 Trouble", "+00 Trouble",
		"600 Trouble", "999 Trouble", "2000 OK", "20 OK", "2xx OK", "", "101 Switching Protocols",
	}
}

// Reasons returns statuses whose reason holds a control byte.
func Reasons() []string {
	return []string{"200 O\x00K", "200 \x01", "200 O\rK", "200 O\x1b[2JK", "200 OK\x7f", "200 OK\r"}
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

// Endless is the start of a head and what is repeated after it without end.
type Endless struct{ Name, Start, Repeat string }

// EndlessHeads returns heads that do not end.
func EndlessHeads() []Endless {
	const head = "HTTP/1.1 200 OK\r\n"
	return []Endless{
		{"status line", "", "HTTP/1.1 200 aaaaaa"},
		{"field lines", head, "Name: value\r\n"},
		{"field line", head + "Name: ", "value"},
		{"folded field", head + "Name: value\r\n", " value\r\n"},
		{"interim responses", "", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
		{"garbage", "", "\x00\x01\x02\x03"},
	}
}

// Versions returns protocol versions that no response to a request of HTTP/1.1 has.
func Versions() []string {
	return []string{"HTTP/0.9", "HTTP/2.0", "HTTP/3.1", "HTTP/9.9", "HTTP/1.10", "HTTP/1", "HTTP/1.", "HTTP/+1.1", "http/1.1", "HTTP 1.1", "ICY", "RTSP/1.0", ""}
}

// Framings returns fields of a head that do not tell for certain where a body with a length of 5
// bytes, or in chunks, ends.
func Framings() []string {
	return []string{
		"Transfer-Encoding: chunked\r\nContent-Length: 5", "Content-Length: 5\r\nTransfer-Encoding: chunked",
		"Transfer-Encoding: chunked\r\ncontent-length: 5", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
		"Transfer-Encoding: chunked, chunked", "Transfer-Encoding: gzip, chunked", "Transfer-Encoding: chunked, identity",
		"Transfer-Encoding: identity", "Transfer-Encoding: \"chunked\"", "Transfer-Encoding: ", "Transfer-Encoding: chunked;a=b",
		"Content-Length: 5\r\nContent-Length: 6", "Content-Length: 5, 6", "Content-Length: +5", "Content-Length: -5",
		"Content-Length: 0x5", "Content-Length: 5 5", "Content-Length: 5\r\n 5", "Content-Length: 5.0", "Content-Length: ",
		"Content-Length: 18446744073709551621",
	}
}

// Misread returns responses that a client which is not strict reads in another way than they were
// sent: the fields contradict each other about where the body ends, or an interim head has a body
// or is not valid. fields are lines of the final head.
func Misread(fields, body string) []string {
	chunks := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	final := fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", fields, len(body), body)
	const early = "HTTP/1.1 103 Early Hints\r\n"
	return []string{
		"HTTP/1.0 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n" + chunks,
		"HTTP/1.0 200 OK\r\n" + fields + fmt.Sprintf("Transfer-Encoding: chunked\r\nContent-Length: %d\r\n\r\n", len(chunks)) + chunks,
		"HTTP/1.0 200 OK\r\n" + fields + fmt.Sprintf("transfer-encoding:chunked\r\nContent-Length: %d\r\n\r\n", len(body)) + body,
		"HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n" + chunks,
		"HTTP/1.1 200 OK\r\n" + fields + "content-length: 5\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks,
		early + "Content-Length: 500\r\n\r\n" + final,
		early + "Transfer-Encoding: chunked\r\n\r\n" + final,
		early + "Content-Length : 500\r\n\r\n" + final,
		"HTTP/1.1 100 \x01\r\n\r\n" + final,
		"HTTP/9.1 100 Continue\r\n\r\n" + final,
	}
}

// isTokenByte reports whether a byte may be in a token by RFC 9110, section 5.6.2.
func isTokenByte(c byte) bool {
	return '0' <= c && c <= '9' || 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0
}
