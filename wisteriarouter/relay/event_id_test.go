package relay

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination/route"
)

// startNumbered starts an endpoint that sends the events after the one that the request names, up
// to 6, in chunks of one byte.
func startNumbered(t *testing.T, end string, newline string) *rawEndpoint {
	return startRawEndpoint(t, func(r *http.Request, _ int) (string, connEnd) {
		n := len(r.Header.Get("Last-Event-Id")) // ids are as long as their number
		var b strings.Builder
		for n++; n <= 6; n++ {
			b.WriteString(strings.ReplaceAll("id: "+strings.Repeat("1", n)+"\ndata: x\n\n", "\n", newline))
		}
		return signedHead(r, "200 OK") + eventStreamHead + split(b.String()) + end, endInOrder
	})
}

// split returns text in chunks of one byte.
func split(text string) string {
	var b strings.Builder
	for i := range len(text) {
		b.WriteString(chunked(text[i : i+1]))
	}
	return b.String()
}

// Guards against events that are missing or come twice where a response breaks off at any byte,
// with each kind of line end.
func TestStreamGoesOnFromBreakAtAnyByte(t *testing.T) {
	for name, newline := range map[string]string{"LF": "\n", "CR": "\r", "CRLF": "\r\n"} {
		t.Run(name, func(t *testing.T) {
			text := strings.ReplaceAll("id: 1\ndata: x\n\n: c\n\nid: 11\ndata: x\n\nid: 111\ndata: x\n\n", "\n", newline)
			for at := range len(text) + 1 {
				first := startRawEndpoint(t, func(r *http.Request, _ int) (string, connEnd) {
					return signedHead(r, "200 OK") + eventStreamHead + split(text[:at]), endInOrder
				})
				url := startRouter(t, route.Route{Kind: route.Stream, Resumable: true}, first, startNumbered(t, "0\r\n\r\n", newline))
				_, body, err := callRouter(t, http.MethodPost, url, "a")
				assert.NilError(t, err, "%d", at)
				body = strings.NewReplacer("\r\n", "\n", "\r", "\n").Replace(body)
				ids := idsOf(body)
				assert.DeepEqual(t, ids, []string{"1", "11", "111", "1111", "11111", "111111"})
			}
		})
	}
}

// idsOf returns the ids of the events that a caller reads, by the rules for event streams.
func idsOf(body string) (ids []string) {
	body = strings.TrimPrefix(body, "\ufeff")
	id, data := "", false
	for line := range strings.SplitSeq(body, "\n") {
		name, value, _ := strings.Cut(line, ":")
		switch {
		case line == "" && data:
			ids, data = append(ids, id), false
		case name == "id":
			id = strings.TrimSpace(value)
		case name == "data":
			data = true
		}
	}
	return ids
}

// Guards against events that come twice, or that are missing, as the id of the last one was
// misread.
func TestStreamGoesOnAfterIDInAnyForm(t *testing.T) {
	for _, tc := range []struct {
		name, first, second string
		after               string // with which the second endpoint is asked; empty if it must not be
		want                []string
	}{
		{"id after data", "data: x\nid: 1\n\n", "data: x\nid: 2\n\n", "1", []string{"1", "2"}},
		{"without a blank", "id:1\ndata: x\n\n", "id:2\ndata: x\n\n", "1", []string{"1", "2"}},
		{"large step", "id: 1\ndata: x\n\n", "id: 99999999999999999999999\ndata: x\n\n", "1", []string{"1", "99999999999999999999999"}},
		{"byte order mark", "\ufeffid: 1\ndata: x\n\n", "\ufeffid: 2\ndata: x\n\n", "1", []string{"1", "2"}},
		{"byte order mark, too early", "id: 1\ndata: x\n\nid: 2\ndata: x\n\n", "\ufeffid: 2\ndata: x\n\n", "2", []string{"1", "2"}},
		{"two ids in an event", "id: 1\nid: 2\ndata: x\n\n", "id: 2\nid: 3\ndata: x\n\n", "2", []string{"2", "3"}},
		{"two ids, too early", "id: 1\ndata: x\n\nid: 2\ndata: x\n\n", "id: 3\nid: 2\ndata: x\n\n", "2", []string{"1", "2"}},
		{"comment between", "id: 1\ndata: x\n\n: c\n\n", "id: 1\ndata: x\n\n", "1", []string{"1"}},
		{"no ids", "data: x\n\n", "data: x\n\n", "", []string{""}},
		{"no id at last", "id: 1\ndata: x\n\ndata: x\n\n", "id: 2\ndata: x\n\n", "", []string{"1", "1"}},
		{"empty id at last", "id: 1\ndata: x\n\nid:\ndata: x\n\n", "id: 2\ndata: x\n\n", "", []string{"1", ""}},
		{"id without a colon at last", "id: 1\ndata: x\n\nid\ndata: x\n\n", "id: 2\ndata: x\n\n", "", []string{"1", ""}},
		{"control byte in an id", "id: 1\x01\ndata: x\n\n", "id: 2\ndata: x\n\n", "", []string{"1\x01"}},
		{"no id at first, then too early", "id: 1\ndata: x\n\n", "data: x\n\nid: 1\ndata: x\n\n", "1", []string{"1"}},
		{"field that begins with id", "id: 1\nidx: 7\ndata: x\n\n", "id: 2\ndata: x\n\n", "1", []string{"1", "2"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			asked := "" // after the response
			second := startRawEndpoint(t, func(r *http.Request, _ int) (string, connEnd) {
				asked = r.Header.Get("Last-Event-Id")
				return signedHead(r, "200 OK") + eventStreamHead + chunked(tc.second) + "0\r\n\r\n", keepOpen
			})
			url := startRouter(t, route.Route{Kind: route.Stream, Resumable: true}, startStream(t, tc.first, false), second)
			_, body, err := callRouter(t, http.MethodPost, url, "a")
			assert.DeepEqual(t, idsOf(body), tc.want)
			assert.Equal(t, asked, tc.after)
			last := tc.want[len(tc.want)-1]
			assert.Equal(t, err == nil, tc.after != "" && last != tc.after, "%v", err)
		})
	}
}
