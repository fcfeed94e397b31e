package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	serverSlots = 6
	serverQueue = 24
	serverWork  = 60 * time.Millisecond
)

// server is a server of the plain service.
type server struct {
	rec      *record
	id       string
	service  string
	zone     string
	address  string
	born     int64
	controls func() []string // addresses of daemons that serve control
	onRun    func(s *server, r *http.Request)
	// slowControl is the daemon at which status reports arrive late; none if it is empty.
	slowControl string
	number      int // of the server, over all its lifetimes
	start       int // number of this lifetime
	engine      bool

	seq      atomic.Uint64
	leaving  atomic.Bool // says so in all its answers
	silent   atomic.Bool // sends no more status reports
	ended    atomic.Bool
	running  atomic.Int64
	slots    chan struct{}
	listener net.Listener
	http     *http.Server
	client   *http.Client

	mu     sync.Mutex
	conns  map[net.Conn]bool
	orders int // taken since the start
	layers int // held, from the first one on
}

// listen starts the server.
func (s *server) listen() error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.born = time.Now().UnixMilli()
	s.slots = make(chan struct{}, serverSlots)
	s.client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	s.listener = l
	s.conns = map[net.Conn]bool{}
	s.http = &http.Server{Handler: s, ConnState: s.track, ErrorLog: log.New(io.Discard, "", 0)}
	go func() { _ = s.http.Serve(l) }()
	return nil
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	if s.leaving.Load() {
		h.Set(names["leaving"], "1")
		h.Set("Connection", "close")
	}
	id := r.Header.Get("Request-Id")
	if id != "" {
		h.Set("Request-Id", id)
	}
	reject := func(status int) {
		h.Set(names["not_run"], "1")
		h.Set("Content-Length", "0")
		w.WriteHeader(status)
	}
	expected := r.Header.Get(names["expect"])
	switch {
	case expected != "" && expected != s.id:
		reject(http.StatusMisdirectedRequest)
		return
	case r.URL.Path == "/healthz":
		h.Set("Instance-Id", s.id)
		if s.leaving.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	case s.engine && r.URL.Path == names["report"]:
		s.serveReport(w)
		return
	case s.engine && r.URL.Path == names["order"]:
		s.serveOrder(w, r)
		return
	case s.engine && id != "":
		s.serveStream(w, r)
		return
	case id == "":
		reject(http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if s.running.Add(1) > serverSlots+serverQueue {
		s.running.Add(-1)
		reject(http.StatusServiceUnavailable)
		return
	}
	defer s.running.Add(-1)
	select {
	case s.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-s.slots }()
	s.onRun(s, r)
	time.Sleep(serverWork)
	out := []byte(strings.Repeat(fmt.Sprintf("%s %d.", id, len(body)), 30))
	h.Set(names["seal"], fmt.Sprintf("%s.%x", s.id, len(out)))
	h.Set("Server-Load", fmt.Sprintf("%d,0,%d", len(s.slots), serverSlots))
	h.Set("Content-Length", strconv.Itoa(len(out)))
	_, _ = w.Write(out)
}

// report returns the next status report.
func (s *server) report(state string) []byte {
	fields := map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": serverSlots,
		"state": state, "cold_left_ms": 0, "born": s.born, "seq": s.seq.Add(1),
	}
	if s.engine {
		maps.Copy(fields, s.engineFields())
	}
	text, err := json.Marshal(fields)
	if err != nil {
		panic(err)
	}
	return text
}

// post sends a call to a daemon, and reports whether it was acknowledged within a second.
func (s *server) post(address, path string, body []byte) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return false
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := s.client.Do(r)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, 4096))
	return resp.StatusCode >= 200 && resp.StatusCode < 300
}

// beat sends one status report, to one daemon after the other until one acknowledges it.
func (s *server) beat() {
	if s.slowControl != "" {
		s.beatLate()
	}
	list := s.controls()
	rand.Shuffle(len(list), func(a, b int) { list[a], list[b] = list[b], list[a] })
	for _, a := range list {
		if a == s.slowControl {
			continue
		}
		if s.ended.Load() || s.post(a, names["heartbeat"]+s.id, s.report("ready")) {
			return
		}
	}
}

// beatLate sends a status report to the daemon at which it arrives late, and waits a second for its
// acknowledgement.
func (s *server) beatLate() {
	body := s.report("ready")
	time.AfterFunc(reportLateness, func() {
		s.rec.line("a status report of %s arrives %v late: %s", s.id, reportLateness, body)
		s.post(s.slowControl, names["heartbeat"]+s.id, body)
	})
	time.Sleep(time.Second)
}

// crash ends the server: its channels are reset, and it reports nothing more.
func (s *server) crash() {
	s.ended.Store(true)
	s.silent.Store(true)
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

// track keeps the open channels.
func (s *server) track(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
	}
}

// beats sends status reports until ctx ends or the server is silent.
func (s *server) beats(ctx context.Context) {
	for ctx.Err() == nil && !s.silent.Load() {
		s.beat()
		select {
		case <-ctx.Done():
		case <-time.After(heartbeat - 50*time.Millisecond + time.Duration(rand.IntN(100))*time.Millisecond):
		}
	}
}

// deregister says that the server leaves, until a daemon acknowledges it. It returns that
// daemon's address, and when the acknowledgement came.
func (s *server) deregister(list []string) (string, time.Time) {
	s.leaving.Store(true)
	s.silent.Store(true)
	body := []byte(fmt.Sprintf(`{"born":%d}`, s.born))
	for range 10 {
		for _, a := range list {
			if s.post(a, names["deregister"]+s.id, body) {
				return a, time.Now()
			}
		}
	}
	return "", time.Time{}
}
