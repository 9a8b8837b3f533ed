package main

import "fmt"

const (
	host = "ficu95.example"
	key  = "n2ctnfzs989anu6wsjnb"

	modelService = "verba-drafters"
	longService  = "verba-archive"
	slowService  = "verba-proofs"
	plainService = "order-desk"
)

// Document returns a configuration like that of the users' smaller deployments.
func Document(version int, extra ...map[string]any) map[string]any {
	routes := []map[string]any{
		{
			"name": "r-draft", "hostname": host, "prefix": "/draft/", "route_type": "streaming", "timeout_ms": 10000, "latency_goal_ms": 300,
			"priority": 1, "service": modelService, "max_attempts": 2, "anonymous": false, "session_affinity": true, "resumable": true, "gap_aim_ms": 250,
		},
		{
			"name": "r-archive", "hostname": host, "prefix": "/archive/", "route_type": "streaming", "timeout_ms": 15000, "latency_goal_ms": 3000,
			"priority": 1, "service": longService, "max_attempts": 2, "anonymous": false, "session_affinity": true, "resumable": true, "gap_aim_ms": 1000,
		},
		{
			"name": "r-proof", "hostname": host, "prefix": "/proof/", "route_type": "streaming", "timeout_ms": 20000, "latency_goal_ms": 8000,
			"priority": 1, "service": slowService, "max_attempts": 2, "anonymous": false, "session_affinity": true, "resumable": true, "gap_aim_ms": 3000,
		},
		{
			"name": "r-order", "hostname": host, "prefix": "/order/", "route_type": "non_idempotent", "timeout_ms": 1200, "latency_goal_ms": 150,
			"priority": 2, "service": plainService, "max_attempts": 1, "anonymous": false,
		},
		{
			"name": "r-lookup", "hostname": host, "prefix": "/lookup/", "route_type": "idempotent", "timeout_ms": 1200, "latency_goal_ms": 150,
			"priority": 2, "service": plainService, "max_attempts": 2, "anonymous": false,
		},
	}
	engines := func(name string, perSecond float64) map[string]any {
		return map[string]any{
			"name": name, "health_path": "/healthz", "max_connections": 284, "protocol": "h1", "tls_enabled": false,
			"engine_type": map[string]any{
				"capacity": 16, "kv_capacity": 405000, "step_size": 34, "step_ms": 1.31, "per_seq_ms": 0.000917, "context_per_k": 0.00213,
				"read_per_s": perSecond, "pairs_per_m": 0.162, "chunk": 2048, "report_lag_ms": 200.0,
				"usual": map[string]any{"prompt": 11319, "answer": 1266}, "hop_latency_ms": 0.1,
			},
		}
	}
	return map[string]any{
		"version": version, "routes": append(routes, extra...),
		"services": []map[string]any{
			engines(modelService, 154000), engines(longService, 154000), engines(slowService, 20000),
			{"name": plainService, "health_path": "/healthz", "max_connections": 48, "protocol": "h1", "tls_enabled": false},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 10000},
		"tenants": []map[string]any{{"name": "hule930", "api_keys": []string{key}, "priority": 1}},
	}
}

// Draft returns a request for a stream of 20 events.
func Draft(n int) Request {
	return Request{
		Host: host, Path: fmt.Sprintf("/draft/%d", n), Method: "POST", Key: key, Body: fmt.Sprintf("draft %d", n), Stream: true,
		Tokens: 5000, Output: 680, Parts: fmt.Sprintf("5c1e07a2:40,%08x:4960", 0x10000000+n), Deadline: 10e9,
	}
}

// Archive returns a request with a long prompt.
func Archive(n int) Request {
	q := Draft(n)
	q.Path, q.Tokens, q.Output, q.Deadline = fmt.Sprintf("/archive/%d", n), 182000, 646, 15e9
	q.Parts = fmt.Sprintf("77aa07a2:40,%08x:181960", 0x20000000+n)
	return q
}

// Proof returns a request for the service whose engines take longer for a prompt.
func Proof(n int) Request {
	q := Draft(n)
	q.Path, q.Tokens, q.Output, q.Deadline = fmt.Sprintf("/proof/%d", n), 30000, 340, 20e9
	q.Parts = fmt.Sprintf("66bb07a2:40,%08x:29960", 0x30000000+n)
	return q
}

// Lookup returns an idempotent request to the plain service.
func Lookup() Request {
	return Request{Host: host, Path: "/lookup/1", Method: "GET", Key: key, Deadline: 2500e6}
}
