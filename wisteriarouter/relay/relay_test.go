package relay

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"wisteriaspool/platform"
)

// The retry policy must not book an order twice, and must hide transient failures of
// a lookup from its caller.
func TestRetryPolicy(t *testing.T) {
	once, twice := retryPolicy{attempts: 2}, retryPolicy{idempotent: true, attempts: 2}
	tests := []struct {
		name       string
		policy     retryPolicy
		end        attemptResult
		sends, met int
		want       bool
	}{
		{"an order that broke", once, broken, 1, 0, false},
		{"an order that failed", once, failed, 1, 0, false},
		{"a stream that was cut", once, cut, 1, 0, false},
		{"an order that was declined", once, declined, 1, 0, true},
		{"an order that was declined twice", once, declined, 2, 1, false},
		{"an order that never left", once, unsent, 0, 0, true},
		{"an order that found four endpoints dead", once, unsent, 0, 4, false},
		{"a lookup that broke", twice, broken, 1, 0, true},
		{"a lookup that failed", twice, failed, 1, 0, true},
		{"a stream that may go on", twice, cut, 1, 0, true},
		{"a lookup that failed twice", twice, failed, 2, 1, false},
		{"an answer", twice, delivered, 1, 0, false},
	}
	for _, test := range tests {
		assert.Equal(t, test.policy.mayRetry(test.end, test.sends, test.met), test.want, test.name)
	}
}

// A request counts as not run only if the endpoint reports it, whatever the status,
// and a success counts only if the endpoint signed it.
func TestClassify(t *testing.T) {
	signed := platform.Response{Signed: true}
	tests := []struct {
		status int
		says   platform.Response
		want   attemptResult
	}{
		{200, signed, delivered},
		{200, platform.Response{}, broken},
		{404, signed, delivered},
		{404, platform.Response{}, delivered},
		{500, signed, failed},
		{504, signed, failed},
		{503, platform.Response{NotExecuted: true}, declined},
		{421, platform.Response{NotExecuted: true}, declined},
		{503, signed, broken},
		{429, platform.Response{}, broken},
		{408, platform.Response{}, broken},
	}
	for _, test := range tests {
		assert.Equal(t, classify(test.status, test.says), test.want, "%d %+v", test.status, test.says)
	}
}

func TestWholeEvents(t *testing.T) {
	tests := []struct {
		in        string
		whole     int
		first, id string
	}{
		{"", 0, "", ""},
		{"id: 1\ndata: a", 0, "", ""},
		{"id: 1\ndata: a\n\n", 15, "1", "1"},
		{"id: 1\ndata: a\n\nid: 2\nda", 15, "1", "1"},
		{"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", 30, "1", "2"},
		{"id:1\r\ndata: a\r\n\r\nid: 2", 17, "1", "1"},
		{"data: a\n\n", 9, "", ""},
		{": note\n\nid: 7\ndata: a\n\n", 23, "7", "7"},
		{"data: id: 9\n\n", 13, "", ""},
		{"data: a\n\r\n", 10, "", ""},
		{"data: a\r\n\n", 10, "", ""},
		{"data: a\r\r", 9, "", ""},
		{"data: a\r\n", 0, "", ""},
		{"data: a\r", 0, "", ""},
		{"id: 1\rdata: a\r\rid: 2\rdata: b\r\r", 30, "1", "2"},
		{"data: a\r\rid: 1\rdata: a\r\r", 24, "1", "1"},
	}
	for _, test := range tests {
		n := wholeEvents([]byte(test.in))
		assert.Equal(t, n, test.whole, "%q", test.in)
		ids := readIDs([]byte(test.in)[:n], false)
		assert.Equal(t, ids.first, test.first, "%q", test.in)
		assert.Equal(t, ids.last, test.id, "%q", test.in)
	}
}

// Guards against a stream that ends inside an event and counts as complete, and against
// one that is complete and counts as broken off.
func TestOnlyComments(t *testing.T) {
	for in, want := range map[string]bool{
		"": true, ": note\n": true, ":\r\n: note\r\n": true,
		": note": false, "id: 1\n": false, "data": false, ": note\nid: 1\n": false,
	} {
		assert.Equal(t, onlyComments([]byte(in)), want, "%q", in)
	}
}

// An endpoint that continues a stream may send an event that the caller already has.
func TestIDAfter(t *testing.T) {
	assert.Assert(t, idAfter("3", "2"))
	assert.Assert(t, !idAfter("2", "2"))
	assert.Assert(t, !idAfter("2", "10"))
	assert.Assert(t, idAfter("x", "2"), "ids that are not numbers cannot be compared")
	assert.Assert(t, idAfter("1", ""))
}

// Guards against an event that the caller gets twice as its id, beyond 63 bits or in another
// form, is not compared with the one before.
func TestIDsOfAnySizeAndFormAreCompared(t *testing.T) {
	const max63, max64 = "9223372036854775807", "18446744073709551615"
	long := "1" + strings.Repeat("0", 300)
	for _, ids := range [][2]string{
		{max63, "9223372036854775808"},
		{"9223372036854775808", "9223372036854775809"},
		{max64, "18446744073709551616"},
		{"-9223372036854775809", "-9223372036854775808"},
		{max64, long},
		{"-" + long, "-1"},
		{"-1", "0"},
		{"+7", "008"},
		{"9", "010"},
		{"-0", "1"},
	} {
		assert.Assert(t, idAfter(ids[1], ids[0]), "%v", ids)
		assert.Assert(t, !idAfter(ids[0], ids[1]), "%v", ids)
		assert.Assert(t, !idAfter(ids[0], ids[0]), "%v", ids)
	}
	for _, same := range [][2]string{{"7", "007"}, {"+7", "7"}, {"-0", "0"}, {"0", "000"}, {"x", "x"}, {"7-a", "7-a"}} {
		assert.Assert(t, !idAfter(same[0], same[1]), "%v", same)
		assert.Assert(t, !idAfter(same[1], same[0]), "%v", same)
	}
	for _, unlike := range [][2]string{{"x", "y"}, {"1.5", "2"}, {"0x10", "2"}, {"1e3", "2000"}, {"1_0", "20"}, {"--1", "2"}, {"+", "2"}, {"", "2"}} {
		assert.Assert(t, idAfter(unlike[0], unlike[1]), "%v", unlike)
		assert.Assert(t, idAfter(unlike[1], unlike[0]), "%v", unlike)
	}
}

func TestWithoutHopByHop(t *testing.T) {
	h := http.Header{
		"Connection": {"close, X-Mine"}, "X-Mine": {"1"}, "Keep-Alive": {"timeout=5"},
		"Te": {"trailers"}, "Upgrade": {"h2c"}, "X-Other": {"2"},
	}
	assert.DeepEqual(t, withoutHopByHop(h), http.Header{"X-Other": {"2"}})
	assert.Equal(t, h.Get("X-Mine"), "1", "the caller's headers were modified")
}
