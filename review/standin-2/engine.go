package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// The model servers of the stand-in: each holds the whole model.
const (
	engineService = "llm"
	engineKind    = "k"
	engineLayers  = 8
	streamEvents  = 10
	eventPause    = 20 * time.Millisecond
	// readTime is the time from the arrival of a request to the start of its answer.
	readTime = 20 * time.Millisecond
)

// engineConfig is the service of model servers in a config.
func engineConfig() map[string]any {
	return map[string]any{
		"name": engineService, "health_path": "/healthz", "max_conns": 1000, "protocol": "h1", "tls": false,
		"engine": map[string]any{
			"slots": 192, "kv_capacity": 100000, "kv_bytes": 80, "link_mbps": 480000.0, "stride": 2,
			"models":  []any{map[string]any{"name": "m", "pace": 1.0, "load_s": 0.5, "warm_s": 0.1}},
			"step_ms": 1.0, "per_seq_ms": 0.004, "context_per_k": 0.005, "read_per_s": 100000.0, "pairs_per_m": 0.1, "chunk": 512,
			"report_lag_ms": 200.0, "loads_per_s": 0.0, "loads_at_once": 6, "delays": []any{},
			"usual": map[string]any{"prompt": 100, "answer": 20}, "layers": engineLayers, "layer_mb": 10.0, "act_bytes": 100, "pipe_mbps": 9000.0,
			"kinds": []any{map[string]any{"name": engineKind, "mb": 1000.0, "pace": 1.0, "read_x": 1.0}},
		},
	}
}

// engineFields returns what a model server tells of itself beside the other fields.
func (s *server) engineFields() map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return map[string]any{
		"stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, names["kind"]: engineKind,
		"layers": map[string]any{"from": 0, names["end"]: s.layers, "version": 1}, "born": s.born,
	}
}

// serveReport answers the report of a model server.
func (s *server) serveReport(w http.ResponseWriter) {
	fields := s.engineFields()
	s.mu.Lock()
	fields["seq"] = s.orders
	s.mu.Unlock()
	for name, v := range map[string]any{
		"busy": false, "queued": 0, "running": s.running.Load(), "kv_used": 0, "kv_total": 100000, "handles": 0, "pace": 1.0, "stalled": []any{},
	} {
		fields[name] = v
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(fields)
}

// serveOrder carries out a place order, and knows no request to send along another path.
func (s *server) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o map[string]any
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o["op"] != "place" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	number := func(name string) int {
		n, _ := o[name].(float64) // 0 if it is missing
		return int(n)
	}
	from, to, expected := number("from"), number(names["end"]), number(names["expected"])
	s.mu.Lock()
	defer s.mu.Unlock()
	if expected != s.orders || from != 0 || to != engineLayers {
		w.WriteHeader(http.StatusConflict)
		return
	}
	s.orders++
	s.layers = to
	w.WriteHeader(http.StatusAccepted)
}

// serveStream answers a request for the model.
func (s *server) serveStream(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	_, _ = io.Copy(io.Discard, r.Body)
	s.mu.Lock()
	layers := s.layers
	s.mu.Unlock()
	if layers < engineLayers {
		w.Header().Set(names["not_run"], "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.running.Add(1)
	defer s.running.Add(-1)
	time.Sleep(readTime)
	s.onRun(s, r)
	if s.ended.Load() {
		return
	}
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set(names["seal"], s.id+"."+id)
	first := 1
	if _, err := fmt.Sscan(r.Header.Get("Last-Event-Id"), &first); err == nil {
		first++
	}
	for n := first; n <= streamEvents && !s.ended.Load(); n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, strings.Repeat("x", 50)); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		time.Sleep(eventPause)
	}
}
