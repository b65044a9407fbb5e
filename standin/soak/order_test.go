package soak

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/standin/replica"
)

// pathWith returns a path whose stream has at least n events.
func pathWith(n int) string {
	for i := 0; ; i++ {
		if path := piecesPath + strconv.Itoa(i); len(shapeOf(path).ids) >= n {
			return path
		}
	}
}

// Guards against a soak that overlooks pieces out of order, and against one that finds some in
// streams which are in order.
func TestPieceCheckFindsPiecesOutOfOrder(t *testing.T) {
	path := pathWith(4)
	sh, other := shapeOf(path), shapeOf(path+"other")
	last := len(sh.ids) - 1
	piece := func(n int) string { return sh.event(n, "v1", "run1") }
	var whole string
	for n := range sh.ids {
		whole += piece(n)
	}
	tests := []struct {
		name       string
		responses  []string // each cut off, but the last one
		inOrder    bool     // how the last one ends
		repeatable bool
		want       pieceProblem
	}{
		{"whole", []string{whole}, true, false, ""},
		{"none yet", []string{""}, false, false, ""},
		{"cut in an event", []string{piece(0) + piece(1)[:7]}, false, false, ""},
		{"comments", []string{": a\n\n" + piece(0) + ": b\n\n"}, false, false, ""},
		{"goes on", []string{piece(0), piece(1) + piece(2)}, false, true, ""},
		{"goes on by another run", []string{piece(0), sh.event(1, "v1", "run2")}, false, true, ""},
		{"missing", []string{piece(0) + piece(2)}, false, true, pieceMissing},
		{"missing at the start", []string{piece(1)}, false, true, pieceMissing},
		{"twice", []string{piece(0) + piece(0)}, false, true, pieceTwice},
		{"twice behind a comment", []string{piece(0), ": a\n\n" + piece(0)}, false, true, pieceTwice},
		{"goes back", []string{piece(0) + piece(1) + piece(0)}, false, true, pieceTwice},
		{"another stream", []string{piece(0) + other.event(1, "v1", "run1")}, false, true, pieceForeign},
		{"another version", []string{piece(0), sh.event(1, "v2", "run2")}, false, true, pieceOfVersion},
		{"another run", []string{piece(0) + sh.event(1, "v1", "run2")}, false, false, pieceOfRun},
		{"two runs by turns", []string{piece(0) + sh.event(1, "v1", "run2") + piece(2)}, false, true, pieceOfRun},
		{"after the end", []string{whole + piece(last)}, true, true, pieceAfterEnd},
		{"ends early", []string{piece(0)}, true, true, endTooEarly},
		{"ends without a piece", []string{""}, true, true, endTooEarly},
		{"ends in an event", []string{piece(0) + piece(1)[:7]}, true, true, endTooEarly},
		{"id changed", []string{strings.Replace(piece(0), "id: ", "id: 9", 1)}, false, true, pieceChanged},
		{"garbled", []string{"id: 1\n\n"}, false, true, pieceChanged},
	}
	for _, test := range tests {
		c := newPieceCheck(path, test.repeatable)
		var got pieceProblem
		for n, body := range test.responses {
			got, _ = c.addResponse(body, test.inOrder && n == len(test.responses)-1)
		}
		assert.Equal(t, got, test.want, test.name)
	}
}

// pieceStreams serves streams as an endpoint does.
func pieceStreams(t *testing.T, early bool) string {
	t.Helper()
	p := &pieceServer{runs: newPieceRuns(), inspector: replica.NewInspector(), version: "v1", early: early}
	server := httptest.NewServer(http.HandlerFunc(p.serve))
	t.Cleanup(server.Close)
	return server.URL
}

// pieces requests a stream after an event id.
func pieces(t *testing.T, url, path, attempt, after string) (string, error) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, url+path, http.NoBody)
	assert.NilError(t, err)
	req.Header.Set("X-Attempt-Id", attempt)
	req.Header.Set("Last-Event-Id", after)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return string(b), err
}

// Guards against endpoints of the soak whose streams its own check objects to.
func TestPieceStreamsAreInOrder(t *testing.T) {
	url := pieceStreams(t, false)
	seen := make(map[framing]bool)
	for n := range 40 {
		path := piecesPath + "s" + strconv.Itoa(n)
		sh := shapeOf(path)
		for i := range sh.pauses {
			if sh.pauses[i] > 30*time.Millisecond {
				path = "" // takes too long here
			}
		}
		if path == "" || len(sh.ids) > 10 {
			continue
		}
		seen[sh.framing] = true
		for after := range sh.ids {
			c := newPieceCheck(path, true)
			for i := range after {
				problem := c.addEvent(strings.TrimSuffix(strings.TrimPrefix(sh.event(i, "v1", "before"), ": between\n\n"), "\n\n"))
				assert.Equal(t, problem, pieceProblem(""))
			}
			body, err := pieces(t, url, path, fmt.Sprint(n, "-", after), c.lastID())
			assert.NilError(t, err)
			problem, shown := c.addResponse(body, true)
			assert.Equal(t, problem, pieceProblem(""), "%s", shown)
			assert.Assert(t, c.complete())
		}
	}
	assert.Equal(t, len(seen), 3)
}

// Guards against a soak without endpoints that repeat an event when they go on with a stream.
func TestEarlyPieceServerRepeatsEventOfSameAttempt(t *testing.T) {
	url, path := pieceStreams(t, true), pathWith(2)
	after := strconv.Itoa(shapeOf(path).ids[0])
	body, err := pieces(t, url, path, "a1", after)
	assert.NilError(t, err)
	assert.Assert(t, !strings.Contains(body, "piece 1 of"))
	body, err = pieces(t, url, path, "a1", after)
	assert.NilError(t, err)
	assert.Assert(t, strings.HasPrefix(body, ": goes on\n\n") && strings.Contains(body, "piece 1 of"), body)
}

// Guards against a soak that takes the connections of one router for those of another.
func TestSocketInodeIdentifiesProcess(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	defer c.Close()
	inode, err := socketInode(c.LocalAddr().(*net.TCPAddr))
	assert.NilError(t, err)
	assert.Assert(t, hasSocket(os.Getpid(), inode))
	assert.Assert(t, !hasSocket(os.Getppid(), inode))
	_, err = socketInode(&net.TCPAddr{IP: net.IPv4(127, 9, 9, 9), Port: 1})
	assert.Assert(t, err != nil)
}

// Guards against a soak that blames routers for an end of a process as no kernel carries it out,
// and against one that excuses other faults with it.
func TestPieceTallyJudgesEndsOfProcesses(t *testing.T) {
	s := &soak{started: time.Now(), order: newOrder()}
	s.order.runs.begin("p1", "e1")
	s.order.runs.begin("p2", "e1")
	s.order.runs.begin("p2", "e2")
	s.order.runs.begin("p3", "e3")
	s.order.runs.setOutOfBounds("e2")
	for _, f := range []pieceFinding{
		{endTooEarly, "p1", "a"},
		{endTooEarly, "p2", "b"},
		{endTooEarly, "p3", "c"},
		{pieceOfVersion, "p2", "d"},
		{pieceMissing, "p1", "e"},
	} {
		s.order.tally.addFinding(f)
	}
	s.order.tally.report(s)
	var got []string
	for _, line := range s.violations {
		got = append(got, line[len(line)-1:])
	}
	assert.DeepEqual(t, got, []string{"a", "c", "d", "e"})
}
