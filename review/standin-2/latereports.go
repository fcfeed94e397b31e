package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// reportLateness is how late the status reports to one daemon arrive.
	reportLateness = 4 * time.Second
	// crashTime is after how long a server that crashed is back.
	crashTime = 5 * time.Second
	// poisonPath marks the request that crashes servers.
	poisonPath = "/unsafe/poison/"
	// poisonPause is the time between two sends of it.
	poisonPause = 700 * time.Millisecond
	// poisonTime is for how long it comes again.
	poisonTime = 30 * time.Second
)

// poisoned counts what a request that crashes servers does.
type poisoned struct {
	mu      sync.Mutex
	crashes []time.Time
	late    int // retries later than contact_ms after the third crash
	lost    int // other requests that were running on a server that crashed
}

// crashed records a crash and returns when the third one was; zero before that.
func (p *poisoned) crashed(now time.Time, others int) (third time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.crashes) >= 3 {
		third = p.crashes[2]
	}
	p.crashes = append(p.crashes, now)
	p.lost += others
	return third
}

// lateReports: a request that crashes each server that begins to run it comes again and again. The
// status reports that servers send to one daemon arrive seconds late. Later than contact_ms after the
// third crash the request must reach servers in three retries at most.
func lateReports(s *system, trouble bool) error {
	if err := s.startAll(); err != nil {
		return err
	}
	var controls, directories []string
	for _, m := range s.machines {
		controls = append(controls, m.address(controlPort))
		directories = append(directories, m.address(directoryPort))
	}
	slow := s.outer()[0].address(controlPort)
	callers := newCallers(s.rec, directories)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p := &poisoned{}
	var onRun func(e *server, r *http.Request)
	startServer := func(n, start int) error {
		e := &server{
			rec: s.rec, id: fmt.Sprintf("i-%d-%d", n, start), service: service, zone: zones[n%len(zones)],
			address:  fmt.Sprintf("%s.%d:%d", s.network, 100+n, 18426),
			controls: func() []string { return append([]string(nil), controls...) },
			onRun:    func(e *server, r *http.Request) { onRun(e, r) },
			number:   n, start: start,
		}
		if trouble {
			e.slowControl = slow
		}
		if err := e.listen(); err != nil {
			return err
		}
		go e.beats(ctx)
		return nil
	}
	onRun = func(e *server, r *http.Request) {
		from, _, _ := net.SplitHostPort(r.RemoteAddr)
		m := s.byIP(from)
		if !strings.HasPrefix(r.URL.Path, poisonPath) || m == nil {
			return
		}
		now := time.Now()
		third := p.crashed(now, int(e.running.Load())-1)
		s.rec.line("the request that crashes servers reaches %s from %s; it crashes, with %d others that it runs", e.id, m.name, e.running.Load()-1)
		if !third.IsZero() && now.Sub(third) > contact && now.Sub(s.calmSince(m)) > contact && now.Sub(s.coreCalmSince()) > contact {
			p.mu.Lock()
			p.late++
			p.mu.Unlock()
			s.rec.line("that is a retry %.3f s after the third crash, by a machine in touch", now.Sub(third).Seconds())
		}
		e.crash()
		time.AfterFunc(crashTime, func() {
			if ctx.Err() == nil {
				if err := startServer(e.number, e.start+1); err != nil {
					s.rec.line("server %d can't start again: %v", e.number, err)
				}
			}
		})
	}
	for n := range 9 {
		if err := startServer(n, 1); err != nil {
			return err
		}
	}
	if !replaceConfig(controls, config(7, service, false), time.Now().Add(20*time.Second)) {
		return fmt.Errorf("the first config was not acknowledged")
	}
	s.rec.line("config 7 is acknowledged")
	go callers.run(ctx, 40)
	if !awaitServed(callers, 200, 20*time.Second) {
		return fmt.Errorf("no requests are served")
	}
	time.Sleep(contact)
	for end := time.Now().Add(poisonTime); time.Now().Before(end); {
		callers.poison()
		time.Sleep(poisonPause + time.Duration(rand.IntN(200))*time.Millisecond)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s.rec.line("%d crashes; %d retries later than contact_ms after the third; %d other requests were on servers that crashed",
		len(p.crashes), p.late, p.lost)
	if len(p.crashes) < 3 {
		return fmt.Errorf("the request crashed fewer than three servers")
	}
	if p.late > 3 {
		s.rec.breaks("the request that crashes servers reached them in %d retries later than contact_ms after the third crash", p.late)
	}
	return nil
}
