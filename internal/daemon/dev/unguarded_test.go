package dev

import (
	"bufio"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"rosemarywick.example/rosemarywick/internal/core/cause"
	"rosemarywick.example/rosemarywick/internal/core/fleet"
	platform "rosemarywick.example/rosemarywick/internal/platform/standin"
)

// Covers a service whose servers do not check ownership. Guards against a key without an owner, or with different owners through
// different daemons; against a crashed server that keeps its keys; and against requests that are routed by an unconfirmed map.
func TestUnguardedService(t *testing.T) {
	is := is.New(t)
	f := runFleet(t, &Fleet{Shape: Nadif, Daemons: daemons, Guard: fleet.GuardNone})
	eventually(t, "the key is served", func() bool { return f.exampleServed(t, 0) })
	owner := f.get(t, 0, f.deployment.example).Worker
	for daemon := range daemons {
		eventually(t, "the key is served by its owner", func() bool {
			answer := f.get(t, daemon, f.deployment.example)
			return answer.Complete() && answer.Worker == owner
		})
	}
	is.NoErr(f.CrashUpstream(owner))
	eventually(t, "the key has another owner", func() bool {
		answer := f.get(t, 1, f.deployment.example)
		return answer.Complete() && answer.Worker != owner
	})

	f.Platform().Table.SetOutage(platform.OutageRefused)
	eventually(t, "the authority has ended", func() bool {
		answer := f.get(t, 0, f.deployment.example)
		return answer.Outcome == cause.NotRun && answer.Cause == cause.MapUnconfirmed
	})
	f.Platform().Table.SetOutage(platform.OutageNone)
	eventually(t, "the key is served again", func() bool { return f.exampleServed(t, 2) })
}

// Guards against a server crash whose time without an owner is missing in the metrics.
func TestUnavailableTimeIsMeasured(t *testing.T) {
	is := is.New(t)
	f := startBalancedFleet(t, Ceibal)
	host := f.Hosts()[0]
	before := f.sumMetric(t, host, "rosemarywick_unavailable_partition_seconds_total")
	is.NoErr(f.CrashUpstream(f.get(t, 0, f.deployment.example).Worker))
	is.True(f.exampleServed(t, 0)) // the request waited for the new owner
	eventually(t, "the time is counted", func() bool {
		return f.sumMetric(t, host, "rosemarywick_unavailable_partition_seconds_total") > before &&
			f.sumMetric(t, host, "rosemarywick_partitions_without_owner") == 0
	})
}

// exampleServed reports whether a request with the example key completes through a daemon.
func (f *Fleet) exampleServed(t *testing.T, daemon int) bool {
	t.Helper()
	answer := f.get(t, daemon, f.deployment.example)
	return answer.Complete()
}

// sumMetric returns the sum of all series of a metric on a daemon.
func (f *Fleet) sumMetric(t *testing.T, id fleet.HostID, name string) float64 {
	t.Helper()
	client, url, err := f.operatorHTTP(id)
	if err != nil {
		t.Fatal(err)
	}
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url+"/metrics", nil)
	if err != nil {
		t.Fatal(err)
	}
	response, err := client.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	sum := 0.0
	for lines := bufio.NewScanner(response.Body); lines.Scan(); {
		if series, text, _ := strings.Cut(lines.Text(), "} "); strings.HasPrefix(series, name+"{") {
			value, err := strconv.ParseFloat(text, 64)
			if err != nil {
				t.Fatal(err)
			}
			sum += value
		}
	}
	return sum
}
