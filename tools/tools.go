// Package tools pins the formatter and the linters that CI runs. It lies
// outside the workspace so that their dependencies never mix with ours.
package tools
