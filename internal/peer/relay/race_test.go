//go:build race

package relay

func init() { raceDetector = true }
