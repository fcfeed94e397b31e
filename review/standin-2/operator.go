package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

const (
	host    = "app.example"
	service = "app"
	// otherService is the service that a later config moves a route to.
	otherService = "app2"
	tenant       = "t1"
	apiKey       = "key-of-t1"
)

// config returns a config with two services. An unsafe route leads to the first, and a safe one to
// the given one. A third route, to the second service, is there if extra is set.
func config(version int, safe string, extra bool) []byte {
	route := func(name, prefix, kind, to string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path_prefix": prefix, names["kind"]: kind, "timeout_ms": 1500, "goal_ms": 300,
			"priority": 2, "service": to, "max_attempts": attempts, "anonymous": false, "sticky": false,
			"resumable": false,
		}
	}
	svc := func(name string) map[string]any {
		return map[string]any{"name": name, "health_path": "/healthz", "max_conns": 130, "protocol": "h1", "tls": false}
	}
	routes := []any{route("r-unsafe", "/unsafe/", "unsafe", service, 1), route("r-safe", "/safe/", "safe", safe, 2)}
	if extra {
		routes = append(routes, route("r-extra", "/extra/", "safe", otherService, 2))
	}
	return marshalConfig(version, routes, []any{svc(service), svc(otherService)})
}

// marshalConfig returns a config with one tenant.
func marshalConfig(version int, routes, services []any) []byte {
	text, err := json.Marshal(map[string]any{
		"version":  version,
		"routes":   routes,
		"services": services,
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": tenant, "api_keys": []any{apiKey}, "priority": 1}},
	})
	if err != nil {
		panic(err)
	}
	return text
}

// replaceConfig sends a config until it is acknowledged, and reports whether it was.
func replaceConfig(controls []string, text []byte, until time.Time) bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for i := 0; time.Now().Before(until); i++ {
		resp, err := client.Post("http://"+controls[i%len(controls)]+names["replace"], "application/json", bytes.NewReader(text))
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return true
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}
