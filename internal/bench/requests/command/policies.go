package main

import (
	"context"
	"fmt"

	"rosemarywick.example/rosemarywick/internal/bench/requests"
)

func policies(_ context.Context, out printer, o options) error {
	out.row("load", "scenario", "policy", "median ms", "99th ms", "busiest/mean", "shed %")
	for _, use := range []float64{0.5, 0.8} {
		simulation := requests.Simulation{Workers: 10, Slots: 6, Hosts: hosts, ServiceTime: work, Utilization: use}
		for _, simulation.Scenario = range requests.Scenarios() {
			for _, policy := range requests.Policies() {
				c := figures{}
				for run := range o.runs {
					result := simulation.Run(policy, uint64(run))
					c.add("median", millis(result.Median))
					c.add("99th", millis(result.P99))
					c.add("imbalance", result.Imbalance)
					c.add("shed", 100*result.Shed)
				}
				out.row(fmt.Sprint(use), string(simulation.Scenario), string(policy), c.spread("median", 1), c.spread("99th", 1),
					c.spread("imbalance", 2), c.spread("shed", 1))
			}
		}
	}
	return nil
}
