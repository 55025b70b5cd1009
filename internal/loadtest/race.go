//go:build race

package loadtest

const raceDetector = true
