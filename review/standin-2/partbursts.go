package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// poisonPart is the part of a prompt that crashes servers.
	poisonPart = "deadbeef"
	// burstRequests requests with it come at one machine at the same time, each burstPause.
	burstRequests = 4
	burstPause    = 6 * time.Second
	bursts        = 5
	// partCrashTime is after how long a server that crashed is back.
	partCrashTime = 3 * time.Second
	engines       = 14
	// soundPerSecond is how many sound requests come a second.
	soundPerSecond = 15
)

// partBursts: requests that share a part which crashes each server that begins to write an answer on
// it come a few at a time. Later than contact_ms after the fifth crash, three of them at most may
// reach servers.
func partBursts(s *system, trouble bool) error {
	if err := s.startAll(); err != nil {
		return err
	}
	var controls, directories []string
	for _, m := range s.machines {
		controls = append(controls, m.address(controlPort))
		directories = append(directories, m.address(directoryPort))
	}
	callers := newCallers(s.rec, directories)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var mu sync.Mutex
	var crashes []time.Time
	late, served := 0, 0
	var onRun func(e *server, r *http.Request)
	startServer := func(n, start int) error {
		e := &server{
			rec: s.rec, id: fmt.Sprintf("e-%d-%d", n, start), service: engineService, zone: zones[n%len(zones)],
			address:  fmt.Sprintf("%s.%d:%d", s.network, 100+n, 18426),
			controls: func() []string { return append([]string(nil), controls...) },
			onRun:    func(e *server, r *http.Request) { onRun(e, r) },
			number:   n, start: start, engine: true,
		}
		if err := e.listen(); err != nil {
			return err
		}
		go e.beats(ctx)
		return nil
	}
	onRun = func(e *server, r *http.Request) {
		if !strings.Contains(r.Header.Get(names["parts"]), poisonPart) || !trouble {
			return
		}
		from, _, _ := net.SplitHostPort(r.RemoteAddr)
		m := s.byIP(from)
		now := time.Now()
		mu.Lock()
		text := fmt.Sprintf("request %s with the part reaches %s from %s", r.Header.Get("Request-Id"), e.id, from)
		if len(crashes) >= 5 && m != nil && now.Sub(crashes[4]) > contact && now.Sub(s.calmSince(m)) > contact && now.Sub(s.coreCalmSince()) > contact {
			late++
			text += fmt.Sprintf(", %.3f s after the fifth crash", now.Sub(crashes[4]).Seconds())
		}
		if !e.ended.Load() {
			crashes = append(crashes, now)
			text += fmt.Sprintf(": crash %d, with %d others that it runs", len(crashes), e.running.Load()-1)
		}
		mu.Unlock()
		s.rec.line("%s", text)
		if e.ended.Load() {
			return
		}
		e.crash()
		time.AfterFunc(partCrashTime, func() {
			if ctx.Err() == nil {
				if err := startServer(e.number, e.start+1); err != nil {
					s.rec.line("server %d can't start again: %v", e.number, err)
				}
			}
		})
	}
	for n := range engines {
		if err := startServer(n, 1); err != nil {
			return err
		}
	}
	if !replaceConfig(controls, engineOnlyConfig(7), time.Now().Add(20*time.Second)) {
		return fmt.Errorf("the first config was not acknowledged")
	}
	s.rec.line("config 7 is acknowledged")
	go func() {
		for ctx.Err() == nil {
			callers.resolve()
			time.Sleep(2 * time.Second)
		}
	}()
	sound := func() {
		own := fmt.Sprintf("%08x", rand.Uint32())
		if callers.stream("5c1e07a2:40,"+own+":60") == http.StatusOK {
			mu.Lock()
			served++
			mu.Unlock()
		}
	}
	go func() {
		for ctx.Err() == nil {
			go sound()
			time.Sleep(time.Second / soundPerSecond)
		}
	}()
	for end := time.Now().Add(30 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		mu.Lock()
		n := served
		mu.Unlock()
		if n > 60 {
			break
		}
		if time.Now().After(end) {
			return fmt.Errorf("no streams are served")
		}
	}
	time.Sleep(contact)
	for range bursts {
		wg := &sync.WaitGroup{}
		address := callers.anyAddress()
		for range burstRequests {
			own := fmt.Sprintf("%08x", rand.Uint32())
			wg.Go(func() {
				status := callers.streamAt(address, "5c1e07a2:40,"+poisonPart+":30,"+own+":60")
				s.rec.line("client: a request with the part to %s: status %d", address, status)
			})
		}
		wg.Wait()
		time.Sleep(burstPause)
	}
	mu.Lock()
	defer mu.Unlock()
	s.rec.line("%d crashes; %d requests with the part reach servers later than contact_ms after the fifth; %d sound streams were served", len(crashes), late, served)
	if trouble && len(crashes) < 5 {
		return fmt.Errorf("fewer than five crashes")
	}
	if late > 3 {
		s.rec.breaks("%d requests with a part that crashes servers reach servers later than contact_ms after the fifth crash", late)
	}
	return nil
}

// engineOnlyConfig returns a config with one route of streams to the model servers.
func engineOnlyConfig(version int) []byte {
	return marshalConfig(version, []any{map[string]any{
		"name": "r-stream", "host": host, "path_prefix": "/llm/", names["kind"]: "stream", "timeout_ms": 20000, "goal_ms": 500,
		"priority": 1, "service": engineService, "max_attempts": 2, "anonymous": false, "sticky": true, "resumable": true, "gap_aim_ms": 200,
	}}, []any{engineConfig()})
}

// anyAddress returns the address of one edge daemon.
func (c *callers) anyAddress() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.addresses) == 0 {
		return ""
	}
	return c.addresses[rand.IntN(len(c.addresses))]
}

// stream sends a request for the model to any machine, and returns its status; 0 if the answer isn't
// whole.
func (c *callers) stream(parts string) int { return c.streamAt(c.anyAddress(), parts) }

func (c *callers) streamAt(address, parts string) int {
	c.mu.Lock()
	c.next++
	id := fmt.Sprintf("%012x%04x", time.Now().UnixNano()&0xffffffffffff, c.next)
	c.mu.Unlock()
	r, err := http.NewRequest(http.MethodPost, "http://"+address+"/llm/"+id, strings.NewReader("prompt of "+id))
	if err != nil {
		return 0
	}
	r.Host = host
	for name, v := range map[string]string{
		"Request-Id": id, names["deadline"]: "20000", "Authorization": "Bearer " + apiKey, "Model": "m", names["tokens"]: "130,20", names["parts"]: parts,
	} {
		r.Header.Set(name, v)
	}
	resp, err := c.client.Do(r)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}
