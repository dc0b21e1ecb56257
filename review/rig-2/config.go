package main

import "time"

// Names of the operator's configuration, as a small deployment has them.
const (
	modelService = "huvo11a"
	plainService = "wuno96b"
	// onePath is a streaming route with one attempt that may not be resumed, lookupPath an
	// idempotent one with two attempts, and bookPath one whose requests may run once.
	onePath    = "/pufi791/"
	lookupPath = "/cuti104/"
	bookPath   = "/puxa403/"
	// contact is contact-ms of the settings.
	contact = 4 * time.Second
)

// deployment is the configuration of Laurentides Trolley Desk.
func deployment() map[string]any {
	route := func(name, prefix, kind, service string, timeout, goal, gap, priority, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": clientHost, "prefix": prefix, "type": kind, "timeout-ms": timeout, "latency-goal-ms": goal,
			"priority": priority, "service": service, "attempts": attempts, "anonymous": false, "sticky": kind == "streaming",
			"resumable": false, "target-gap-ms": gap, "allowed-regions": []string{},
		}
	}
	return map[string]any{
		"version": 7,
		"route-table": []any{
			route("r-one", onePath, "streaming", modelService, 3000, 500, 250, 1, 1),
			route("r-lookup", lookupPath, "idempotent", plainService, 3000, 300, 0, 2, 2),
			route("r-book", bookPath, "non_idempotent", plainService, 3000, 300, 0, 2, 1),
		},
		"services": []any{
			map[string]any{
				"name": modelService, "health-path": "/healthz", "max-connections": 360, "protocol": "h1", "tls": false,
				"warmup-s": 3.0, "warmup-per-s": 11.0,
				"runtime": map[string]any{
					"slots": 6, "kv-capacity": 315644, "kv-bytes": 163840, "bandwidth-mbps": 740000.0, "migrations": true,
					"replicas": true, "stride": 4, "most": 12, "pin-ms": 4000.0, "hold-ms": 2000.0, "handle-ttl-s": 5.0,
					"model-list": []any{map[string]any{"name": "m"}},
				},
			},
			map[string]any{"name": plainService, "health-path": "/healthz", "max-connections": 96, "protocol": "h1", "tls": false, "warmup-s": 0.0, "warmup-per-s": 0.0},
		},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []any{map[string]any{
			"name": tenant, "api-keys": []string{clientKey}, "priority": 1, "unit": "tokens", "uncached-tokens": 200,
			"rate-per-s": 1547090, "burst": 1547090, "allowed-regions": []string{},
		}},
	}
}
