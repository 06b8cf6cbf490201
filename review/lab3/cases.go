package main

// cases are the scripts by the name that run.sh gives. Each returns how the rule was broken, or nothing if it held.
var cases = map[string]func(*Lab) string{
	"drain":       playDrain,
	"herd":        playHerd,
	"gone":        playGone,
	"turned-away": playTurnedAway,
}
