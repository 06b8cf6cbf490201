//go:build race

package front_test

func init() { raceEnabled = true }
