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
	tenant  = "t1"
	apiKey  = "key-of-t1"
)

// config returns a config with one service, which an unsafe and a safe route lead to.
func config(version int) []byte {
	route := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path_prefix": prefix, "route_kind": kind, "timeout_ms": 1500, "goal_ms": 300,
			"priority": 2, "service": service, "max_attempts": attempts, "anonymous": false, "sticky": false,
			"resumable": false,
		}
	}
	text, err := json.Marshal(map[string]any{
		"version":  version,
		"routes":   []any{route("r-unsafe", "/unsafe/", "unsafe", 1), route("r-safe", "/safe/", "safe", 2)},
		"services": []any{map[string]any{"name": service, "health_path": "/healthz", "max_conns": 130, "protocol": "h1", "tls": false}},
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
		resp, err := client.Post("http://"+controls[i%len(controls)]+"/larchwinch/Config.Replace", "application/json", bytes.NewReader(text))
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
