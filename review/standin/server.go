package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// server is a stand-in for a server of an ordinary service.
type server struct {
	sys     *system
	service string
	id      string
	address string
	zone    string
	born    int64
	seq     atomic.Int64
	http    *http.Server
	stopped chan struct{}
	once    sync.Once
	// work is how long it works on a request.
	work time.Duration

	mu   sync.Mutex
	runs map[string]int // by request id
}

func startServer(s *system, name string, n int, work time.Duration) (*server, error) {
	v := &server{
		sys:     s,
		service: name,
		id:      fmt.Sprintf("i-%d", n),
		address: fmt.Sprintf("%s.%d:8080", s.network, 100+n),
		zone:    s.zone(n),
		born:    time.Now().UnixMilli(),
		stopped: make(chan struct{}),
		work:    work,
		runs:    map[string]int{},
	}
	l, err := net.Listen("tcp", v.address)
	if err != nil {
		return nil, err
	}
	if s.cut != nil {
		l = &cutListener{Listener: l, cut: s.cut}
	}
	v.http = &http.Server{Handler: v}
	go func() { _ = v.http.Serve(l) }()
	go v.beat()
	return v, nil
}

// ServeHTTP implements http.Handler.
func (v *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		w.Header().Set(names["instance"], v.id)
		return
	}
	id := r.Header.Get(names["id"])
	if id == "" {
		w.Header().Set(names["not_run"], "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.Header().Set(names["id"], id)
	if want := r.Header.Get(names["expect"]); want != "" && want != v.id {
		w.Header().Set(names["instance"], v.id)
		w.Header().Set(names["not_run"], "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, _ := io.ReadAll(r.Body)
	v.mu.Lock()
	v.runs[id]++
	v.mu.Unlock()
	v.sys.rec.note("server %s of %s runs request %s (%s %s, %d bytes, tenant %s)", v.id, v.service, id, r.Method, r.RequestURI, len(body), r.Header.Get(names["tenant"]))
	select {
	case <-time.After(v.work):
	case <-r.Context().Done():
		return
	}
	w.Header().Set(names["seal"], v.id+"."+id)
	w.Header().Set(names["load"], "1,0,6")
	_, _ = w.Write(bytes.Repeat([]byte("x"), 800))
}

// beat sends status reports, to the next control host after each failure.
func (v *server) beat() {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	for n := 0; ; {
		list := v.sys.controlAddresses()
		if len(list) > 0 {
			body, _ := json.Marshal(v.report())
			resp, err := client.Post("http://"+list[n%len(list)]+names["heartbeat"]+v.id, "application/json", bytes.NewReader(body))
			if err == nil {
				_ = resp.Body.Close()
			}
			if err != nil || resp.StatusCode != http.StatusOK {
				n++
				time.Sleep(100 * time.Millisecond)
				continue
			}
		}
		select {
		case <-v.stopped:
			return
		case <-time.After(1200 * time.Millisecond):
		}
	}
}

// report is what it says of itself.
func (v *server) report() map[string]any {
	return map[string]any{"service": v.service, "address": v.address, "zone": v.zone, "version": "v1", "slots": 6,
		"state": "ready", "cold_left_ms": 0, "stage": "both", "models": []any{}, "seq": v.seq.Add(1), "born": v.born}
}

func (v *server) stop() {
	v.once.Do(func() {
		close(v.stopped)
		_ = v.http.Close()
	})
}

// ran returns how often a request has run.
func (v *server) ran(id string) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.runs[id]
}

// caller is a client that sends each request over a connection of its own.
type caller struct {
	sys    *system
	client *http.Client
	next   atomic.Int64
}

func newCaller(s *system) *caller {
	return &caller{sys: s, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 3500 * time.Millisecond}}
}

// send sends one request to a machine, and returns the status, or 0.
func (c *caller) send(n int, path string) (string, int) {
	id := fmt.Sprintf("%016x", 0xabc000000000+c.next.Add(1))
	method := http.MethodGet
	if path == "/unsafe/x" {
		method = http.MethodPost
	}
	r, err := http.NewRequest(method, "http://"+c.sys.address(n, callersPort)+path, nil)
	if err != nil {
		return id, 0
	}
	r.Host = host
	r.Header.Set(names["id"], id)
	r.Header.Set(names["deadline"], strconv.Itoa(3000))
	r.Header.Set("Authorization", "Bearer "+key)
	resp, err := c.client.Do(r)
	if err != nil {
		c.sys.rec.note("client: request %s to machine %d: %v", id, n, err)
		return id, 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	c.sys.rec.note("client: request %s to machine %d: %d", id, n, resp.StatusCode)
	return id, resp.StatusCode
}
