package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

// operator sends configs and reads them back, as PROTOCOL.md tells: it chooses among the
// control hosts, moves on after a failure or a second of silence, with growing backoff.
type operator struct {
	sys    *system
	rec    *record
	client *http.Client

	mu    sync.Mutex
	acked int // the newest version that was acknowledged
	next  int // position of the control host to call
}

func newOperator(s *system) *operator {
	return &operator{sys: s, rec: s.rec, client: &http.Client{
		Transport: &http.Transport{DisableKeepAlives: true},
		Timeout:   time.Second,
	}}
}

func (o *operator) target() string {
	list := o.sys.controlAddresses()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.next++
	return list[o.next%len(list)]
}

// call makes one call, and returns the status and the body, or 0.
func (o *operator) call(method, path string, body []byte) (int, []byte) {
	address := o.target()
	r, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	if body != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	resp, err := o.client.Do(r)
	if err != nil {
		o.rec.note("operator: %s at %s: no answer: %v", path, address, err)
		return 0, nil
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	o.rec.note("operator: %s at %s: %d", path, address, resp.StatusCode)
	return resp.StatusCode, text
}

// backoff is the pause after the n-th call without a clear answer.
func backoff(n int) time.Duration {
	return min(time.Duration(n+1)*100*time.Millisecond, time.Second)
}

// replace sends a config until it is acknowledged or the time is over, and reports whether it was.
func (o *operator) replace(version int, limit time.Duration) bool {
	body := config(version)
	began := time.Now()
	for n := 0; time.Since(began) < limit; n++ {
		status, _ := o.call(http.MethodPost, names["replace"], body)
		if status == http.StatusOK {
			o.rec.note("config version %d is acknowledged after %v", version, time.Since(began).Round(time.Millisecond))
			o.mu.Lock()
			o.acked = max(o.acked, version)
			o.mu.Unlock()
			return true
		}
		if status == http.StatusBadRequest {
			o.rec.note("config version %d is refused", version)
			return false
		}
		time.Sleep(backoff(n))
	}
	o.rec.note("config version %d has no acknowledgement after %v", version, limit)
	return false
}

// read reads the config back until it comes or the time is over, and returns its version, or 0.
func (o *operator) read(limit time.Duration) int {
	began := time.Now()
	for n := 0; time.Since(began) < limit; n++ {
		status, body := o.call(http.MethodGet, names["read"], nil)
		c := struct {
			Version int `json:"version"`
		}{}
		if status == http.StatusOK && json.Unmarshal(body, &c) == nil {
			o.rec.note("config version %d is read back after %v", c.Version, time.Since(began).Round(time.Millisecond))
			return c.Version
		}
		time.Sleep(backoff(n))
	}
	o.rec.note("no config is read back in %v", limit)
	return 0
}

// The names of the config.
const (
	host    = "app.example"
	service = "app"
	ledger  = "ledger" // another service, for one route of its own
	key     = "k1abcdefghij"
	tenant  = "t1"
)

// config returns a config: routes of the plain kinds to two services, with a tenant.
func config(version int) []byte {
	route := func(name, prefix, kind, service string) map[string]any {
		return map[string]any{"name": name, "host": host, "path_prefix": prefix, names["kind"]: kind,
			"timeout_ms": 3000, "goal_ms": 300, "priority": 1, "service": service, "max_attempts": 2, "anonymous": false}
	}
	plain := func(name string) map[string]any {
		return map[string]any{"name": name, "health_path": "/healthz", "max_conns": 100, "protocol": "h1", "tls": false}
	}
	c := map[string]any{
		"version":  version,
		"routes":   []any{route("r-safe", "/safe/", "safe", service), route("r-unsafe", "/unsafe/", "unsafe", service), route("r-ledger", "/ledger/", "unsafe", ledger)},
		"services": []any{plain(service), plain(ledger)},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": tenant, "api_keys": []string{key}, "priority": 1}},
	}
	text, err := json.Marshal(c)
	if err != nil {
		panic(err)
	}
	return text
}
