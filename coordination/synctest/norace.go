//go:build !race

package synctest

const raceDetector = false
