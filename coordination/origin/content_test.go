package origin_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/origin"
	"wisteriaspool/coordination/synctest"
)

// Guards against a caller that gives its attempt the key of another one's content, and makes
// that stream unknown or go on at another version.
func TestAttemptIsNotTakenForContent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 7)
		f.keeper("r0").Record(origin.Record{Attempt: "content ff", Version: "v2", LeftMs: 60_000})
		time.Sleep(time.Second)
		for _, r := range f.alive() {
			found := f.keeper(r.ID).FindByContent(t.Context(), 0xff)
			assert.Assert(t, !found.Known, "%s: %+v", r.ID, found)
		}
	})
}

// Guards against a stream that is found by its content at the version of another one, in
// whatever order, pools and ways the routers learn of both.
func TestContentOfSeveralVersionsIsNotKnown(t *testing.T) {
	for _, tc := range []struct {
		name    string
		streams []origin.Record
		version coordination.SoftwareVersion // empty if it must not be known
	}{
		{"one stream", []origin.Record{{Attempt: "a", Pool: "p", Version: "v1"}}, "v1"},
		{"one version", []origin.Record{{Attempt: "a", Pool: "p", Version: "v1"}, {Attempt: "b", Pool: "p", Version: "v1"}}, "v1"},
		{"two versions", []origin.Record{{Attempt: "a", Pool: "p", Version: "v1"}, {Attempt: "b", Pool: "p", Version: "v2"}}, ""},
		{"the first one again", []origin.Record{{Attempt: "a", Pool: "p", Version: "v1"}, {Attempt: "b", Pool: "p", Version: "v2"}, {Attempt: "c", Pool: "p", Version: "v1"}}, ""},
		{"two pools", []origin.Record{{Attempt: "a", Pool: "p", Version: "v1"}, {Attempt: "b", Pool: "q", Version: "v2"}}, ""},
		{"two pools of one version", []origin.Record{{Attempt: "a", Pool: "p", Version: "v1"}, {Attempt: "b", Pool: "q", Version: "v1"}}, "v1"},
	} {
		for i := range tc.streams {
			tc.streams[i].LeftMs, tc.streams[i].Content = 60_000, 0xff
		}
		for _, way := range []string{"told", "pool becomes mixed", "from the store"} {
			t.Run(tc.name+", "+way, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFleet(t, 7)
					for i, r := range tc.streams {
						k := f.keeper(f.routers[i].ID)
						switch way {
						case "told":
							k.Record(r)
							k.Record(origin.ByContent([]origin.Record{r})[0])
						case "pool becomes mixed":
							k.Record(r)
						case "from the store":
							all := origin.ByContent(tc.streams)
							slices.Reverse(all)
							f.keeper("r6").Learn(all)
						}
					}
					time.Sleep(time.Second)
					for _, r := range f.alive() {
						f.keeper(r.ID).KeepByContent("p")
						f.keeper(r.ID).KeepByContent("q")
					}
					time.Sleep(time.Second)
					asked := f.alive()
					if way == "from the store" {
						asked = f.routers[6:]
					}
					for _, r := range asked {
						found := f.keeper(r.ID).FindByContent(t.Context(), 0xff)
						assert.Equal(t, found.Known, tc.version != "", "%s: %+v", r.ID, found)
						assert.Equal(t, found.Version, tc.version, "%s: %+v", r.ID, found)
						assert.Equal(t, found.Several, tc.version == "", "%s: %+v", r.ID, found)
					}
				})
			})
		}
	}
}
