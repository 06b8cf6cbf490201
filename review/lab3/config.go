package main

import "fmt"

// route is a rule of the configuration for one service.
type route struct {
	prefix, kind, service string
	timeout, target       float64
	attempts              int
}

// service is a cluster of the configuration.
type service struct {
	name    string
	keyed   bool
	maxConn int
}

// configuration returns a configuration in the encoding of the operator.
func configuration(version int, routes []route, services []service) map[string]any {
	var rules, clusters []any
	for i, r := range routes {
		rules = append(rules, map[string]any{
			"name": fmt.Sprintf("r-%d", i), "type": r.kind, "targetLatencyS": r.target, "priority": 1,
			"match":  map[string]any{"prefix": r.prefix},
			"action": map[string]any{"service": r.service, "timeoutS": r.timeout, "maxAttempts": r.attempts},
		})
	}
	for _, s := range services {
		cluster := map[string]any{"name": s.name, "healthPath": "/healthz", "maxConns": s.maxConn, "protocol": "h1", "tls": false}
		if s.keyed {
			cluster["sharded"], cluster["warmS"], cluster["grants"] = true, 2.0, "invocation"
		}
		clusters = append(clusters, cluster)
	}
	return map[string]any{
		"version": fmt.Sprintf("%08x", version),
		"limits": map[string]any{
			"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15,
		},
		"listeners": []any{map[string]any{"hostname": hostname, "ruleset": rules}},
		"clusters":  clusters,
	}
}
