//go:build !race

package loadtest

const raceDetector = false
