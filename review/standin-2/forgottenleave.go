package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"
)

const (
	// killAfterAck is the time from the acknowledgement of the leave to the kill of the core,
	// and downTime the time until its processes are started again.
	killAfterAck = 500 * time.Millisecond
	downTime     = 500 * time.Millisecond
	// lateness is the time from the kill to the late status report's arrival. The core is calm
	// for contact_ms before that.
	lateness = downTime + contact + 1200*time.Millisecond
	// serveOn is for how long the server goes on to serve after that.
	serveOn = 3 * time.Second
)

// forgottenLeave: a server deregisters, and a daemon acknowledges that. All processes of the
// core are killed at the same moment and come back with their disks. Then an older status
// report of the server arrives late. While the server goes on to serve, it must get no request
// later than drain_ms after the acknowledgement.
func forgottenLeave(s *system, trouble bool) error {
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
	left := moment{}
	leaver := &server{}
	onRun := func(e *server, r *http.Request) {
		now := time.Now()
		id := r.Header.Get("Request-Id")
		from, _, _ := net.SplitHostPort(r.RemoteAddr)
		s.rec.line("server %s runs %s from %s", e.id, id, from)
		ackedAt := left.get()
		if e != leaver || ackedAt.IsZero() {
			return
		}
		sentAt, known := callers.sent(id)
		m := s.byIP(from)
		if !known || m == nil || now.Sub(ackedAt) <= drain {
			return
		}
		inTouch := now.Sub(s.calmSince(m)) > contact && now.Sub(s.coreCalmSince()) > contact
		text := fmt.Sprintf("request %s, sent by its client %.3f s after the leave of %s was acknowledged, reaches it from %s, in touch %v",
			id, sentAt.Sub(ackedAt).Seconds(), e.id, m.name, inTouch)
		if inTouch {
			s.rec.breaks("%s", text)
		} else {
			s.rec.line("%s", text)
		}
	}
	var servers []*server
	for n := range 4 {
		servers = append(servers, &server{
			rec: s.rec, id: fmt.Sprintf("i-%d", n), service: service, zone: zones[n%len(zones)],
			address:  fmt.Sprintf("%s.%d:%d", s.network, 100+n, 18426),
			controls: func() []string { return append([]string(nil), controls...) },
			onRun:    onRun,
		})
	}
	leaver = servers[3]
	for _, e := range servers {
		if err := e.listen(); err != nil {
			return err
		}
		defer func() { _ = e.http.Close() }()
		go e.beats(ctx)
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

	// A status report of the server gets held up in the network; its next one is on time.
	late := leaver.report("ready")
	receiver := s.outer()[0]
	s.rec.line("server %s sends a status report to %s, which arrives late: %s", leaver.id, receiver.name, late)
	leaver.silent.Store(true)
	time.Sleep(200 * time.Millisecond)
	leaver.beat()
	by, at := leaver.deregister(coreControls(s))
	if by == "" {
		return fmt.Errorf("the leave was not acknowledged")
	}
	left.set(at)
	s.rec.line("server %s deregisters; %s acknowledges it", leaver.id, by)
	time.Sleep(killAfterAck)
	if trouble {
		s.kill(s.core())
		s.rec.line("all processes of the core are killed")
		time.Sleep(downTime)
		if err := s.restart(s.core()); err != nil {
			return err
		}
		s.rec.line("all processes of the core are started again, with their disks")
	} else {
		time.Sleep(downTime)
	}
	time.Sleep(lateness - downTime)
	before := callers.served()
	ok := leaver.post(receiver.address(controlPort), names["heartbeat"]+leaver.id, late)
	s.rec.line("the late status report arrives at %s; acknowledged %v", receiver.name, ok)
	time.Sleep(serveOn)
	s.rec.line("server %s ends", leaver.id)
	if callers.served()-before < 20 {
		return fmt.Errorf("too few requests are served for a judgement")
	}
	return nil
}

// coreControls returns the control addresses of the core.
func coreControls(s *system) (list []string) {
	for _, m := range s.core() {
		list = append(list, m.address(controlPort))
	}
	return list
}

// awaitServed waits until that many requests were served.
func awaitServed(c *callers, n int, most time.Duration) bool {
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if c.served() >= n {
			return true
		}
	}
	return false
}

// byIP returns the machine with an address, or nil.
func (s *system) byIP(ip string) *machine {
	for _, m := range s.machines {
		if m.ip == ip {
			return m
		}
	}
	return nil
}
