package settings

import (
	"strings"

	"github.com/samber/lo"
)

// maxDiffCells limits the size of the longest-common-subsequence table. Larger
// inputs are shown as one block of removed and one block of added lines.
const maxDiffCells = 1 << 20

// Diff returns the lines that differ between two texts, without context: removed
// lines with the prefix "-", added lines with the prefix "+". It is empty if the
// texts are equal.
func Diff(before, after string) string {
	if before == after {
		return ""
	}
	a, b := splitLines(before), splitLines(after)
	for len(a) > 0 && len(b) > 0 && a[0] == b[0] {
		a, b = a[1:], b[1:]
	}
	for len(a) > 0 && len(b) > 0 && a[len(a)-1] == b[len(b)-1] {
		a, b = a[:len(a)-1], b[:len(b)-1]
	}
	var out strings.Builder
	if len(a)*len(b) > maxDiffCells {
		writeLines(&out, "-", a)
		writeLines(&out, "+", b)
		return out.String()
	}
	writeShortestDiff(&out, a, b)
	return out.String()
}

// writeShortestDiff writes a minimal diff of a and b, computed from their longest
// common subsequence.
func writeShortestDiff(out *strings.Builder, a, b []string) {
	common := commonLengths(a, b)
	i, j := 0, 0
	for i < len(a) || j < len(b) {
		switch {
		case i < len(a) && j < len(b) && a[i] == b[j]:
			i++
			j++
		case j == len(b) || i < len(a) && common[i+1][j] >= common[i][j+1]:
			writeLines(out, "-", a[i:i+1])
			i++
		default:
			writeLines(out, "+", b[j:j+1])
			j++
		}
	}
}

// commonLengths returns at [i][j] the length of the longest common
// subsequence of a[i:] and b[j:].
func commonLengths(a, b []string) [][]int {
	table := make([][]int, len(a)+1)
	for i := range table {
		table[i] = make([]int, len(b)+1)
	}
	for i := len(a) - 1; i >= 0; i-- {
		for j := len(b) - 1; j >= 0; j-- {
			if a[i] == b[j] {
				table[i][j] = table[i+1][j+1] + 1
			} else {
				table[i][j] = max(table[i+1][j], table[i][j+1])
			}
		}
	}
	return table
}

func writeLines(out *strings.Builder, sign string, lines []string) {
	for _, line := range lines {
		out.WriteString(sign + line + "\n")
	}
}

func splitLines(text string) []string {
	if text == "" {
		return nil
	}
	return lo.Map(strings.Split(strings.TrimSuffix(text, "\n"), "\n"), func(s string, _ int) string {
		return strings.TrimSuffix(s, "\r")
	})
}

// truncateLines shortens s to at most n bytes, at a line boundary, and marks the
// cut with a line of dots.
func truncateLines(s string, n int) string {
	if len(s) <= n {
		return s
	}
	const more = "...\n"
	end := strings.LastIndexByte(s[:n-len(more)], '\n')
	return s[:end+1] + more
}
