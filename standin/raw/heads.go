package raw

// Statuses returns status codes, with a reason, that HTTP does not have, or that cannot be
// those of a response to a request which asks for no other protocol.
func Statuses() []string {
	return []string{
		"000 Trouble", "000", "001 Trouble", "099 Trouble", "-00 Trouble", "-01 Trouble", "+20 Trouble", "+00 Trouble",
		"600 Trouble", "999 Trouble", "2000 OK", "20 OK", "2xx OK", "", "101 Switching Protocols",
	}
}
