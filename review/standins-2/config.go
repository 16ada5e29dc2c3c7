package main

const (
	casesHost = "seva.example"
	casesKey  = "n2ctnfzs989anu6wsjnb"
	mebibyte  = 1 << 20
)

// config returns a version of the configuration.
func config(version int, routes []any, services []string, maxBodyBytes int) map[string]any {
	list := []any{}
	for _, name := range services {
		list = append(list, map[string]any{"name": name, "health_path": "/healthz", "max_conns": 96, "protocol": "h1", "tls": false})
	}
	return map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": maxBodyBytes, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "hule930", "api_keys": []string{casesKey}, "priority": 1}},
	}
}

// route returns a route; target holds its service or its backends.
func route(name, prefix, routeType string, isPublic bool, target map[string]any) map[string]any {
	route := map[string]any{
		"name": name, "hostname": casesHost, "path_prefix": prefix, "route_type": routeType, "timeout_ms": 3000,
		"target_latency_ms": 300, "priority": 1, "max_attempts": 2, "public": isPublic,
	}
	for key, value := range target {
		route[key] = value
	}
	return route
}

func to(service string) map[string]any { return map[string]any{"service": service} }

// saveConfig has one route for requests that may run once at most.
func saveConfig(version int) map[string]any {
	return config(version, []any{route("r-save", "/save/", "non_idempotent", false, to(saveService))}, []string{saveService}, 4*mebibyte)
}
