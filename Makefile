# Shortcuts for development. CI runs .ci/run.

.PHONY: run test check measure

# Runs a fleet with a fake platform and fake upstreams in one process until it is interrupted.
run:
	go run ./cmd/rosemarywick dev --shape ceibal

test:
	.ci/test

check:
	.ci/run

# Repeats every measurement and prints its table, in less than 10 minutes. See docs/measurements.md.
measure:
	go run ./internal/bench/slopes/command
	go run ./internal/bench/requests/command -runs 1 -duration 2s
	go run ./internal/bench/rolling/command -runs 10 -span 10s
	go run ./internal/bench/dissemination/command -changes 10 -span 5s
	go run ./internal/bench/placement/command -part all -seeds 2 -parallel 8
	go run ./internal/bench/recovery/command -runs 1
