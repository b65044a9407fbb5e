package main

import (
	"bytes"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// wallClockUse matches code that reads the wall clock rather than the monotonic
// clock.
var wallClockUse = regexp.MustCompile(`\.Unix(Milli|Micro|Nano)?\(\)|time\.Unix(Milli|Micro)?\(|\.Round\(0\)|Millis\(now|Millis\(time\.Now`)

// The wall clock may jump by hours on some machines. A timeout based on it
// would expire too early or never. docs/DECISIONS.md explains for each use why
// it tolerates a jump; add a new use there and to the golden file.
func TestWallClockUsesAreListed(t *testing.T) {
	var found bytes.Buffer
	for _, root := range []string{"../coordination", "../platform", "."} {
		err := filepath.WalkDir(root, func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			text, err := os.ReadFile(path)
			if n := len(wallClockUse.FindAll(text, -1)); n > 0 {
				fmt.Fprintf(&found, "%s %d\n", filepath.ToSlash(path), n)
			}
			return err
		})
		assert.NilError(t, err)
	}
	golden.Assert(t, found.String(), "time-of-day.golden")
}
