package main

import (
	"context"
	"fmt"

	"rosemarywick.example/rosemarywick/internal/bench/requests"
)

// policies prints the simulated latency and imbalance of each load balancing policy.
func policies(_ context.Context, out printer, o options) error {
	out.row("load", "scenario", "policy", "median ms", "99th ms", "busiest/mean", "shed %")
	for _, utilization := range []float64{0.5, 0.8} {
		simulation := requests.Simulation{Workers: 10, Slots: 6, Hosts: hosts, ServiceTime: serviceTime, Utilization: utilization}
		for _, simulation.Scenario = range requests.Scenarios() {
			for _, policy := range requests.Policies() {
				values := figures{}
				for run := range o.runs {
					result := simulation.Run(policy, uint64(run))
					values.add("median", milliseconds(result.Median))
					values.add("99th", milliseconds(result.P99))
					values.add("imbalance", result.Imbalance)
					values.add("shed", 100*result.Shed)
				}
				out.row(fmt.Sprint(utilization), string(simulation.Scenario), string(policy), values.summary("median", 1),
					values.summary("99th", 1), values.summary("imbalance", 2), values.summary("shed", 1))
			}
		}
	}
	return nil
}
